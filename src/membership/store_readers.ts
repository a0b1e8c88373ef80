import { rankCandidates } from "./rendezvous_hash.ts";

/** Initial and maximum time for which a failed reader is excluded. */
const INITIAL_EXCLUSION_MS = 3_000;
const MAX_EXCLUSION_MS = 6_000;

/** First and longest pause of a follower between its own attempts at the store. */
const INITIAL_STORE_PAUSE_MS = 1_000;
const MAX_STORE_PAUSE_MS = 4_000;

/** Two, because a reader may be cut off from the store without noticing. */
const READERS_TO_FOLLOW = 2;

/** Options of {@linkcode StoreReaders}. */
export interface StoreReadersOptions {
  /** This host's address for peers. */
  self: string;
  /** Addresses of all hosts, this one included. */
  hosts: () => string[];
  /** CPU cores of each host, by address. */
  cores: () => ReadonlyMap<string, number>;
  /** Number of hosts that read the store. */
  readerCount: number;
  now: () => number;
}

interface Exclusion {
  until_ms: number;
  duration_ms: number;
  /** The host responds, so that no other host takes its place. */
  lostSource: boolean;
}

/** A follower's own attempts at the store while all its readers have lost it. */
interface StoreAttempts {
  next_ms: number;
  pause_ms: number;
  /** Whether the last attempt succeeded. */
  succeeded: boolean;
}

/**
 * Selects the hosts (the readers) that read the object store; all other hosts
 * follow its feeds from them. The readers are the largest hosts, those of one
 * size in the order of a rendezvous ranking: each of them sends a configuration
 * to many others, which would take a small host too long. A reader that does not
 * respond is excluded for a while, and the next host of the ranking takes its
 * place. A reader that responds but has lost the store is passed over, and not
 * replaced: if all readers have lost the store, so have most other hosts. Hosts
 * need not agree on the selection: a host whose readers all fail reads the store
 * itself, with growing pauses between its attempts.
 */
export class StoreReaders {
  #excluded = new Map<string, Exclusion>();
  /** Cached ranking; `hosts` is the joined list that it was computed for. */
  #ranked: { hosts: string; order: string[] } = { hosts: "", order: [] };
  #followersExpected = new AbortController();
  #storeAttempts: StoreAttempts | undefined;
  #options: StoreReadersOptions;

  constructor(options: StoreReadersOptions) {
    this.#options = options;
  }

  /** Whether other hosts may follow this one; false in a small fleet. */
  get mayHaveFollowers(): boolean {
    const { hosts, readerCount } = this.#options;
    return hosts().length > readerCount;
  }

  /**
   * Aborts once {@linkcode mayHaveFollowers} is true: watches at the store that
   * began earlier are too long, and most hosts must follow others instead.
   */
  get followersExpected(): AbortSignal {
    return this.#followersExpected.signal;
  }

  /** Must be called after each change of the hosts. */
  hostsChanged(): void {
    const { aborted } = this.#followersExpected.signal;
    if (this.mayHaveFollowers === aborted) return;
    if (aborted) this.#followersExpected = new AbortController();
    else this.#followersExpected.abort();
  }

  /** Whether this host reads the store itself. */
  get selfIsReader(): boolean {
    const { self } = this.#options;
    const readers = this.#readers();
    const connected = this.#connected(readers);
    if (connected.length > 0) return connected.includes(self);
    if (readers.length === 0 || readers.includes(self)) return true;
    return this.#storeAttempts?.succeeded === true;
  }

  /** Whether others follow this host, but it does not read the store for now. */
  get selfAwaitsSource(): boolean {
    return !this.selfIsReader && this.#readers().includes(this.#options.self);
  }

  /** Whether no reader that this host knows reads the store at present. */
  get allLostSource(): boolean {
    return this.#connected(this.#readers()).length === 0;
  }

  /**
   * Addresses of the readers to follow, in order of preference; readers that have
   * lost the store only if there are no others.
   */
  readersToFollow(): string[] {
    const { self } = this.#options;
    const readers = this.#readers();
    const connected = this.#connected(readers);
    const others = (connected.length > 0 ? connected : readers)
      .filter((address) => address !== self);
    return rankCandidates(self, others).slice(0, READERS_TO_FOLLOW);
  }

  /**
   * Claims an attempt at the store for a host that is not a reader; false before
   * the pause after the last attempt has passed.
   */
  claimStoreAttempt(): boolean {
    if (!this.allLostSource) return false;
    const now_ms = this.#options.now();
    const previous = this.#storeAttempts;
    if (previous !== undefined && now_ms < previous.next_ms) return false;
    const pause_ms = previous === undefined
      ? INITIAL_STORE_PAUSE_MS
      : Math.min(MAX_STORE_PAUSE_MS, previous.pause_ms * 2);
    this.#storeAttempts = {
      next_ms: now_ms + pause_ms,
      pause_ms,
      succeeded: false,
    };
    return previous !== undefined;
  }

  /**
   * Excludes a host that does not respond for a while; this host can be excluded
   * too. Returns false if it is excluded already.
   */
  markFailed(address: string): boolean {
    return this.#exclude(address, { lostSource: false });
  }

  /**
   * Passes over a host that responds but does not read the store, for a while.
   * Returns false if it is excluded already.
   */
  markSourceLost(address: string): boolean {
    if (address === this.#options.self && this.#storeAttempts !== undefined) {
      this.#storeAttempts.succeeded = false;
    }
    return this.#exclude(address, { lostSource: true });
  }

  /** Ends the exclusion of a host that responded. */
  markResponsive(address: string): void {
    this.#excluded.delete(address);
    if (address !== this.#options.self) this.#storeAttempts = undefined;
    else if (this.#storeAttempts !== undefined) {
      this.#storeAttempts.succeeded = true;
    }
  }

  #exclude(
    address: string,
    { lostSource }: Pick<Exclusion, "lostSource">,
  ): boolean {
    const now_ms = this.#options.now();
    const previous = this.#excluded.get(address);
    const isExcluded = previous !== undefined && previous.until_ms > now_ms;
    if (isExcluded && previous.lostSource === lostSource) return false;
    const duration_ms = previous === undefined
      ? INITIAL_EXCLUSION_MS
      : Math.min(MAX_EXCLUSION_MS, previous.duration_ms * 2);
    this.#excluded.set(address, {
      until_ms: now_ms + duration_ms,
      duration_ms,
      lostSource,
    });
    return true;
  }

  /** The first hosts of the ranking that respond. */
  #readers(): string[] {
    return this.#rankedHosts()
      .filter((address) => this.#exclusion(address)?.lostSource !== false)
      .slice(0, this.#options.readerCount);
  }

  /** Those of these hosts that have not lost the store. */
  #connected(readers: readonly string[]): string[] {
    return readers.filter((address) => this.#exclusion(address) === undefined);
  }

  #exclusion(address: string): Exclusion | undefined {
    const exclusion = this.#excluded.get(address);
    if (exclusion === undefined) return undefined;
    return exclusion.until_ms > this.#options.now() ? exclusion : undefined;
  }

  #rankedHosts(): string[] {
    const hosts = this.#options.hosts();
    const key = hosts.join();
    if (key !== this.#ranked.hosts) {
      const cores = this.#options.cores();
      // All hosts rank by the same key, so that they select the same readers.
      const order = rankCandidates("feeds", hosts)
        .sort((a, b) => (cores.get(b) ?? 0) - (cores.get(a) ?? 0));
      this.#ranked = { hosts: key, order };
    }
    return this.#ranked.order;
  }
}

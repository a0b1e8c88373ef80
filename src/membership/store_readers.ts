import { rankCandidates } from "./rendezvous_hash.ts";

/** Initial and maximum time for which a failed reader is excluded. */
const INITIAL_EXCLUSION_MS = 3_000;
const MAX_EXCLUSION_MS = 6_000;

/**
 * Another host that responds but has lost the store is asked again after this time,
 * which costs little. This host tries the store again after the longer times above,
 * as it hears nothing meanwhile.
 */
const LOST_SOURCE_MS = 1_000;
/** First and longest pause of a follower before it tries the store itself. */
const INITIAL_STORE_PAUSE_MS = 500;
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
}

/** A follower's own attempts at the store while all readers have lost it. */
interface StoreAttempts {
  next_ms: number;
  pause_ms: number;
  /** Whether the last one succeeded. */
  succeeded: boolean;
}

/**
 * Selects the hosts (the readers) that read the object store; all other hosts
 * follow its feeds from them. The readers are the largest hosts, those of one
 * size in the order of a rendezvous ranking: each of them sends a configuration
 * to many others, which would take a small host too long. A reader that does not
 * respond is excluded for a while, and the next host of the ranking takes its
 * place. One that responds but has lost the store is passed over and keeps its
 * place: if all readers have lost the store, so have most other hosts, and a walk
 * through the ranking would make all of them call it. Hosts need not agree on the
 * selection: a host whose readers have all lost the store tries it itself, with
 * growing pauses.
 */
export class StoreReaders {
  #excluded = new Map<string, Exclusion>();
  /** Hosts that have lost the store, and until when they are passed over. */
  #lost = new Map<string, Exclusion>();
  #storeAttempts: StoreAttempts | undefined;
  /** Cached ranking; `hosts` is the joined list that it was computed for. */
  #ranked: { hosts: string; order: string[] } = { hosts: "", order: [] };
  #outdatedWatches = new AbortController();
  #hadFollowers = false;
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
   * Aborts the current watches at the store when a change of the hosts outdates
   * them: they are too long once other hosts may follow this one, and needless
   * once this host follows others.
   */
  get outdatedWatches(): AbortSignal {
    return this.#outdatedWatches.signal;
  }

  /** Must be called after each change of the hosts. */
  hostsChanged(): void {
    const { mayHaveFollowers } = this;
    const isFirstFollowed = mayHaveFollowers && !this.#hadFollowers;
    this.#hadFollowers = mayHaveFollowers;
    if (!isFirstFollowed && this.selfIsReader) return;
    this.#outdatedWatches.abort();
    this.#outdatedWatches = new AbortController();
  }

  /** Whether this host reads the store itself. */
  get selfIsReader(): boolean {
    const { self } = this.#options;
    const readers = this.#readers();
    const connected = this.#connected(readers);
    if (connected.length > 0) return connected.includes(self);
    return readers.length === 0 || readers.includes(self) ||
      this.#storeAttempts?.succeeded === true;
  }

  /**
   * Addresses of the readers to follow, in order of preference; empty while all
   * have lost the store.
   */
  readersToFollow(): string[] {
    const { self } = this.#options;
    const others = this.#connected(this.#readers())
      .filter((address) => address !== self);
    return rankCandidates(self, others).slice(0, READERS_TO_FOLLOW);
  }

  /**
   * Takes an attempt at the store for a host that is not a reader; false before
   * its time, and while a reader may still have the store.
   */
  takeStoreAttempt(): boolean {
    if (this.#connected(this.#readers()).length > 0) return false;
    const now_ms = this.#options.now();
    const last = this.#storeAttempts;
    if (last !== undefined && now_ms < last.next_ms) return false;
    const pause_ms = last === undefined
      ? INITIAL_STORE_PAUSE_MS
      : Math.min(MAX_STORE_PAUSE_MS, last.pause_ms * 2);
    const next_ms = now_ms + pause_ms;
    this.#storeAttempts = { next_ms, pause_ms, succeeded: false };
    return last !== undefined;
  }

  /**
   * Passes over a host that responds but has lost the store, for a while; this
   * host can be one. Returns whether this was not known.
   */
  markSourceLost(address: string): boolean {
    const isSelf = address === this.#options.self;
    if (isSelf && this.#storeAttempts !== undefined) {
      this.#storeAttempts.succeeded = false;
    }
    const now_ms = this.#options.now();
    const previous = this.#lost.get(address);
    if (previous !== undefined && previous.until_ms > now_ms) return false;
    const duration_ms = isSelf ? nextExclusionMs(previous) : LOST_SOURCE_MS;
    this.#lost.set(address, { until_ms: now_ms + duration_ms, duration_ms });
    return previous === undefined;
  }

  /** Excludes a host for a while; this host can be excluded too. */
  markFailed(address: string): void {
    const now_ms = this.#options.now();
    const previous = this.#excluded.get(address);
    if (previous !== undefined && previous.until_ms > now_ms) return;
    const duration_ms = nextExclusionMs(previous);
    this.#excluded.set(address, {
      until_ms: now_ms + duration_ms,
      duration_ms,
    });
  }

  /** Ends the exclusion of a host that told what the store has. */
  markResponsive(address: string): void {
    this.#excluded.delete(address);
    this.#lost.delete(address);
    if (address !== this.#options.self) this.#storeAttempts = undefined;
    else if (this.#storeAttempts !== undefined) {
      this.#storeAttempts.succeeded = true;
    }
  }

  #readers(): string[] {
    const now_ms = this.#options.now();
    return this.#rankedHosts()
      .filter((address) =>
        (this.#excluded.get(address)?.until_ms ?? 0) <= now_ms
      )
      .slice(0, this.#options.readerCount);
  }

  /** Those of these hosts of which it isn't known that they lost the store. */
  #connected(readers: readonly string[]): string[] {
    const now_ms = this.#options.now();
    return readers.filter((address) =>
      (this.#lost.get(address)?.until_ms ?? 0) <= now_ms
    );
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

function nextExclusionMs(previous: Exclusion | undefined): number {
  return previous === undefined
    ? INITIAL_EXCLUSION_MS
    : Math.min(MAX_EXCLUSION_MS, previous.duration_ms * 2);
}

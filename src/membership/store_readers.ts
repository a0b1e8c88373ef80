import { rankCandidates } from "./rendezvous_hash.ts";

/** Initial and maximum time for which a failed reader is excluded. */
const INITIAL_EXCLUSION_MS = 3_000;
const MAX_EXCLUSION_MS = 6_000;

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

/**
 * Selects the hosts (the readers) that read the object store; all other hosts
 * follow its feeds from them. The readers are the largest hosts, those of one
 * size in the order of a rendezvous ranking: each of them sends a configuration
 * to many others, which would take a small host too long. A reader that does not
 * respond, or is itself cut off from the store, is excluded for a while. Hosts
 * need not agree on the selection: a host whose readers all fail reads the store
 * itself.
 */
export class StoreReaders {
  #excluded = new Map<string, Exclusion>();
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
    const readers = this.#readers();
    return readers.length === 0 || readers.includes(this.#options.self);
  }

  /** Addresses of the readers to follow, in order of preference. */
  readersToFollow(): string[] {
    const { self } = this.#options;
    const others = this.#readers().filter((address) => address !== self);
    return rankCandidates(self, others).slice(0, READERS_TO_FOLLOW);
  }

  /** Excludes a host for a while; this host can be excluded too. */
  markFailed(address: string): void {
    const now_ms = this.#options.now();
    const previous = this.#excluded.get(address);
    if (previous !== undefined && previous.until_ms > now_ms) return;
    const duration_ms = previous === undefined
      ? INITIAL_EXCLUSION_MS
      : Math.min(MAX_EXCLUSION_MS, previous.duration_ms * 2);
    this.#excluded.set(address, {
      until_ms: now_ms + duration_ms,
      duration_ms,
    });
  }

  /** Ends the exclusion of a host that responded. */
  markResponsive(address: string): void {
    this.#excluded.delete(address);
  }

  #readers(): string[] {
    const now_ms = this.#options.now();
    return this.#rankedHosts()
      .filter((address) =>
        (this.#excluded.get(address)?.until_ms ?? 0) <= now_ms
      )
      .slice(0, this.#options.readerCount);
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

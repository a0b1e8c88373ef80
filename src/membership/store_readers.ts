/**
 * Which hosts read the object store, so that the others can follow its feeds
 * from them. The first hosts of a rendezvous ranking read; one that is silent,
 * or does not hear of the store itself, is passed over for a while. Nothing has
 * to agree: a host whose readers all fail reads the store itself.
 */
import { rankCandidates } from "./rendezvous_hash.ts";

/** First and longest time for which a failed reader is passed over. */
const FIRST_PASS_OVER_MS = 3_000;
const LONGEST_PASS_OVER_MS = 6_000;

/** Readers that a host follows at a time: one may be cut off and not know. */
const FOLLOWED = 2;

/** What the choice needs. */
export interface StoreReadersOptions {
  /** This host's address for peers. */
  self: string;
  /** Addresses of all hosts, this one included. */
  hosts: () => string[];
  /** How many hosts read the store. */
  readerCount: number;
  now: () => number;
}

interface Failed {
  until_ms: number;
  rest_ms: number;
}

/** See the module's comment. */
export class StoreReaders {
  #failed = new Map<string, Failed>();
  #ranked: { hosts: string; order: string[] } = { hosts: "", order: [] };
  #options: StoreReadersOptions;

  constructor(options: StoreReadersOptions) {
    this.#options = options;
  }

  /** Whether other hosts may follow this one. */
  get mayHaveFollowers(): boolean {
    const { hosts, readerCount: readers } = this.#options;
    return hosts().length > readers;
  }

  /** Whether this host reads the store itself. */
  get selfIsReader(): boolean {
    const readers = this.#readers();
    return readers.length === 0 || readers.includes(this.#options.self);
  }

  /** The readers that this host follows, the preferred one first. */
  readersToFollow(): string[] {
    const { self } = this.#options;
    const others = this.#readers().filter((address) => address !== self);
    return rankCandidates(self, others).slice(0, FOLLOWED);
  }

  /** Passes a host over for a while, this one included. */
  markFailed(address: string): void {
    const now_ms = this.#options.now();
    const known = this.#failed.get(address);
    if (known !== undefined && known.until_ms > now_ms) return;
    const rest_ms = known === undefined
      ? FIRST_PASS_OVER_MS
      : Math.min(LONGEST_PASS_OVER_MS, known.rest_ms * 2);
    this.#failed.set(address, { until_ms: now_ms + rest_ms, rest_ms });
  }

  /** A host that answered counts as before. */
  markResponsive(address: string): void {
    this.#failed.delete(address);
  }

  #readers(): string[] {
    const now_ms = this.#options.now();
    return this.#order()
      .filter((address) => (this.#failed.get(address)?.until_ms ?? 0) <= now_ms)
      .slice(0, this.#options.readerCount);
  }

  #order(): string[] {
    const hosts = this.#options.hosts();
    const key = hosts.join();
    if (key !== this.#ranked.hosts) {
      this.#ranked = { hosts: key, order: rankCandidates("feeds", hosts) };
    }
    return this.#ranked.order;
  }
}

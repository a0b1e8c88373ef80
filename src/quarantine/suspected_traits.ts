/**
 * Remembers where endpoints crashed under requests with a trait, so that the next
 * such request goes to another one. If that crashes too, the request is at fault;
 * otherwise it is served. Does no I/O and reads no clock: callers pass the time in.
 */
import { dropOldest } from "../utils/drop_oldest.ts";

/** A suspicion ends this long after it was last raised. */
const LIFETIME_MS = 600_000;
/** Traits that are remembered; beyond this the oldest are dropped. */
const MAX_TRAITS = 1_024;

interface Suspicion {
  addresses: string[];
  until_ms: number;
}

/** Where endpoints crashed under requests with a trait. */
export class SuspectedTraits {
  #suspicions = new Map<string, Suspicion>();

  /** Records a suspected trait; replaces what was known of it. */
  record(trait: string, addresses: string[], now_ms: number): void {
    this.#suspicions.delete(trait);
    this.#suspicions.set(trait, { addresses, until_ms: now_ms + LIFETIME_MS });
    dropOldest(this.#suspicions, MAX_TRAITS);
  }

  /** Ends the suspicion of traits of a request that got an answer. */
  clear(traits: readonly string[]): void {
    if (this.#suspicions.size === 0) return;
    for (const trait of traits) this.#suspicions.delete(trait);
  }

  /** Addresses that a request with these traits should not be sent to. */
  addressesToAvoid(
    traits: readonly string[],
    now_ms: number,
  ): ReadonlySet<string> {
    const addresses = traits.flatMap((trait) => {
      const suspicion = this.#suspicions.get(trait);
      const isCurrent = suspicion !== undefined && suspicion.until_ms > now_ms;
      return isCurrent ? suspicion.addresses : [];
    });
    return new Set(addresses);
  }

  /** Whether nothing is suspected. */
  get isEmpty(): boolean {
    return this.#suspicions.size === 0;
  }
}

/**
 * The rate at which a host sends requests to the endpoints of each pool. Does no
 * I/O and reads no clock: callers pass the time in.
 */

/** Time in which what is known of a rate loses a factor of e. */
const SMOOTHING_MS = 10_000;
const MS_PER_S = 1_000;

interface Traffic {
  first_ms: number;
  /** Sends, each with a weight that falls with its age. */
  weighted: number;
  updated_ms: number;
}

/** The sends of a host, by pool. */
export class PoolTraffic {
  #pools = new Map<string, Traffic>();

  /** Records a send. */
  record(pool: string, now_ms: number): void {
    const { first_ms = now_ms } = this.#pools.get(pool) ?? {};
    const weighted = this.#weighted(pool, now_ms) + 1;
    this.#pools.set(pool, { first_ms, weighted, updated_ms: now_ms });
  }

  /** Requests a second that this host sends to a pool. */
  perS(pool: string, now_ms: number): number {
    const { first_ms = now_ms } = this.#pools.get(pool) ?? {};
    const known_ms = SMOOTHING_MS * (1 - decay(now_ms - first_ms));
    const weighted = this.#weighted(pool, now_ms);
    return known_ms > 0 ? weighted * MS_PER_S / known_ms : 0;
  }

  #weighted(pool: string, now_ms: number): number {
    const { weighted = 0, updated_ms = now_ms } = this.#pools.get(pool) ?? {};
    return weighted * decay(now_ms - updated_ms);
  }
}

function decay(elapsed_ms: number): number {
  return Math.exp(-elapsed_ms / SMOOTHING_MS);
}

/**
 * The rate at which a host sends requests to the endpoints of each pool. Does no
 * I/O and reads no clock: callers pass the time in.
 */

/** Time in which a rate changes by a factor of e. */
const SMOOTHING_MS = 10_000;
const MS_PER_S = 1_000;

interface Traffic {
  per_s: number;
  updated_ms: number;
}

/** The sends of a host, by pool. */
export class PoolTraffic {
  #pools = new Map<string, Traffic>();

  /** Records a send. */
  record(pool: string, now_ms: number): void {
    const per_s = this.perS(pool, now_ms) + MS_PER_S / SMOOTHING_MS;
    this.#pools.set(pool, { per_s, updated_ms: now_ms });
  }

  /** Requests a second that this host sends to a pool. */
  perS(pool: string, now_ms: number): number {
    const { per_s = 0, updated_ms = now_ms } = this.#pools.get(pool) ?? {};
    return per_s * Math.exp((updated_ms - now_ms) / SMOOTHING_MS);
  }
}

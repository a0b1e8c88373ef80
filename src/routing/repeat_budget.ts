/**
 * Limits the retries of gateway hosts, which are all sends of a request but the
 * first, to a share of each pool's requests in a sliding window; the settings
 * call them "repeats". The bound covers all hosts together and each host enforces
 * its part of it without coordination. The retries of entry hosts have a budget
 * for each host, in retry_budget.ts. Does no I/O and reads no clock: callers pass the time in.
 */

/** Bound on the retries that all hosts together make in one pool. */
export interface PoolRetryBound {
  /** Allowed retries per request. */
  ratio: number;
  /** Allowed retries per window, regardless of the number of requests. */
  slack: number;
  window_ms: number;
}

/**
 * Share of the bound that is used. The rest is a margin, since hosts count
 * their requests and retries independently.
 */
const USED_BOUND_SHARE = 0.6;

interface PoolTimestamps {
  requests_ms: number[];
  retries_ms: number[];
}

/** The retry budget of each pool: counts its requests and retries in the window. */
export class PoolRetryBudgets {
  #pools = new Map<string, PoolTimestamps>();
  #bound: PoolRetryBound;
  #hosts: () => number;

  constructor(bound: PoolRetryBound, hosts: () => number) {
    this.#bound = bound;
    this.#hosts = hosts;
  }

  /** Changes the bound; the counts stay. */
  setBound(bound: PoolRetryBound): void {
    this.#bound = bound;
  }

  /** Records a request's first send. */
  recordRequest(pool: string, now_ms: number): void {
    this.#timestampsOf(pool, now_ms).requests_ms.push(now_ms);
  }

  /** Takes one retry from the pool's budget; returns whether it was allowed. */
  tryTake(pool: string, now_ms: number): boolean {
    const timestamps = this.#timestampsOf(pool, now_ms);
    const { ratio, slack } = this.#bound;
    const allowed = USED_BOUND_SHARE *
      (ratio * timestamps.requests_ms.length +
        slack / Math.max(1, this.#hosts()));
    if (timestamps.retries_ms.length + 1 > allowed) return false;
    timestamps.retries_ms.push(now_ms);
    return true;
  }

  #timestampsOf(pool: string, now_ms: number): PoolTimestamps {
    let timestamps = this.#pools.get(pool);
    if (timestamps === undefined) {
      timestamps = { requests_ms: [], retries_ms: [] };
      this.#pools.set(pool, timestamps);
    }
    const oldest_ms = now_ms - this.#bound.window_ms;
    dropBefore(timestamps.requests_ms, oldest_ms);
    dropBefore(timestamps.retries_ms, oldest_ms);
    return timestamps;
  }
}

function dropBefore(times_ms: number[], oldest_ms: number): void {
  const kept = times_ms.findIndex((time_ms) => time_ms >= oldest_ms);
  times_ms.splice(0, kept < 0 ? times_ms.length : kept);
}

/**
 * Limits repeats, the sends of one request beyond the first, to a share of the
 * fresh requests of each pool over a sliding window. The bound holds for all
 * hosts together, so each host keeps to its part of it. Pure: time comes in.
 */

/** The bound for all hosts together. */
export interface RepeatBound {
  /** Repeats for each fresh request. */
  ratio: number;
  /** Repeats that are free, over the window. */
  slack: number;
  window_ms: number;
}

/** Part of the bound that is used, since hosts count apart. */
const USED_BOUND_SHARE = 0.6;

interface PoolTimestamps {
  requests_ms: number[];
  repeats_ms: number[];
}

/** Counts requests and repeats of each pool. */
export class RepeatBudget {
  #pools = new Map<string, PoolTimestamps>();
  #bound: RepeatBound;
  #hosts: () => number;

  constructor(bound: RepeatBound, hosts: () => number) {
    this.#bound = bound;
    this.#hosts = hosts;
  }

  /** Changes the bound; what was counted stays. */
  setBound(bound: RepeatBound): void {
    this.#bound = bound;
  }

  /** A fresh request for a pool. */
  recordRequest(pool: string, now_ms: number): void {
    this.#counts(pool, now_ms).requests_ms.push(now_ms);
  }

  /** Whether one more repeat is allowed; counts it if so. */
  tryTake(pool: string, now_ms: number): boolean {
    const counts = this.#counts(pool, now_ms);
    const { ratio, slack } = this.#bound;
    const allowed = USED_BOUND_SHARE *
      (ratio * counts.requests_ms.length + slack / Math.max(1, this.#hosts()));
    if (counts.repeats_ms.length + 1 > allowed) return false;
    counts.repeats_ms.push(now_ms);
    return true;
  }

  #counts(pool: string, now_ms: number): PoolTimestamps {
    let counts = this.#pools.get(pool);
    if (counts === undefined) {
      counts = { requests_ms: [], repeats_ms: [] };
      this.#pools.set(pool, counts);
    }
    const oldest_ms = now_ms - this.#bound.window_ms;
    dropBefore(counts.requests_ms, oldest_ms);
    dropBefore(counts.repeats_ms, oldest_ms);
    return counts;
  }
}

function dropBefore(times_ms: number[], oldest_ms: number): void {
  const kept = times_ms.findIndex((time_ms) => time_ms >= oldest_ms);
  times_ms.splice(0, kept < 0 ? times_ms.length : kept);
}

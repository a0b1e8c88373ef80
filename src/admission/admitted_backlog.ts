/**
 * The backlog of a pool: admitted requests that have no permit for it yet, and
 * the rate at which they arrive, by class of work.
 */

/** A class of requests that the queue of a pool treats alike. */
export interface WorkClass {
  /** Identity of the rank, as text. */
  rank: string;
  /** Priority of the rank; 0 is the most urgent. */
  priority: number;
  /** Whether the requests exceed their organisation's allowance. */
  over_allowance: boolean;
  /** Share of the pool that the rank is guaranteed, 0 to 1. */
  guaranteed_share: number;
}

interface BacklogEntry extends WorkClass {
  /** Requests in the backlog. */
  count: number;
  /** Arrivals since the start of the current window. */
  arrivals: number;
  rate_per_ms: number;
}

/** How often the arrival rates are updated. */
const RATE_WINDOW_MS = 500;
/** Weight of the latest window in the moving average of a rate. */
const RATE_SMOOTHING = 0.5;

/** Counts the admitted requests that have no permit for a pool yet. */
export class AdmittedBacklog {
  #entries = new Map<string, BacklogEntry>();
  #window_start_ms = 0;

  /** Adds an admitted request; call `remove` for it once. */
  add(work: WorkClass, now_ms: number): void {
    this.#updateRates(now_ms);
    const entry = this.#entry(work);
    entry.count += 1;
    entry.arrivals += 1;
  }

  /** Removes a request that got its permit or ended before that. */
  remove(work: WorkClass): void {
    this.#entry(work).count -= 1;
  }

  /** Number of requests that are served before a new one of this class. */
  countAhead(work: WorkClass): number {
    let ahead = 0;
    for (const entry of this.#entries.values()) {
      if (isMoreUrgent(entry, work) || precedesInRank(entry, work)) {
        ahead += entry.count;
      }
    }
    return ahead;
  }

  /** Number of requests of the same class. */
  countSameClass(work: WorkClass): number {
    return this.#entries.get(keyOf(work))?.count ?? 0;
  }

  /**
   * Share of the pool that other classes take while this class waits: more
   * urgent classes take what they need, less urgent ones at most their
   * guaranteed share. The sum may exceed 1. `start_interval_ms` is the mean time
   * between two calls that this host starts while the pool is fully used.
   */
  competingShare(
    work: WorkClass,
    pool: { start_interval_ms: number; now_ms: number },
  ): number {
    this.#updateRates(pool.now_ms);
    let share = 0;
    for (const entry of this.#entries.values()) {
      const overtakes = isMoreUrgent(entry, work) ||
        overtakesInRank(entry, work);
      if (entry.rank === work.rank && !overtakes) continue;
      const wanted = entry.rate_per_ms * pool.start_interval_ms;
      const max_share = overtakes ? 1 : entry.guaranteed_share;
      share += Math.min(wanted, max_share);
    }
    return share;
  }

  #entry(work: WorkClass): BacklogEntry {
    const key = keyOf(work);
    const known = this.#entries.get(key);
    if (known !== undefined) return known;
    const { rank, priority, over_allowance, guaranteed_share } = work;
    const counts = { count: 0, arrivals: 0, rate_per_ms: 0 };
    const entry = {
      rank,
      priority,
      over_allowance,
      guaranteed_share,
      ...counts,
    };
    this.#entries.set(key, entry);
    return entry;
  }

  #updateRates(now_ms: number): void {
    const elapsed_ms = now_ms - this.#window_start_ms;
    if (elapsed_ms < RATE_WINDOW_MS) return;
    for (const entry of this.#entries.values()) {
      const rate_per_ms = entry.arrivals / elapsed_ms;
      entry.rate_per_ms += (rate_per_ms - entry.rate_per_ms) * RATE_SMOOTHING;
      entry.arrivals = 0;
    }
    this.#window_start_ms = now_ms;
  }
}

function isMoreUrgent(other: WorkClass, work: WorkClass): boolean {
  return other.priority < work.priority;
}

/** Whether `other` is within its allowance and `work`, of the same rank, is not. */
function overtakesInRank(other: WorkClass, work: WorkClass): boolean {
  return other.rank === work.rank && work.over_allowance &&
    !other.over_allowance;
}

function precedesInRank(other: WorkClass, work: WorkClass): boolean {
  return other.rank === work.rank &&
    (work.over_allowance || !other.over_allowance);
}

function keyOf({ rank, over_allowance }: WorkClass): string {
  return `${rank} ${over_allowance}`;
}

/**
 * The work that a pool can expect: admitted requests that have not got their
 * place there, and the rate at which they come, by rank.
 */

/** A kind of work. */
export interface WorkClass {
  /** Identity text of the rank. */
  rank: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Whether it is beyond its organisation's allowance. */
  over_allowance: boolean;
  /** Share of service that the rank keeps, 0 to 1. */
  guaranteed_share: number;
}

interface Entry extends WorkClass {
  count: number;
  arrivals: number;
  rate_per_ms: number;
}

const WINDOW_MS = 500;
const SMOOTHING = 0.5;

/** Counts expected work. */
export class AdmittedBacklog {
  #entries = new Map<string, Entry>();
  #window_ms = 0;

  /** Notes that admitted work will come; undone by `arrived`. */
  expect(work: WorkClass, now_ms: number): void {
    this.#roll(now_ms);
    const entry = this.#entry(work);
    entry.count += 1;
    entry.arrivals += 1;
  }

  /** Notes that expected work got its place, or ended before. */
  arrived(work: WorkClass): void {
    this.#entry(work).count -= 1;
  }

  /** Expected work that goes before new work of this kind. */
  ahead(work: WorkClass): number {
    let ahead = 0;
    for (const entry of this.#entries.values()) {
      if (isMoreUrgent(entry, work) || isBeforeInRank(entry, work)) {
        ahead += entry.count;
      }
    }
    return ahead;
  }

  /** Expected work of the same kind. */
  own(work: WorkClass): number {
    return this.#entries.get(keyOf(work))?.count ?? 0;
  }

  /**
   * Share of the pool, 0 to 1, that other work takes while this kind waits:
   * all that is more urgent, and of less urgent work what it is guaranteed.
   */
  competingShare(
    work: WorkClass,
    pool: { turn_ms: number; now_ms: number },
  ): number {
    this.#roll(pool.now_ms);
    let taken = 0;
    for (const entry of this.#entries.values()) {
      const overtakes = isMoreUrgent(entry, work) || isWithin(entry, work);
      if (entry.rank === work.rank && !overtakes) continue;
      const wanted = entry.rate_per_ms * pool.turn_ms;
      const most = overtakes ? 1 : entry.guaranteed_share;
      taken += Math.min(wanted, most);
    }
    return taken;
  }

  #entry(work: WorkClass): Entry {
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

  #roll(now_ms: number): void {
    const elapsed_ms = now_ms - this.#window_ms;
    if (elapsed_ms < WINDOW_MS) return;
    for (const entry of this.#entries.values()) {
      const rate_per_ms = entry.arrivals / elapsed_ms;
      entry.rate_per_ms += (rate_per_ms - entry.rate_per_ms) * SMOOTHING;
      entry.arrivals = 0;
    }
    this.#window_ms = now_ms;
  }
}

function isMoreUrgent(entry: WorkClass, work: WorkClass): boolean {
  return entry.priority < work.priority;
}

/** Whether it overtakes over_allowance work of its own rank. */
function isWithin(entry: WorkClass, work: WorkClass): boolean {
  return entry.rank === work.rank && work.over_allowance &&
    !entry.over_allowance;
}

function isBeforeInRank(entry: WorkClass, work: WorkClass): boolean {
  return entry.rank === work.rank &&
    (work.over_allowance || !entry.over_allowance);
}

function keyOf({ rank, over_allowance }: WorkClass): string {
  return `${rank} ${over_allowance}`;
}

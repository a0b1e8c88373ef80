/**
 * How long pieces wait at the pools, as the batchers said with their last
 * outcomes. Pure: time comes in. A host asks this before it begins a request,
 * so that one whose later stages have no room is refused before any is made.
 */

/** What a batcher said stops counting after this time, in milliseconds. */
const MAX_REPORT_AGE_MS = 1_000;

/** Whose wait it is. */
export interface WaitKey {
  pool: string;
  shard?: string;
  /** 0 is the most urgent. */
  priority: number;
}

interface ReportedWait {
  wait_ms: number;
  reported_ms: number;
}

/** See the module's comment. */
export class PoolWaits {
  #waits = new Map<string, ReportedWait>();

  /** A batcher tells how long a job of this priority would wait now. */
  record(
    { pool, shard, priority }: WaitKey,
    wait_ms: number,
    now_ms: number,
  ): void {
    this.#waits.set(`${pool}/${shard}/${priority}`, {
      wait_ms,
      reported_ms: now_ms,
    });
  }

  /** The wait to expect, in milliseconds; 0 if nothing was heard of late. */
  expectedMs({ pool, shard, priority }: WaitKey, now_ms: number): number {
    const told = this.#waits.get(`${pool}/${shard}/${priority}`);
    if (told === undefined) return 0;
    return now_ms - told.reported_ms > MAX_REPORT_AGE_MS ? 0 : told.wait_ms;
  }
}

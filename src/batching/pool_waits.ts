/**
 * Queue waits of the pools, as batchers reported them with their last outcomes.
 * A host consults them before it starts a request, so that a request whose
 * later stages would be too late is refused before its first stage runs.
 * Does no I/O and reads no clock: callers pass the time in.
 */

/** Older reports are ignored. */
const MAX_REPORT_AGE_MS = 1_000;

/** The pool, shard and priority that a wait applies to. */
export interface WaitKey {
  pool: string;
  shard?: string;
  /** 0 is the most urgent. */
  priority: number;
}

interface ReportedWait {
  wait_ms: number;
  /** When the batcher reported it, in monotonic milliseconds. */
  told_ms: number;
}

/** Keeps the last wait reported for each pool, shard and priority. */
export class PoolWaits {
  #waits = new Map<string, ReportedWait>();

  /** Records the wait that a batcher reported, in milliseconds. */
  record(
    { pool, shard, priority }: WaitKey,
    wait_ms: number,
    now_ms: number,
  ): void {
    this.#waits.set(`${pool}/${shard}/${priority}`, {
      wait_ms,
      told_ms: now_ms,
    });
  }

  /** The expected wait in milliseconds; 0 without a recent report. */
  expectedMs({ pool, shard, priority }: WaitKey, now_ms: number): number {
    const report = this.#waits.get(`${pool}/${shard}/${priority}`);
    if (report === undefined) return 0;
    return now_ms - report.told_ms > MAX_REPORT_AGE_MS ? 0 : report.wait_ms;
  }
}

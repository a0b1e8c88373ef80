/**
 * How long pieces wait at the pools, as the batchers said with their last
 * outcomes. Pure: time comes in. A host asks this before it begins a request,
 * so that one whose later stages have no room is refused before any is made.
 */

/** What a batcher said stops counting after this time, in milliseconds. */
const FRESH_MS = 1_000;

interface ToldWait {
  wait_ms: number;
  told_ms: number;
}

/** See the module's comment. */
export class PoolWaits {
  #waits = new Map<string, ToldWait>();

  /** A batcher tells how long a job of this priority would wait now. */
  note(
    { pool, priority }: { pool: string; priority: number },
    wait_ms: number,
    now_ms: number,
  ): void {
    this.#waits.set(`${pool}/${priority}`, { wait_ms, told_ms: now_ms });
  }

  /** The wait to expect, in milliseconds; 0 if nothing was heard of late. */
  expect(
    { pool, priority }: { pool: string; priority: number },
    now_ms: number,
  ): number {
    const told = this.#waits.get(`${pool}/${priority}`);
    if (told === undefined) return 0;
    return now_ms - told.told_ms > FRESH_MS ? 0 : told.wait_ms;
  }
}

/**
 * A timeout for responses that doesn't count the time for which the event loop
 * stood still. After such a pause, timers run before responses are read that have
 * arrived meanwhile, so a plain timer takes an answered request for a silent one.
 */

/** Parts in which a timeout is measured. */
const PARTS = 8;
const MIN_PART_MS = 25;
/** A part that is later than this shows that the loop stood still. */
const MAX_DELAY_MS = 25;
/** Parts that are added while the last one was late, so that the wait has an end. */
const MAX_ADDED_PARTS = 4;

/**
 * Calls a function once the event loop has run for this long; the returned
 * function cancels it.
 */
export function startLoopTimeout(
  timeout_ms: number,
  onTimeout: () => void,
): () => void {
  const part_ms = Math.max(MIN_PART_MS, timeout_ms / PARTS);
  let addedParts = 0;
  let left_ms = timeout_ms;
  let timer: NodeJS.Timeout;
  const wait = (wait_ms: number) => {
    const due_ms = performance.now() + wait_ms;
    timer = setTimeout(() => {
      left_ms -= wait_ms;
      if (left_ms > 0) return wait(Math.min(part_ms, left_ms));
      const isLate = performance.now() - due_ms > MAX_DELAY_MS;
      if (!isLate || addedParts >= MAX_ADDED_PARTS) return onTimeout();
      addedParts += 1;
      wait(MIN_PART_MS);
    }, wait_ms);
  };
  wait(Math.min(part_ms, timeout_ms));
  return () => clearTimeout(timer);
}

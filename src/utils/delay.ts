/** Delays for background loops that stop on a signal. */
import { setTimeout as sleep } from "node:timers/promises";

/** Waits; returns early, without an error, when the signal aborts. */
export async function abortableDelay(
  delay_ms: number,
  signal: AbortSignal,
): Promise<void> {
  await sleep(delay_ms, undefined, { signal, ref: false }).catch(() => {});
}

/** Exponential backoff with jitter between failed attempts. */
export class Backoff {
  #failures = 0;

  constructor(
    readonly limits: { initial_ms: number; max_ms: number },
    readonly random: () => number,
  ) {}

  /** Starts again at the initial delay. */
  reset(): void {
    this.#failures = 0;
  }

  /** Returns the next delay; half of it is random. */
  nextDelayMs(): number {
    const { initial_ms, max_ms } = this.limits;
    const full_ms = Math.min(max_ms, initial_ms * 2 ** this.#failures);
    this.#failures += 1;
    return full_ms / 2 + this.random() * full_ms / 2;
  }
}

/** Runs a function for several callers at once. */
import { setTimeout as delay } from "node:timers/promises";

/** Options of {@linkcode SharedRuns}. */
export interface SharedRunsOptions {
  /** Shortest time between the starts of two runs. */
  min_interval_ms: number;
  /** Monotonic time in milliseconds. */
  now: () => number;
}

/**
 * Shares the runs of a function, one at a time, so that each caller gets a run
 * that began after its call.
 */
export class SharedRuns<T> {
  #run: () => Promise<T>;
  #options: SharedRunsOptions;
  #started_ms = -Infinity;
  #current: Promise<unknown> = Promise.resolve();
  #next: Promise<T> | undefined;

  constructor(run: () => Promise<T>, options: SharedRunsOptions) {
    this.#run = run;
    this.#options = options;
  }

  /** Resolves to the result of the next run. */
  next(): Promise<T> {
    this.#next ??= this.#runAfterCurrent();
    return this.#next;
  }

  async #runAfterCurrent(): Promise<T> {
    await this.#current;
    const { min_interval_ms, now } = this.#options;
    const wait_ms = this.#started_ms + min_interval_ms - now();
    if (wait_ms > 0) await delay(wait_ms, undefined, { ref: false });
    this.#started_ms = now();
    this.#next = undefined;
    const running = this.#run();
    this.#current = running.catch(() => {});
    return await running;
  }
}

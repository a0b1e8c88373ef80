/** Options of {@linkcode SpacedAttempts}. */
export interface SpacedAttemptsOptions {
  /** Shortest time between the starts of two attempts. */
  min_interval_ms: number;
  /** Monotonic time in milliseconds. */
  now: () => number;
}

/** Attempts something for all that need it, not too often. */
export class SpacedAttempts {
  #run: () => Promise<void>;
  #options: SpacedAttemptsOptions;
  #started_ms = -Infinity;
  #last: Promise<void> = Promise.resolve();

  /** `run` doesn't reject. */
  constructor(run: () => Promise<void>, options: SpacedAttemptsOptions) {
    this.#run = run;
    this.#options = options;
  }

  /** Resolves with the last attempt, or makes one if that was long enough ago. */
  attempt(): Promise<void> {
    const { min_interval_ms, now } = this.#options;
    if (now() - this.#started_ms >= min_interval_ms) {
      this.#started_ms = now();
      this.#last = this.#run();
    }
    return this.#last;
  }
}

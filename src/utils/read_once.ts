/** Options of {@linkcode ReadOnce}. */
export interface ReadOnceOptions {
  /** Shortest time between the starts of two attempts. */
  min_interval_ms: number;
  /** Monotonic time in milliseconds. */
  now: () => number;
}

/** Reads something that is needed late or never, until that succeeds once. */
export class ReadOnce {
  #read: () => Promise<boolean>;
  #options: ReadOnceOptions;
  #isRead = false;
  #started_ms = -Infinity;
  #running: Promise<void> = Promise.resolve();

  /** `read` resolves to whether it succeeded, and doesn't reject. */
  constructor(read: () => Promise<boolean>, options: ReadOnceOptions) {
    this.#read = read;
    this.#options = options;
  }

  /** Waits for the current attempt, or makes one unless the last was just now. */
  async attempt(): Promise<void> {
    if (this.#isRead) return;
    const { min_interval_ms, now } = this.#options;
    if (now() - this.#started_ms >= min_interval_ms) {
      this.#started_ms = now();
      this.#running = this.#readNow();
    }
    await this.#running;
  }

  async #readNow(): Promise<void> {
    this.#isRead = await this.#read();
  }
}

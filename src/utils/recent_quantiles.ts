/** Quantiles over the most recent samples. */

/** Samples are sorted again after this many additions, not on every query. */
const SORT_INTERVAL_SAMPLES = 16;

/** Computes the mean and quantiles of the last `capacity` samples. */
export class RecentQuantiles {
  #samples: number[] = [];
  #sorted: number[] = [];
  #next = 0;
  #sum = 0;
  #addedSinceSort = 0;

  constructor(readonly capacity: number) {}

  /** Adds a sample; at capacity, it replaces the oldest one. */
  add(sample: number): void {
    this.#sum += sample - (this.#samples[this.#next] ?? 0);
    this.#samples[this.#next] = sample;
    this.#next = (this.#next + 1) % this.capacity;
    this.#addedSinceSort += 1;
  }

  /** Returns the mean of the samples, or undefined before the first one. */
  mean(): number | undefined {
    if (this.#samples.length === 0) return undefined;
    return this.#sum / this.#samples.length;
  }

  /**
   * Returns the sample at `quantile` (0 to 1), or undefined before the first
   * sample. It may lag behind the most recent additions.
   */
  quantile(quantile: number): number | undefined {
    const stale = this.#addedSinceSort >= SORT_INTERVAL_SAMPLES ||
      this.#sorted.length <
        Math.min(this.#samples.length, SORT_INTERVAL_SAMPLES);
    if (stale) {
      this.#sorted = [...this.#samples].sort((a, b) => a - b);
      this.#addedSinceSort = 0;
    }
    return this.#sorted[Math.floor(quantile * (this.#sorted.length - 1))];
  }
}

/** Quantiles over the most recent samples. */

const REFRESH_EVERY = 16;

/** Keeps the last `capacity` samples and answers quantile queries. */
export class RecentQuantiles {
  #samples: number[] = [];
  #sorted: number[] = [];
  #next = 0;
  #sum = 0;
  #sinceRefresh = 0;

  constructor(readonly capacity: number) {}

  /** Adds a sample; the oldest makes room. */
  add(sample: number): void {
    this.#sum += sample - (this.#samples[this.#next] ?? 0);
    this.#samples[this.#next] = sample;
    this.#next = (this.#next + 1) % this.capacity;
    this.#sinceRefresh += 1;
  }

  /** The mean of the samples, or undefined before the first one. */
  mean(): number | undefined {
    if (this.#samples.length === 0) return undefined;
    return this.#sum / this.#samples.length;
  }

  /** The sample at `share` (0 to 1), or undefined before the first sample. */
  quantile(share: number): number | undefined {
    const stale = this.#sinceRefresh >= REFRESH_EVERY ||
      this.#sorted.length < Math.min(this.#samples.length, REFRESH_EVERY);
    if (stale) {
      this.#sorted = [...this.#samples].sort((a, b) => a - b);
      this.#sinceRefresh = 0;
    }
    return this.#sorted[Math.floor(share * (this.#sorted.length - 1))];
  }
}

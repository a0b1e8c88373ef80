/** A token bucket without timers: callers pass the current time. */

/** The refill rate and capacity of a bucket. */
export interface TokenBucketLimits {
  tokens_per_second: number;
  burst_tokens: number;
}

const MS_PER_S = 1_000;

/** Limits a rate, with a bounded burst; starts full. */
export class TokenBucket {
  #limits: TokenBucketLimits;
  #tokens: number;
  #updated_ms: number;

  constructor(limits: TokenBucketLimits, now_ms: number) {
    this.#limits = limits;
    this.#tokens = limits.burst_tokens;
    this.#updated_ms = now_ms;
  }

  /** Changes the limits; tokens above the new capacity are dropped. */
  setLimits(limits: TokenBucketLimits, now_ms: number): void {
    this.#refill(now_ms);
    this.#limits = limits;
    this.#tokens = Math.min(this.#tokens, limits.burst_tokens);
  }

  /** Takes one token; false if none is available. */
  tryTake(now_ms: number): boolean {
    this.#refill(now_ms);
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  #refill(now_ms: number): void {
    const elapsed_ms = Math.max(0, now_ms - this.#updated_ms);
    const refilled = elapsed_ms * this.#limits.tokens_per_second / MS_PER_S;
    this.#tokens = Math.min(this.#limits.burst_tokens, this.#tokens + refilled);
    this.#updated_ms = Math.max(now_ms, this.#updated_ms);
  }
}

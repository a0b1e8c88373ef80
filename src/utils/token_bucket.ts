/** A token bucket without timers: time is passed in. */

/** What limits a bucket. */
export interface TokenBucketLimits {
  tokens_per_second: number;
  burst_tokens: number;
}

const MS_PER_S = 1_000;

/** Grants tokens at a steady rate, with a bounded burst. */
export class TokenBucket {
  #limits: TokenBucketLimits;
  #tokens: number;
  #updated_ms: number;

  constructor(limits: TokenBucketLimits, now_ms: number) {
    this.#limits = limits;
    this.#tokens = limits.burst_tokens;
    this.#updated_ms = now_ms;
  }

  /** Changes the limits and keeps the tokens that still fit. */
  setLimits(limits: TokenBucketLimits, now_ms: number): void {
    this.#refill(now_ms);
    this.#limits = limits;
    this.#tokens = Math.min(this.#tokens, limits.burst_tokens);
  }

  /** Takes one token if there is one. */
  take(now_ms: number): boolean {
    this.#refill(now_ms);
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  #refill(now_ms: number): void {
    const elapsed_ms = Math.max(0, now_ms - this.#updated_ms);
    const gained = elapsed_ms * this.#limits.tokens_per_second / MS_PER_S;
    this.#tokens = Math.min(this.#limits.burst_tokens, this.#tokens + gained);
    this.#updated_ms = Math.max(now_ms, this.#updated_ms);
  }
}

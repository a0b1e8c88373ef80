/**
 * Limits the retries of an entry host to a share of its first calls to a pool
 * with a token bucket, so that retries do not multiply the load of a failing
 * pool.
 */

/** Tokens added by each first call; a retry takes one token. */
export const RETRIES_PER_CALL = 0.1;
/** Retries that are allowed before the first call. */
const INITIAL_TOKENS = 3;
/** Maximum number of retries in a burst. */
const MAX_TOKENS = 20;

/** A token bucket of retries that first calls refill. */
export class RetryBudget {
  #tokens = INITIAL_TOKENS;

  /** Adds the tokens of a first call. */
  recordCall(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + RETRIES_PER_CALL);
  }

  /** Takes one retry from the budget; returns whether it was allowed. */
  tryTake(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

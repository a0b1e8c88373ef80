/**
 * Bounds retries to a share of fresh work, so that a failing pool does not
 * see its load multiplied.
 */

/** Retries allowed for each fresh call. */
export const RETRY_SHARE = 0.1;
const INITIAL_TOKENS = 3;
const MAX_TOKENS = 20;

/** A budget of retries that fresh calls fill. */
export class RetryBudget {
  #tokens = INITIAL_TOKENS;

  /** Notes a fresh call. */
  deposit(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + RETRY_SHARE);
  }

  /** Takes the right to one retry. */
  withdraw(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

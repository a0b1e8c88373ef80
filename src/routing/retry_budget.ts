/**
 * Bounds retries to a share of fresh work, so that a failing pool does not
 * see its load multiplied.
 */

/** Retries allowed for each fresh call. */
export const RETRIES_PER_CALL = 0.1;
const INITIAL_TOKENS = 3;
const MAX_TOKENS = 20;

/** A budget of retries that fresh calls fill. */
export class RetryBudget {
  #tokens = INITIAL_TOKENS;

  /** Notes a fresh call. */
  recordCall(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + RETRIES_PER_CALL);
  }

  /** Takes the right to one retry. */
  tryTake(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

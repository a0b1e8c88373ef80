/** Remembers when requests with a prompt part last got an answer. Pure. */

/** Parts that are remembered; beyond this the longest unanswered are dropped. */
const MAX_PARTS = 8_192;

/** When requests with a prompt part last got an answer. */
export class AnsweredParts {
  #answered_ms = new Map<string, number>();

  /** Records that an endpoint answered a request with these parts. */
  record(parts: readonly string[], now_ms: number): void {
    for (const part of parts) {
      this.#answered_ms.delete(part);
      this.#answered_ms.set(part, now_ms);
    }
    for (const part of this.#answered_ms.keys()) {
      if (this.#answered_ms.size <= MAX_PARTS) return;
      this.#answered_ms.delete(part);
    }
  }

  /** Whether a request with the part got an answer at this time or later. */
  hasAnswerSince(part: string, since_ms: number): boolean {
    return (this.#answered_ms.get(part) ?? -Infinity) >= since_ms;
  }
}

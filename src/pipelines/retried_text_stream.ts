/**
 * Joins the text of an attempt and its retries into one stream. A retry must
 * begin with the text that the caller already has; that part is not sent again.
 */

/** Receives generated text; a returned promise applies backpressure. */
export type SendText = (text: string) => Promise<void> | void;

/** Thrown when a retry generates a text that differs from the one sent. */
export class StreamDiverged extends Error {
  constructor() {
    super("The repeated attempt generated a different text");
    this.name = "StreamDiverged";
  }
}

/** Sends each character of the response once, across attempts. */
export class RetriedTextStream {
  #sentText = "";
  #attemptText = "";
  #send: SendText;

  constructor(send: SendText) {
    this.#send = send;
  }

  /** Starts a new attempt; its text begins at the first character again. */
  startAttempt(): void {
    this.#attemptText = "";
  }

  /** Whether the caller has received any text. */
  get hasSentText(): boolean {
    return this.#sentText !== "";
  }

  /**
   * Adds text of the current attempt. Throws {@linkcode StreamDiverged} if it
   * differs from the text that was already sent.
   */
  push(text: string): Promise<void> | void {
    this.#attemptText += text;
    if (this.#attemptText.length <= this.#sentText.length) {
      if (!this.#sentText.startsWith(this.#attemptText)) {
        throw new StreamDiverged();
      }
      return;
    }
    if (!this.#attemptText.startsWith(this.#sentText)) {
      throw new StreamDiverged();
    }
    const unsent = this.#attemptText.slice(this.#sentText.length);
    this.#sentText = this.#attemptText;
    return this.#send(unsent);
  }
}

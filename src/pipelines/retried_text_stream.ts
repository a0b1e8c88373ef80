/**
 * Joins the text of repeated attempts into one stream. A repeated attempt must
 * begin with the text that the caller already has; that part is not sent again.
 */

/** Receives generated text; its promise holds back the sender. */
export type SendText = (text: string) => Promise<void> | void;

/** Thrown when a repeated attempt generates another text. */
export class StreamDiverged extends Error {
  constructor() {
    super("The repeated attempt generated a different text");
    this.name = "StreamDiverged";
  }
}

/** Sends each character of the answer once, across attempts. */
export class RetriedTextStream {
  #sent = "";
  #attempt = "";
  #send: SendText;

  constructor(send: SendText) {
    this.#send = send;
  }

  /** Begins an attempt. */
  start(): void {
    this.#attempt = "";
  }

  /** Whether the caller has received any text. */
  get begun(): boolean {
    return this.#sent !== "";
  }

  /** Takes text of the present attempt; throws StreamDiverged. */
  push(text: string): Promise<void> | void {
    this.#attempt += text;
    if (this.#attempt.length <= this.#sent.length) {
      if (!this.#sent.startsWith(this.#attempt)) throw new StreamDiverged();
      return;
    }
    if (!this.#attempt.startsWith(this.#sent)) throw new StreamDiverged();
    const fresh = this.#attempt.slice(this.#sent.length);
    this.#sent = this.#attempt;
    return this.#send(fresh);
  }
}

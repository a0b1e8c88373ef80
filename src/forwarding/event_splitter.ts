/**
 * Cuts a stream of server-sent events at event boundaries, so that a stream
 * which breaks inside an event can be resumed after the last whole one.
 */

const BOUNDARY = Buffer.from("\n\n");
const ID_LINE = /^id:[ ]?(.*)$/m;

/** Collects bytes and gives back whole events. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);
  /** Id of the last whole event; undefined before the first. */
  lastEventId: string | undefined;

  /** Adds bytes; returns those up to the last boundary. */
  push(chunk: Buffer): Buffer {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const at = bytes.lastIndexOf(BOUNDARY);
    if (at < 0) {
      this.#rest = bytes;
      return Buffer.alloc(0);
    }
    const end = at + BOUNDARY.length;
    this.#rest = bytes.subarray(end);
    const whole = bytes.subarray(0, end);
    this.#noteId(whole);
    return whole;
  }

  /** Bytes after the last boundary. */
  get rest(): Buffer {
    return this.#rest;
  }

  /** Forgets the piece of an event that a broken stream left. */
  dropRest(): void {
    this.#rest = Buffer.alloc(0);
  }

  #noteId(whole: Buffer): void {
    const text = whole.toString("latin1");
    for (const event of text.split("\n\n")) {
      const id = ID_LINE.exec(event)?.[1];
      if (id !== undefined) this.lastEventId = id.trim();
    }
  }
}

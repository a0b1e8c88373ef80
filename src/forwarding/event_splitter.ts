/**
 * Cuts a stream of server-sent events at event boundaries, so that a stream
 * which breaks inside an event can be resumed after the last whole one.
 */

const EVENT_BOUNDARY = Buffer.from("\n\n");
const EVENT_ID_LINE = /^id:[ ]?(.*)$/m;

/** Collects bytes and gives back whole events. */
export class EventSplitter {
  #incompleteEvent: Buffer = Buffer.alloc(0);
  /** Id of the last whole event; undefined before the first. */
  lastEventId: string | undefined;

  /** Adds bytes; returns those up to the last boundary. */
  push(chunk: Buffer): Buffer {
    const bytes = this.#incompleteEvent.length === 0
      ? chunk
      : Buffer.concat([this.#incompleteEvent, chunk]);
    const boundary = bytes.lastIndexOf(EVENT_BOUNDARY);
    if (boundary < 0) {
      this.#incompleteEvent = bytes;
      return Buffer.alloc(0);
    }
    const end = boundary + EVENT_BOUNDARY.length;
    this.#incompleteEvent = bytes.subarray(end);
    const wholeEvents = bytes.subarray(0, end);
    this.#recordLastEventId(wholeEvents);
    return wholeEvents;
  }

  /** Bytes after the last boundary. */
  get incompleteEvent(): Buffer {
    return this.#incompleteEvent;
  }

  /** Forgets the piece of an event that a broken stream left. */
  discardIncompleteEvent(): void {
    this.#incompleteEvent = Buffer.alloc(0);
  }

  #recordLastEventId(wholeEvents: Buffer): void {
    const text = wholeEvents.toString("latin1");
    for (const event of text.split("\n\n")) {
      const id = EVENT_ID_LINE.exec(event)?.[1];
      if (id !== undefined) this.lastEventId = id.trim();
    }
  }
}

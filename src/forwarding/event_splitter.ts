/**
 * Splits a stream of server-sent events at event boundaries, so that a stream
 * that breaks inside an event can be resumed after the last complete event.
 */

/** Empty lines, which end an event, by the kind of line end. */
const EVENT_BOUNDARIES = ["\n\n", "\r\n\r\n", "\r\r"].map((text) =>
  Buffer.from(text)
);
const EVENT_BOUNDARY_PATTERN = /\n\n|\r\n\r\n|\r\r/;
const EVENT_ID_LINE = /^id:[ ]?(.*)$/m;
const LINE_ENDS: ReadonlySet<number> = new Set(Buffer.from("\r\n"));

/** Largest event, since an incomplete event is kept in memory: 1 MiB. */
const MAX_EVENT_BYTES = 1_048_576;

/** Buffers bytes and returns complete events. */
export class EventSplitter {
  #incompleteEvent: Buffer = Buffer.alloc(0);
  /** Id of the last complete event that has one; undefined before the first. */
  lastEventId: string | undefined;
  /** Number of complete events. */
  eventCount = 0;

  /** Adds bytes; returns all complete events, empty if there is none. */
  push(chunk: Buffer): Buffer {
    const bytes = this.#incompleteEvent.length === 0
      ? chunk
      : Buffer.concat([this.#incompleteEvent, chunk]);
    const end = endOfLastEvent(bytes);
    if (end === 0) {
      this.#incompleteEvent = bytes;
      return Buffer.alloc(0);
    }
    this.#incompleteEvent = bytes.subarray(end);
    const completeEvents = bytes.subarray(0, end);
    this.#recordEvents(completeEvents);
    return completeEvents;
  }

  /** Bytes of the event that is not complete yet. */
  get incompleteEvent(): Buffer {
    return this.#incompleteEvent;
  }

  /** Whether the bytes so far end within an event. */
  get endsInsideEvent(): boolean {
    return this.#incompleteEvent.some((byte) => !LINE_ENDS.has(byte));
  }

  /** Whether the incomplete event is too large; the stream must then end. */
  get overflowed(): boolean {
    return this.#incompleteEvent.length > MAX_EVENT_BYTES;
  }

  #recordEvents(completeEvents: Buffer): void {
    // One character for each byte: an id is copied to a header as bytes.
    const text = completeEvents.toString("latin1");
    const events = text.split(EVENT_BOUNDARY_PATTERN);
    this.eventCount += events.length - 1;
    for (const event of events) {
      const id = EVENT_ID_LINE.exec(event)?.[1];
      if (id !== undefined) this.lastEventId = id.trim();
    }
  }
}

/** Length of the bytes up to the end of the last event; 0 without one. */
function endOfLastEvent(bytes: Buffer): number {
  const ends = EVENT_BOUNDARIES.map((boundary) => {
    const start = bytes.lastIndexOf(boundary);
    return start < 0 ? 0 : start + boundary.length;
  });
  return Math.max(...ends);
}

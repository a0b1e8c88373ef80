/**
 * Splits a stream of server-sent events at event boundaries, so that a stream
 * that breaks inside an event can be resumed after the last complete event.
 */
import { RecordSplitter } from "../bodies/record_splitter.ts";

/** Empty lines, which end an event, by the kind of line end. */
const EVENT_BOUNDARIES = ["\n\n", "\r\n\r\n", "\r\r"];
const EVENT_BOUNDARY_PATTERN = /\n\n|\r\n\r\n|\r\r/;
const EVENT_ID_LINE = /^id:[ ]?(.*)$/m;
/** A line that is not a comment. */
const FIELD_LINE = /^[^:\r\n]/m;
/** An id that has an order; longer ones are only compared for equality. */
const NUMERIC_ID_PATTERN = /^\d{1,18}$/;
const LINE_ENDS: ReadonlySet<number> = new Set(Buffer.from("\r\n"));

/** Largest event, since an incomplete event is kept in memory: 1 MiB. */
const MAX_EVENT_BYTES = 1_048_576;

/** A complete event; a block of comments has no fields. */
interface ParsedEvent {
  id: string | undefined;
  hasFields: boolean;
}

/** Buffers bytes and returns complete events. */
export class EventSplitter {
  #splitter = new RecordSplitter(EVENT_BOUNDARIES);
  #continuesAfter: string | undefined;
  /** Id of the last complete event that has one; undefined before the first. */
  lastEventId: string | undefined;
  /** Number of complete events. */
  eventCount = 0;
  /** Whether the last event has an id, so that the stream can be resumed. */
  positionKnown = true;
  /** Whether an event didn't follow the one before; the stream must then end. */
  outOfOrder = false;

  /**
   * With the id of an earlier event, the stream must go on after it: its first
   * event has an id, and each id is higher than the one before.
   */
  constructor(continuesAfter?: string) {
    this.lastEventId = continuesAfter;
    this.#continuesAfter = continuesAfter;
  }

  /**
   * Adds bytes; returns all complete events, empty if there is none or if they
   * are out of order.
   */
  push(chunk: Buffer): Buffer {
    const completeEvents = this.#splitter.push(chunk);
    if (completeEvents.length === 0) return completeEvents;
    const events = parseEvents(completeEvents);
    if (!this.#areInOrder(events)) {
      this.outOfOrder = true;
      return Buffer.alloc(0);
    }
    for (const event of events) this.#recordEvent(event);
    return completeEvents;
  }

  /** Bytes of the event that is not complete yet. */
  get incompleteEvent(): Buffer {
    return this.#splitter.incomplete;
  }

  /** Bytes of memory that the incomplete event takes. */
  get heldBytes(): number {
    return this.#splitter.capacity;
  }

  /** Whether the bytes so far end within an event. */
  get endsInsideEvent(): boolean {
    return this.incompleteEvent.some((byte) => !LINE_ENDS.has(byte));
  }

  /** Whether the incomplete event is too large; the stream must then end. */
  get overflowed(): boolean {
    return this.incompleteEvent.length > MAX_EVENT_BYTES;
  }

  #areInOrder(events: ParsedEvent[]): boolean {
    if (this.#continuesAfter === undefined) return true;
    let previous = this.lastEventId;
    for (const { id, hasFields } of events) {
      const isFirst = previous === this.#continuesAfter;
      if (id === undefined && hasFields && isFirst) return false;
      if (id !== undefined && !follows(id, previous)) return false;
      previous = id ?? previous;
    }
    return true;
  }

  #recordEvent({ id, hasFields }: ParsedEvent): void {
    this.eventCount += 1;
    if (hasFields) this.positionKnown = id !== undefined;
    this.lastEventId = id ?? this.lastEventId;
  }
}

function parseEvents(completeEvents: Buffer): ParsedEvent[] {
  // One character for each byte: an id is copied to a header as bytes.
  const texts = completeEvents.toString("latin1").split(EVENT_BOUNDARY_PATTERN);
  return texts.slice(0, -1).map((text) => ({
    id: EVENT_ID_LINE.exec(text)?.[1]?.trim(),
    hasFields: FIELD_LINE.test(text),
  }));
}

function follows(id: string, previous: string | undefined): boolean {
  if (previous === undefined) return true;
  const isOrdered = [id, previous].every((each) =>
    NUMERIC_ID_PATTERN.test(each)
  );
  return isOrdered ? BigInt(id) > BigInt(previous) : id !== previous;
}

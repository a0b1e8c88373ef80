/** Relays an endpoint's response to the caller without changing its body. */
import type { ServerResponse } from "node:http";
import {
  discardResponse,
  type EndpointResponse,
  isComplete,
  isFramed,
  type RawHeaders,
  readFullBody,
} from "../endpoints/exchange.ts";
import { PacedBody } from "../bodies/chunk_pacer.ts";
import { type BodyLimits, BytesReadKind } from "../bodies/read_bytes.ts";
import { EventSplitter } from "./event_splitter.ts";

/** A complete response of an endpoint, held in memory. */
export interface BufferedResponse {
  status: number;
  status_text: string;
  headers: RawHeaders;
  body: Buffer;
}

/** How a relay ended. */
export interface RelayResult {
  /** Whether the endpoint's response was complete. */
  complete: boolean;
  /** Whether the response was sent to the caller. */
  delivered: boolean;
  /**
   * The response, if it was withheld from the caller; it is sent if no other
   * endpoint gives a better one.
   */
  buffered?: BufferedResponse;
  /**
   * Arrival of the first bytes of a stream, in milliseconds of the monotonic
   * clock.
   */
  first_byte_ms?: number;
  /** Id of the last complete event of a resumable stream. */
  last_event_id?: string;
  /** Number of complete events of a stream. */
  event_count?: number;
  /** Arrival of the last of them, in milliseconds of the monotonic clock. */
  last_event_ms?: number;
  /** Why the response was broken off by this host; undefined if it wasn't. */
  cut_reason?: ResponseCutReason;
  /** Whether a stream can go on after `last_event_id`. */
  position_known?: boolean;
}

/** Why this host breaks a response off. The values appear in the logs. */
export enum ResponseCutReason {
  /** It is larger than this host keeps of one response. */
  TooLarge = "response_too_large",
  /** Responses took too much of this host's memory, and it was the largest. */
  Dropped = "response_dropped",
  EventTooLarge = "event_too_large",
  OutOfOrder = "events_out_of_order",
}

/** How a response is relayed. */
export interface ResponseRelayOptions {
  /** Headers of the response to the caller. */
  headers: RawHeaders;
  /** Whether the caller's connection closes after the response. */
  closeConnection: boolean;
  /** Limits of all responses that this host holds. */
  limits: BodyLimits;
}

const CUT_REASONS = {
  [BytesReadKind.TooLarge]: ResponseCutReason.TooLarge,
  [BytesReadKind.Dropped]: ResponseCutReason.Dropped,
  [BytesReadKind.BrokenOff]: undefined,
};

/**
 * Relays a response that is not a stream once it is complete. With `withhold`
 * it is only buffered, so that another endpoint can be tried first.
 */
export async function relayBuffered(
  callerResponse: ServerResponse,
  endpointResponse: EndpointResponse,
  options: ResponseRelayOptions & {
    withhold: boolean;
    /** Breaks off a response that the caller has not read yet. */
    cut: (reason: ResponseCutReason) => void;
  },
): Promise<RelayResult> {
  const { limits, cut } = options;
  const read = await readFullBody(endpointResponse, { limits });
  if (read.kind !== BytesReadKind.Complete) {
    return {
      complete: false,
      delivered: false,
      cut_reason: CUT_REASONS[read.kind],
    };
  }
  const { bytes: body, held } = read;
  held?.keep(() => cut(ResponseCutReason.Dropped));
  if (callerResponse.closed) held?.release();
  else callerResponse.once("close", () => held?.release());
  const { status, status_text } = endpointResponse;
  const bufferedResponse = {
    status,
    status_text,
    headers: options.headers,
    body,
  };
  if (options.withhold) {
    return { complete: true, delivered: false, buffered: bufferedResponse };
  }
  sendBufferedResponse(
    callerResponse,
    bufferedResponse,
    options.closeConnection,
  );
  return { complete: true, delivered: true };
}

/** Sends an endpoint's buffered response to the caller. */
export function sendBufferedResponse(
  callerResponse: ServerResponse,
  { status, status_text, headers, body }: BufferedResponse,
  closeConnection: boolean,
): void {
  if (callerResponse.destroyed) return;
  const responseHeaders = [...headers, "Content-Length", String(body.length)];
  if (closeConnection) responseHeaders.push("Connection", "close");
  callerResponse.sendDate = false;
  callerResponse.writeHead(status, status_text, responseHeaders);
  callerResponse.end(body);
}

/**
 * Relays a stream as it arrives, a resumable stream only in complete events.
 * Nothing is sent before the first bytes arrive. If the stream breaks, the
 * caller's response stays open: the code that awaits this function must resume
 * or destroy it.
 */
export function relayStream(
  callerResponse: ServerResponse,
  endpointResponse: EndpointResponse,
  options: ResponseRelayOptions & {
    resumable: boolean;
    /** Id of the event that it must follow; undefined if it may begin anew. */
    continues_after: string | undefined;
    onFirstBytes: () => void;
    onFirstEvent: () => void;
  },
): Promise<RelayResult> {
  return new Promise((resolve, reject) => {
    const rejectIfThrown = (handle: () => void) => {
      try {
        handle();
      } catch (error) {
        discardResponse(endpointResponse);
        reject(error as Error);
      }
    };
    const splitter = new EventSplitter(options.continues_after);
    let first_byte_ms: number | undefined;
    let last_event_ms: number | undefined;
    let finished = false;
    const finish = (complete: boolean, cut_reason?: ResponseCutReason) => {
      if (finished) return;
      finished = true;
      held.release();
      const progress = {
        first_byte_ms,
        last_event_id: options.resumable ? splitter.lastEventId : undefined,
        event_count: splitter.eventCount,
        last_event_ms,
        position_known: splitter.positionKnown,
        cut_reason,
      };
      if (!complete || callerResponse.destroyed) {
        discardResponse(endpointResponse);
        return resolve({ complete: false, delivered: false, ...progress });
      }
      writeHeadOnce(callerResponse, endpointResponse, options);
      const unsent = options.resumable ? splitter.incompleteEvent : undefined;
      callerResponse.end(unsent);
      resolve({ complete, delivered: true, ...progress });
    };
    const held = options.limits.memory.hold(() =>
      finish(false, ResponseCutReason.Dropped)
    );
    const relayChunk = (chunk: Buffer) => {
      if (finished) return;
      if (first_byte_ms === undefined) {
        first_byte_ms = performance.now();
        options.onFirstBytes();
      }
      const eventsBefore = splitter.eventCount;
      const completeEvents = splitter.push(chunk);
      paced.charge(splitter.eventCount - eventsBefore);
      if (splitter.eventCount > eventsBefore) last_event_ms = performance.now();
      const isFirst = eventsBefore === 0;
      if (isFirst && splitter.eventCount > 0) options.onFirstEvent();
      if (splitter.outOfOrder) {
        return finish(false, ResponseCutReason.OutOfOrder);
      }
      if (splitter.overflowed) {
        return finish(false, ResponseCutReason.EventTooLarge);
      }
      held.resize(splitter.heldBytes);
      if (finished) return;
      const bytes = options.resumable ? completeEvents : chunk;
      if (bytes.length === 0 || callerResponse.destroyed) return;
      writeHeadOnce(callerResponse, endpointResponse, options);
      if (callerResponse.write(bytes)) return;
      endpointResponse.body.pause();
      callerResponse.once("drain", () => endpointResponse.body.resume());
    };
    const paced = new PacedBody(
      endpointResponse.body,
      options.limits.pacer,
      (bytes) => rejectIfThrown(() => relayChunk(bytes)),
    );
    endpointResponse.body.on(
      "end",
      () =>
        rejectIfThrown(() => finish(isWholeStream(endpointResponse, splitter))),
    );
    endpointResponse.body.on("error", () => finish(false));
    endpointResponse.body.on("close", () => finish(false));
    callerResponse.once("close", () => finish(false));
  });
}

/**
 * Whether a stream that has ended is whole. Without a length or chunks, its end
 * alone doesn't tell, so it must have an event.
 */
function isWholeStream(
  response: EndpointResponse,
  { endsInsideEvent, eventCount }: EventSplitter,
): boolean {
  return isComplete(response) && !endsInsideEvent &&
    (isFramed(response) || eventCount > 0);
}

function writeHeadOnce(
  callerResponse: ServerResponse,
  endpointResponse: EndpointResponse,
  { headers, closeConnection }: ResponseRelayOptions,
): void {
  if (callerResponse.headersSent) return;
  const responseHeaders = headers.slice();
  if (closeConnection) responseHeaders.push("Connection", "close");
  callerResponse.sendDate = false;
  callerResponse.writeHead(
    endpointResponse.status,
    endpointResponse.status_text,
    responseHeaders,
  );
}

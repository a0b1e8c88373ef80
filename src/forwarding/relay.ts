/** Takes an endpoint's answer to the caller, byte for byte. */
import type { ServerResponse } from "node:http";
import {
  discardResponse,
  type EndpointResponse,
  isComplete,
  type RawHeaders,
  readFullBody,
} from "../endpoints/exchange.ts";
import { EventSplitter } from "./event_splitter.ts";

/** A whole answer, kept for the case that no other endpoint gives a better. */
export interface BufferedResponse {
  status: number;
  status_text: string;
  headers: RawHeaders;
  body: Buffer;
}

/** How a relay ended. */
export interface RelayResult {
  /** Whether the endpoint's answer was whole. */
  complete: boolean;
  /** Whether the caller was given it. */
  delivered: boolean;
  /** The answer, if it was held back. */
  buffered?: BufferedResponse;
  /** When the first bytes of a stream came, on the steady clock. */
  first_ms?: number;
  /** Id of the last event that the caller has. */
  last_event_id?: string;
}

/** How an answer is passed on. */
export interface RelayOptions {
  headers: RawHeaders;
  /** Whether the caller's connection closes after it. */
  closeConnection: boolean;
}

/** Longest answer that is held in memory. */
const MAX_BUFFERED_RESPONSE_BYTES = 16_777_216;

/**
 * Passes on an answer that is not a stream, once it is whole. With `hold` it is
 * only read, so that another endpoint can be asked first.
 */
export async function relayBuffered(
  callerResponse: ServerResponse,
  endpointResponse: EndpointResponse,
  options: RelayOptions & { withhold: boolean },
): Promise<RelayResult> {
  const body = await readFullBody(
    endpointResponse,
    MAX_BUFFERED_RESPONSE_BYTES,
  );
  if (body === undefined) return { complete: false, delivered: false };
  const { status, status_text } = endpointResponse;
  const held = { status, status_text, headers: options.headers, body };
  if (options.withhold) {
    return { complete: true, delivered: false, buffered: held };
  }
  sendBufferedResponse(callerResponse, held, options.closeConnection);
  return { complete: true, delivered: true };
}

/** Answers with an endpoint's whole answer. */
export function sendBufferedResponse(
  callerResponse: ServerResponse,
  { status, status_text, headers, body }: BufferedResponse,
  close: boolean,
): void {
  if (callerResponse.destroyed) return;
  const sent = [...headers, "Content-Length", String(body.length)];
  if (close) sent.push("Connection", "close");
  callerResponse.sendDate = false;
  callerResponse.writeHead(status, status_text, sent);
  callerResponse.end(body);
}

/**
 * Passes on a stream as it arrives. A stream that may be resumed is passed on
 * in whole events. Nothing is sent before the first bytes are there. A broken
 * stream is left open: the caller of this function resumes or destroys it.
 */
export function relayStream(
  callerResponse: ServerResponse,
  endpointResponse: EndpointResponse,
  options: RelayOptions & { resumable: boolean; onFirstBytes: () => void },
): Promise<RelayResult> {
  return new Promise((resolve) => {
    const splitter = options.resumable ? new EventSplitter() : undefined;
    let first_ms: number | undefined;
    let finished = false;
    const finish = (whole: boolean) => {
      if (finished) return;
      finished = true;
      const last_event_id = splitter?.lastEventId;
      if (!whole || callerResponse.destroyed) {
        discardResponse(endpointResponse);
        return resolve({
          complete: false,
          delivered: false,
          first_ms,
          last_event_id,
        });
      }
      writeHeadOnce(callerResponse, endpointResponse, options);
      callerResponse.end(splitter?.incompleteEvent);
      resolve({ complete: whole, delivered: true, first_ms, last_event_id });
    };
    endpointResponse.body.on("data", (chunk: Buffer) => {
      if (first_ms === undefined) {
        first_ms = performance.now();
        options.onFirstBytes();
      }
      const bytes = splitter === undefined ? chunk : splitter.push(chunk);
      if (bytes.length === 0 || callerResponse.destroyed) return;
      writeHeadOnce(callerResponse, endpointResponse, options);
      if (callerResponse.write(bytes)) return;
      endpointResponse.body.pause();
      callerResponse.once("drain", () => endpointResponse.body.resume());
    });
    endpointResponse.body.on("end", () => finish(isComplete(endpointResponse)));
    endpointResponse.body.on("error", () => finish(false));
    endpointResponse.body.on("close", () => finish(false));
    callerResponse.once("close", () => finish(false));
  });
}

function writeHeadOnce(
  callerResponse: ServerResponse,
  endpointResponse: EndpointResponse,
  { headers, closeConnection: close }: RelayOptions,
): void {
  if (callerResponse.headersSent) return;
  const sent = headers.slice();
  if (close) sent.push("Connection", "close");
  callerResponse.sendDate = false;
  callerResponse.writeHead(
    endpointResponse.status,
    endpointResponse.status_text,
    sent,
  );
}

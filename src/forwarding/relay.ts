/** Takes an endpoint's answer to the caller, byte for byte. */
import type { ServerResponse } from "node:http";
import {
  dropAnswer,
  type EndpointAnswer,
  isWhole,
  type RawHeaders,
  readWhole,
} from "../endpoints/exchange.ts";
import { EventSplitter } from "./event_splitter.ts";

/** A whole answer, kept for the case that no other endpoint gives a better. */
export interface HeldAnswer {
  status: number;
  status_text: string;
  headers: RawHeaders;
  body: Buffer;
}

/** How a relay ended. */
export interface RelayEnd {
  /** Whether the endpoint's answer was whole. */
  whole: boolean;
  /** Whether the caller was given it. */
  delivered: boolean;
  /** The answer, if it was held back. */
  held?: HeldAnswer;
  /** When the first bytes of a stream came, on the steady clock. */
  first_ms?: number;
  /** Id of the last event that the caller has. */
  last_event_id?: string;
}

/** How an answer is passed on. */
export interface RelayOptions {
  headers: RawHeaders;
  /** Whether the caller's connection closes after it. */
  close: boolean;
}

/** Longest answer that is held in memory. */
const WHOLE_LIMIT_BYTES = 16_777_216;

/**
 * Passes on an answer that is not a stream, once it is whole. With `hold` it is
 * only read, so that another endpoint can be asked first.
 */
export async function relayWhole(
  response: ServerResponse,
  answer: EndpointAnswer,
  options: RelayOptions & { hold: boolean },
): Promise<RelayEnd> {
  const body = await readWhole(answer, WHOLE_LIMIT_BYTES);
  if (body === undefined) return { whole: false, delivered: false };
  const { status, status_text } = answer;
  const held = { status, status_text, headers: options.headers, body };
  if (options.hold) return { whole: true, delivered: false, held };
  answerWhole(response, held, options.close);
  return { whole: true, delivered: true };
}

/** Answers with an endpoint's whole answer. */
export function answerWhole(
  response: ServerResponse,
  { status, status_text, headers, body }: HeldAnswer,
  close: boolean,
): void {
  if (response.destroyed) return;
  const sent = [...headers, "Content-Length", String(body.length)];
  if (close) sent.push("Connection", "close");
  response.sendDate = false;
  response.writeHead(status, status_text, sent);
  response.end(body);
}

/**
 * Passes on a stream as it arrives. A stream that may be resumed is passed on
 * in whole events. Nothing is sent before the first bytes are there. A broken
 * stream is left open: the caller of this function resumes or destroys it.
 */
export function relayStream(
  response: ServerResponse,
  answer: EndpointAnswer,
  options: RelayOptions & { resumable: boolean; onFirst: () => void },
): Promise<RelayEnd> {
  return new Promise((resolve) => {
    const splitter = options.resumable ? new EventSplitter() : undefined;
    let first_ms: number | undefined;
    let over = false;
    const finish = (whole: boolean) => {
      if (over) return;
      over = true;
      const last_event_id = splitter?.lastEventId;
      if (!whole || response.destroyed) {
        dropAnswer(answer);
        return resolve({
          whole: false,
          delivered: false,
          first_ms,
          last_event_id,
        });
      }
      begin(response, answer, options);
      response.end(splitter?.rest);
      resolve({ whole, delivered: true, first_ms, last_event_id });
    };
    answer.body.on("data", (chunk: Buffer) => {
      if (first_ms === undefined) {
        first_ms = performance.now();
        options.onFirst();
      }
      const bytes = splitter === undefined ? chunk : splitter.push(chunk);
      if (bytes.length === 0 || response.destroyed) return;
      begin(response, answer, options);
      if (response.write(bytes)) return;
      answer.body.pause();
      response.once("drain", () => answer.body.resume());
    });
    answer.body.on("end", () => finish(isWhole(answer)));
    answer.body.on("error", () => finish(false));
    answer.body.on("close", () => finish(false));
    response.once("close", () => finish(false));
  });
}

function begin(
  response: ServerResponse,
  answer: EndpointAnswer,
  { headers, close }: RelayOptions,
): void {
  if (response.headersSent) return;
  const sent = headers.slice();
  if (close) sent.push("Connection", "close");
  response.sendDate = false;
  response.writeHead(answer.status, answer.status_text, sent);
}

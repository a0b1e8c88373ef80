/**
 * One HTTP exchange with an endpoint, with raw headers and bodies. The result
 * tells apart requests that were not sent, requests with a response, and
 * requests that may have run although their response was lost.
 */
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import {
  type BytesRead,
  BytesReadKind,
  readBytes,
  type ReadBytesOptions,
} from "../bodies/read_bytes.ts";
import { ENDPOINT_UNAVAILABLE } from "./endpoint_agents.ts";
import { parseAddress } from "../settings/settings.ts";
import type { StrictKeepAliveAgent } from "./strict_keep_alive_agent.ts";

/** Alternating header names and values, as in `IncomingMessage.rawHeaders`. */
export type RawHeaders = string[];

/** An HTTP request to an endpoint. */
export interface EndpointRequest {
  /** `ip:port`. */
  address: string;
  agent: StrictKeepAliveAgent;
  method: string;
  /** Path and query. */
  target: string;
  headers: RawHeaders;
  body: Buffer | undefined;
  /** Its abort closes the connection, and the endpoint then cancels the work. */
  signal: AbortSignal;
  /** Id that the response must echo; undefined if it names no attempt. */
  attempt_id?: string | undefined;
  /**
   * Asked again when the request gets its connection; false to fail it with
   * `ENDPOINT_UNAVAILABLE` instead.
   */
  mayBegin?: () => boolean;
  /** Called with informational responses (1xx) to the request. */
  onInformation?: () => void;
  /** Longest time for opening a connection, in milliseconds; 400 by default. */
  connect_timeout_ms?: number;
  /** Largest head section of the response; Node's own limit by default. */
  max_header_bytes?: number;
}

/** The result of an exchange; `reason` is an error code or message. */
export type ExchangeResult =
  /** No connection was made: the request has not run. */
  | {
    kind: ExchangeOutcome.NotSent;
    reason: string;
    /** Whether this host could not form the request; not the endpoint's fault. */
    malformed?: boolean;
    /** Whether the way to the endpoint failed, rather than the endpoint. */
    way_failed?: boolean;
  }
  /** The connection failed before a response: the request may have run. */
  | {
    kind: ExchangeOutcome.ResponseLost;
    reason: string;
    /** Whether the way to the endpoint failed, rather than the endpoint. */
    way_failed?: boolean;
  }
  | { kind: ExchangeOutcome.ResponseReceived; response: EndpointResponse };

/** The kinds of {@linkcode ExchangeResult}. */
export enum ExchangeOutcome {
  NotSent = "not_sent",
  ResponseLost = "lost",
  ResponseReceived = "answered",
}

/** Status and headers of a response whose body has not been read yet. */
export interface EndpointResponse {
  status: number;
  status_text: string;
  headers: RawHeaders;
  body: IncomingMessage;
  /** Kept here because `body.socket` is reset when the body ends. */
  socket: Socket;
  /** Whether no earlier response came on its connection. */
  first_on_connection: boolean;
  /** Whether the whole request has been handed to the system by now. */
  isRequestWritten: () => boolean;
  /** Address of the host through which it came; undefined if directly. */
  carrier?: string;
}

/** Reason of a request that was aborted while it waited for a connection. */
export const NO_CONNECTION = "no_connection";

/** Timeout for opening a connection. */
const CONNECT_TIMEOUT_MS = 400;
/** Lower ones are informational: a response with another status follows. */
const MIN_FINAL_STATUS = 200;
const FRAMING_HEADERS = ["content-length", "transfer-encoding"];
/** Final statuses whose responses have no body (RFC 9110, section 6.4.1). */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);
const INVALID_STATUS_TEXT = /[^\t\x20-\x7e\x80-\xff]/;

/**
 * Sends a request and resolves with the head of its response; never rejects.
 */
export function sendRequest(
  endpointRequest: EndpointRequest,
): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    if (endpointRequest.signal.aborted) {
      resolve({ kind: ExchangeOutcome.NotSent, reason: "cancelled" });
      return;
    }
    let connected = false;
    let clientRequest: ClientRequest;
    try {
      clientRequest = createRequest(endpointRequest);
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      resolve({
        kind: ExchangeOutcome.NotSent,
        reason: code ?? message,
        malformed: true,
      });
      return;
    }
    const resolveFailure = (reason: string) =>
      resolve({
        kind: connected
          ? ExchangeOutcome.ResponseLost
          : ExchangeOutcome.NotSent,
        reason,
      });
    const stopIfLate = () => {
      if (endpointRequest.mayBegin?.() !== false) return;
      resolveFailure(ENDPOINT_UNAVAILABLE);
      clientRequest.destroy(new Error(ENDPOINT_UNAVAILABLE));
    };
    // Before Node's own listeners, which write the request.
    clientRequest.prependListener("socket", (socket) => {
      stopIfLate();
      if (socket.connecting) socket.prependOnceListener("connect", stopIfLate);
    });
    let waits = true;
    // Node tells of the abort only when a connection is free.
    endpointRequest.signal.addEventListener("abort", () => {
      if (waits) resolveFailure(NO_CONNECTION);
    }, { once: true });
    clientRequest.on("socket", (socket) => {
      waits = false;
      if (!socket.connecting) {
        connected = true;
        return;
      }
      const timer = setTimeout(
        () => clientRequest.destroy(new Error("connect_timeout")),
        endpointRequest.connect_timeout_ms ?? CONNECT_TIMEOUT_MS,
      );
      socket.once("close", () => clearTimeout(timer));
      socket.once("connect", () => {
        clearTimeout(timer);
        connected = true;
        socket.setNoDelay(true);
      });
    });
    clientRequest.on(
      "error",
      (error: NodeJS.ErrnoException) =>
        resolveFailure(error.code ?? error.message),
    );
    // Neither an error nor a response follows a switch of protocols.
    clientRequest.on("close", () => resolveFailure("closed"));
    clientRequest.on("information", () => endpointRequest.onInformation?.());
    clientRequest.on("response", (message) => {
      if (!hasRelayableHead(message)) {
        message.on("error", () => {});
        message.destroy();
        return resolveFailure("malformed_head");
      }
      resolve({
        kind: ExchangeOutcome.ResponseReceived,
        response: {
          status: message.statusCode ?? 0,
          status_text: message.statusMessage ?? "",
          headers: message.rawHeaders,
          body: message,
          socket: message.socket,
          first_on_connection: endpointRequest.agent.recordResponse(
            message.socket,
          ),
          isRequestWritten: () => clientRequest.writableFinished,
        },
      });
    });
    clientRequest.end(endpointRequest.body);
  });
}

function createRequest(endpointRequest: EndpointRequest): ClientRequest {
  const { ip, port } = parseAddress(endpointRequest.address);
  return request({
    agent: endpointRequest.agent,
    host: ip,
    port,
    method: endpointRequest.method,
    path: endpointRequest.target,
    headers: endpointRequest.headers,
    signal: endpointRequest.signal,
    maxHeaderSize: endpointRequest.max_header_bytes,
  });
}

/** Whether a response's status can be written to a caller; Node may throw. */
function hasRelayableHead(
  { statusCode = 0, statusMessage = "" }: IncomingMessage,
): boolean {
  return statusCode >= MIN_FINAL_STATUS &&
    !INVALID_STATUS_TEXT.test(statusMessage);
}

/**
 * Reads the body of a response. A truncated one counts as broken off; the
 * connection of one that is not complete is closed.
 */
export async function readFullBody(
  response: EndpointResponse,
  options: ReadBytesOptions,
): Promise<BytesRead> {
  const read = await readBytes(response.body, options);
  if (read.kind !== BytesReadKind.Complete) {
    discardResponse(response);
    return read;
  }
  if (isComplete(response)) return read;
  read.held?.release();
  return { kind: BytesReadKind.BrokenOff };
}

/**
 * Whether a response that has ended is complete. A response without a length or
 * chunks ends when its connection closes; Node reports it as complete even if the
 * connection was reset, so the socket's error is checked as well. If it ends
 * before the request has been written, the endpoint gave up both: the reset may
 * come later than the end.
 */
export function isComplete(response: EndpointResponse): boolean {
  const { status, body, socket, isRequestWritten } = response;
  const hasKnownEnd = STATUSES_WITHOUT_BODY.has(status) || isFramed(response);
  return body.complete && socket.errored === null &&
    (hasKnownEnd || isRequestWritten());
}

/** Whether a response has a length or chunks, so that its end is told. */
export function isFramed({ headers }: EndpointResponse): boolean {
  return FRAMING_HEADERS.some((name) =>
    headerValue(headers, name) !== undefined
  );
}

/** Discards a response and closes its connection. */
export function discardResponse(response: EndpointResponse): void {
  response.body.on("error", () => {});
  response.body.destroy();
}

/** The first value of a header; `name` must be in lower case. */
export function headerValue(
  headers: RawHeaders,
  name: string,
): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === name) return headers[index + 1];
  }
  return undefined;
}

/** All values of a header; `name` must be in lower case. */
export function headerValues(headers: RawHeaders, name: string): string[] {
  return headers.filter((_, index) =>
    index % 2 === 1 && headers[index - 1]?.toLowerCase() === name
  );
}

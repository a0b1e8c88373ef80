/**
 * One exchange with an endpoint: raw headers and bytes in, raw headers and
 * bytes out. It tells apart what surely was not sent, what was answered and
 * what may have run without an answer.
 */
import { type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import { parseAddress } from "../settings/settings.ts";
import type { StrictKeepAliveAgent } from "./strict_keep_alive_agent.ts";

/** Header names and values by turns, as they stand on the wire. */
export type RawHeaders = string[];

/** One call. */
export interface EndpointRequest {
  /** `ip:port`. */
  address: string;
  agent: StrictKeepAliveAgent;
  method: string;
  /** Path and query. */
  target: string;
  headers: RawHeaders;
  body: Buffer | undefined;
  /** Closes the connection; the endpoint drops the work. */
  signal: AbortSignal;
}

/** What came back. */
export type ExchangeResult =
  /** Nothing has left this host. */
  | { kind: ExchangeOutcome.NotSent; reason: string }
  /** It may have run; there is no answer to trust. */
  | { kind: ExchangeOutcome.ResponseLost; reason: string }
  | { kind: ExchangeOutcome.ResponseReceived; response: EndpointResponse };

/** The ways in which an exchange goes. */
export enum ExchangeOutcome {
  NotSent = "not_sent",
  ResponseLost = "lost",
  ResponseReceived = "answered",
}

/** The head of an answer, with its body still to be read. */
export interface EndpointResponse {
  status: number;
  status_text: string;
  headers: RawHeaders;
  body: IncomingMessage;
  /** The connection; the body forgets it when it ends. */
  socket: Socket;
}

/** Longest time to open a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

/** Sends a call and resolves with the head of its answer. */
export function sendRequest(call: EndpointRequest): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    if (call.signal.aborted) {
      resolve({ kind: ExchangeOutcome.NotSent, reason: "cancelled" });
      return;
    }
    const { ip, port } = parseAddress(call.address);
    let connected = false;
    const clientRequest = request({
      agent: call.agent,
      host: ip,
      port,
      method: call.method,
      path: call.target,
      headers: call.headers,
      signal: call.signal,
    });
    const fail = (reason: string) =>
      resolve({
        kind: connected
          ? ExchangeOutcome.ResponseLost
          : ExchangeOutcome.NotSent,
        reason,
      });
    clientRequest.on("socket", (socket) => {
      if (!socket.connecting) {
        connected = true;
        return;
      }
      const timer = setTimeout(
        () => clientRequest.destroy(new Error("connect_timeout")),
        CONNECT_TIMEOUT_MS,
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
      (error: NodeJS.ErrnoException) => fail(error.code ?? error.message),
    );
    clientRequest.on("response", (message) => {
      resolve({
        kind: ExchangeOutcome.ResponseReceived,
        response: {
          status: message.statusCode ?? 0,
          status_text: message.statusMessage ?? "",
          headers: message.rawHeaders,
          body: message,
          socket: message.socket,
        },
      });
    });
    clientRequest.end(call.body);
  });
}

/** The whole body of an answer, or undefined if it was cut. */
export function readFullBody(
  answer: EndpointResponse,
  max_bytes: number,
): Promise<Buffer | undefined> {
  const { body } = answer;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    body.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > max_bytes) body.destroy();
      else chunks.push(chunk);
    });
    body.on(
      "end",
      () => resolve(isComplete(answer) ? Buffer.concat(chunks) : undefined),
    );
    body.on("error", () => resolve(undefined));
    body.on("close", () => resolve(undefined));
  });
}

/**
 * Whether an answer that has ended is whole. One without a length ends with its
 * connection; Node counts it as complete even if the connection was reset.
 */
export function isComplete({ body, socket }: EndpointResponse): boolean {
  return body.complete && socket.errored === null;
}

/** Drops an answer together with its connection. */
export function discardResponse(answer: EndpointResponse): void {
  answer.body.on("error", () => {});
  answer.body.destroy();
}

/** The value of a header, or undefined; names compare without case. */
export function headerValue(
  headers: RawHeaders,
  name: string,
): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === name) return headers[index + 1];
  }
  return undefined;
}

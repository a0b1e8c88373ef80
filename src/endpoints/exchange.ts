/**
 * One exchange with an endpoint: raw headers and bytes in, raw headers and
 * bytes out. It tells apart what surely was not sent, what was answered and
 * what may have run without an answer.
 */
import { type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import { parseAddress } from "../settings/settings.ts";
import type { GuardedAgent } from "./guarded_agent.ts";

/** Header names and values by turns, as they stand on the wire. */
export type RawHeaders = string[];

/** One call. */
export interface EndpointCall {
  /** `ip:port`. */
  address: string;
  agent: GuardedAgent;
  method: string;
  /** Path and query. */
  target: string;
  headers: RawHeaders;
  body: Buffer | undefined;
  /** Closes the connection; the endpoint drops the work. */
  signal: AbortSignal;
}

/** What came back. */
export type Exchange =
  /** Nothing has left this host. */
  | { kind: ExchangeEnd.NotSent; reason: string }
  /** It may have run; there is no answer to trust. */
  | { kind: ExchangeEnd.Lost; reason: string }
  | { kind: ExchangeEnd.Answered; answer: EndpointAnswer };

/** The ways in which an exchange goes. */
export enum ExchangeEnd {
  NotSent = "not_sent",
  Lost = "lost",
  Answered = "answered",
}

/** The head of an answer, with its body still to be read. */
export interface EndpointAnswer {
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
export function exchange(call: EndpointCall): Promise<Exchange> {
  return new Promise((resolve) => {
    if (call.signal.aborted) {
      resolve({ kind: ExchangeEnd.NotSent, reason: "cancelled" });
      return;
    }
    const { ip, port } = parseAddress(call.address);
    let connected = false;
    const outgoing = request({
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
        kind: connected ? ExchangeEnd.Lost : ExchangeEnd.NotSent,
        reason,
      });
    outgoing.on("socket", (socket) => {
      if (!socket.connecting) {
        connected = true;
        return;
      }
      const timer = setTimeout(
        () => outgoing.destroy(new Error("connect_timeout")),
        CONNECT_TIMEOUT_MS,
      );
      socket.once("close", () => clearTimeout(timer));
      socket.once("connect", () => {
        clearTimeout(timer);
        connected = true;
        socket.setNoDelay(true);
      });
    });
    outgoing.on(
      "error",
      (error: NodeJS.ErrnoException) => fail(error.code ?? error.message),
    );
    outgoing.on("response", (incoming) => {
      resolve({
        kind: ExchangeEnd.Answered,
        answer: {
          status: incoming.statusCode ?? 0,
          status_text: incoming.statusMessage ?? "",
          headers: incoming.rawHeaders,
          body: incoming,
          socket: incoming.socket,
        },
      });
    });
    outgoing.end(call.body);
  });
}

/** The whole body of an answer, or undefined if it was cut. */
export function readWhole(
  answer: EndpointAnswer,
  limit_bytes: number,
): Promise<Buffer | undefined> {
  const { body } = answer;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    body.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > limit_bytes) body.destroy();
      else chunks.push(chunk);
    });
    body.on(
      "end",
      () => resolve(isWhole(answer) ? Buffer.concat(chunks) : undefined),
    );
    body.on("error", () => resolve(undefined));
    body.on("close", () => resolve(undefined));
  });
}

/**
 * Whether an answer that has ended is whole. One without a length ends with its
 * connection; Node counts it as complete even if the connection was reset.
 */
export function isWhole({ body, socket }: EndpointAnswer): boolean {
  return body.complete && socket.errored === null;
}

/** Drops an answer together with its connection. */
export function dropAnswer(answer: EndpointAnswer): void {
  answer.body.on("error", () => {});
  answer.body.destroy();
}

/** The value of a header, or undefined; names compare without case. */
export function headerValue(
  headers: RawHeaders,
  name: string,
): string | undefined {
  for (let at = 0; at < headers.length; at += 2) {
    if (headers[at]?.toLowerCase() === name) return headers[at + 1];
  }
  return undefined;
}

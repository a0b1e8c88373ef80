/**
 * A small client over Node's `http` for JSON exchanges with one address. A
 * connection that owes an answer and stays silent is destroyed together with
 * its idle siblings, so that the next call starts on a new connection.
 */
import { Agent, type IncomingHttpHeaders, request } from "node:http";
import type { Address } from "../settings/settings.ts";

/** One exchange. */
export interface HttpRequest {
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  timeout_ms: number;
  signal?: AbortSignal;
}

/** A whole answer. */
export interface HttpResponse {
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
}

/** Why there is no whole answer. */
export class HttpRequestError extends Error {
  /** Whether the request may have reached the other side. */
  readonly sent: boolean;

  constructor(message: string, sent: boolean) {
    super(message);
    this.name = "HttpCallError";
    this.sent = sent;
  }
}

/** Exchanges messages with one address over kept-alive connections. */
export class HttpClient {
  #agent = new Agent({ keepAlive: true });

  constructor(readonly address: Address) {}

  /** Sends one request and reads the whole answer; throws HttpCallError. */
  send(call: HttpRequest): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      let sent = false;
      const outgoing = request({
        agent: this.#agent,
        host: this.address.ip,
        port: this.address.port,
        method: call.method,
        path: call.path,
        headers: headersFor(call),
        signal: call.signal,
      });
      const timer = setTimeout(() => {
        outgoing.destroy(new Error(`No answer within ${call.timeout_ms} ms`));
        this.#replaceConnections();
      }, call.timeout_ms);
      const fail = (error: Error) => {
        clearTimeout(timer);
        reject(new HttpRequestError(error.message, sent));
      };
      outgoing.on("socket", (socket) => {
        if (!socket.connecting) sent = true;
        else socket.once("connect", () => sent = true);
      });
      outgoing.on("error", fail);
      outgoing.on("response", (incoming) => {
        let body = "";
        incoming.setEncoding("utf8");
        incoming.on("data", (chunk: string) => body += chunk);
        incoming.on("error", fail);
        incoming.on("aborted", () => fail(new Error("The answer was cut")));
        incoming.on("end", () => {
          clearTimeout(timer);
          const { statusCode = 0, headers } = incoming;
          resolve({ status: statusCode, headers, body });
        });
      });
      outgoing.end(call.body);
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }

  #replaceConnections(): void {
    const old = this.#agent;
    this.#agent = new Agent({ keepAlive: true });
    for (const sockets of Object.values(old.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}

function headersFor(call: HttpRequest): Record<string, string> {
  if (call.body === undefined) return call.headers ?? {};
  return {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(call.body)),
    ...call.headers,
  };
}

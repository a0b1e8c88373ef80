/**
 * HTTP client for JSON requests to one address. When a request times out, its
 * connection and all idle connections are closed, so that the next request uses
 * a new connection.
 */
import {
  Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  request,
} from "node:http";
import { BytesReadKind, readBytes } from "../bodies/read_bytes.ts";
import type { Address } from "../settings/settings.ts";
import { startLoopTimeout } from "./loop_timeout.ts";

/** A request to be sent. */
export interface HttpRequest {
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** Time limit for the whole response, while this host's event loop runs. */
  timeout_ms: number;
  signal?: AbortSignal;
}

/** A completely received response. */
export interface HttpResponse {
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
}

/** Larger responses are cut off: 16 MiB. */
const MAX_RESPONSE_BYTES = 16_777_216;

/** Thrown when no complete response was received. */
export class HttpRequestError extends Error {
  /** Whether the request may have reached the server. */
  readonly sent: boolean;
  /** Whether it got no response in time, though its connection was open. */
  readonly silent: boolean;

  constructor(
    message: string,
    { sent, silent = false }: { sent: boolean; silent?: boolean },
  ) {
    super(message);
    this.name = "HttpRequestError";
    this.sent = sent;
    this.silent = silent;
  }
}

/** Sends requests to one address over keep-alive connections. */
export class HttpClient {
  #agent = new Agent({ keepAlive: true });

  constructor(readonly address: Address) {}

  /**
   * Sends a request and reads the whole response; rejects with HttpRequestError
   * if no complete response arrives in time or the signal aborts.
   */
  send(options: HttpRequest): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      let sent = false;
      let outgoing: ClientRequest;
      try {
        outgoing = this.#open(options);
      } catch (error) {
        reject(new HttpRequestError((error as Error).message, { sent }));
        return;
      }
      let timedOut = false;
      const cancelTimeout = startLoopTimeout(options.timeout_ms, () => {
        timedOut = true;
        outgoing.destroy(
          new Error(`No answer within ${options.timeout_ms} ms`),
        );
        this.#closeIdleConnections();
      });
      const fail = (error: Error) => {
        cancelTimeout();
        const silent = timedOut && sent;
        reject(new HttpRequestError(error.message, { sent, silent }));
      };
      outgoing.on("socket", (socket) => {
        if (!socket.connecting) sent = true;
        else socket.once("connect", () => sent = true);
      });
      outgoing.on("error", fail);
      // Neither an error nor a response follows a switch of protocols.
      const onClose = () => fail(new Error("The connection was closed"));
      outgoing.on("close", onClose);
      outgoing.on("response", (incoming) => {
        outgoing.off("close", onClose);
        const reading = readBytes(incoming, { max_bytes: MAX_RESPONSE_BYTES });
        void reading.then((read) => {
          if (read.kind !== BytesReadKind.Complete) {
            const error = new Error(
              read.kind === BytesReadKind.TooLarge
                ? "The answer is too long"
                : "The answer was cut",
            );
            outgoing.destroy(error);
            return fail(error);
          }
          cancelTimeout();
          const { statusCode = 0, headers } = incoming;
          resolve({
            status: statusCode,
            headers,
            body: read.bytes.toString("utf8"),
          });
        });
      });
      outgoing.end(options.body);
    });
  }

  #open(options: HttpRequest): ClientRequest {
    return request({
      agent: this.#agent,
      host: this.address.ip,
      port: this.address.port,
      method: options.method,
      path: options.path,
      headers: requestHeaders(options),
      signal: options.signal,
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }

  #closeIdleConnections(): void {
    const old = this.#agent;
    this.#agent = new Agent({ keepAlive: true });
    for (const sockets of Object.values(old.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}

function requestHeaders(options: HttpRequest): Record<string, string> {
  if (options.body === undefined) return options.headers ?? {};
  return {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(options.body)),
    ...options.headers,
  };
}

/**
 * The servers that callers and the balancer talk to. Limits follow the
 * configuration in force. An idle connection is closed by this server only
 * after the time that callers were promised.
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { Socket } from "node:net";
import type { Logger } from "../logging/logger.ts";
import type { CallerLimits } from "../routes/types.ts";
import { forwardRequest } from "./forward_request.ts";
import type { ForwardParts } from "./parts.ts";

/** Largest header section that is parsed at all, in bytes. */
const PARSED_HEADER_BYTES = 65_536;
/** How often idle connections are looked at, in milliseconds. */
const SWEEP_MS = 5_000;
/** How much longer than promised an idle connection is kept. */
const IDLE_EXTRA_SHARE = 1.25;
/** Idle time before the first configuration is known. */
const FIRST_IDLE_MS = 60_000;

/** Serves callers; knows how many requests run. */
export class FrontServer {
  readonly server: Server;
  #idleSince_ms = new Map<Socket, number>();
  #running = 0;
  #idle_ms = FIRST_IDLE_MS;
  #parts: ForwardParts;
  #sweeper: NodeJS.Timeout;

  constructor(parts: ForwardParts) {
    this.#parts = parts;
    this.server = createServer({
      maxHeaderSize: PARSED_HEADER_BYTES,
      keepAliveTimeout: 0,
      requestTimeout: 0,
      noDelay: true,
    });
    this.server.on("connection", (socket) => this.#track(socket));
    this.server.on("request", (request, response) => {
      void this.#serve({ request, response, arrived_ms: parts.now() });
    });
    this.server.on(
      "clientError",
      (error, socket) => answerMalformed(error, socket as Socket, parts.log),
    );
    this.#sweeper = setInterval(() => this.#sweep(), SWEEP_MS).unref();
  }

  /** Requests that run now. */
  get running(): number {
    return this.#running;
  }

  /** Applies the limits of a configuration. */
  follow(limits: CallerLimits): void {
    this.server.headersTimeout = limits.header_timeout_ms;
    this.#idle_ms = limits.idle_timeout_ms;
  }

  /** Closes the connections that owe no answer. */
  closeIdle(): void {
    for (const socket of this.#idleSince_ms.keys()) socket.end();
  }

  /** Stops at once. */
  close(): void {
    clearInterval(this.#sweeper);
    this.server.close();
    this.server.closeAllConnections();
  }

  async #serve(inbound: Parameters<typeof forwardRequest>[0]): Promise<void> {
    const { request, response } = inbound;
    const { socket } = request;
    this.#running += 1;
    this.#idleSince_ms.delete(socket);
    response.once("close", () => {
      this.#running -= 1;
      if (!socket.destroyed) {
        this.#idleSince_ms.set(socket, this.#parts.now());
        if (this.#parts.leaving()) socket.end();
      }
    });
    try {
      await forwardRequest(inbound, this.#parts);
    } catch (error) {
      this.#parts.log.error({ event: "fault", error: (error as Error).stack });
      response.destroy();
    }
  }

  #track(socket: Socket): void {
    this.#idleSince_ms.set(socket, this.#parts.now());
    socket.on(
      "error",
      (error) =>
        this.#parts.log.debug({ event: "caller_lost", error: error.message }),
    );
    socket.once("close", () => this.#idleSince_ms.delete(socket));
  }

  #sweep(): void {
    const oldest_ms = this.#parts.now() - this.#idle_ms * IDLE_EXTRA_SHARE;
    for (const [socket, since_ms] of this.#idleSince_ms) {
      if (since_ms < oldest_ms) socket.end();
    }
  }
}

/** Answers the balancer's question whether this host is ready. */
export function createReadinessServer(
  path: string,
  ready: () => boolean,
): Server {
  return createServer((request: IncomingMessage, response) => {
    const asked = request.url === path;
    response.writeHead(asked ? ready() ? 200 : 503 : 404);
    response.end();
  });
}

const STATUS_TEXTS: Record<string, string> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

function answerMalformed(
  error: NodeJS.ErrnoException,
  socket: Socket,
  log: Logger,
): void {
  log.info({ event: "malformed", reason: error.code ?? error.message });
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const status = STATUS_TEXTS[error.code ?? ""] ?? "400 Bad Request";
  socket.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
}

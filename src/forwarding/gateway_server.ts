/**
 * HTTP servers of a gateway host for callers and for the load balancer. Limits
 * come from the active configuration. Idle connections are closed only after
 * the configured idle timeout, so callers can safely reuse them until then.
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Logger } from "../logging/logger.ts";
import type { CallerLimits } from "../routes/types.ts";
import { CallerConnections } from "./caller_connections.ts";
import { finishRequest } from "./finish_request.ts";
import { forwardRequest } from "./forward_request.ts";
import type { ForwardingDependencies } from "./dependencies.ts";
import { recordRequestEnd } from "./record_request_end.ts";
import { RequestProgress } from "./request_progress.ts";
import type { InboundRequest } from "./run_context.ts";

/**
 * Largest header section that Node parses; the configured limit applies below
 * it.
 */
const MAX_PARSED_HEADER_BYTES = 65_536;
/** Interval between checks for expired idle connections. */
const IDLE_SWEEP_INTERVAL_MS = 5_000;
/** Idle timeout until the first configuration arrives. */
const INITIAL_IDLE_TIMEOUT_MS = 60_000;

/**
 * HTTP server for callers; counts running requests and tracks idle connections.
 */
export class GatewayServer {
  readonly server: Server;
  #connections = new CallerConnections(INITIAL_IDLE_TIMEOUT_MS);
  #running = new Set<InboundRequest>();
  #dependencies: ForwardingDependencies;
  #idleSweepTimer: NodeJS.Timeout;

  constructor(dependencies: ForwardingDependencies) {
    this.#dependencies = dependencies;
    this.server = createServer({
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      keepAliveTimeout: 0,
      requestTimeout: 0,
      noDelay: true,
    });
    this.server.on("connection", (socket) => this.#trackConnection(socket));
    this.server.on("connect", (_request, socket) => refuseConnect(socket));
    this.server.on("request", (request, response) => {
      void this.#serve({
        request,
        response,
        arrived_ms: dependencies.now(),
        progress: new RequestProgress(),
      });
    });
    this.server.on(
      "clientError",
      (error, socket) =>
        respondToClientError(error, socket as Socket, {
          connections: this.#connections,
          log: dependencies.log,
        }),
    );
    this.#idleSweepTimer = setInterval(
      () => this.#connections.closeExpired(dependencies.now()),
      IDLE_SWEEP_INTERVAL_MS,
    ).unref();
  }

  /** Number of requests whose response has not finished. */
  get running(): number {
    return this.#running.size;
  }

  /** Applies the limits of a configuration. */
  applyLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.header_timeout_ms;
    this.#connections.setIdleTimeout(limits.idle_timeout_ms);
  }

  /** Closes the connections without a running request. */
  closeIdleConnections(): void {
    this.#connections.closeIdle();
  }

  /** Stops the server and closes all connections immediately. */
  close(): void {
    clearInterval(this.#idleSweepTimer);
    this.server.close();
    for (const { response, progress } of this.#running) {
      progress.cut(response, "host_stopped");
    }
    this.server.closeAllConnections();
  }

  async #serve(inbound: InboundRequest): Promise<void> {
    const { response, progress } = inbound;
    this.#running.add(inbound);
    progress.crossedClose = !this.#connections.beginRequest(inbound);
    response.once("close", () => {
      this.#running.delete(inbound);
      recordRequestEnd(inbound, this.#dependencies);
      this.#connections.endRequest(inbound, this.#dependencies.now());
    });
    if (progress.crossedClose) {
      return progress.cut(response, "connection_closed");
    }
    await finishRequest(
      inbound,
      this.#dependencies,
      () => forwardRequest(inbound, this.#dependencies),
    );
  }

  #trackConnection(socket: Socket): void {
    this.#connections.add(socket, this.#dependencies.now());
    socket.on(
      "error",
      (error) =>
        this.#dependencies.log.debug({
          event: "caller_lost",
          error: error.message,
        }),
    );
  }
}

/**
 * Creates the HTTP server for the load balancer's readiness checks. It responds
 * at `path` with 200 if the host is ready and 503 if not, elsewhere with 404.
 */
export function createReadinessServer(
  path: string,
  ready: () => boolean,
): Server {
  return createServer((request: IncomingMessage, response) => {
    const isReadinessPath = request.url === path;
    response.writeHead(isReadinessPath ? ready() ? 200 : 503 : 404);
    response.end();
  });
}

/** Without a handler, Node closes the connection without a response. */
function refuseConnect(socket: Duplex): void {
  socket.on("error", () => {});
  socket.end(
    "HTTP/1.1 405 Method Not Allowed\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
  );
}

const STATUS_BY_ERROR_CODE: Record<string, string> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

function respondToClientError(
  error: NodeJS.ErrnoException,
  socket: Socket,
  { connections, log }: { connections: CallerConnections; log: Logger },
): void {
  if (connections.isClosing(socket) && error.code !== "ECONNRESET") return;
  log.info({ event: "malformed", reason: error.code ?? error.message });
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  if (connections.closeAfterResponses(socket)) return;
  const status = STATUS_BY_ERROR_CODE[error.code ?? ""] ?? "400 Bad Request";
  socket.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
}

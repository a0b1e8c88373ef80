/** HTTP server for callers of an entry host, with limits on their requests. */
import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import { ConnectionRequests } from "../utils/connection_requests.ts";
import type { CallerApi } from "./caller_api.ts";

/** Limits on requests and connections. */
export interface CallerServerLimits {
  header_bytes: number;
  /** Time to receive the headers of a request. */
  header_timeout_ms: number;
  /** Time to receive a whole request, including its headers. */
  body_timeout_ms: number;
  /** Maximum number of open connections. */
  connections: number;
}

/** Interval at which Node checks the header and body timeouts. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

const STATUS_BY_ERROR_CODE = new Map([
  ["HPE_HEADER_OVERFLOW", "431 Request Header Fields Too Large"],
  ["ERR_HTTP_REQUEST_TIMEOUT", "408 Request Timeout"],
]);

/** Creates the server, which is not listening yet. */
export function createCallerServer(
  api: CallerApi,
  limits: CallerServerLimits,
): Server {
  const server = createServer({
    maxHeaderSize: limits.header_bytes,
    headersTimeout: limits.header_timeout_ms,
    requestTimeout: limits.body_timeout_ms,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    joinDuplicateHeaders: false,
  });
  server.maxConnections = limits.connections;
  const requests = new ConnectionRequests();
  server.on("request", (request, response) => {
    const pending = { request, response };
    requests.add(pending);
    response.once("close", () => requests.remove(pending));
    api.handle(request, response);
  });
  server.on(
    "clientError",
    (error, socket) => respondToClientError(error, socket as Socket, requests),
  );
  return server;
}

function respondToClientError(
  error: NodeJS.ErrnoException,
  socket: Socket,
  requests: ConnectionRequests,
): void {
  if (!socket.writable) return void socket.destroy();
  if (requests.closeAfterResponses(socket)) return;
  const status = STATUS_BY_ERROR_CODE.get(error.code ?? "") ??
    "400 Bad Request";
  const code = Number.parseInt(status, 10);
  const body = JSON.stringify({
    type: "about:blank",
    title: status.slice(4),
    status: code,
    outcome: "not_run",
  });
  socket.end(
    `HTTP/1.1 ${status}\r\ncontent-type: application/problem+json\r\n` +
      `content-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`,
  );
}

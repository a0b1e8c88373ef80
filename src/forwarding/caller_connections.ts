/**
 * The callers' connections: which may be closed, and when. A connection is closed
 * without reading from it any more, so that a request that crosses the close is
 * not passed on to an endpoint; and never while a response is due there, of which
 * a caller would take a rejection for a part.
 */
import type { Socket } from "node:net";
import {
  ConnectionRequests,
  type PendingRequest,
} from "../utils/connection_requests.ts";

/**
 * Idle connections are kept this many times the configured idle timeout, so that
 * a caller that reuses one within the timeout never meets a closed connection.
 */
const IDLE_TIMEOUT_FACTOR = 1.25;

interface Connection {
  idle_since_ms: number;
  /** Idle timeout in force when it became idle; a caller may not know a later one. */
  idle_timeout_ms: number;
  /** Bytes read from it until it became idle. */
  bytes_read: number;
}

/** Tracks the callers' open connections; the caller passes the time in. */
export class CallerConnections {
  #connections = new Map<Socket, Connection>();
  #requests = new ConnectionRequests();
  #idle_timeout_ms: number;

  constructor(idle_timeout_ms: number) {
    this.#idle_timeout_ms = idle_timeout_ms;
  }

  /** Applies an idle timeout; it shortens no idleness that has begun. */
  setIdleTimeout(idle_timeout_ms: number): void {
    this.#idle_timeout_ms = idle_timeout_ms;
  }

  /** Adds a new connection. */
  add(socket: Socket, now_ms: number): void {
    this.#connections.set(socket, this.#idleFrom(socket, now_ms));
    socket.once("close", () => this.#connections.delete(socket));
  }

  /** Records that a request has begun; false if this host has closed the connection. */
  beginRequest(pending: PendingRequest): boolean {
    if (!this.#connections.has(pending.request.socket)) return false;
    this.#requests.add(pending);
    return true;
  }

  /** Records that a request's response has closed. */
  endRequest(pending: PendingRequest, now_ms: number): void {
    const { socket } = pending.request;
    this.#requests.remove(pending);
    if (!this.#connections.has(socket)) return;
    this.#connections.set(socket, this.#idleFrom(socket, now_ms));
  }

  /**
   * Closes a connection after the responses that are due there; returns false
   * and does nothing if none is.
   */
  closeAfterResponses(socket: Socket): boolean {
    return this.#requests.closeAfterResponses(socket);
  }

  /** Whether a connection is closed after the responses that are due there. */
  isClosing(socket: Socket): boolean {
    return this.#requests.isClosing(socket);
  }

  /** Closes the connections on which no request runs or arrives. */
  closeIdle(): void {
    for (const [socket, connection] of this.#connections) {
      if (this.#isIdle(socket, connection)) this.#close(socket);
    }
  }

  /** Closes the connections whose idle timeout has passed. */
  closeExpired(now_ms: number): void {
    for (const [socket, connection] of this.#connections) {
      const timeout_ms = Math.max(
        connection.idle_timeout_ms,
        this.#idle_timeout_ms,
      );
      const expires_ms = connection.idle_since_ms +
        timeout_ms * IDLE_TIMEOUT_FACTOR;
      if (now_ms > expires_ms && this.#isIdle(socket, connection)) {
        this.#close(socket);
      }
    }
  }

  #idleFrom(socket: Socket, now_ms: number): Connection {
    return {
      idle_since_ms: now_ms,
      idle_timeout_ms: this.#idle_timeout_ms,
      bytes_read: socket.bytesRead,
    };
  }

  #close(socket: Socket): void {
    this.#connections.delete(socket);
    socket.destroySoon();
  }

  #isIdle(socket: Socket, { bytes_read }: Connection): boolean {
    return !this.#requests.isBusy(socket) && socket.bytesRead === bytes_read;
  }
}

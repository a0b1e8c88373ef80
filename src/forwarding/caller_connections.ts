/**
 * The callers' connections without a request: which may be closed, and when. A
 * connection is closed without reading from it any more, so that a request that
 * crosses the close is not passed on to an endpoint.
 */
import type { Socket } from "node:net";

/**
 * Idle connections are kept this many times the configured idle timeout, so that
 * a caller that reuses one within the timeout never meets a closed connection.
 */
const IDLE_TIMEOUT_FACTOR = 1.25;

interface Connection {
  /** Requests on it whose response has not closed. */
  running: number;
  idle_since_ms: number;
  /** Idle timeout in force when it became idle; a caller may not know a later one. */
  idle_timeout_ms: number;
  /** Bytes read from it until it became idle. */
  bytes_read: number;
}

/** Tracks the callers' open connections; the caller passes the time in. */
export class CallerConnections {
  #connections = new Map<Socket, Connection>();
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
  beginRequest(socket: Socket): boolean {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return false;
    connection.running += 1;
    return true;
  }

  /** Records that a request's response has closed. */
  endRequest(socket: Socket, now_ms: number): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    const running = connection.running - 1;
    this.#connections.set(socket, {
      ...this.#idleFrom(socket, now_ms),
      running,
    });
  }

  /** Closes the connections on which no request runs or arrives. */
  closeIdle(): void {
    for (const [socket, connection] of this.#connections) {
      if (isIdle(socket, connection)) this.#close(socket);
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
      if (now_ms > expires_ms && isIdle(socket, connection)) {
        this.#close(socket);
      }
    }
  }

  #idleFrom(socket: Socket, now_ms: number): Connection {
    return {
      running: 0,
      idle_since_ms: now_ms,
      idle_timeout_ms: this.#idle_timeout_ms,
      bytes_read: socket.bytesRead,
    };
  }

  #close(socket: Socket): void {
    this.#connections.delete(socket);
    socket.destroySoon();
  }
}

function isIdle(socket: Socket, { running, bytes_read }: Connection): boolean {
  return running === 0 && socket.bytesRead === bytes_read;
}

/**
 * Requests that a server is answering, by their connection. Bytes that are no
 * request must not be rejected while a response is due there: the caller would
 * read the rejection as that response, or as a part of it.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** A request and its response, which may not have begun. */
export interface PendingRequest {
  request: IncomingMessage;
  response: ServerResponse;
}

/** Keeps the requests that are being answered on each connection. */
export class ConnectionRequests {
  #bySocket = new WeakMap<Socket, Set<PendingRequest>>();
  #closingSockets = new WeakSet<Socket>();

  /** Adds a request when it starts. */
  add(pending: PendingRequest): void {
    const { socket } = pending.request;
    const requests = this.#bySocket.get(socket) ?? new Set();
    this.#bySocket.set(socket, requests.add(pending));
  }

  /**
   * Removes a request whose response has closed; returns whether none is left
   * on its connection.
   */
  remove(pending: PendingRequest): boolean {
    const { socket } = pending.request;
    const requests = this.#bySocket.get(socket);
    requests?.delete(pending);
    if (requests !== undefined && requests.size > 0) return false;
    this.#bySocket.delete(socket);
    if (this.#closingSockets.has(socket)) socket.end();
    return true;
  }

  /**
   * Closes a connection after the responses that are due there; returns false
   * and does nothing if none is.
   */
  closeAfterResponses(socket: Socket): boolean {
    if (!this.#isResponseDue(socket)) return false;
    this.#closingSockets.add(socket);
    return true;
  }

  /** Whether a request on the connection has a response that has not closed. */
  isBusy(socket: Socket): boolean {
    return this.#bySocket.has(socket);
  }

  /** Whether a connection is closed after the responses that are due there. */
  isClosing(socket: Socket): boolean {
    return this.#closingSockets.has(socket);
  }

  /** Whether a request was read whole, or a response has begun. */
  #isResponseDue(socket: Socket): boolean {
    const requests = [...this.#bySocket.get(socket) ?? []];
    return requests.some(({ request, response }) =>
      request.complete || response.headersSent
    );
  }
}

/** Closes connections on which a request goes on after its response. */
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Closes the connection after the response if the request has not ended by then:
 * the rest of a body that was too large may never end.
 */
export function closeIfIncomplete(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.once("finish", () => {
    if (!request.complete) request.socket.destroySoon();
  });
}

/** Tells whether the sender of a request has closed its connection. */
import type { IncomingMessage } from "node:http";

/**
 * Resolves to whether the sender of a request has left. When the event loop is
 * late, a request and the close of its connection wait side by side, and the
 * request is read first; so the loop looks for input once more before.
 */
export async function hasSenderLeft(
  { socket }: IncomingMessage,
): Promise<boolean> {
  // An immediate runs after the loop has looked for input, a nested one after
  // it has looked again.
  await nextImmediate();
  await nextImmediate();
  return socket.destroyed || socket.readableEnded;
}

function nextImmediate(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

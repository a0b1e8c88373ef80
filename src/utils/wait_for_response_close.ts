/** Waits for an answer to leave this host. */
import type { ServerResponse } from "node:http";

/** Resolves once the answer has left, or its connection is gone. */
export function waitForResponseClose(response: ServerResponse): Promise<void> {
  if (response.closed) return Promise.resolve();
  return new Promise((resolve) => response.once("close", resolve));
}

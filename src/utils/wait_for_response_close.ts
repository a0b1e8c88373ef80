/** Waits until a server response is finished. */
import type { ServerResponse } from "node:http";

/** Resolves once the response has been sent or its connection has closed. */
export function waitForResponseClose(response: ServerResponse): Promise<void> {
  if (response.closed) return Promise.resolve();
  return new Promise((resolve) => response.once("close", resolve));
}

import type { Socket } from "node:net";

/**
 * Resets a connection. One whose end is already on its way can't be reset: its
 * handle would stay open for good.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

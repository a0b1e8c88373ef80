/**
 * Kept-alive connections to one endpoint. Bytes that arrive on a connection
 * which owes no answer belong to no request: the connection is dropped.
 */
import { Agent, type ClientRequest } from "node:http";
import type { Duplex } from "node:stream";

/** An agent whose idle connections are watched for stray bytes. */
export class GuardedAgent extends Agent {
  #onStray = new WeakMap<Duplex, () => void>();

  constructor(maxSockets: number) {
    super({ keepAlive: true, scheduling: "lifo", maxSockets });
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // @ts-expect-error: see above
    const keeps = super.keepSocketAlive(socket) as boolean;
    if (!keeps) return false;
    const drop = () => socket.destroy();
    this.#onStray.set(socket, drop);
    socket.on("data", drop);
    return true;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const drop = this.#onStray.get(socket);
    if (drop !== undefined) socket.off("data", drop);
    super.reuseSocket(socket, request);
  }

  /** Closes the idle connections and keeps those in use. */
  dropIdle(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}

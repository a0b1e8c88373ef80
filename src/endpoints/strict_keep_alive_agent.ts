/**
 * Kept-alive connections to one endpoint. Bytes that arrive on a connection
 * which owes no answer belong to no request: the connection is dropped.
 */
import { Agent, type ClientRequest } from "node:http";
import type { Duplex } from "node:stream";

/** An agent whose idle connections are watched for stray bytes. */
export class StrictKeepAliveAgent extends Agent {
  #unsolicitedDataHandlers = new WeakMap<Duplex, () => void>();

  constructor(maxSockets: number) {
    super({ keepAlive: true, scheduling: "lifo", maxSockets });
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // @ts-expect-error: see above
    const kept = super.keepSocketAlive(socket) as boolean;
    if (!kept) return false;
    const closeOnData = () => socket.destroy();
    this.#unsolicitedDataHandlers.set(socket, closeOnData);
    socket.on("data", closeOnData);
    return true;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const closeOnData = this.#unsolicitedDataHandlers.get(socket);
    if (closeOnData !== undefined) socket.off("data", closeOnData);
    super.reuseSocket(socket, request);
  }

  /** Closes the idle connections and keeps those in use. */
  closeIdleSockets(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}

/**
 * Keep-alive connections to one endpoint. Data that arrives on an idle
 * connection belongs to no request and would be taken for the start of the next
 * response, so the connection is closed.
 */
import { Agent, type ClientRequest, type ClientRequestArgs } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { parseAddress } from "../settings/settings.ts";

/** Address at which this host connects to the server at an address. */
export type TranslateAddress = (address: string) => string;

/** A keep-alive agent that closes idle connections on which data arrives. */
export class StrictKeepAliveAgent extends Agent {
  #unsolicitedDataHandlers = new WeakMap<Duplex, () => void>();
  #translateAddress: TranslateAddress | undefined;
  #answeredSockets = new WeakSet<Duplex>();

  constructor(maxSockets: number, translateAddress?: TranslateAddress) {
    super({ keepAlive: true, scheduling: "lifo", maxSockets });
    this.#translateAddress = translateAddress;
  }

  override createConnection(
    options: ClientRequestArgs,
    onCreated?: (error: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    if (this.#translateAddress === undefined) {
      return super.createConnection(options, onCreated);
    }
    const announced = `${options.host}:${options.port}`;
    const { ip, port } = parseAddress(this.#translateAddress(announced));
    return super.createConnection({ ...options, host: ip, port }, onCreated);
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // @ts-expect-error: Node returns a boolean, but the type declares void.
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

  /** Whether a further request would have to wait for a connection. */
  get isFull(): boolean {
    const inUse = Object.values(this.sockets)
      .reduce((sum, sockets) => sum + (sockets?.length ?? 0), 0);
    return inUse >= this.maxSockets;
  }

  /** Records a response; returns whether it is the first on its connection. */
  recordResponse(socket: Duplex): boolean {
    if (this.#answeredSockets.has(socket)) return false;
    this.#answeredSockets.add(socket);
    return true;
  }

  /** Fails the requests that wait for a connection, with this error. */
  failQueued(message: string): void {
    for (const name of Object.keys(this.requests)) {
      const queued = this.requests[name] ?? [];
      // @ts-expect-error: the type is read-only, but Node itself deletes these.
      delete this.requests[name];
      for (const request of queued) {
        request.destroy(new Error(message));
        // Without a connection, Node reports the error only on this call.
        request.onSocket(undefined as unknown as Socket);
      }
    }
  }

  /** Closes the idle connections; those in use stay open. */
  closeIdleSockets(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}

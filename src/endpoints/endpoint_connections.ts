/**
 * Connections of an entry host to endpoints. Idempotent calls reuse keep-alive
 * connections. A non-idempotent call gets a new connection: a reused one may be
 * dead without this host knowing, and it would be unknown whether the call ran.
 */
import { Agent } from "node:http";
import { type Address, parseAddress } from "../settings/settings.ts";

/** Holds one keep-alive agent for each endpoint address. */
export class EndpointConnections {
  #agents = new Map<string, Agent>();
  #parsedAddresses = new Map<string, Address>();

  /** The IP and port of an address; parsed once and cached. */
  parsedAddress(address: string): Address {
    const existing = this.#parsedAddresses.get(address);
    if (existing !== undefined) return existing;
    const parsed = parseAddress(address);
    this.#parsedAddresses.set(address, parsed);
    return parsed;
  }

  /** The agent for a call; false makes `node:http` open a new connection. */
  agentFor(address: string, idempotent: boolean): Agent | false {
    if (!idempotent) return false;
    const existing = this.#agents.get(address);
    if (existing !== undefined) return existing;
    const agent = new Agent({ keepAlive: true, scheduling: "lifo" });
    this.#agents.set(address, agent);
    return agent;
  }

  /** Closes the idle connections to an address after one of them timed out. */
  closeIdleConnections(address: string): void {
    const agent = this.#agents.get(address);
    if (agent === undefined) return;
    this.#agents.delete(address);
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Closes every connection. */
  close(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    this.#agents.clear();
  }
}

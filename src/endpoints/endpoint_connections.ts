/**
 * Connections to endpoints. Idempotent calls reuse connections; a call that
 * must not be repeated gets a new one, because a reused connection may have
 * died unnoticed and would leave the call's fate unknown.
 */
import { Agent } from "node:http";
import { type Address, parseAddress } from "../settings/settings.ts";

/** Keeps an agent for each endpoint address. */
export class EndpointConnections {
  #agents = new Map<string, Agent>();
  #parsedAddresses = new Map<string, Address>();

  /** The IP and port of an address, taken apart once. */
  parsedAddress(address: string): Address {
    const known = this.#parsedAddresses.get(address);
    if (known !== undefined) return known;
    const target = parseAddress(address);
    this.#parsedAddresses.set(address, target);
    return target;
  }

  /** The agent for a call; false means a connection of its own. */
  agentFor(address: string, idempotent: boolean): Agent | false {
    if (!idempotent) return false;
    const known = this.#agents.get(address);
    if (known !== undefined) return known;
    const agent = new Agent({ keepAlive: true, scheduling: "lifo" });
    this.#agents.set(address, agent);
    return agent;
  }

  /** Drops the idle connections to an address after one of them went silent. */
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

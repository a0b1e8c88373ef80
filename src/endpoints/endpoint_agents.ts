/** Kept-alive connections to endpoints, within each endpoint's limit. */
import { StrictKeepAliveAgent } from "./strict_keep_alive_agent.ts";

/** Part of an endpoint's connections that all hosts together may use. */
const MAX_CONNECTION_FRACTION = 0.85;

/** Keeps an agent for each endpoint address. */
export class EndpointAgents {
  #agents = new Map<string, StrictKeepAliveAgent>();
  #hostCount: () => number;

  constructor(hostCount: () => number) {
    this.#hostCount = hostCount;
  }

  /** The agent for an address whose endpoint takes `max_connections`. */
  agentFor(address: string, max_connections: number): StrictKeepAliveAgent {
    const share = MAX_CONNECTION_FRACTION * max_connections /
      Math.max(1, this.#hostCount());
    const maxSockets = Math.max(1, Math.floor(share));
    const known = this.#agents.get(address);
    if (known !== undefined) {
      known.maxSockets = maxSockets;
      return known;
    }
    const created = new StrictKeepAliveAgent(maxSockets);
    this.#agents.set(address, created);
    return created;
  }

  /** Drops idle connections after one to the address went silent. */
  closeIdleConnections(address: string): void {
    this.#agents.get(address)?.closeIdleSockets();
  }

  /** Forgets the addresses that no endpoint has any more. */
  retainOnly(addresses: ReadonlySet<string>): void {
    for (const [address, agent] of this.#agents) {
      if (addresses.has(address)) continue;
      agent.closeIdleSockets();
      this.#agents.delete(address);
    }
  }

  /** Closes every connection. */
  close(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    this.#agents.clear();
  }
}

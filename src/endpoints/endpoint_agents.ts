/**
 * Keep-alive agents of a gateway host, within each endpoint's connection limit.
 */
import {
  StrictKeepAliveAgent,
  type TranslateAddress,
} from "./strict_keep_alive_agent.ts";

/** Fraction of an endpoint's connection limit that all hosts together use. */
const MAX_CONNECTION_FRACTION = 0.85;

/** Reason of a request that waited for an endpoint that takes none any more. */
export const ENDPOINT_UNAVAILABLE = "endpoint_unavailable";

/** Holds one keep-alive agent for each endpoint address. */
export class EndpointAgents {
  #agents = new Map<string, StrictKeepAliveAgent>();
  #hostCount: () => number;
  #translateAddress: TranslateAddress | undefined;

  constructor(hostCount: () => number, translateAddress?: TranslateAddress) {
    this.#hostCount = hostCount;
    this.#translateAddress = translateAddress;
  }

  /**
   * Returns the agent for an address. This host gets an equal share of
   * `max_connections`, the limit of the endpoint for all hosts together, but at
   * least one connection.
   */
  agentFor(address: string, max_connections: number): StrictKeepAliveAgent {
    const share = MAX_CONNECTION_FRACTION * max_connections /
      Math.max(1, this.#hostCount());
    const maxSockets = Math.max(1, Math.floor(share));
    const existing = this.#agents.get(address);
    if (existing !== undefined) {
      existing.maxSockets = maxSockets;
      return existing;
    }
    const created = new StrictKeepAliveAgent(
      maxSockets,
      this.#translateAddress,
    );
    this.#agents.set(address, created);
    return created;
  }

  /** Closes the idle connections to an address after one of them failed. */
  closeIdleConnections(address: string): void {
    this.#agents.get(address)?.closeIdleSockets();
  }

  /** Fails the requests that wait for a connection to an address. */
  failQueued(address: string): void {
    this.#agents.get(address)?.failQueued(ENDPOINT_UNAVAILABLE);
  }

  /**
   * Fails the requests that wait for a connection to any other address; those
   * in flight go on.
   */
  failQueuedExcept(addresses: ReadonlySet<string>): void {
    for (const address of this.#agents.keys()) {
      if (!addresses.has(address)) this.failQueued(address);
    }
  }

  /** Closes every connection. */
  close(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    this.#agents.clear();
  }
}

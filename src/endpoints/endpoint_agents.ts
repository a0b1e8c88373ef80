/** Kept-alive connections to endpoints, within each endpoint's limit. */
import { GuardedAgent } from "./guarded_agent.ts";

/** Part of an endpoint's connections that all hosts together may use. */
const USED_SHARE = 0.85;

/** Keeps an agent for each endpoint address. */
export class EndpointAgents {
  #agents = new Map<string, GuardedAgent>();
  #hosts: () => number;

  constructor(hosts: () => number) {
    this.#hosts = hosts;
  }

  /** The agent for an address whose endpoint takes `max_connections`. */
  to(address: string, max_connections: number): GuardedAgent {
    const share = USED_SHARE * max_connections / Math.max(1, this.#hosts());
    const most = Math.max(1, Math.floor(share));
    const known = this.#agents.get(address);
    if (known !== undefined) {
      known.maxSockets = most;
      return known;
    }
    const created = new GuardedAgent(most);
    this.#agents.set(address, created);
    return created;
  }

  /** Drops idle connections after one to the address went silent. */
  distrust(address: string): void {
    this.#agents.get(address)?.dropIdle();
  }

  /** Forgets the addresses that no endpoint has any more. */
  keepOnly(addresses: ReadonlySet<string>): void {
    for (const [address, agent] of this.#agents) {
      if (addresses.has(address)) continue;
      agent.dropIdle();
      this.#agents.delete(address);
    }
  }

  /** Closes every connection. */
  close(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    this.#agents.clear();
  }
}

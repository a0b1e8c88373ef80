/** Kept connections to the hosts that carry exchanges for this one. */
import { StrictKeepAliveAgent } from "../endpoints/strict_keep_alive_agent.ts";

/** Exchanges through one carrier at a time; more wait for a connection. */
const MAX_CONNECTIONS_PER_CARRIER = 256;

/** One keep-alive agent for each carrier, with the exchanges in flight there. */
export class CarrierConnections {
  #agents = new Map<string, StrictKeepAliveAgent>();
  #inFlight = new Map<string, number>();

  /** Number of exchanges of this host in flight through a carrier. */
  inFlight(address: string): number {
    return this.#inFlight.get(address) ?? 0;
  }

  /** Counts an exchange; the returned function records its end. */
  begin(address: string): () => void {
    this.#inFlight.set(address, this.inFlight(address) + 1);
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      const left = this.inFlight(address) - 1;
      if (left > 0) this.#inFlight.set(address, left);
      else this.#inFlight.delete(address);
    };
  }

  /** The agent of a carrier, created on first use. */
  agentFor(address: string): StrictKeepAliveAgent {
    const known = this.#agents.get(address);
    if (known !== undefined) return known;
    const created = new StrictKeepAliveAgent(MAX_CONNECTIONS_PER_CARRIER);
    this.#agents.set(address, created);
    return created;
  }

  /** Closes the idle connections to a carrier after one of them failed. */
  closeIdle(address: string): void {
    this.#agents.get(address)?.closeIdleSockets();
  }

  /** Closes every connection. */
  close(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    this.#agents.clear();
  }
}

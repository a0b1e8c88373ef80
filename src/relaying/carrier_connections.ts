/** Kept connections to the hosts that carry exchanges for this one. */
import { StrictKeepAliveAgent } from "../endpoints/strict_keep_alive_agent.ts";

/** Exchanges through one carrier at a time; more wait for a connection. */
const MAX_CONNECTIONS_PER_CARRIER = 256;

/** One keep-alive agent for each carrier, with the exchanges in flight there. */
export class CarrierConnections {
  #agents = new Map<string, StrictKeepAliveAgent>();
  /** Exchanges in flight, by carrier. */
  #byCarrier = new Map<string, number>();
  /** Exchanges in flight through any carrier, by address of the endpoint. */
  #byEndpoint = new Map<string, number>();

  /** Number of exchanges of this host in flight through a carrier. */
  inFlight(carrier: string): number {
    return this.#byCarrier.get(carrier) ?? 0;
  }

  /** Number of exchanges in flight with an endpoint through other hosts. */
  toEndpoint(address: string): number {
    return this.#byEndpoint.get(address) ?? 0;
  }

  /** Counts an exchange; the returned function records its end. */
  begin(carrier: string, endpointAddress: string): () => void {
    let ended = false;
    add(this.#byCarrier, carrier, 1);
    add(this.#byEndpoint, endpointAddress, 1);
    return () => {
      if (ended) return;
      ended = true;
      add(this.#byCarrier, carrier, -1);
      add(this.#byEndpoint, endpointAddress, -1);
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

function add(counts: Map<string, number>, key: string, change: number): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count > 0) counts.set(key, count);
  else counts.delete(key);
}

/** The gates of all pools of this host. */
import type { Endpoint } from "../records/types.ts";
import type { AdmissionPolicy } from "./types.ts";
import { PoolGate } from "./pool_gate.ts";

/** This host's share of an endpoint's slots; at least one. */
export function slotShare(slots: number, live_hosts: number): number {
  return Math.max(1, Math.ceil(slots / live_hosts));
}

/** Keeps a gate for each pool and sizes it by its endpoints. */
export class PoolGates {
  #gates = new Map<string, PoolGate>();
  #options: { now: () => number; policy: AdmissionPolicy };

  constructor(options: { now: () => number; policy: AdmissionPolicy }) {
    this.#options = options;
  }

  /** The gate of a pool, sized for its present endpoints. */
  gate(
    pool: string,
    size: { endpoints: readonly Endpoint[]; live_hosts: number },
  ): PoolGate {
    const shares = size.endpoints.map((endpoint) =>
      slotShare(endpoint.slots, size.live_hosts)
    );
    const concurrency = Math.max(
      1,
      shares.reduce((sum, share) => sum + share, 0),
    );
    const known = this.#gates.get(pool);
    if (known !== undefined) {
      known.setConcurrency(concurrency);
      return known;
    }
    const gate = new PoolGate(concurrency, this.#options);
    this.#gates.set(pool, gate);
    return gate;
  }
}

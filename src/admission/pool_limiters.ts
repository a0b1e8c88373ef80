/** The gates of all pools of this host. */
import type { RecordSet } from "../records/record_set.ts";
import type { AdmissionPolicy } from "./types.ts";
import { PoolLimiter } from "./pool_limiter.ts";

/** This host's share of an endpoint's slots; at least one. */
export function slotsPerHost(slots: number, live_hosts: number): number {
  return Math.max(1, Math.ceil(slots / live_hosts));
}

/** What a gate's size follows from. */
interface GateBasis {
  records: RecordSet;
  live_hosts: number;
}

interface SizedGate extends GateBasis {
  gate: PoolLimiter;
}

/** Keeps a gate for each pool and sizes it by its endpoints. */
export class PoolLimiters {
  #gates = new Map<string, SizedGate>();
  #options: { now: () => number; policy: AdmissionPolicy };

  constructor(options: { now: () => number; policy: AdmissionPolicy }) {
    this.#options = options;
  }

  /** The gate of a pool, sized anew when records or hosts have changed. */
  gate(pool: string, basis: GateBasis): PoolLimiter {
    const known = this.#gates.get(pool);
    const unchanged = known?.records === basis.records &&
      known.live_hosts === basis.live_hosts;
    if (known !== undefined && unchanged) return known.gate;
    const concurrency = concurrencyOf(pool, basis);
    const gate = known?.gate ?? new PoolLimiter(concurrency, this.#options);
    gate.setConcurrency(concurrency);
    this.#gates.set(pool, { ...basis, gate });
    return gate;
  }
}

function concurrencyOf(
  pool: string,
  { records, live_hosts }: GateBasis,
): number {
  const endpoints = records.endpointsByPool.get(pool) ?? [];
  const total = endpoints
    .filter((endpoint) => !endpoint.leaving)
    .reduce((sum, { slots }) => sum + slotsPerHost(slots, live_hosts), 0);
  return Math.max(1, total);
}

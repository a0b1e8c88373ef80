/** The concurrency limiters of all pools of this host. */
import type { RecordSet } from "../records/record_set.ts";
import type { AdmissionPolicy } from "./types.ts";
import { PoolLimiter } from "./pool_limiter.ts";

/** This host's share of an endpoint's slots, rounded up; at least one. */
export function slotsPerHost(slots: number, live_hosts: number): number {
  return Math.max(1, Math.ceil(slots / live_hosts));
}

/** Determines a limiter's concurrency; live hosts are those that serve. */
interface ConcurrencyInputs {
  records: RecordSet;
  live_hosts: number;
}

interface SizedLimiter extends ConcurrencyInputs {
  limiter: PoolLimiter;
}

/** Keeps a limiter for each pool, sized by the slots of its endpoints. */
export class PoolLimiters {
  #limiters = new Map<string, SizedLimiter>();
  #options: { now: () => number; policy: AdmissionPolicy };

  constructor(options: { now: () => number; policy: AdmissionPolicy }) {
    this.#options = options;
  }

  /** The limiter of a pool, resized if the records or hosts have changed. */
  limiterFor(pool: string, inputs: ConcurrencyInputs): PoolLimiter {
    const known = this.#limiters.get(pool);
    const unchanged = known?.records === inputs.records &&
      known.live_hosts === inputs.live_hosts;
    if (known !== undefined && unchanged) return known.limiter;
    const concurrency = computeConcurrency(pool, inputs);
    const limiter = known?.limiter ??
      new PoolLimiter(concurrency, this.#options);
    limiter.setConcurrency(concurrency);
    this.#limiters.set(pool, { ...inputs, limiter });
    return limiter;
  }
}

function computeConcurrency(
  pool: string,
  { records, live_hosts }: ConcurrencyInputs,
): number {
  const endpoints = records.endpointsByPool.get(pool) ?? [];
  const total = endpoints
    .filter(({ leaving, availability_zone }) =>
      !leaving && !records.evacuatedZones.has(availability_zone)
    )
    .reduce((sum, { slots }) => sum + slotsPerHost(slots, live_hosts), 0);
  return Math.max(1, total);
}

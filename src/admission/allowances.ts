/**
 * Rate limits of organisations ("allowances"), which apply to all hosts
 * together. Each host enforces a share of an allowance, equal to its share of
 * the organisation's demand as the hosts report it to each other. The share has
 * a minimum, so that a host that cannot reach its peers still grants requests.
 */
import type { Demand } from "../membership/types.ts";
import { formatIdentity, type Organisation } from "../records/types.ts";
import { TokenBucket } from "../utils/token_bucket.ts";

/** What {@linkcode Allowances} needs to know about the other hosts. */
export interface AllowanceOptions {
  /** Requests per second that the other hosts reported for an organisation. */
  otherDemand: (organisation: string) => number;
  /** Number of hosts that accept new requests. */
  servingHosts: () => number;
}

interface AllowanceState {
  bucket: TokenBucket;
  /** This host's share of the allowance, 0 to 1. */
  share: number;
  /** Requests since the start of the current window. */
  request_count: number;
  rate_per_second: number;
}

/** A host's minimum share, as a fraction of an even split between hosts. */
const MIN_FRACTION_OF_EVEN_SHARE = 0.25;
/** How often the request rates are updated. */
const RATE_WINDOW_MS = 1_000;
/** Weight of the latest window in the moving average of a rate. */
const RATE_SMOOTHING = 0.2;
const MS_PER_S = 1_000;

/** Decides whether a request is within its organisation's allowance. */
export class Allowances {
  #states = new Map<string, AllowanceState>();
  #options: AllowanceOptions;
  #window_start_ms = 0;

  constructor(options: AllowanceOptions) {
    this.#options = options;
  }

  /** Takes one request from the allowance; false if it is exhausted. */
  tryTake(organisation: Organisation, now_ms: number): boolean {
    this.#updateRates(now_ms);
    const state = this.#stateFor(organisation, now_ms);
    state.request_count += 1;
    this.#updateShare(organisation, state, now_ms);
    return state.bucket.tryTake(now_ms);
  }

  /** This host's demand for each organisation, for reports to its peers. */
  demand(now_ms: number): Demand[] {
    this.#updateRates(now_ms);
    return [...this.#states]
      .map(([organisation, { rate_per_second }]) => ({
        organisation,
        requests_per_second: Math.round(rate_per_second * 10) / 10,
      }))
      .filter((demand) => demand.requests_per_second > 0);
  }

  #stateFor(organisation: Organisation, now_ms: number): AllowanceState {
    const key = formatIdentity(organisation);
    const known = this.#states.get(key);
    if (known !== undefined) return known;
    const state = {
      bucket: new TokenBucket(limitsFor(organisation, 1), now_ms),
      share: 1,
      request_count: 0,
      rate_per_second: 0,
    };
    this.#states.set(key, state);
    return state;
  }

  #updateShare(
    organisation: Organisation,
    state: AllowanceState,
    now_ms: number,
  ): void {
    const share = this.#shareOf(organisation, state);
    state.share = share;
    state.bucket.setLimits(limitsFor(organisation, share), now_ms);
  }

  #shareOf(organisation: Organisation, state: AllowanceState): number {
    const own = state.rate_per_second;
    const other = this.#options.otherDemand(formatIdentity(organisation));
    const even = 1 / this.#options.servingHosts();
    if (own + other <= 0) return even;
    return Math.max(even * MIN_FRACTION_OF_EVEN_SHARE, own / (own + other));
  }

  #updateRates(now_ms: number): void {
    const elapsed_ms = now_ms - this.#window_start_ms;
    if (elapsed_ms < RATE_WINDOW_MS) return;
    for (const state of this.#states.values()) {
      const rate = state.request_count * MS_PER_S / elapsed_ms;
      state.rate_per_second = state.rate_per_second * (1 - RATE_SMOOTHING) +
        rate * RATE_SMOOTHING;
      state.request_count = 0;
    }
    this.#window_start_ms = now_ms;
  }
}

/**
 * Scales the rate by the share, and the burst by the square root of the share:
 * the arrivals of a small share vary more, relative to their number.
 */
function limitsFor(organisation: Organisation, share: number) {
  return {
    tokens_per_second: organisation.requests_per_second * share,
    burst_tokens: Math.max(1, organisation.burst_requests * Math.sqrt(share)),
  };
}

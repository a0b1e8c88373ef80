/** What this host knows of one endpoint. */
import type { AttemptResult } from "../endpoints/attempt.ts";
import { AttemptEnd } from "../endpoints/attempt.ts";
import type { Endpoint } from "../records/types.ts";
import { RecentQuantiles } from "../utils/recent_quantiles.ts";
import {
  createHealth,
  type Health,
  HealthState,
  recordCall,
} from "./endpoint_health.ts";

const RECENT_CALLS = 16;
/** An idle endpoint's estimate halves in this time, so that it is tried again. */
const ESTIMATE_HALF_LIFE_MS = 2_000;
const MEDIAN = 0.5;
const FAILURE_SMOOTHING = 0.1;
const LEAST_SUCCESS_SHARE = 0.1;
/** Stand-in for a service time that is not known yet; small, so it is tried. */
const UNKNOWN_SERVICE_MS = 1;
const LOAD_REPORT_LIFE_MS = 5_000;

/** Learned state of one endpoint. */
export class EndpointState {
  readonly health: Health = createHealth();
  in_flight = 0;
  /** Whether the endpoint, or a peer, said that it is leaving. */
  leaving = false;
  #service = new RecentQuantiles(RECENT_CALLS);
  #learned_ms = 0;
  /** Smoothed share of recent calls that failed, 0 to 1. */
  #failing_share = 0;
  #utilization = 0;
  #utilization_ms = -Infinity;

  /** Median time of recent calls, less the longer none has ended. */
  service_ms(now_ms: number): number {
    const median_ms = this.#service.quantile(MEDIAN);
    if (median_ms === undefined) return UNKNOWN_SERVICE_MS;
    const idle_ms = this.in_flight > 0 ? 0 : now_ms - this.#learned_ms;
    return median_ms * 2 ** (-idle_ms / ESTIMATE_HALF_LIFE_MS);
  }

  /** Smoothed share of recent calls that succeeded, above 0. */
  get success_share(): number {
    return Math.max(LEAST_SUCCESS_SHARE, 1 - this.#failing_share);
  }

  /** Utilization that the endpoint reported lately, or 0. */
  utilization(now_ms: number): number {
    const fresh = now_ms - this.#utilization_ms < LOAD_REPORT_LIFE_MS;
    return fresh ? this.#utilization : 0;
  }

  get #isProbing(): boolean {
    return this.health.state === HealthState.Probing;
  }

  /** Learns from the result of a call. */
  record(result: AttemptResult, now_ms: number): void {
    if (result.load !== undefined) {
      this.#utilization = result.load.utilization;
      this.#utilization_ms = now_ms;
    }
    if (result.leaving) this.leaving = true;
    if (result.end === AttemptEnd.Cancelled && !this.#isProbing) return;
    const succeeded = result.end === AttemptEnd.Done;
    if (succeeded || result.end === AttemptEnd.Silent) {
      this.#service.add(result.elapsed_ms);
    }
    this.#learned_ms = now_ms;
    const failed = succeeded ? 0 : 1;
    this.#failing_share += (failed - this.#failing_share) * FAILURE_SMOOTHING;
    recordCall(this.health, { succeeded, now_ms });
  }
}

/** Keeps the state of every endpoint by identity text. */
export class EndpointStates {
  #states = new Map<string, EndpointState>();

  /** The state of an endpoint; created on first use. */
  of(endpoint: Endpoint): EndpointState {
    const key = keyOf(endpoint);
    const known = this.#states.get(key);
    if (known !== undefined) return known;
    const state = new EndpointState();
    this.#states.set(key, state);
    return state;
  }

  /**
   * Takes new records: forgets endpoints that are gone. A record that says
   * "leaving" takes over from what the endpoint said itself, so that the
   * endpoint is used again once its record says "serving" again.
   */
  follow(endpoints: Iterable<Endpoint>): void {
    const present = new Set<string>();
    for (const endpoint of endpoints) {
      present.add(keyOf(endpoint));
      if (endpoint.leaving) this.of(endpoint).leaving = false;
    }
    for (const key of this.#states.keys()) {
      if (!present.has(key)) this.#states.delete(key);
    }
  }

  /** Marks an endpoint as leaving. */
  markLeaving(endpoint: Endpoint): void {
    this.of(endpoint).leaving = true;
  }
}

function keyOf({ fleet, name, address }: Endpoint): string {
  return `${fleet}/${name}@${address}`;
}

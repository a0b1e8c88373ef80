/**
 * Load, service time and health of endpoints, as an entry host observes them in
 * its calls. Gateway hosts use observed_load.ts instead.
 */
import type { AttemptResult } from "../endpoints/attempt.ts";
import { AttemptOutcome } from "../endpoints/attempt.ts";
import type { Endpoint } from "../records/types.ts";
import { RecentQuantiles } from "../utils/recent_quantiles.ts";
import {
  createHealth,
  type Health,
  HealthState,
  recordCallResult,
} from "./endpoint_health.ts";

const MAX_SERVICE_TIME_SAMPLES = 16;
/** Estimates of idle endpoints decay, so that they are tried again. */
const ESTIMATE_HALF_LIFE_MS = 2_000;
const MEDIAN = 0.5;
/** Weight of the newest call in the moving average of failures. */
const FAILURE_SMOOTHING = 0.1;
/** Lower bound of the success share, which expected times are divided by. */
const MIN_SUCCESS_SHARE = 0.1;
/** Estimate before the first call; small, so that the endpoint is tried. */
const INITIAL_SERVICE_MS = 1;
const MAX_LOAD_REPORT_AGE_MS = 5_000;

/** Observed load, service time and health of one endpoint. */
export class EndpointState {
  readonly health: Health = createHealth();
  /** Calls of this host in flight. */
  in_flight = 0;
  /** Whether the endpoint or a peer reported that it is leaving. */
  leaving = false;
  #serviceTimes = new RecentQuantiles(MAX_SERVICE_TIME_SAMPLES);
  #lastRecorded_ms = 0;
  /** Smoothed share of recent calls that failed, 0 to 1. */
  #failureShare = 0;
  #utilization = 0;
  #utilizationReported_ms = -Infinity;

  /** Median time of recent calls in milliseconds, decaying while idle. */
  serviceMs(now_ms: number): number {
    const median_ms = this.#serviceTimes.quantile(MEDIAN);
    if (median_ms === undefined) return INITIAL_SERVICE_MS;
    const idle_ms = this.in_flight > 0 ? 0 : now_ms - this.#lastRecorded_ms;
    return median_ms * 2 ** (-idle_ms / ESTIMATE_HALF_LIFE_MS);
  }

  /** Smoothed share of recent calls that succeeded, 0.1 to 1. */
  get success_share(): number {
    return Math.max(MIN_SUCCESS_SHARE, 1 - this.#failureShare);
  }

  /** Utilization that the endpoint last reported; 0 without a recent report. */
  utilization(now_ms: number): number {
    const fresh =
      now_ms - this.#utilizationReported_ms < MAX_LOAD_REPORT_AGE_MS;
    return fresh ? this.#utilization : 0;
  }

  get #isProbing(): boolean {
    return this.health.state === HealthState.Probing;
  }

  /** Records the result of a call; ignores cancelled calls except probes. */
  record(result: AttemptResult, now_ms: number): void {
    if (result.load !== undefined) {
      this.#utilization = result.load.utilization;
      this.#utilizationReported_ms = now_ms;
    }
    if (result.leaving) this.leaving = true;
    if (result.outcome === AttemptOutcome.Cancelled && !this.#isProbing) return;
    const succeeded = result.outcome === AttemptOutcome.Completed;
    if (succeeded || result.outcome === AttemptOutcome.TimedOut) {
      this.#serviceTimes.add(result.elapsed_ms);
    }
    this.#lastRecorded_ms = now_ms;
    const failed = succeeded ? 0 : 1;
    this.#failureShare += (failed - this.#failureShare) * FAILURE_SMOOTHING;
    recordCallResult(this.health, { succeeded, now_ms });
  }
}

/** Keeps the state of every endpoint. */
export class EndpointStates {
  #states = new Map<string, EndpointState>();

  /** The state of an endpoint, created on first use. */
  forEndpoint(endpoint: Endpoint): EndpointState {
    const key = keyOf(endpoint);
    const known = this.#states.get(key);
    if (known !== undefined) return known;
    const state = new EndpointState();
    this.#states.set(key, state);
    return state;
  }

  /**
   * Updates the states to the current endpoint records. Drops the state of
   * endpoints that have no record. If a record is marked as leaving, clears
   * what the endpoint or a peer reported about leaving, so that the endpoint is
   * used again as soon as the mark is removed.
   */
  sync(endpoints: Iterable<Endpoint>): void {
    const keys = new Set<string>();
    for (const endpoint of endpoints) {
      keys.add(keyOf(endpoint));
      if (endpoint.leaving) this.forEndpoint(endpoint).leaving = false;
    }
    for (const key of this.#states.keys()) {
      if (!keys.has(key)) this.#states.delete(key);
    }
  }

  /** Marks an endpoint as leaving. */
  markLeaving(endpoint: Endpoint): void {
    this.forEndpoint(endpoint).leaving = true;
  }
}

function keyOf({ fleet, name, address }: Endpoint): string {
  return `${fleet}/${name}@${address}`;
}

/**
 * What this host has seen of each endpoint: its own requests there, the load
 * that answers reported, and how often it failed of late. Pure: time comes in.
 */
import type { RouteEndpoint } from "../routes/types.ts";

/** Load that an endpoint reported with an answer. */
export interface ReportedLoad {
  running: number;
  waiting: number;
}

/** How an exchange with an endpoint ended, as far as trust goes. */
export enum ExchangeOutcome {
  Success = "well",
  /** It refused truthfully, since it was full. */
  Full = "full",
  /** No connection, no answer, or an answer that was none. */
  ConnectionFailed = "broken",
  /** It answered with a failure of its own. */
  Error = "error",
}

/** Half-life of a report's weight, in milliseconds. */
const LOAD_REPORT_HALF_LIFE_MS = 300;
/** Weight of the newest exchange in the learned share of failures. */
const FAILURE_SMOOTHING = 0.25;
/** First and longest rest of an endpoint that can't be reached. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4_000;
/** How long a full endpoint is passed over. */
const BACKOFF_WHEN_FULL_MS = 60;
/** Weight of the newest answer in the learned time. */
const TIME_SMOOTHING = 0.1;

/** One endpoint as seen from here. */
export class ObservedEndpoint {
  in_flight = 0;
  /** Share of recent exchanges that failed, 0 to 1. */
  failure_share = 0;
  /** Learned time of an answer, in milliseconds; 0 before the first. */
  first_byte_ms = 0;
  #consecutiveFailures = 0;
  #backoffUntil_ms = 0;
  #reported: ReportedLoad = { running: 0, waiting: 0 };
  #reported_ms = -Infinity;
  /** This host's own requests at the time of the report. */
  #ownAtReport = 0;

  /** Whether it should get nothing for the moment. */
  isBackingOff(now_ms: number): boolean {
    return now_ms < this.#backoffUntil_ms;
  }

  /** Takes note of a report. */
  recordLoad(load: ReportedLoad, now_ms: number): void {
    this.#reported = load;
    this.#reported_ms = now_ms;
    this.#ownAtReport = this.in_flight;
  }

  /** Requests that are there by the best guess, those of others included. */
  estimatedRequests(now_ms: number): number {
    const age_ms = now_ms - this.#reported_ms;
    const weight = 0.5 ** (age_ms / LOAD_REPORT_HALF_LIFE_MS);
    const { running, waiting } = this.#reported;
    const others = Math.max(0, running + waiting - this.#ownAtReport);
    return this.in_flight + others * weight;
  }

  /** Takes note of how an exchange ended. */
  recordOutcome(verdict: ExchangeOutcome, now_ms: number): void {
    const failed = verdict === ExchangeOutcome.ConnectionFailed ||
      verdict === ExchangeOutcome.Error;
    this.failure_share += FAILURE_SMOOTHING *
      (Number(failed) - this.failure_share);
    if (verdict === ExchangeOutcome.Full) {
      this.#backoffUntil_ms = now_ms + BACKOFF_WHEN_FULL_MS;
    }
    if (verdict === ExchangeOutcome.ConnectionFailed) {
      const rest_ms = INITIAL_BACKOFF_MS * 2 ** this.#consecutiveFailures;
      this.#consecutiveFailures += 1;
      this.#backoffUntil_ms = now_ms + Math.min(MAX_BACKOFF_MS, rest_ms);
    } else this.#consecutiveFailures = 0;
  }
}

/** The views of all endpoints, one for each incarnation. */
export class ObservedLoad {
  #endpoints = new Map<string, ObservedEndpoint>();
  #poolFirstByte_ms = new Map<string, number>();

  /** Learns from the time until the first bytes of a good answer. */
  recordFirstByte(endpoint: RouteEndpoint, elapsed_ms: number): void {
    const view = this.forEndpoint(endpoint);
    view.first_byte_ms = smoothTime(view.first_byte_ms, elapsed_ms);
    const ofPool_ms = smoothTime(this.firstByteMs(endpoint.pool), elapsed_ms);
    this.#poolFirstByte_ms.set(endpoint.pool, ofPool_ms);
  }

  /** Learned time until the first bytes of a pool's answers; 0 if unknown. */
  firstByteMs(pool: string): number {
    return this.#poolFirstByte_ms.get(pool) ?? 0;
  }

  /** The view of one endpoint. */
  forEndpoint(endpoint: RouteEndpoint): ObservedEndpoint {
    const key = `${endpoint.id}/${endpoint.born_ms}/${endpoint.address}`;
    const known = this.#endpoints.get(key);
    if (known !== undefined) return known;
    const created = new ObservedEndpoint();
    this.#endpoints.set(key, created);
    return created;
  }
}

function smoothTime(known_ms: number, sample_ms: number): number {
  if (known_ms === 0) return sample_ms;
  return known_ms + TIME_SMOOTHING * (sample_ms - known_ms);
}

/**
 * What a gateway host has observed of each endpoint: its own requests there,
 * the load that responses reported, recent failures and response times. Entry
 * hosts use endpoint_state.ts instead. Does no I/O and reads no clock: callers
 * pass the time in.
 */
import { EndpointSilence } from "../endpoints/endpoint_silence.ts";
import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import { dropOldest } from "../utils/drop_oldest.ts";
import { Restarts } from "./restarts.ts";

/** The load that an endpoint reported with a response. */
export interface ReportedLoad {
  /** Number of requests that it worked on. */
  running: number;
  /** Number of requests that waited there. */
  waiting: number;
  /**
   * Ratio of the time that work took there at that moment to its usual time;
   * undefined from endpoints that don't report it.
   */
  slowness?: number;
}

/** The outcome of an exchange, as it counts for the endpoint's health. */
export enum ObservedOutcome {
  Success = "well",
  /** It rejected the request because it was at capacity. */
  Full = "full",
  /** No connection, or no complete and valid response. */
  ConnectionFailed = "broken",
  /** No response in time, but no longer than a sound endpoint may take. */
  Silent = "silent",
  /** It responded with a server error. */
  Error = "error",
  /** This host could not form the request: it tells nothing of the endpoint. */
  NotSent = "not_sent",
  /** The way to the endpoint failed: it tells nothing either. */
  Unreachable = "unreachable",
  /** This host ended it, for its caller or its time: it tells nothing either. */
  Stopped = "stopped",
}

const OUTCOMES_WITHOUT_NEWS: ReadonlySet<ObservedOutcome> = new Set([
  ObservedOutcome.NotSent,
  ObservedOutcome.Unreachable,
  ObservedOutcome.Stopped,
]);

/** The weight of a load report halves in this time. */
const LOAD_REPORT_HALF_LIFE_MS = 300;
/** Weight of the newest exchange in the moving average of failures. */
const FAILURE_SMOOTHING = 0.25;
/** Share of failures from which an endpoint is avoided. */
const MAX_FAILURE_SHARE = 0.5;
/**
 * Time for which it is avoided; doubles with each failure after such a time, up to
 * the longest. Only an exchange tells that it is sound again.
 */
const INITIAL_AVOIDANCE_MS = 2_000;
const MAX_AVOIDANCE_MS = 16_000;
/** Backoff doubles with each consecutive connection failure, in this range. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4_000;
/** Backoff after an endpoint rejected a request because it was at capacity. */
const BACKOFF_WHEN_FULL_MS = 60;
/** Routes whose times are remembered; beyond this the oldest are dropped. */
const MAX_ROUTES = 4_096;
/** Weight of the newest response in the moving average of response times. */
const TIME_SMOOTHING = 0.1;

/** Observed load, failures and response time of one endpoint. */
export class ObservedEndpoint {
  /** Requests of this host in flight. */
  in_flight = 0;
  readonly silence = new EndpointSilence();
  /** Moving average of failed exchanges, 0 to 1. */
  failure_share = 0;
  /**
   * Moving average of the time to the first byte, in milliseconds; 0 before the
   * first response.
   */
  first_byte_ms = 0;
  #consecutiveFailures = 0;
  #backoffUntil_ms = 0;
  #avoidUntil_ms = -Infinity;
  #avoidance_ms = INITIAL_AVOIDANCE_MS;
  #reported: ReportedLoad = { running: 0, waiting: 0 };
  #reported_ms = -Infinity;
  /** Requests of this host in flight at the time of the report. */
  #inFlightAtReport = 0;

  /** Whether it should get no requests for the moment. */
  isBackingOff(now_ms: number): boolean {
    return now_ms < this.#backoffUntil_ms;
  }

  /** Whether it has failed too often to be used while others are sound. */
  isAvoided(now_ms: number): boolean {
    return this.failure_share >= MAX_FAILURE_SHARE &&
      now_ms < this.#avoidUntil_ms;
  }

  /** Records a load report. */
  recordLoad(load: ReportedLoad, now_ms: number): void {
    this.#reported = load;
    this.#reported_ms = now_ms;
    this.#inFlightAtReport = this.in_flight;
  }

  /** Estimated number of requests there, including those of other hosts. */
  estimatedRequests(now_ms: number): number {
    const { running, waiting } = this.#reported;
    const others = Math.max(0, running + waiting - this.#inFlightAtReport);
    return this.in_flight + others * this.#reportWeight(now_ms);
  }

  /**
   * Estimated ratio of the time that work takes there to its usual time. It
   * approaches 1 as the report that it comes from gets older.
   */
  slowness(now_ms: number): number {
    const { slowness = 1 } = this.#reported;
    return 1 + (slowness - 1) * this.#reportWeight(now_ms);
  }

  /** Records how an exchange ended. */
  recordOutcome(outcome: ObservedOutcome, now_ms: number): void {
    if (OUTCOMES_WITHOUT_NEWS.has(outcome)) return;
    if (outcome === ObservedOutcome.Silent) {
      const until_ms = now_ms + INITIAL_BACKOFF_MS;
      this.#backoffUntil_ms = Math.max(this.#backoffUntil_ms, until_ms);
      return;
    }
    const failed = outcome === ObservedOutcome.ConnectionFailed ||
      outcome === ObservedOutcome.Error;
    this.failure_share += FAILURE_SMOOTHING *
      (Number(failed) - this.failure_share);
    this.#updateAvoidance(failed, now_ms);
    if (outcome === ObservedOutcome.Full) {
      this.#backoffUntil_ms = now_ms + BACKOFF_WHEN_FULL_MS;
    }
    if (outcome === ObservedOutcome.ConnectionFailed) {
      const backoff_ms = INITIAL_BACKOFF_MS * 2 ** this.#consecutiveFailures;
      this.#consecutiveFailures += 1;
      this.#backoffUntil_ms = now_ms + Math.min(MAX_BACKOFF_MS, backoff_ms);
    } else this.#consecutiveFailures = 0;
  }

  /** Forgets failures that were this host's own and not the endpoint's. */
  forgetFailures(): void {
    this.failure_share = 0;
    this.#consecutiveFailures = 0;
    this.#backoffUntil_ms = 0;
    this.#avoidUntil_ms = -Infinity;
    this.#avoidance_ms = INITIAL_AVOIDANCE_MS;
  }

  #reportWeight(now_ms: number): number {
    const age_ms = now_ms - this.#reported_ms;
    return 0.5 ** (age_ms / LOAD_REPORT_HALF_LIFE_MS);
  }

  #updateAvoidance(failed: boolean, now_ms: number): void {
    if (this.failure_share < MAX_FAILURE_SHARE) {
      this.#avoidance_ms = INITIAL_AVOIDANCE_MS;
    } else if (failed && now_ms >= this.#avoidUntil_ms) {
      this.#avoidUntil_ms = now_ms + this.#avoidance_ms;
      this.#avoidance_ms = Math.min(MAX_AVOIDANCE_MS, 2 * this.#avoidance_ms);
    }
  }
}

/** The observations of all endpoints, one set for each incarnation. */
export class ObservedLoad {
  /** Kept by id, since the observations of a new incarnation start anew. */
  readonly restarts = new Restarts();
  #endpoints = new Map<string, ObservedEndpoint>();
  #poolFirstByte_ms = new Map<string, number>();
  #routeFirstByte_ms = new Map<string, number>();
  /** Pools whose endpoints report their speed. */
  #speedPools = new Set<string>();

  /** Records the time to the first byte of a successful response. */
  recordFirstByte(endpoint: RouteEndpoint, elapsed_ms: number): void {
    const observed = this.forEndpoint(endpoint);
    observed.first_byte_ms = smoothTime(observed.first_byte_ms, elapsed_ms);
    const pool_ms = smoothTime(this.firstByteMs(endpoint.pool), elapsed_ms);
    this.#poolFirstByte_ms.set(endpoint.pool, pool_ms);
  }

  /**
   * Moving average of the time to the first byte in a pool, in milliseconds; 0
   * before the first response.
   */
  firstByteMs(pool: string): number {
    return this.#poolFirstByte_ms.get(pool) ?? 0;
  }

  /** Records the time to the first byte of a successful response on a route. */
  recordRouteFirstByte(route: string, elapsed_ms: number): void {
    const route_ms = smoothTime(this.routeFirstByteMs(route), elapsed_ms);
    this.#routeFirstByte_ms.set(route, route_ms);
    dropOldest(this.#routeFirstByte_ms, MAX_ROUTES);
  }

  /** Like `firstByteMs`, for the requests of a route, whose size differs less. */
  routeFirstByteMs(route: string): number {
    return this.#routeFirstByte_ms.get(route) ?? 0;
  }

  /** Records that an endpoint of a pool reports its speed. */
  recordSpeedReport(pool: string): void {
    this.#speedPools.add(pool);
  }

  /** Whether endpoints of a pool report their speed. */
  reportsSpeed(pool: string): boolean {
    return this.#speedPools.has(pool);
  }

  /**
   * Forgets failures and slow responses of an endpoint that has recovered, so that
   * it is chosen again.
   */
  forgetTrouble(endpoint: RouteEndpoint): void {
    const observed = this.forEndpoint(endpoint);
    observed.forgetFailures();
    const usual_ms = this.firstByteMs(endpoint.pool);
    observed.first_byte_ms = Math.min(observed.first_byte_ms, usual_ms);
  }

  /** The observations of one endpoint, created on first use. */
  forEndpoint(endpoint: RouteEndpoint): ObservedEndpoint {
    const key = incarnationOf(endpoint);
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

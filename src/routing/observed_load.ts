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
export enum ExchangeVerdict {
  Well = "well",
  /** It refused truthfully, since it was full. */
  Full = "full",
  /** No connection, no answer, or an answer that was none. */
  Broken = "broken",
  /** It answered with a failure of its own. */
  Error = "error",
}

/** Half-life of a report's weight, in milliseconds. */
const REPORT_HALF_LIFE_MS = 300;
/** Weight of the newest exchange in the learned share of failures. */
const FAILURE_GAIN = 0.25;
/** First and longest rest of an endpoint that can't be reached. */
const FIRST_REST_MS = 250;
const LONGEST_REST_MS = 4_000;
/** How long a full endpoint is passed over. */
const FULL_REST_MS = 60;
/** Weight of the newest answer in the learned time. */
const TIME_GAIN = 0.1;

/** One endpoint as seen from here. */
export class EndpointView {
  inFlight = 0;
  /** Share of recent exchanges that failed, 0 to 1. */
  failureShare = 0;
  /** Learned time of an answer, in milliseconds; 0 before the first. */
  typical_ms = 0;
  #brokenInARow = 0;
  #restsUntil_ms = 0;
  #reported: ReportedLoad = { running: 0, waiting: 0 };
  #reported_ms = -Infinity;
  /** This host's own requests at the time of the report. */
  #ownAtReport = 0;

  /** Whether it should get nothing for the moment. */
  rests(now_ms: number): boolean {
    return now_ms < this.#restsUntil_ms;
  }

  /** Takes note of a report. */
  report(load: ReportedLoad, now_ms: number): void {
    this.#reported = load;
    this.#reported_ms = now_ms;
    this.#ownAtReport = this.inFlight;
  }

  /** Requests that are there by the best guess, those of others included. */
  expectedRequests(now_ms: number): number {
    const age_ms = now_ms - this.#reported_ms;
    const weight = 0.5 ** (age_ms / REPORT_HALF_LIFE_MS);
    const { running, waiting } = this.#reported;
    const others = Math.max(0, running + waiting - this.#ownAtReport);
    return this.inFlight + others * weight;
  }

  /** Takes note of how an exchange ended. */
  judge(verdict: ExchangeVerdict, now_ms: number): void {
    const failed = verdict === ExchangeVerdict.Broken ||
      verdict === ExchangeVerdict.Error;
    this.failureShare += FAILURE_GAIN * (Number(failed) - this.failureShare);
    if (verdict === ExchangeVerdict.Full) {
      this.#restsUntil_ms = now_ms + FULL_REST_MS;
    }
    if (verdict === ExchangeVerdict.Broken) {
      const rest_ms = FIRST_REST_MS * 2 ** this.#brokenInARow;
      this.#brokenInARow += 1;
      this.#restsUntil_ms = now_ms + Math.min(LONGEST_REST_MS, rest_ms);
    } else this.#brokenInARow = 0;
  }
}

/** The views of all endpoints, one for each incarnation. */
export class ObservedLoad {
  #views = new Map<string, EndpointView>();
  #typical_ms = new Map<string, number>();

  /** Learns from the time until the first bytes of a good answer. */
  learnTime(endpoint: RouteEndpoint, elapsed_ms: number): void {
    const view = this.of(endpoint);
    view.typical_ms = smoothed(view.typical_ms, elapsed_ms);
    const ofPool_ms = smoothed(this.typicalMs(endpoint.pool), elapsed_ms);
    this.#typical_ms.set(endpoint.pool, ofPool_ms);
  }

  /** Learned time until the first bytes of a pool's answers; 0 if unknown. */
  typicalMs(pool: string): number {
    return this.#typical_ms.get(pool) ?? 0;
  }

  /** The view of one endpoint. */
  of(endpoint: RouteEndpoint): EndpointView {
    const key = `${endpoint.id}/${endpoint.born_ms}/${endpoint.address}`;
    const known = this.#views.get(key);
    if (known !== undefined) return known;
    const created = new EndpointView();
    this.#views.set(key, created);
    return created;
  }
}

function smoothed(known_ms: number, sample_ms: number): number {
  if (known_ms === 0) return sample_ms;
  return known_ms + TIME_GAIN * (sample_ms - known_ms);
}

/**
 * Takes in what endpoints say of themselves in their responses, and what other
 * hosts pass on of that.
 */
import type { EndpointPlaces } from "../endpoint_places/endpoint_places.ts";
import type { RampReason } from "../endpoint_places/ramp_reason.ts";
import {
  type ColdEndpoints,
  ColdSource,
} from "../cold_endpoints/cold_endpoints.ts";
import type { Logger } from "../logging/logger.ts";
import type { RateLimitService } from "../rate_limits/rate_limit_service.ts";
import { addressOfIncarnation, incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import type { ObservedLoad } from "../routing/observed_load.ts";
import type { EndpointRegistry } from "../store_sync/endpoint_registry.ts";
import {
  type EndpointNotice,
  type EndpointNoticePeers,
  EndpointNotices,
  MIN_COLD_NEWS_MS,
} from "./endpoint_notices.ts";
import { EndpointPauses } from "./endpoint_pauses.ts";
import type { EndpointReport } from "./endpoint_report.ts";

/** From what a host learns that an endpoint is leaving. */
export enum LeavingSource {
  Response = "response",
  Peer = "peer",
}

/** Dependencies of an {@linkcode EndpointReports}. */
export interface EndpointReportsOptions {
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts, this one included. */
  hosts: () => string[];
  peers: EndpointNoticePeers;
  load: ObservedLoad;
  rateLimits: RateLimitService;
  places: EndpointPlaces;
  endpoints: EndpointRegistry;
  /** Undefined if requests to cold endpoints are not bounded. */
  coldEndpoints?: ColdEndpoints | undefined;
  /** Called when this host learns that the endpoint at an address is leaving. */
  onLeaving: (address: string, source: LeavingSource) => void;
  /** Called when the endpoint at an address wants no requests for a while. */
  onPause: (address: string) => void;
  log: Logger;
  now: () => number;
  /** Aborts when this host stops. */
  signal: AbortSignal;
}

/** Takes in the word of endpoints. */
export class EndpointReports {
  #options: EndpointReportsOptions;
  #notices: EndpointNotices;
  #pauses = new EndpointPauses();

  constructor(options: EndpointReportsOptions) {
    this.#options = options;
    this.#notices = new EndpointNotices({
      ...options,
      apply: (notice) => this.#apply(notice),
    });
  }

  /**
   * Takes in what a response says. `sent_ms` is the time at which its request
   * was sent; undefined if that isn't known, or if its rate limit is kept to
   * without permits.
   */
  record(
    endpoint: RouteEndpoint,
    report: EndpointReport,
    sent_ms: number | undefined,
  ): void {
    const { load, rateLimits, places, now } = this.#options;
    if (report.load !== undefined) {
      load.forEndpoint(endpoint).recordLoad(report.load, now());
      if (report.load.slowness !== undefined) {
        load.recordSpeedReport(endpoint.pool);
      }
    }
    if (report.pause_ms > 0) this.#beginPause(endpoint, report.pause_ms);
    const incarnation = incarnationOf(endpoint);
    if (
      report.leaving && this.#markLeaving(incarnation, LeavingSource.Response)
    ) {
      this.#notices.report({
        endpoint: incarnation,
        per_s: rateLimits.limitPerS(endpoint),
        leaving: true,
      });
    }
    if (report.cold_ms !== undefined) {
      this.recordCold(endpoint, report.cold_ms);
    }
    if (sent_ms === undefined) return;
    const { rate_limit, rejection_limit: named } = report;
    const notice = rateLimits.observe(endpoint, { rate_limit, sent_ms });
    if (notice !== undefined) this.#notices.report(notice);
    const observed = { rejection_limit: named, sent_ms };
    const rejection_limit = places.observe(endpoint, observed);
    if (rejection_limit !== undefined) {
      const per_s = rateLimits.limitPerS(endpoint);
      this.#notices.report({ endpoint: incarnation, per_s, rejection_limit });
    }
  }

  /**
   * Records for how long an endpoint says that it stays cold, in milliseconds,
   * and has all hosts told if that is news.
   */
  recordCold(endpoint: RouteEndpoint, cold_ms: number): void {
    const { coldEndpoints, rateLimits, now } = this.#options;
    if (coldEndpoints?.hasLimit(endpoint) !== true) return;
    const longer_ms = coldEndpoints.observeAnswer(endpoint, cold_ms, now());
    if (longer_ms < MIN_COLD_NEWS_MS) return;
    this.#notices.report({
      endpoint: incarnationOf(endpoint),
      per_s: rateLimits.limitPerS(endpoint),
      cold_ms,
    });
  }

  /**
   * Time until the endpoint takes requests of this host again, in milliseconds;
   * 0 if it does.
   */
  pauseMs(endpoint: RouteEndpoint): number {
    return this.#pauses.remainingMs(
      incarnationOf(endpoint),
      this.#options.now(),
    );
  }

  /** Has all hosts told that an endpoint is in ramp-up. */
  reportRamp(endpoint: RouteEndpoint, reason: RampReason): void {
    const per_s = this.#options.rateLimits.limitPerS(endpoint);
    this.#notices.report({
      endpoint: incarnationOf(endpoint),
      per_s,
      ramp: { reason },
    });
  }

  /** Handles another host's report: tells all hosts. */
  handleReport(notice: EndpointNotice): void {
    this.#notices.handleReport(notice);
  }

  /** Applies another host's notice and passes it on. */
  handleNotice(notice: EndpointNotice, targets: string[]): void {
    this.#notices.handleNotice(notice, targets);
  }

  #apply(notice: EndpointNotice): void {
    if (notice.leaving === true) {
      this.#markLeaving(notice.endpoint, LeavingSource.Peer);
    } else if (notice.ramp !== undefined) {
      this.#options.places.applyRamp(notice);
    } else if (notice.rejection_limit !== undefined) {
      this.#options.places.apply(notice);
    } else if (notice.cold_ms !== undefined) {
      this.#applyCold(notice, notice.cold_ms);
    } else this.#options.rateLimits.apply(notice);
  }

  #applyCold({ endpoint: incarnation }: EndpointNotice, cold_ms: number): void {
    const endpoint = this.#findIncarnation(incarnation);
    if (endpoint === undefined) return;
    const { coldEndpoints, now } = this.#options;
    coldEndpoints?.observeAnswer(endpoint, cold_ms, now(), ColdSource.Peer);
  }

  #findIncarnation(incarnation: string): RouteEndpoint | undefined {
    const address = addressOfIncarnation(incarnation);
    const endpoint = this.#options.endpoints.findByAddress(address);
    return endpoint !== undefined && incarnationOf(endpoint) === incarnation
      ? endpoint
      : undefined;
  }

  #beginPause(endpoint: RouteEndpoint, pause_ms: number): void {
    const { onPause, log, now } = this.#options;
    const incarnation = incarnationOf(endpoint);
    const wait_ms = this.#pauses.begin(incarnation, pause_ms, now());
    if (wait_ms === undefined) return;
    log.info({
      event: "endpoint_pause",
      endpoint: endpoint.id,
      wait_ms: Math.round(wait_ms),
    });
    onPause(endpoint.address);
  }

  /** Takes an incarnation out of use; false if it was already. */
  #markLeaving(incarnation: string, source: LeavingSource): boolean {
    const { endpoints, onLeaving, log } = this.#options;
    if (!endpoints.markLeaving(incarnation)) return false;
    log.info({ event: "endpoint_leaving", incarnation, source });
    onLeaving(addressOfIncarnation(incarnation), source);
    return true;
  }
}

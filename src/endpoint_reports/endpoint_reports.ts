/**
 * Takes in what endpoints say of themselves in their responses, and what other
 * hosts pass on of that.
 */
import type { Logger } from "../logging/logger.ts";
import type { RateLimitService } from "../rate_limits/rate_limit_service.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import type { ObservedLoad } from "../routing/observed_load.ts";
import {
  type EndpointNotice,
  type EndpointNoticePeers,
  EndpointNotices,
} from "./endpoint_notices.ts";
import type { EndpointReport } from "./endpoint_report.ts";

/** Dependencies of an {@linkcode EndpointReports}. */
export interface EndpointReportsOptions {
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts, this one included. */
  hosts: () => string[];
  peers: EndpointNoticePeers;
  load: ObservedLoad;
  rateLimits: RateLimitService;
  log: Logger;
  now: () => number;
  /** Aborts when this host stops. */
  signal: AbortSignal;
}

/** Takes in the word of endpoints. */
export class EndpointReports {
  #options: EndpointReportsOptions;
  #notices: EndpointNotices;

  constructor(options: EndpointReportsOptions) {
    this.#options = options;
    this.#notices = new EndpointNotices({
      ...options,
      apply: (notice) => options.rateLimits.apply(notice),
    });
  }

  /**
   * Takes in what a response says. `sent_ms` is the time at which its request
   * was sent; undefined if it answers another request than this one.
   */
  record(
    endpoint: RouteEndpoint,
    report: EndpointReport,
    sent_ms: number | undefined,
  ): void {
    const { load, rateLimits, now } = this.#options;
    if (report.load !== undefined) {
      load.forEndpoint(endpoint).recordLoad(report.load, now());
    }
    if (sent_ms === undefined) return;
    const { rate_limit } = report;
    const notice = rateLimits.observe(endpoint, { rate_limit, sent_ms });
    if (notice !== undefined) this.#notices.report(notice);
  }

  /** Handles another host's report: tells all hosts. */
  handleReport(notice: EndpointNotice): void {
    this.#notices.handleReport(notice);
  }

  /** Applies another host's notice and passes it on. */
  handleNotice(notice: EndpointNotice, targets: string[]): void {
    this.#notices.handleNotice(notice, targets);
  }
}

/**
 * Tells all hosts what an endpoint has begun to say of itself. A host that learns
 * it from a response tells one host, the first live one of a rendezvous ranking
 * for the endpoint's incarnation, which tells all others; so one endpoint's news
 * spreads once, however many hosts get it with a response at the same time.
 */
import { z } from "zod";
import { RampReason } from "../endpoint_places/ramp_reason.ts";
import type { Logger } from "../logging/logger.ts";
import { RankedHosts } from "../membership/ranked_hosts.ts";
import { spread } from "../peers/spread.ts";
import { dropOldest } from "../utils/drop_oldest.ts";

/** What an endpoint has begun to say of itself. */
export const endpointNoticeSchema = z.object({
  /** Incarnation of the endpoint. */
  endpoint: z.string(),
  /**
   * Requests per second that it takes; undefined without a limit. A notice of
   * something else carries it only for hosts of an earlier release.
   */
  per_s: z.number().nonnegative().optional(),
  /**
   * Rejections a second beyond which it crashes, without a value if it no longer
   * does; missing from other notices.
   */
  rejection_limit: z.object({
    /** Pool of the endpoint. */
    pool: z.string(),
    per_s: z.number().nonnegative().optional(),
  }).optional(),
  /** Its ramp-up; missing from other notices. */
  ramp: z.object({ reason: z.enum(RampReason) }).optional(),
  /** Whether it is leaving; missing from hosts of an earlier release. */
  leaving: z.boolean().optional(),
  /** Time for which it stays cold, in milliseconds; missing from other notices. */
  cold_ms: z.number().nonnegative().optional(),
});

/** What an endpoint has begun to say of itself. */
export type EndpointNotice = z.infer<typeof endpointNoticeSchema>;

/** Calls to other hosts; they reject if the host does not respond. */
export interface EndpointNoticePeers {
  /** Tells the host that tells all others. */
  reportEndpoint(address: string, notice: EndpointNotice): Promise<void>;
  /** Tells a host, which passes the notice on to the targets. */
  announceEndpoint(
    address: string,
    notice: EndpointNotice,
    targets: string[],
  ): Promise<void>;
}

/** Dependencies of an {@linkcode EndpointNotices}. */
export interface EndpointNoticesOptions {
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts, this one included. */
  hosts: () => string[];
  peers: EndpointNoticePeers;
  /** Applies a notice that was passed on by another host, or is to be. */
  apply: (notice: EndpointNotice) => void;
  log: Logger;
  now: () => number;
  /** Aborts when this host stops. */
  signal: AbortSignal;
}

/** An endpoint that stays cold this much longer than known is news. */
export const MIN_COLD_NEWS_MS = 500;
/** Pauses before a host that missed the notice of a leaving is told again. */
const REDELIVERY_DELAYS_MS = [400, 1_200];
/** Leaving, and cold, endpoints that are remembered; the oldest are dropped. */
const MAX_ENDPOINTS = 4_096;

/** Sends notices about endpoints to all hosts and applies them here. */
export class EndpointNotices {
  #options: EndpointNoticesOptions;
  #rankedHosts: RankedHosts;
  /** Endpoints of whose leaving this host has told all others. */
  #toldLeaving = new Set<string>();
  /** Until when each endpoint is cold by what this host has told all others. */
  #toldColdUntil_ms = new Map<string, number>();

  constructor(options: EndpointNoticesOptions) {
    this.#options = options;
    this.#rankedHosts = new RankedHosts(options);
  }

  /** Has all hosts told what a response to this host says. */
  report(notice: EndpointNotice): void {
    const { peers } = this.#options;
    void this.#rankedHosts.call({
      key: notice.endpoint,
      count: 1,
      local: () => this.handleReport(notice),
      remote: (host) => peers.reportEndpoint(host, notice),
    });
  }

  /** Handles another host's report: tells all hosts. */
  handleReport(notice: EndpointNotice): void {
    if (notice.leaving === true && !this.#isFirstToldOf(notice)) return;
    if (notice.cold_ms !== undefined && !this.#isColdNews(notice)) return;
    const { self, hosts } = this.#options;
    const targets = hosts().filter((address) => address !== self);
    this.handleNotice(notice, targets);
  }

  /** Applies a notice and passes it on. */
  handleNotice(notice: EndpointNotice, targets: string[]): void {
    const { peers, apply, log, signal } = this.#options;
    apply(notice);
    if (targets.length === 0) return;
    void spread(targets, {
      send: async (address, rest) => {
        await peers.announceEndpoint(address, notice, rest);
        return [];
      },
      onFailure: (peer, error) =>
        log.info({ event: "notice_failed", peer, error: error.message }),
      redeliveryDelays_ms: notice.leaving === true ? REDELIVERY_DELAYS_MS : [],
      signal,
    });
  }

  /** Hosts that learn together that an endpoint is cold report it each. */
  #isColdNews({ endpoint, cold_ms = 0 }: EndpointNotice): boolean {
    const until_ms = this.#options.now() + cold_ms;
    const told_ms = this.#toldColdUntil_ms.get(endpoint) ?? -Infinity;
    if (until_ms - told_ms < MIN_COLD_NEWS_MS) return false;
    this.#toldColdUntil_ms.delete(endpoint);
    this.#toldColdUntil_ms.set(endpoint, until_ms);
    dropOldest(this.#toldColdUntil_ms, MAX_ENDPOINTS);
    return true;
  }

  /** Hosts that learn of a leaving together report it each; true for the first. */
  #isFirstToldOf({ endpoint }: EndpointNotice): boolean {
    if (this.#toldLeaving.has(endpoint)) return false;
    this.#toldLeaving.add(endpoint);
    dropOldest(this.#toldLeaving, MAX_ENDPOINTS);
    return true;
  }
}

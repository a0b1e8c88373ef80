/**
 * Keeps all hosts together within the rates that endpoints name. Each endpoint
 * has an issuer, the first live host of a rendezvous ranking, which every host
 * asks for a permit before it sends the endpoint a request. Hosts that disagree on the issuer exceed the
 * rate for a while; nothing else rests on it.
 */
import type { EndpointNotice } from "../endpoint_reports/endpoint_notices.ts";
import type { NamedRateLimit } from "../endpoint_reports/endpoint_report.ts";
import type { Logger } from "../logging/logger.ts";
import { RankedHosts } from "../membership/ranked_hosts.ts";
import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import { KnownLimits } from "./known_limits.ts";
import { PermitIssuer } from "./permit_issuer.ts";
import type { WaitingRequest } from "./reservation_limits.ts";
import {
  type PermitReply,
  permitReplySchema,
  type PermitRequest,
} from "./types.ts";

/** Calls to other hosts; they reject if the host does not respond. */
export interface RateLimitPeers {
  requestPermit(address: string, request: PermitRequest): Promise<PermitReply>;
}

/** Dependencies of a {@linkcode RateLimitService}. */
export interface RateLimitServiceOptions {
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts, this one included. */
  hosts: () => string[];
  peers: RateLimitPeers;
  log: Logger;
  now: () => number;
}

/** Time after which a host asks again if it reached no issuer. */
const NO_ISSUER_RETRY_MS = 500;

/** Bounds the sends to endpoints that name a rate. */
export class RateLimitService {
  #options: RateLimitServiceOptions;
  #rankedHosts: RankedHosts;
  #known = new KnownLimits();
  #issuer = new PermitIssuer();

  constructor(options: RateLimitServiceOptions) {
    this.#options = options;
    this.#rankedHosts = new RankedHosts(options);
  }

  /**
   * Records what an endpoint's response says about its limit. Returns the notice
   * for the other hosts if a limit starts or ends.
   */
  observe(
    endpoint: RouteEndpoint,
    { rate_limit, sent_ms }: { rate_limit: NamedRateLimit; sent_ms: number },
  ): EndpointNotice | undefined {
    const notice = this.#known.observe(
      { endpoint: incarnationOf(endpoint), rate_limit, sent_ms },
      this.#options.now(),
    );
    if (notice === undefined) return undefined;
    this.#options.log.info({
      event: notice.per_s === undefined ? "limit_ended" : "limit_named",
      endpoint: endpoint.id,
      limit_per_s: notice.per_s,
    });
    return notice;
  }

  /** Applies a notice that a limit starts or ends. */
  apply(notice: EndpointNotice): void {
    this.#known.apply(notice, this.#options.now());
    if (notice.per_s === undefined) this.#issuer.end(notice.endpoint);
  }

  /** Whether the endpoint names a limit. */
  isLimited(endpoint: RouteEndpoint): boolean {
    return this.limitPerS(endpoint) !== undefined;
  }

  /** Requests per second that the endpoint allows; undefined if not named. */
  limitPerS(endpoint: RouteEndpoint): number | undefined {
    const { now } = this.#options;
    return this.#known.find(incarnationOf(endpoint), now())?.per_s;
  }

  /** Time until a send to the endpoint may be permitted, in milliseconds. */
  waitMs(endpoint: RouteEndpoint): number {
    return this.#known.waitMs(incarnationOf(endpoint), this.#options.now());
  }

  /** Takes the permission for a send now; resolves to whether it was granted. */
  async tryTake(endpoint: RouteEndpoint, priority: number): Promise<boolean> {
    const request = { priority, max_wait_ms: 0 };
    return await this.reserve(endpoint, request) !== undefined;
  }

  /**
   * Takes the permission for a send that may wait. Resolves to the time until
   * the send, in milliseconds, or to undefined if it was refused.
   */
  async reserve(
    endpoint: RouteEndpoint,
    waiting: WaitingRequest,
  ): Promise<number | undefined> {
    const incarnation = incarnationOf(endpoint);
    const { peers, now } = this.#options;
    const limit = this.#known.find(incarnation, now());
    if (limit === undefined) return 0;
    const request = { endpoint: incarnation, ...limit, ...waiting };
    const [reply] = await this.#rankedHosts.call({
      key: incarnation,
      count: 1,
      local: () => this.handleRequest(request),
      remote: async (issuer) =>
        permitReplySchema.parse(await peers.requestPermit(issuer, request)),
    });
    if (reply?.granted === true) return reply.wait_ms;
    const retry_after_ms = reply?.retry_after_ms ?? NO_ISSUER_RETRY_MS;
    this.#known.recordRefusal(incarnation, now() + retry_after_ms);
    return undefined;
  }

  /** Handles, as the issuer, a host's request for a permit. */
  handleRequest(request: PermitRequest): PermitReply {
    return this.#issuer.request(request, this.#options.now());
  }
}

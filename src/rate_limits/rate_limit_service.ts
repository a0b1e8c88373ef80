/**
 * Keeps all hosts together within the rates that endpoints name. Each endpoint
 * has an issuer, the first live host of a rendezvous ranking, which every host
 * asks for a permit before it sends the endpoint a request, and which tells all
 * hosts when a limit starts or ends. Hosts that disagree on the issuer exceed the
 * rate for a while; nothing else rests on it.
 */
import type { NamedRateLimit } from "../forwarding/protocol_codec.ts";
import type { Logger } from "../logging/logger.ts";
import { RankedHosts } from "../membership/ranked_hosts.ts";
import { spread } from "../peers/spread.ts";
import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import { KnownLimits } from "./known_limits.ts";
import { PermitIssuer } from "./permit_issuer.ts";
import type { WaitingRequest } from "./reservation_limits.ts";
import {
  type LimitNotice,
  type PermitReply,
  permitReplySchema,
  type PermitRequest,
} from "./types.ts";

/** Calls to other hosts; they reject if the host does not respond. */
export interface RateLimitPeers {
  requestPermit(address: string, request: PermitRequest): Promise<PermitReply>;
  /** Tells the issuer of an endpoint that its limit starts or ends. */
  reportLimit(address: string, notice: LimitNotice): Promise<void>;
  /** Tells a host, which passes the notice on to the targets. */
  announceLimit(
    address: string,
    notice: LimitNotice,
    targets: string[],
  ): Promise<void>;
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
  /** Aborts when this host stops. */
  signal: AbortSignal;
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

  /** Records what an endpoint's response says about its limit. */
  observe(
    endpoint: RouteEndpoint,
    { rate_limit, sent_ms }: { rate_limit: NamedRateLimit; sent_ms: number },
  ): void {
    const incarnation = incarnationOf(endpoint);
    const notice = this.#known.observe(
      { endpoint: incarnation, rate_limit, sent_ms },
      this.#options.now(),
    );
    if (notice === undefined) return;
    const { log, peers } = this.#options;
    log.info({
      event: notice.per_s === undefined ? "limit_ended" : "limit_named",
      endpoint: endpoint.id,
      limit_per_s: notice.per_s,
    });
    void this.#callIssuer(incarnation, {
      local: () => this.handleReport(notice),
      remote: (issuer) => peers.reportLimit(issuer, notice),
    });
  }

  /** Whether the endpoint names a limit. */
  isLimited(endpoint: RouteEndpoint): boolean {
    const { now } = this.#options;
    return this.#known.find(incarnationOf(endpoint), now()) !== undefined;
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
    const [reply] = await this.#callIssuer(incarnation, {
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

  /** Handles, as the issuer, a host's report that a limit starts or ends. */
  handleReport(notice: LimitNotice): void {
    const { self, hosts } = this.#options;
    const targets = hosts().filter((address) => address !== self);
    this.handleNotice(notice, targets);
  }

  /** Applies a notice and passes it on. */
  handleNotice(notice: LimitNotice, targets: string[]): void {
    const { peers, log, now, signal } = this.#options;
    this.#known.apply(notice, now());
    if (notice.per_s === undefined) this.#issuer.end(notice.endpoint);
    if (targets.length === 0) return;
    void spread(targets, {
      send: async (address, rest) => {
        await peers.announceLimit(address, notice, rest);
        return [];
      },
      onFailure: (peer, error) =>
        log.info({ event: "notice_failed", peer, error: error.message }),
      redeliveryDelays_ms: [],
      signal,
    });
  }

  #callIssuer<T>(
    incarnation: string,
    call: { local: () => T; remote: (issuer: string) => Promise<T> },
  ): Promise<T[]> {
    return this.#rankedHosts.call({ key: incarnation, count: 1, ...call });
  }
}

/**
 * Keeps all hosts together within the rates that endpoints name, and within what
 * they tolerate while they are cold. Each endpoint has an issuer, the first live
 * host of a rendezvous ranking, which every host asks for a permit before it
 * sends the endpoint a request. Hosts that disagree on the issuer exceed a named
 * rate for a while; nothing else rests on it. They never exceed the bound of a
 * cold endpoint, as each host grants its own part of it only.
 */
import type { EndpointNotice } from "../endpoint_reports/endpoint_notices.ts";
import type { NamedRateLimit } from "../endpoint_reports/endpoint_report.ts";
import type { Logger } from "../logging/logger.ts";
import { RankedHosts } from "../membership/ranked_hosts.ts";
import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import { dropOldest } from "../utils/drop_oldest.ts";
import { KnownLimits } from "./known_limits.ts";
import { PermitIssuer } from "./permit_issuer.ts";
import type { WaitingRequest } from "./reservation_limits.ts";
import {
  NOT_NAMED_AGE_MS,
  type PermitReply,
  permitReplySchema,
  type PermitRequest,
  type SendPace,
} from "./types.ts";

/** Calls to other hosts; they reject if the host does not respond. */
export interface RateLimitPeers {
  requestPermit(address: string, request: PermitRequest): Promise<PermitReply>;
}

/** What became of a request to send to a cold endpoint; labels of a metric. */
export enum ColdPermitOutcome {
  Granted = "granted",
  Refused = "refused",
  /** Granted too late to be used. */
  Expired = "expired",
  /** No host that may grant was reached, and this host may not grant either. */
  NoIssuer = "no_issuer",
}

/** The bound on the requests to cold endpoints. */
export interface ColdSends {
  /**
   * Requests per second that an endpoint tolerates, as it is cold; undefined if
   * it is warm.
   */
  limitPerS(endpoint: RouteEndpoint): number | undefined;
  /** Pace at which this host may grant sends; undefined if it may grant none. */
  paceOf(key: string, per_s: number): SendPace | undefined;
  /** Longest time from the time that is granted to the send. */
  max_delay_ms: number;
  /** Called with what became of each request for a permit of this host. */
  onPermit: (outcome: ColdPermitOutcome) => void;
}

/** A permission to send one request to an endpoint. */
export interface SendPermit {
  /** Earliest time of the send. */
  at_ms: number;
  /** Time after which it must not be sent any more. */
  expires_ms: number;
}

/** Dependencies of a {@linkcode RateLimitService}. */
export interface RateLimitServiceOptions {
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts, this one included. */
  hosts: () => string[];
  peers: RateLimitPeers;
  /** Undefined if requests to cold endpoints are not bounded. */
  cold?: ColdSends | undefined;
  log: Logger;
  now: () => number;
}

/** Time after which a host asks again if it reached no issuer. */
const NO_ISSUER_RETRY_MS = 500;
/** Hosts that are asked for a send to a cold endpoint, before this host's part. */
const MAX_COLD_TRIES = 3;
/** The reply of a host that may grant no send to a cold endpoint. */
const NO_PART: PermitReply = {
  granted: false,
  wait_ms: 0,
  retry_after_ms: NO_ISSUER_RETRY_MS,
  cold: true,
  no_part: true,
};
/** Cold endpoints that refused a send; beyond this the oldest are dropped. */
const MAX_REFUSED = 4_096;

/** Bounds the sends to endpoints that name a rate. */
export class RateLimitService {
  #options: RateLimitServiceOptions;
  #rankedHosts: RankedHosts;
  #known = new KnownLimits();
  #issuer = new PermitIssuer();
  /** Passes over hosts that don't know the bound, or may not grant. */
  #coldHosts: RankedHosts;
  /** Until when this host was refused a send to a cold endpoint. */
  #coldRefusedUntil_ms = new Map<string, number>();

  constructor(options: RateLimitServiceOptions) {
    this.#options = options;
    this.#rankedHosts = new RankedHosts(options);
    this.#coldHosts = new RankedHosts(options);
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

  /** Whether a request to the endpoint needs a permit. */
  isLimited(endpoint: RouteEndpoint): boolean {
    return this.limitPerS(endpoint) !== undefined || this.isCold(endpoint);
  }

  /** Whether the endpoint is cold, and tolerates few requests for that time. */
  isCold(endpoint: RouteEndpoint): boolean {
    return this.#options.cold?.limitPerS(endpoint) !== undefined;
  }

  /** Requests per second that the endpoint allows; undefined if not named. */
  limitPerS(endpoint: RouteEndpoint): number | undefined {
    const { now } = this.#options;
    return this.#known.find(incarnationOf(endpoint), now())?.per_s;
  }

  /** Time until a send to the endpoint may be permitted, in milliseconds. */
  waitMs(endpoint: RouteEndpoint): number {
    const incarnation = incarnationOf(endpoint);
    const wait_ms = this.#known.waitMs(incarnation, this.#options.now());
    return Math.max(wait_ms, this.coldWaitMs(endpoint));
  }

  /**
   * Time until a send to the endpoint may be permitted as far as it is cold, in
   * milliseconds.
   */
  coldWaitMs(endpoint: RouteEndpoint): number {
    const until_ms = this.#coldRefusedUntil_ms.get(coldKeyOf(endpoint));
    if (until_ms === undefined || !this.isCold(endpoint)) return 0;
    return Math.max(0, until_ms - this.#options.now());
  }

  /** Records that the endpoint gets no request of this host for a while. */
  refuse(endpoint: RouteEndpoint, wait_ms: number): void {
    const key = coldKeyOf(endpoint);
    const until_ms = this.#options.now() + wait_ms;
    this.#coldRefusedUntil_ms.delete(key);
    this.#coldRefusedUntil_ms.set(key, until_ms);
    dropOldest(this.#coldRefusedUntil_ms, MAX_REFUSED);
  }

  /**
   * Takes the permission for a send that may wait. Resolves to undefined if it
   * was refused.
   */
  async takePermit(
    endpoint: RouteEndpoint,
    waiting: WaitingRequest,
  ): Promise<SendPermit | undefined> {
    const cold_per_s = this.#options.cold?.limitPerS(endpoint);
    return cold_per_s === undefined
      ? await this.#takeNamed(endpoint, waiting)
      : await this.#takeCold(endpoint, { ...waiting, cold_per_s });
  }

  async #takeNamed(
    endpoint: RouteEndpoint,
    waiting: WaitingRequest,
  ): Promise<SendPermit | undefined> {
    const incarnation = incarnationOf(endpoint);
    const { peers, now } = this.#options;
    const limit = this.#known.find(incarnation, now());
    if (limit === undefined) return { at_ms: now(), expires_ms: Infinity };
    const request = { endpoint: incarnation, ...limit, ...waiting };
    const [reply] = await this.#rankedHosts.call({
      key: incarnation,
      count: 1,
      local: () => this.handleRequest(request),
      remote: async (issuer) =>
        permitReplySchema.parse(await peers.requestPermit(issuer, request)),
    });
    if (reply?.granted === true) {
      return { at_ms: now() + reply.wait_ms, expires_ms: Infinity };
    }
    const retry_after_ms = reply?.retry_after_ms ?? NO_ISSUER_RETRY_MS;
    this.#known.recordRefusal(incarnation, now() + retry_after_ms);
    return undefined;
  }

  async #takeCold(
    endpoint: RouteEndpoint,
    waiting: WaitingRequest & { cold_per_s: number },
  ): Promise<SendPermit | undefined> {
    const incarnation = incarnationOf(endpoint);
    const limit = this.#known.find(incarnation, this.#options.now()) ??
      { per_s: waiting.cold_per_s, age_ms: NOT_NAMED_AGE_MS };
    const request = { endpoint: coldKeyOf(endpoint), ...limit, ...waiting };
    const answered = await this.#askColdIssuer(request);
    if (answered === undefined) {
      this.refuse(endpoint, NO_ISSUER_RETRY_MS);
      this.#recordCold(endpoint, ColdPermitOutcome.NoIssuer);
      return undefined;
    }
    const { reply, asked_ms } = answered;
    if (!reply.granted) {
      this.refuse(endpoint, reply.retry_after_ms);
      this.#recordCold(endpoint, ColdPermitOutcome.Refused);
      return undefined;
    }
    const { now, cold } = this.#options;
    // The issuer granted it after this host had asked.
    const expires_ms = asked_ms + reply.wait_ms + (cold?.max_delay_ms ?? 0);
    const at_ms = now() + reply.wait_ms;
    const isLate = at_ms >= expires_ms;
    this.#recordCold(
      endpoint,
      isLate ? ColdPermitOutcome.Expired : ColdPermitOutcome.Granted,
    );
    return isLate ? undefined : { at_ms, expires_ms };
  }

  /**
   * Asks the first hosts of the ranking, and this one at last. Resolves to
   * undefined if none of them may grant.
   */
  async #askColdIssuer(
    request: PermitRequest,
  ): Promise<{ reply: PermitReply; asked_ms: number } | undefined> {
    const { peers, now } = this.#options;
    const [answered] = await this.#coldHosts.call({
      key: request.endpoint,
      count: 1,
      max_tries: MAX_COLD_TRIES,
      local: () => {
        const asked_ms = now();
        return { reply: withPart(this.handleRequest(request)), asked_ms };
      },
      remote: async (issuer) => {
        const asked_ms = now();
        const reply = await peers.requestPermit(issuer, request);
        return { reply: withPart(permitReplySchema.parse(reply)), asked_ms };
      },
    });
    if (answered !== undefined) return answered;
    const reply = this.handleRequest(request);
    return reply.no_part === true ? undefined : { reply, asked_ms: now() };
  }

  #recordCold(endpoint: RouteEndpoint, outcome: ColdPermitOutcome): void {
    const { cold, log } = this.#options;
    cold?.onPermit(outcome);
    // Requests that wait, or are refused, have a line of their own.
    const isUsual = outcome === ColdPermitOutcome.Granted ||
      outcome === ColdPermitOutcome.Refused;
    if (isUsual) return;
    log.info({
      event: "cold_permit",
      endpoint: endpoint.id,
      outcome,
      wait_ms: Math.round(this.coldWaitMs(endpoint)),
    });
  }

  /** Handles, as the issuer, a host's request for a permit. */
  handleRequest(request: PermitRequest): PermitReply {
    const { now, cold } = this.#options;
    const { cold_per_s } = request;
    if (cold_per_s === undefined) return this.#issuer.request(request, now());
    const pace = cold?.paceOf(request.endpoint, cold_per_s);
    if (pace === undefined) return NO_PART;
    return { ...this.#issuer.request(request, now(), pace), cold: true };
  }
}

/** Throws if the host does not know the bound of cold endpoints, or has no part. */
function withPart(reply: PermitReply): PermitReply {
  if (reply.cold !== true) throw new Error("It knows no cold endpoints");
  if (reply.no_part === true) throw new Error("It may not grant now");
  return reply;
}

/**
 * Key of the permits for a cold endpoint. It is the same for the incarnations at
 * an address: hosts that don't know the newest one send to it as well.
 */
export function coldKeyOf({ address }: RouteEndpoint): string {
  return `cold/${address}`;
}

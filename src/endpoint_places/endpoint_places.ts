/**
 * Keeps all hosts together within the places of endpoints that crash when they
 * reject too many requests. Each endpoint has an issuer, the first live host of a
 * rendezvous ranking, which every host asks for a place before it sends the
 * endpoint a request, and to which it reports when the request has ended. The
 * same issuer bounds the requests to an endpoint that starts or recovers. No
 * message is sent for pools without such endpoints.
 */
import type { EndpointNotice } from "../endpoint_reports/endpoint_notices.ts";
import {
  type NamedRateLimit,
  RateLimitKind,
} from "../endpoint_reports/endpoint_report.ts";
import type { Logger } from "../logging/logger.ts";
import { rankCandidates } from "../membership/rendezvous_hash.ts";
import { KnownLimits } from "../rate_limits/known_limits.ts";
import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import { dropOldest } from "../utils/drop_oldest.ts";
import { EndpointRamps, type RampOptions } from "./endpoint_ramps.ts";
import { type HeldPlace, HeldPlaces, type PlaceEnd } from "./held_places.ts";
import {
  type EndpointPlacesPeers,
  IssuerCalls,
  NO_ISSUER,
} from "./issuer_calls.ts";
import { PlaceIssuer } from "./place_issuer.ts";
import { PoolLimits } from "./pool_limits.ts";
import { RampReason } from "./ramp_reason.ts";
import {
  type PlaceOutcome,
  type PlaceReply,
  type PlaceReport,
  type PlaceRequest,
  type RampNews,
} from "./types.ts";

export type { EndpointPlacesPeers };

/** Dependencies of an {@linkcode EndpointPlaces}. */
export interface EndpointPlacesOptions {
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts, this one included. */
  hosts: () => string[];
  peers: EndpointPlacesPeers;
  /** Undefined if no endpoint is ramped up. */
  ramps?: RampOptions;
  log: Logger;
  now: () => number;
  /** Aborts when this host stops. */
  signal: AbortSignal;
}

/** The place of one request at an endpoint. */
export interface Place {
  /**
   * Gives it back; `rejected` if the endpoint had no room for the request.
   * `outcome` is undefined if it tells nothing of the endpoint.
   */
  release(rejected: boolean, outcome?: PlaceOutcome): void;
  /** Tells that the request's stream has begun, in time or late. */
  begin(outcome: PlaceOutcome): void;
}

/** Places that are given back within this time share a report. */
const REPORT_DELAY_MS = 2;
/** Time after its grant in which a place may go to this host's next request. */
const REUSE_MS = 1_000;
/** Time for which a place is kept for this host's next request. */
const IDLE_MS = 10;
/** Time after which a limit of rejections that no answer names is forgotten. */
const LIMIT_LIFETIME_MS = 60_000;
/**
 * Time after a rejection in which a crash is put down to it: the second for which
 * endpoints count them, and what it takes to notice the crash.
 */
const REJECTION_LIFETIME_MS = 1_500;
/** Endpoints whose last rejection is remembered; the oldest are dropped. */
const MAX_REJECTING = 4_096;
/** Interval of the reports of places that are held. */
const REPORT_INTERVAL_MS = 500;

/** Bounds the requests in flight at endpoints that can bear few rejections. */
export class EndpointPlaces {
  #options: EndpointPlacesOptions;
  #calls: IssuerCalls;
  #limits = new KnownLimits();
  #pools = new PoolLimits();
  #held = new HeldPlaces();
  #issuer: PlaceIssuer;
  #ramps: EndpointRamps;
  /** When each endpoint's last rejection was learned of. */
  #rejected_ms = new Map<string, number>();
  #reportTimer: NodeJS.Timeout | undefined;

  constructor(options: EndpointPlacesOptions) {
    this.#options = options;
    this.#calls = new IssuerCalls({
      ...options,
      handleRequest: (request) => this.handleRequest(request),
      handleReport: (report) => this.handleReport(report),
    });
    this.#ramps = new EndpointRamps({ ramps: undefined, ...options });
    this.#issuer = new PlaceIssuer({
      isIssuerOf: (endpoint) => this.#isIssuerOf(endpoint),
      onRampChange: (endpoint, change) => {
        this.#ramps.recordChange(endpoint, change);
        if (change.end === undefined) this.#startReports();
      },
      now: options.now,
    });
    options.signal.addEventListener(
      "abort",
      () => clearInterval(this.#reportTimer),
    );
  }

  /**
   * Records what an endpoint's response says about the rejections that it can
   * bear. Returns the notice for the other hosts if that starts or ends.
   */
  observe(
    endpoint: RouteEndpoint,
    { rejection_limit, sent_ms }: {
      rejection_limit: NamedRateLimit;
      sent_ms: number;
    },
  ): EndpointNotice["rejection_limit"] {
    const { pool } = endpoint;
    const incarnation = incarnationOf(endpoint);
    const now_ms = this.#options.now();
    const notice = this.#limits.observe({
      endpoint: incarnation,
      rate_limit: rejection_limit,
      sent_ms,
    }, now_ms);
    if (rejection_limit.kind === RateLimitKind.Limited) {
      const named = { per_s: rejection_limit.per_s, named_ms: now_ms };
      this.#pools.name({ pool, endpoint: incarnation }, named);
    }
    if (notice === undefined) return undefined;
    if (notice.per_s === undefined) {
      this.#pools.end({ pool, endpoint: incarnation });
    }
    this.#options.log.info({
      event: notice.per_s === undefined
        ? "rejection_limit_ended"
        : "rejection_limit_named",
      endpoint: endpoint.id,
      limit_per_s: notice.per_s,
    });
    return { pool, per_s: notice.per_s };
  }

  /** Applies a notice that an endpoint's limit of rejections starts or ends. */
  apply({ endpoint, rejection_limit }: EndpointNotice): void {
    if (rejection_limit === undefined) return;
    const { pool, per_s } = rejection_limit;
    const now_ms = this.#options.now();
    if (!this.#limits.apply({ endpoint, per_s }, now_ms)) return;
    if (per_s === undefined) this.#pools.end({ pool, endpoint });
    else this.#pools.name({ pool, endpoint }, { per_s, named_ms: now_ms });
    this.#startReports();
  }

  /**
   * Begins a ramp-up of an endpoint. Each host detects a start in its own feed;
   * all hosts are told of a recovery.
   */
  startRamp(endpoint: RouteEndpoint, reason: RampReason): void {
    if (reason === RampReason.Recovery) {
      this.#options.ramps?.tellHosts(endpoint, reason);
    } else this.#ramps.learn(incarnationOf(endpoint), reason);
  }

  /** Takes in endpoints of the feed, all of them without an argument. */
  observeEndpoints(changed?: readonly RouteEndpoint[]): void {
    this.#ramps.observeEndpoints(changed);
  }

  /** Applies a notice that an endpoint is in ramp-up. */
  applyRamp({ endpoint, ramp }: EndpointNotice): void {
    if (ramp === undefined || this.#options.ramps === undefined) return;
    const isNew = this.#ramps.learn(endpoint, ramp.reason);
    if (this.#isIssuerOf(endpoint)) {
      this.#issuer.startRamp(endpoint, ramp.reason);
    }
    const isHolding = this.#held.numbers(endpoint).length > 0;
    if (isNew && isHolding) this.#scheduleReport(endpoint);
    this.#startReports();
  }

  /** The ramp-ups that this host knows of, for one that has just started. */
  rampNews(): RampNews[] {
    return this.#ramps.news();
  }

  /** Whether a request to the endpoint needs a place. */
  needsPlace(endpoint: RouteEndpoint): boolean {
    return this.isRamping(endpoint) || this.isBounded(endpoint);
  }

  /** Whether the endpoint is known to bear few rejections. */
  isBounded(endpoint: RouteEndpoint): boolean {
    return this.#limitPerS(endpoint) !== undefined;
  }

  /** Whether the endpoint is in ramp-up. */
  isRamping(endpoint: RouteEndpoint): boolean {
    return this.#ramps.find(endpoint) !== undefined;
  }

  /** Whether it is in ramp-up and all hosts together bound its requests. */
  isRampedTogether(endpoint: RouteEndpoint): boolean {
    return this.isRamping(endpoint) && !this.#ramps.isAlone(endpoint);
  }

  /** Time until a place may be asked for, in milliseconds. */
  waitMs(endpoint: RouteEndpoint): number {
    if (!this.needsPlace(endpoint) || this.hasIdle(endpoint)) return 0;
    const incarnation = incarnationOf(endpoint);
    if (!this.isBounded(endpoint) && this.#ramps.isAlone(endpoint)) {
      return Math.min(1, this.#held.numbers(incarnation).length);
    }
    const wait_ms = this.#held.waitMs(incarnation, this.#options.now());
    return this.#calls.mayAsk(incarnation) ? wait_ms : Math.max(1, wait_ms);
  }

  /** Whether this host has a place there that no request uses. */
  hasIdle(endpoint: RouteEndpoint): boolean {
    return this.#held.hasIdle(incarnationOf(endpoint));
  }

  /**
   * Time until a caller may find a place, in milliseconds; each call returns a
   * later one while there is none.
   */
  retryAfterMs(endpoint: RouteEndpoint): number {
    return this.needsPlace(endpoint)
      ? this.#held.retryAfterMs(incarnationOf(endpoint), this.#options.now())
      : 0;
  }

  /**
   * Whether an endpoint that has named a limit of rejections rejected a request
   * of this host lately; as its issuer, one of any host.
   */
  hasRejectedLately(endpoint: RouteEndpoint): boolean {
    const incarnation = incarnationOf(endpoint);
    const now_ms = this.#options.now();
    const rejected_ms = this.#rejected_ms.get(incarnation) ?? -Infinity;
    return this.#limits.find(incarnation, now_ms) !== undefined &&
      now_ms - rejected_ms <= REJECTION_LIFETIME_MS;
  }

  /** Takes a place at an endpoint without a bound, without asking. */
  takeUnbounded(endpoint: RouteEndpoint): Place {
    this.#ramps.recordSend(endpoint.pool);
    return this.#hold(endpoint, this.#held.nextNumber());
  }

  /** Takes a place for a request; resolves to undefined if there is none. */
  async take(
    endpoint: RouteEndpoint,
    { priority, max_wait_ms }: { priority: number; max_wait_ms: number },
  ): Promise<Place | undefined> {
    const incarnation = incarnationOf(endpoint);
    const kept = this.#held.takeIdle(incarnation);
    if (kept !== undefined) return this.#placeOf(endpoint, kept);
    if (!this.needsPlace(endpoint)) return this.takeUnbounded(endpoint);
    this.#startReports();
    const limit_per_s = this.#limitPerS(endpoint);
    const mayBeAlone = limit_per_s === undefined;
    if (mayBeAlone && this.#ramps.isAlone(endpoint)) {
      return this.#takeAlone(endpoint);
    }
    const number = this.#held.nextNumber();
    const request = {
      endpoint: incarnation,
      host: this.#options.self,
      place: number,
      slots: endpoint.slots,
      // An issuer of an earlier release bounds it by the slots.
      max_rejections_per_s: limit_per_s ?? endpoint.slots,
      priority,
      max_wait_ms: Math.max(0, max_wait_ms),
      ramp: this.#rampOf(endpoint),
    };
    const reply = mayBeAlone
      ? await this.#calls.requestInTime(
        request,
        () => this.#giveBackUnused(endpoint, number),
      )
      : await this.#calls.request(request);
    if (reply.ramping !== undefined) {
      this.#ramps.confirm(endpoint, reply.ramping);
    } else if (mayBeAlone) {
      // An issuer that has replied is of an earlier release.
      const isUrgent = max_wait_ms > 0 || reply !== NO_ISSUER;
      if (this.#ramps.recordUnanswered(endpoint, isUrgent)) {
        if (reply.granted) this.#giveBackUnused(endpoint, number);
        return this.#takeAlone(endpoint);
      }
    }
    if (!reply.granted) {
      this.#held.recordRefusal(incarnation, reply, this.#options.now());
      return undefined;
    }
    this.#ramps.recordSend(endpoint.pool);
    return this.#hold(endpoint, number);
  }

  /** Handles, as the issuer, a host's request for a place. */
  handleRequest(request: PlaceRequest): Promise<PlaceReply> {
    return this.#issuer.handleRequest(request);
  }

  /** Handles, as the issuer, a host's report of its places. */
  handleReport(report: PlaceReport): void {
    if (report.released.some(({ rejected }) => rejected)) {
      this.#recordRejection(report.endpoint);
    }
    if (!this.#issuer.isRamping(report.endpoint)) {
      this.#ramps.recordTroubles(report);
    }
    this.#issuer.handleReport(report);
  }

  /**
   * Rejections a second that the endpoint can bear; undefined if it needs no
   * bound. One that has named none is taken to be like others of its pool, even if
   * these have crashed since.
   */
  #limitPerS(endpoint: RouteEndpoint): number | undefined {
    const least_per_s = this.#pools.leastPerS(endpoint.pool);
    if (least_per_s === undefined) return undefined;
    const now_ms = this.#options.now();
    const own = this.#limits.find(incarnationOf(endpoint), now_ms);
    return own?.per_s ?? least_per_s;
  }

  #isIssuerOf(incarnation: string): boolean {
    const { self, hosts } = this.#options;
    return rankCandidates(incarnation, hosts())[0] === self;
  }

  #rampOf(endpoint: RouteEndpoint): PlaceRequest["ramp"] {
    const ramp = this.#ramps.find(endpoint);
    if (ramp === undefined) return undefined;
    return {
      reason: ramp.reason,
      age_ms: Math.max(0, this.#options.now() - ramp.learned_ms),
      is_bounded: this.isBounded(endpoint),
    };
  }

  /** While no issuer replies, this host sends one request at a time. */
  #takeAlone(endpoint: RouteEndpoint): Place | undefined {
    const held = this.#held.numbers(incarnationOf(endpoint));
    return held.length > 0 ? undefined : this.takeUnbounded(endpoint);
  }

  /** Gives back a place that was granted but serves no request. */
  #giveBackUnused(endpoint: RouteEndpoint, number: number): void {
    this.#hold(endpoint, number).release(false);
  }

  #hold(endpoint: RouteEndpoint, number: number): Place {
    const incarnation = incarnationOf(endpoint);
    const place = this.#held.add(incarnation, number, this.#options.now());
    return this.#placeOf(endpoint, place);
  }

  #placeOf(endpoint: RouteEndpoint, place: HeldPlace): Place {
    const incarnation = incarnationOf(endpoint);
    return {
      begin: (outcome) => {
        if (!this.isRamping(endpoint)) return;
        this.#held.begin(incarnation, place, outcome);
        this.#scheduleReport(incarnation);
      },
      release: (rejected, outcome) => {
        const end = { rejected, outcome };
        const age_ms = this.#options.now() - place.since_ms;
        const isKept = !rejected && age_ms < REUSE_MS &&
          !this.#calls.isAsking(incarnation) && this.isBounded(endpoint) &&
          !this.isRamping(endpoint);
        if (!isKept) return this.#giveBack(endpoint, place, end);
        this.#held.keepIdle(incarnation, place);
        setTimeout(() => {
          if (this.#held.removeIdle(incarnation, place)) {
            this.#giveBack(endpoint, place, { rejected: false });
          }
        }, IDLE_MS).unref();
      },
    };
  }

  #giveBack(
    endpoint: RouteEndpoint,
    place: HeldPlace,
    { rejected, outcome }: PlaceEnd,
  ): void {
    const incarnation = incarnationOf(endpoint);
    if (rejected) this.#recordRejection(incarnation);
    const isBounded = this.isBounded(endpoint);
    const isTold = this.isRamping(endpoint) ||
      this.#ramps.isTrouble(endpoint.pool, outcome);
    const end = {
      rejected: rejected && isBounded,
      outcome: isTold ? outcome : undefined,
    };
    if (!this.#held.release(incarnation, place, end)) return;
    if (isBounded || isTold) this.#scheduleReport(incarnation);
    else this.#held.dropReleased(incarnation);
  }

  #recordRejection(incarnation: string): void {
    // The endpoint that rejected last stands last in the map.
    this.#rejected_ms.delete(incarnation);
    this.#rejected_ms.set(incarnation, this.#options.now());
    dropOldest(this.#rejected_ms, MAX_REJECTING);
  }

  #scheduleReport(incarnation: string): void {
    if (!this.#held.startReport(incarnation)) return;
    setTimeout(() => this.#report(incarnation), REPORT_DELAY_MS).unref();
  }

  #report(incarnation: string): void {
    const { self: host } = this.#options;
    const begun = this.#held.takeBegun(incarnation);
    const released = this.#held.takeReleased(incarnation);
    const held = this.#held.numbers(incarnation);
    this.#calls.report({ endpoint: incarnation, host, held, begun, released });
  }

  /** Reports at once what is in flight, and then at intervals. */
  #startReports(): void {
    if (this.#reportTimer !== undefined || !this.#endRamps()) return;
    this.#reportHeld();
    this.#reportTimer = setInterval(() => {
      const oldest_ms = this.#options.now() - LIMIT_LIFETIME_MS;
      this.#limits.forgetBefore(oldest_ms);
      this.#pools.forgetBefore(oldest_ms);
      this.#ramps.forgetOld();
      if (!this.#endRamps()) {
        clearInterval(this.#reportTimer);
        this.#reportTimer = undefined;
      } else this.#reportHeld();
    }, REPORT_INTERVAL_MS);
    this.#reportTimer.unref();
  }

  /** Ends the ramp-ups that are over; returns whether any bound goes on. */
  #endRamps(): boolean {
    const goesOn = this.#issuer.endRamps();
    return goesOn || !this.#ramps.isEmpty || !this.#limits.isEmpty;
  }

  #reportHeld(): void {
    const now_ms = this.#options.now();
    for (const incarnation of this.#held.incarnations()) {
      const isBounded = this.#limits.find(incarnation, now_ms) !== undefined;
      if (isBounded || this.#ramps.has(incarnation)) this.#report(incarnation);
    }
  }
}

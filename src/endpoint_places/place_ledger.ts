/**
 * The places at one endpoint: who holds them and who waits for one. Does no I/O
 * and reads no clock: callers pass the time in.
 */
import { type EndpointCapacity, PlaceBound } from "./place_bound.ts";
import { RampBound, type RampEnd } from "./ramp_bound.ts";
import type { RampReason } from "./ramp_reason.ts";
import { RefusalTimes } from "./refusal_times.ts";
import {
  PlaceOutcome,
  type PlaceReply,
  type PlaceReport,
  type PlaceRequest,
} from "./types.ts";

/** How a request for a place is decided. */
export type PlaceDecision =
  | { kind: PlaceDecisionKind.Granted }
  /** It is in the queue; {@linkcode PlaceLedger.settle} tells the rest. */
  | { kind: PlaceDecisionKind.Queued }
  | { kind: PlaceDecisionKind.Refused; reply: PlaceReply };

/** The kinds of {@linkcode PlaceDecision}. */
export enum PlaceDecisionKind {
  Granted = "granted",
  Queued = "queued",
  Refused = "refused",
}

/** Identifies a place: the host that asks for it, and its number there. */
export type PlaceKey = string;

/** A ramp-up that has begun or ended at an issuer. */
export interface RampChange {
  reason: RampReason;
  bound: RampBound;
  /** Why it ended; undefined if it has begun. */
  end: RampEnd | undefined;
}

interface HeldPlace {
  host: string;
  /** Whether this issuer granted it during the ramp-up. */
  isRamped: boolean;
  /** Whether its stream has begun, which counts in place of its good end. */
  hasBegun: boolean;
  since_ms: number;
  expires_ms: number;
}

interface QueuedRequest {
  key: PlaceKey;
  host: string;
  priority: number;
}

/** Time after which a place that no report confirms is free again. */
const PLACE_LIFETIME_MS = 2_000;
/** A place that was granted within this time may be missing from a report. */
const REPORT_LAG_MS = 500;
/** Requests that may wait, as a share of the slots. */
const MAX_QUEUED_SHARE = 1;
/**
 * Time for which requests that were sent before a ramp-up count in its limit. A
 * silent endpoint may keep them for much longer.
 */
const SENT_BEFORE_COUNTS_MS = 2_000;
/**
 * A ramp-up that a host has known for longer was begun by another issuer. If it
 * was not, nothing is in flight, and it begins low all the same.
 */
const TAKEOVER_AGE_MS = 300;
/** Share of the places that a substitute for the endpoint's issuer grants. */
const SUBSTITUTE_SHARE = 0.25;
/** Weight of the newest request in the moving average of service times. */
const TIME_SMOOTHING = 0.1;
/** Assumed before the first request has ended. */
const INITIAL_SERVICE_MS = 100;

/** Key of a host's place. */
export function placeKeyOf(host: string, place: number): PlaceKey {
  return `${host} ${place}`;
}

/** The host that a place's key names. */
export function hostOfPlaceKey(key: PlaceKey): string {
  return key.slice(0, key.lastIndexOf(" "));
}

/** The places at one endpoint. */
export class PlaceLedger {
  #bound: PlaceBound;
  #capacity: EndpointCapacity = { slots: 1, max_rejections_per_s: 0 };
  #isSubstitute = false;
  /** Whether it has named a limit of rejections. */
  #isBounded = true;
  /** Requests that it works on at a time; undefined before the first request. */
  #slots: number | undefined;
  #ramp: { reason: RampReason; bound: RampBound } | undefined;
  /** Whether it is or has been in ramp-up here. */
  #rampIsKnown = false;
  #rampChanges: RampChange[] = [];
  #held = new Map<PlaceKey, HeldPlace>();
  #queue: QueuedRequest[] = [];
  #service_ms = INITIAL_SERVICE_MS;
  #refusals = new RefusalTimes();

  constructor(now_ms: number) {
    this.#bound = new PlaceBound(now_ms);
  }

  /** Grants a place, queues the request for one, or refuses it. */
  request(
    request: PlaceRequest,
    { isSubstitute, now_ms }: { isSubstitute: boolean; now_ms: number },
  ): PlaceDecision {
    this.#capacity = request;
    this.#slots = request.slots;
    this.#isSubstitute = isSubstitute;
    this.#takeInRamp(request, now_ms);
    this.#dropExpired(now_ms);
    const { host, priority } = request;
    const key = placeKeyOf(host, request.place);
    if (this.#queue.length === 0 && this.#hasRoom(now_ms)) {
      this.#grant(key, host, now_ms);
      return { kind: PlaceDecisionKind.Granted };
    }
    this.#ramp?.bound.recordDemand(now_ms);
    const last = this.#queue.at(-1);
    const mayQueue = request.max_wait_ms > 0 &&
      (this.#queue.length < this.#maxQueued ||
        (last !== undefined && priority < last.priority));
    if (!mayQueue) {
      const reply = this.refusal(host, now_ms);
      return { kind: PlaceDecisionKind.Refused, reply };
    }
    const index = this.#queue.findIndex((other) => priority < other.priority);
    const position = index < 0 ? this.#queue.length : index;
    this.#queue.splice(position, 0, { key, host, priority });
    return { kind: PlaceDecisionKind.Queued };
  }

  /** Takes in what a host holds and has given back. */
  report(report: PlaceReport, now_ms: number): void {
    const { host, held, begun = [], released } = report;
    this.#dropExpired(now_ms);
    for (const { place, outcome } of begun) {
      const known = this.#held.get(placeKeyOf(host, place));
      this.#recordOutcome(known, outcome, { isStream: true, now_ms });
      if (known !== undefined) known.hasBegun = true;
    }
    for (const { place, requests, rejected, outcome } of released) {
      const key = placeKeyOf(host, place);
      if (rejected) {
        const { slots } = this.#capacity;
        this.#bound.recordRejection(this.#held.size, { slots, now_ms });
      }
      const known = this.#held.get(key);
      if (outcome !== undefined) {
        this.#recordOutcome(known, outcome, { isStream: false, now_ms });
      }
      if (known !== undefined && !rejected) {
        const service_ms = (now_ms - known.since_ms) / Math.max(1, requests);
        this.#service_ms += TIME_SMOOTHING * (service_ms - this.#service_ms);
      }
      this.#held.delete(key);
    }
    const keys = new Set(held.map((place) => placeKeyOf(host, place)));
    for (const key of keys) this.#hold(key, { host, now_ms });
    for (const [key, { host: holder, since_ms }] of this.#held) {
      const isMissing = holder === host && !keys.has(key);
      if (isMissing && now_ms - since_ms > REPORT_LAG_MS) {
        this.#held.delete(key);
      }
    }
    this.#ramp?.bound.recordInFlight(this.#held.size, now_ms);
  }

  /** Begins a ramp-up; false if the endpoint is in one. */
  startRamp(
    reason: RampReason,
    { isTakeover, now_ms }: { isTakeover: boolean; now_ms: number },
  ): boolean {
    if (this.isRamping(now_ms)) return false;
    const bound = new RampBound({ isTakeover, now_ms });
    this.#rampIsKnown = true;
    this.#ramp = { reason, bound };
    this.#rampChanges.push({ ...this.#ramp, end: undefined });
    bound.recordInFlight(this.#held.size, now_ms);
    for (const place of this.#held.values()) place.isRamped = false;
    return true;
  }

  /** Whether the endpoint is in ramp-up; one that is over ends with this. */
  isRamping(now_ms: number): boolean {
    if (this.#ramp === undefined) return false;
    const end = this.#ramp.bound.settle(this.#slots ?? Infinity, now_ms);
    if (end === undefined) return true;
    this.#rampChanges.push({ ...this.#ramp, end });
    this.#ramp = undefined;
    return false;
  }

  /** The ramp-ups that have begun or ended since the last call. */
  takeRampChanges(): RampChange[] {
    return this.#rampChanges.splice(0);
  }

  /**
   * Grants places to queued requests. Returns those that got one, and those that
   * have lost their turn to more urgent ones.
   */
  settle(now_ms: number): { granted: PlaceKey[]; refused: PlaceKey[] } {
    this.#dropExpired(now_ms);
    const granted: PlaceKey[] = [];
    while (this.#queue.length > 0 && this.#hasRoom(now_ms)) {
      const { key, host } = this.#queue.shift() as QueuedRequest;
      this.#grant(key, host, now_ms);
      granted.push(key);
    }
    const refused = this.#queue.splice(this.#maxQueued).map(({ key }) => key);
    return { granted, refused };
  }

  /** Takes a request out of the queue; false if it isn't there. */
  leaveQueue(key: PlaceKey): boolean {
    const index = this.#queue.findIndex((queued) => queued.key === key);
    if (index >= 0) this.#queue.splice(index, 1);
    return index >= 0;
  }

  /**
   * A refusal. Each host and each request gets a time of its own, so that they
   * don't come back together.
   */
  refusal(host: string, now_ms: number): PlaceReply {
    const interval_ms = this.#service_ms / this.#capacity.slots;
    const queueEnd_ms = now_ms + this.#queue.length * interval_ms;
    const pause_ms = this.#ramp?.bound.pauseMs(now_ms) ?? 0;
    const isRamping = this.#ramp !== undefined;
    const ask_after_ms = this.#refusals.askAfterMs(host, {
      isRamping,
      now_ms,
    });
    return {
      granted: false,
      ask_after_ms: Math.max(pause_ms, ask_after_ms),
      retry_after_ms: this.#refusals.retryAfterMs(
        { queueEnd_ms, interval_ms },
        now_ms,
      ),
    };
  }

  get #maxQueued(): number {
    return Math.ceil(this.#capacity.slots * MAX_QUEUED_SHARE);
  }

  #hasRoom(now_ms: number): boolean {
    const hasPlace = !this.#isBounded ||
      this.#held.size < this.#shareOf(
          this.#bound.places(this.#capacity, now_ms),
        );
    if (!hasPlace || !this.isRamping(now_ms)) return hasPlace;
    const limit = this.#ramp?.bound.places(now_ms) ?? Infinity;
    return this.#inFlight(now_ms) < this.#shareOf(limit);
  }

  #shareOf(places: number): number {
    return places === 0 ? 0 : Math.max(1, Math.floor(places * this.#share));
  }

  get #share(): number {
    return this.#isSubstitute ? SUBSTITUTE_SHARE : 1;
  }

  /** Takes in how a request of the ramp-up has begun or ended. */
  #recordOutcome(
    known: HeldPlace | undefined,
    outcome: PlaceOutcome,
    { isStream, now_ms }: { isStream: boolean; now_ms: number },
  ): void {
    const bound = this.#ramp?.bound;
    const isRamped = known?.isRamped === true || bound?.isTakeover === true;
    if (bound === undefined || !isRamped) return;
    const isAnswer = outcome === PlaceOutcome.InTime ||
      outcome === PlaceOutcome.Late;
    if (isAnswer && known?.hasBegun === true) return;
    // Its own places, as if it granted all.
    const in_flight = this.#inFlight(now_ms) / this.#share;
    const granted_ms = known?.since_ms ?? now_ms;
    bound.record({ outcome, granted_ms, in_flight, isStream }, now_ms);
  }

  /** Requests in flight, as they count for the ramp-up. */
  #inFlight(now_ms: number): number {
    const bound = this.#ramp?.bound;
    const countsAll = bound === undefined || bound.isTakeover ||
      now_ms - bound.started_ms < SENT_BEFORE_COUNTS_MS;
    if (countsAll) return this.#held.size;
    return [...this.#held.values()].filter(({ isRamped }) => isRamped).length;
  }

  /** Takes in what a host knows of a ramp-up. */
  #takeInRamp({ ramp }: PlaceRequest, now_ms: number): void {
    this.#isBounded = ramp?.is_bounded ?? true;
    if (ramp === undefined || this.#rampIsKnown) return;
    const isTakeover = ramp.age_ms > TAKEOVER_AGE_MS;
    this.startRamp(ramp.reason, { isTakeover, now_ms });
  }

  #grant(key: PlaceKey, host: string, now_ms: number): void {
    this.#hold(key, { host, isRamped: true, now_ms });
    const bound = this.#ramp?.bound;
    const isReached = bound !== undefined &&
      this.#inFlight(now_ms) >= this.#shareOf(bound.places(now_ms));
    if (isReached) bound.recordDemand(now_ms);
  }

  #hold(
    key: PlaceKey,
    { host, isRamped = false, now_ms }: {
      host: string;
      isRamped?: boolean;
      now_ms: number;
    },
  ): void {
    const known = this.#held.get(key);
    this.#held.set(key, {
      host,
      isRamped: known?.isRamped ?? isRamped,
      hasBegun: known?.hasBegun ?? false,
      since_ms: known?.since_ms ?? now_ms,
      expires_ms: now_ms + PLACE_LIFETIME_MS,
    });
  }

  #dropExpired(now_ms: number): void {
    for (const [key, { expires_ms }] of this.#held) {
      if (expires_ms <= now_ms) this.#held.delete(key);
    }
  }
}

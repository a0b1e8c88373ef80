/**
 * Bounds the requests that all hosts together have in flight at an endpoint that
 * starts or recovers. The limit begins low, doubles with each round trip of
 * responses in time, and halves when the endpoint responds late, fails or rejects.
 * Does no I/O and reads no clock: callers pass the time in.
 */
import { PlaceOutcome } from "./types.ts";

/** Why a ramp-up ended. The values are logged. */
export enum RampEnd {
  /** The limit has reached the slots. */
  Full = "full",
  /** No demand has reached the limit for a while. */
  NoDemand = "no_demand",
}

/** A request that has ended, as the ramp-up takes it in. */
export interface RampedRequest {
  outcome: PlaceOutcome;
  /** When its place was granted. */
  granted_ms: number;
  /** Requests in flight, this one included. */
  in_flight: number;
  /** Whether it goes on as a stream, which keeps its place. */
  isStream?: boolean;
}

/** How a ramp-up begins. */
export interface RampStart {
  /** Whether another issuer began it, whose limit is not known. */
  isTakeover: boolean;
  now_ms: number;
}

/** The limit with which a ramp-up begins, and the least. */
const MIN_LIMIT = 1;
/** Share to which the limit falls. */
const SHARE_AFTER_TROUBLE = 0.5;
/** Share of the requests in flight with which the next issuer begins. */
const SHARE_AFTER_TAKEOVER = 0.5;
/** Time in which hosts report to a new issuer what they have in flight. */
const TAKEOVER_MS = 600;
/**
 * Time after a trouble for which the limit grows by one a round trip from where
 * the endpoint last responded late. Without it, each second round trip is late.
 */
const CEILING_LIFETIME_MS = 2_000;
/** Time without demand that reaches the limit after which it ends. */
const NO_DEMAND_MS = 10_000;
/**
 * Time after which late responses count as in time: the endpoint is slower than
 * others of its pool for good, and would get one request at a time for ever.
 */
const LATENESS_COUNTS_MS = 15_000;
/**
 * Requests in time after which one failure says nothing of the load: an endpoint
 * that fails a few of its requests would stay at a small limit.
 */
const MIN_BETWEEN_FAILURES = 8;
/** Pause after a failure at the least limit; it doubles up to the longest. */
const INITIAL_PAUSE_MS = 250;
const MAX_PAUSE_MS = 500;

/** The in-flight limit of one endpoint in ramp-up. */
export class RampBound {
  readonly started_ms: number;
  readonly isTakeover: boolean;
  /** Requests that have ended in each way. */
  readonly counts = {
    [PlaceOutcome.InTime]: 0,
    [PlaceOutcome.Late]: 0,
    [PlaceOutcome.Failed]: 0,
    [PlaceOutcome.Rejected]: 0,
  };
  #limit = MIN_LIMIT;
  /** When the limit reached the slots; undefined if it is lower. */
  #full_ms: number | undefined;
  /** Requests sent since then that were in time. */
  #confirmed = 0;
  #reached_ms: number;
  /** When the limit fell last. */
  #lowered_ms = -Infinity;
  /** The limit at which the endpoint was in trouble. */
  #ceiling = Infinity;
  /** Requests in time since one failed. */
  #sinceFailure = 0;
  #pause_ms = INITIAL_PAUSE_MS;
  #pausedUntil_ms = -Infinity;

  constructor({ isTakeover, now_ms }: RampStart) {
    this.started_ms = now_ms;
    this.isTakeover = isTakeover;
    this.#reached_ms = now_ms;
  }

  /** Requests that may be in flight now; 0 in a pause after failures. */
  places(now_ms: number): number {
    return now_ms < this.#pausedUntil_ms ? 0 : Math.floor(this.#limit);
  }

  /** Time until its pause ends, in milliseconds. */
  pauseMs(now_ms: number): number {
    return Math.max(0, this.#pausedUntil_ms - now_ms);
  }

  /** Records that the requests in flight have reached the limit. */
  recordDemand(now_ms: number): void {
    this.#reached_ms = now_ms;
  }

  /** Takes in what hosts report in flight to an issuer that has taken over. */
  recordInFlight(in_flight: number, now_ms: number): void {
    if (!this.isTakeover || now_ms - this.started_ms > TAKEOVER_MS) return;
    if (this.#lowered_ms >= this.started_ms) return;
    this.#limit = Math.max(this.#limit, SHARE_AFTER_TAKEOVER * in_flight);
  }

  /** Takes in how a request has ended. */
  record(request: RampedRequest, now_ms: number): void {
    const { outcome, granted_ms, in_flight, isStream = false } = request;
    this.counts[outcome] += 1;
    const isIsolated = outcome === PlaceOutcome.Failed &&
      this.#sinceFailure >= MIN_BETWEEN_FAILURES;
    if (outcome === PlaceOutcome.Failed) this.#sinceFailure = 0;
    if (outcome === PlaceOutcome.InTime) this.#sinceFailure += 1;
    // What was sent before the limit fell says nothing of the limit now.
    if (granted_ms < this.#lowered_ms || isIsolated) return;
    const isLateForGood = outcome === PlaceOutcome.Late &&
      now_ms - this.started_ms > LATENESS_COUNTS_MS;
    if (outcome === PlaceOutcome.InTime || isLateForGood) {
      this.#grow(in_flight, { isStream, now_ms });
      if (granted_ms >= (this.#full_ms ?? Infinity)) this.#confirmed += 1;
    } else this.#lower(outcome, in_flight, now_ms);
  }

  /**
   * Keeps the limit within the slots. Returns why the ramp-up has ended; undefined
   * if it goes on. It ends at the slots once as many requests were in time there:
   * late responses come after those that raised the limit.
   */
  settle(slots: number, now_ms: number): RampEnd | undefined {
    if (this.#limit >= slots) {
      this.#limit = slots;
      this.#full_ms ??= now_ms;
      if (this.#confirmed >= slots) return RampEnd.Full;
    } else this.#full_ms = undefined;
    return now_ms - this.#reached_ms >= NO_DEMAND_MS
      ? RampEnd.NoDemand
      : undefined;
  }

  /** The limit, for the log. */
  get limit(): number {
    return Math.floor(this.#limit);
  }

  #grow(
    in_flight: number,
    { isStream, now_ms }: { isStream: boolean; now_ms: number },
  ): void {
    this.#pause_ms = INITIAL_PAUSE_MS;
    // Fewer in flight say nothing of a higher limit.
    if (2 * in_flight < this.#limit) return;
    if (now_ms - this.#lowered_ms > CEILING_LIFETIME_MS) {
      this.#ceiling = Infinity;
    }
    const isBelow = this.#limit < this.#ceiling * SHARE_AFTER_TROUBLE;
    // A stream frees no place, so two are needed to double what begins.
    const step = isStream ? 2 : 1;
    const doubles = isBelow || this.#ceiling === Infinity;
    this.#limit += doubles ? step : 1 / this.#limit;
  }

  #lower(outcome: PlaceOutcome, in_flight: number, now_ms: number): void {
    const isLeast = this.#limit < MIN_LIMIT + 1;
    if (isLeast && outcome !== PlaceOutcome.Late) {
      this.#pausedUntil_ms = now_ms + this.#pause_ms;
      this.#pause_ms = Math.min(MAX_PAUSE_MS, 2 * this.#pause_ms);
    }
    const reached = Math.min(this.#limit, Math.max(MIN_LIMIT, in_flight));
    // At the least limit, the number in flight is not what the trouble is from.
    this.#ceiling = isLeast ? Infinity : reached;
    this.#confirmed = 0;
    this.#limit = Math.max(MIN_LIMIT, reached * SHARE_AFTER_TROUBLE);
    this.#lowered_ms = now_ms;
  }
}

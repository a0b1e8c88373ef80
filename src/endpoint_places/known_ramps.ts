/**
 * The endpoints in ramp-up, as one host knows them. Does no I/O and reads no
 * clock: callers pass the time in.
 */
import { dropOldest } from "../utils/drop_oldest.ts";
import type { RampReason } from "./ramp_reason.ts";

/** A ramp-up that a host knows of. */
export interface KnownRamp {
  reason: RampReason;
  learned_ms: number;
  /** When this host last learned that it goes on. */
  confirmed_ms: number;
  /** Calls one after another to which no issuer has replied. */
  unanswered: number;
  /** When the last one of them was given up. */
  unanswered_ms: number;
  /** Until when this host asks no issuer, as none has replied. */
  aloneUntil_ms: number;
}

/**
 * Time after which a ramp-up that no issuer confirms is forgotten; an endpoint
 * that has been idle for so long after its start is ready for its full load.
 */
const LIFETIME_MS = 10_000;
/** Calls in a row without a reply after which a host bounds its requests itself. */
const MIN_UNANSWERED = 2;
/** Calls that are given up within this time count as one. */
const UNANSWERED_INTERVAL_MS = 300;
/** Time after which a host without an issuer asks again. */
const ALONE_MS = 1_000;
/** Endpoints that are remembered; the oldest are dropped. */
const MAX_ENDPOINTS = 4_096;

/** The ramp-ups that a host knows of, by incarnation. */
export class KnownRamps {
  #ramps = new Map<string, KnownRamp>();

  /** Endpoints in ramp-up. */
  get size(): number {
    return this.#ramps.size;
  }

  /** The incarnations in ramp-up. */
  incarnations(): string[] {
    return [...this.#ramps.keys()];
  }

  /** Records that an endpoint is in ramp-up; false if that was known. */
  learn(incarnation: string, reason: RampReason, now_ms: number): boolean {
    if (this.find(incarnation, now_ms) !== undefined) return false;
    this.#ramps.set(incarnation, {
      reason,
      learned_ms: now_ms,
      confirmed_ms: now_ms,
      unanswered: 0,
      unanswered_ms: -Infinity,
      aloneUntil_ms: -Infinity,
    });
    dropOldest(this.#ramps, MAX_ENDPOINTS);
    return true;
  }

  /** Records that its issuer says that it goes on. */
  confirm(incarnation: string, now_ms: number): void {
    const known = this.#ramps.get(incarnation);
    if (known === undefined) return;
    known.confirmed_ms = now_ms;
    known.unanswered = 0;
  }

  /** Records that its issuer has ended it; false if none was known. */
  end(incarnation: string): boolean {
    return this.#ramps.delete(incarnation);
  }

  /** What is known of an endpoint's ramp-up; undefined if it is in none. */
  find(incarnation: string, now_ms: number): KnownRamp | undefined {
    const known = this.#ramps.get(incarnation);
    if (known === undefined) return undefined;
    if (now_ms - known.confirmed_ms < LIFETIME_MS) return known;
    this.#ramps.delete(incarnation);
    return undefined;
  }

  /**
   * Records that an issuer has not replied. Returns whether this host now bounds
   * its requests there itself: first, the next one of the ranking is asked.
   */
  recordUnanswered(
    incarnation: string,
    { now_ms, isUrgent }: { now_ms: number; isUrgent: boolean },
  ): boolean {
    const known = this.#ramps.get(incarnation);
    if (known === undefined) return false;
    // Calls at the same time go to the same issuer.
    if (now_ms - known.unanswered_ms >= UNANSWERED_INTERVAL_MS) {
      known.unanswered += 1;
      known.unanswered_ms = now_ms;
    }
    const isAlone = isUrgent || known.unanswered >= MIN_UNANSWERED;
    if (isAlone) known.aloneUntil_ms = now_ms + ALONE_MS;
    return isAlone;
  }

  /** Whether this host bounds its requests there itself for the moment. */
  isAlone(incarnation: string, now_ms: number): boolean {
    const known = this.find(incarnation, now_ms);
    return known !== undefined && now_ms < known.aloneUntil_ms;
  }

  /** Forgets what no issuer has confirmed for long. */
  forgetOld(now_ms: number): void {
    for (const incarnation of this.incarnations()) {
      this.find(incarnation, now_ms);
    }
  }
}

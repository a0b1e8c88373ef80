/**
 * The places that this host holds at endpoints, and when it may ask for others.
 * Does no I/O and reads no clock: callers pass the time in.
 */
import { dropOldest } from "../utils/drop_oldest.ts";
import type { PlaceOutcome, PlaceReply, PlaceReport } from "./types.ts";

/** A place that is held. */
export interface HeldPlace {
  number: number;
  /** When it was granted. */
  since_ms: number;
  /** Requests that had it so far, one after another. */
  requests: number;
}

/** How the last request that had a place ended. */
export interface PlaceEnd {
  /** Whether the endpoint had no room for it. */
  rejected: boolean;
  /** Undefined if it tells nothing of the endpoint. */
  outcome?: PlaceOutcome | undefined;
}

interface PlacesAtEndpoint {
  held: Map<number, HeldPlace>;
  /** Held places that no request has at the moment, the newest last. */
  idle: HeldPlace[];
  begun: NonNullable<PlaceReport["begun"]>;
  released: PlaceReport["released"];
  reportIsDue: boolean;
}

/** Times are on the monotonic clock, but for `interval_ms`. */
interface Refusal {
  /** Until then no place is asked for. */
  until_ms: number;
  /** When the next caller that is refused may find a place. */
  retryAt_ms: number;
  /** Time between the returns of two callers. */
  interval_ms: number;
}

/** Refusals that are remembered; the oldest are dropped. */
const MAX_REFUSALS = 4_096;
const MAX_RETRY_AFTER_MS = 5_000;

/** The places that this host holds. */
export class HeldPlaces {
  #endpoints = new Map<string, PlacesAtEndpoint>();
  #refusals = new Map<string, Refusal>();
  #next = 0;

  /** A number for a place that no other one of this host has. */
  nextNumber(): number {
    return this.#next++;
  }

  /** Records that a place is held, by a request. */
  add(incarnation: string, number: number, now_ms: number): HeldPlace {
    const places = this.#endpoints.get(incarnation) ??
      {
        held: new Map(),
        idle: [],
        begun: [],
        released: [],
        reportIsDue: false,
      };
    this.#endpoints.set(incarnation, places);
    const place = { number, since_ms: now_ms, requests: 1 };
    places.held.set(number, place);
    return place;
  }

  /** Keeps a place for the next request. */
  keepIdle(incarnation: string, place: HeldPlace): void {
    this.#endpoints.get(incarnation)?.idle.push(place);
  }

  /** Whether a place is kept for the next request. */
  hasIdle(incarnation: string): boolean {
    return (this.#endpoints.get(incarnation)?.idle.length ?? 0) > 0;
  }

  /** Takes a place that was kept; undefined if there is none. */
  takeIdle(incarnation: string): HeldPlace | undefined {
    const place = this.#endpoints.get(incarnation)?.idle.pop();
    if (place !== undefined) place.requests += 1;
    return place;
  }

  /** Takes this place out of those that are kept; false if it is in use. */
  removeIdle(incarnation: string, place: HeldPlace): boolean {
    const idle = this.#endpoints.get(incarnation)?.idle ?? [];
    const index = idle.indexOf(place);
    if (index >= 0) idle.splice(index, 1);
    return index >= 0;
  }

  /** Records that the stream of a place has begun. */
  begin(
    incarnation: string,
    { number }: HeldPlace,
    outcome: PlaceOutcome,
  ): void {
    this.#endpoints.get(incarnation)?.begun.push({ place: number, outcome });
  }

  /** The places whose streams have begun since the last call. */
  takeBegun(incarnation: string): PlaceReport["begun"] {
    const begun = this.#endpoints.get(incarnation)?.begun.splice(0) ?? [];
    return begun.length > 0 ? begun : undefined;
  }

  /** Gives a place back; false if it isn't held. */
  release(
    incarnation: string,
    { number, requests }: HeldPlace,
    { rejected, outcome }: PlaceEnd,
  ): boolean {
    const places = this.#endpoints.get(incarnation);
    if (places?.held.delete(number) !== true) return false;
    places.released.push({ place: number, requests, rejected, outcome });
    return true;
  }

  /** Whether a report is to be scheduled; false if one is already. */
  startReport(incarnation: string): boolean {
    const places = this.#endpoints.get(incarnation);
    if (places === undefined || places.reportIsDue) return false;
    places.reportIsDue = true;
    return true;
  }

  /** Drops the places that were given back, unless they are to be reported. */
  dropReleased(incarnation: string): void {
    const places = this.#endpoints.get(incarnation);
    if (places?.reportIsDue === false) this.takeReleased(incarnation);
  }

  /** The places that were given back since the last call. */
  takeReleased(incarnation: string): PlaceReport["released"] {
    const places = this.#endpoints.get(incarnation);
    if (places === undefined) return [];
    places.reportIsDue = false;
    if (places.held.size === 0) this.#endpoints.delete(incarnation);
    return places.released.splice(0);
  }

  /** The places that are held at an endpoint. */
  numbers(incarnation: string): number[] {
    return [...this.#endpoints.get(incarnation)?.held.keys() ?? []];
  }

  /** The endpoints at which places are held. */
  incarnations(): string[] {
    return [...this.#endpoints.keys()];
  }

  /** Records that the issuer refused a place. */
  recordRefusal(
    incarnation: string,
    { ask_after_ms, retry_after_ms }: PlaceReply,
    now_ms: number,
  ): void {
    this.#refusals.delete(incarnation);
    this.#refusals.set(incarnation, {
      until_ms: now_ms + ask_after_ms,
      retryAt_ms: now_ms + retry_after_ms,
      interval_ms: ask_after_ms,
    });
    dropOldest(this.#refusals, MAX_REFUSALS);
  }

  /** Time until a place may be asked for, in milliseconds. */
  waitMs(incarnation: string, now_ms: number): number {
    const { until_ms = 0 } = this.#refusals.get(incarnation) ?? {};
    return Math.max(0, until_ms - now_ms);
  }

  /** Time until the next caller may find a place; each gets a later one. */
  retryAfterMs(incarnation: string, now_ms: number): number {
    const refusal = this.#refusals.get(incarnation);
    if (refusal === undefined || refusal.retryAt_ms <= now_ms) return 0;
    const wait_ms = refusal.retryAt_ms - now_ms;
    refusal.retryAt_ms = Math.min(
      refusal.retryAt_ms + refusal.interval_ms,
      now_ms + MAX_RETRY_AFTER_MS,
    );
    return wait_ms;
  }
}

/**
 * The endpoints that refused a request of this host and want none for a while.
 * Does no I/O and reads no clock: callers pass the time in.
 */
import { dropOldest } from "../utils/drop_oldest.ts";

/** Longest pause; a longer one is a mistake that must not cost the endpoint. */
export const MAX_PAUSE_MS = 60_000;
/** Endpoints that are remembered; beyond this the oldest are dropped. */
const MAX_ENDPOINTS = 4_096;

/** The pauses of endpoints, by incarnation. */
export class EndpointPauses {
  #until_ms = new Map<string, number>();

  /**
   * Begins a pause, or lengthens it: answers may overtake each other. Returns its
   * duration in milliseconds, or undefined if one was in force.
   */
  begin(
    incarnation: string,
    pause_ms: number,
    now_ms: number,
  ): number | undefined {
    const wait_ms = Math.min(MAX_PAUSE_MS, pause_ms);
    const known_ms = this.#until_ms.get(incarnation) ?? -Infinity;
    // The endpoint that began last stands last in the map.
    this.#until_ms.delete(incarnation);
    this.#until_ms.set(incarnation, Math.max(known_ms, now_ms + wait_ms));
    dropOldest(this.#until_ms, MAX_ENDPOINTS);
    return known_ms > now_ms ? undefined : wait_ms;
  }

  /** Time until the endpoint's pause ends, in milliseconds; 0 without one. */
  remainingMs(incarnation: string, now_ms: number): number {
    const until_ms = this.#until_ms.get(incarnation) ?? -Infinity;
    return Math.max(0, until_ms - now_ms);
  }
}

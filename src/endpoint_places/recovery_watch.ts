/**
 * Tells, as the issuer of endpoints, which of them have begun to fail or to be
 * late, from the troubles that all hosts report. Does no I/O and reads no clock:
 * callers pass the time in.
 */
import { dropOldest } from "../utils/drop_oldest.ts";

/** Time in which troubles are counted. */
export const TROUBLE_WINDOW_MS = 2_000;
/** Troubles in that time from which an endpoint counts as failing. */
const MIN_TROUBLES = 3;
/**
 * Share of the requests that the endpoint is expected to get in that time. Hosts
 * report no successes, so it takes the place of a row of failures.
 */
const TROUBLE_SHARE = 0.25;
/** Time after which the same endpoint may count as failing again. */
const REPEAT_MS = 5_000;
/** Endpoints that are remembered; the oldest are dropped. */
const MAX_ENDPOINTS = 4_096;

interface Troubles {
  times_ms: number[];
  found_ms: number;
}

/** The troubles of endpoints, by incarnation. */
export class RecoveryWatch {
  #endpoints = new Map<string, Troubles>();

  /**
   * Records that requests have failed or were late; returns whether the endpoint
   * has begun to fail. `expected` is the number of requests that it gets in
   * {@linkcode TROUBLE_WINDOW_MS}.
   */
  record(
    incarnation: string,
    { count, expected }: { count: number; expected: number },
    now_ms: number,
  ): boolean {
    const troubles = this.#endpoints.get(incarnation) ??
      { times_ms: [], found_ms: -Infinity };
    this.#endpoints.delete(incarnation);
    this.#endpoints.set(incarnation, troubles);
    dropOldest(this.#endpoints, MAX_ENDPOINTS);
    const needed = Math.max(MIN_TROUBLES, TROUBLE_SHARE * expected);
    for (let n = 0; n < count; n++) troubles.times_ms.push(now_ms);
    troubles.times_ms = troubles.times_ms
      .filter((at_ms) => now_ms - at_ms < TROUBLE_WINDOW_MS)
      .slice(-Math.ceil(needed));
    const isFailing = troubles.times_ms.length >= needed &&
      now_ms - troubles.found_ms >= REPEAT_MS;
    if (!isFailing) return false;
    troubles.times_ms = [];
    troubles.found_ms = now_ms;
    return true;
  }
}

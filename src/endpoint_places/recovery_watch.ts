/**
 * Tells, as the issuer of endpoints, which of them have begun to fail or to be
 * late, from the troubles that all hosts report. Does no I/O and reads no clock:
 * callers pass the time in.
 */
import { dropOldest } from "../utils/drop_oldest.ts";

/**
 * Windows in which failed and late requests are counted, each with the least
 * number at which an endpoint counts as failing. The short one detects an endpoint
 * early that gets many requests.
 */
const WINDOWS = [
  { window_ms: 500, min_troubles: 6 },
  { window_ms: 2_000, min_troubles: 3 },
];
const MAX_WINDOW_MS = 2_000;
const MS_PER_S = 1_000;
/** Troubles of an endpoint that are remembered. */
const MAX_TROUBLES = 1_024;
/**
 * Share of the requests expected in a window that must fail or be late as well.
 * Hosts report no successes, so the share of failures can't be counted directly.
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
   * has begun to fail. `expected_per_s` is the rate of requests that it gets from
   * all hosts.
   */
  record(
    incarnation: string,
    { count, expected_per_s }: { count: number; expected_per_s: number },
    now_ms: number,
  ): boolean {
    const troubles = this.#endpoints.get(incarnation) ??
      { times_ms: [], found_ms: -Infinity };
    this.#endpoints.delete(incarnation);
    this.#endpoints.set(incarnation, troubles);
    dropOldest(this.#endpoints, MAX_ENDPOINTS);
    for (let n = 0; n < count; n++) troubles.times_ms.push(now_ms);
    const { times_ms, found_ms } = troubles;
    troubles.times_ms = since(times_ms, now_ms - MAX_WINDOW_MS)
      .slice(-MAX_TROUBLES);
    if (now_ms - found_ms < REPEAT_MS) return false;
    const isFailing = WINDOWS.some(({ window_ms, min_troubles }) => {
      const expected = expected_per_s * window_ms / MS_PER_S;
      const needed = Math.max(min_troubles, TROUBLE_SHARE * expected);
      return since(times_ms, now_ms - window_ms).length >= needed;
    });
    if (!isFailing) return false;
    troubles.times_ms = [];
    troubles.found_ms = now_ms;
    return true;
  }
}

function since(times_ms: readonly number[], oldest_ms: number): number[] {
  return times_ms.filter((at_ms) => at_ms > oldest_ms);
}

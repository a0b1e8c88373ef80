/**
 * The longest time that callers of each route wait. An attempt tells only the time
 * that is left of it, so the age of a stream follows from the longest that others
 * had. Does no I/O and reads no clock: callers pass the time in.
 */
import { dropOldest } from "../utils/drop_oldest.ts";

/** Routes that are remembered. */
const MAX_ROUTES = 10_000;
/**
 * Longer deadlines count as this long, so that one odd caller doesn't make all
 * streams of its route look old; records of streams aren't kept for longer.
 */
const MAX_DEADLINE_MS = 120_000;
/** A longer deadline that was last seen longer ago is forgotten. */
const KEPT_MS = 60_000;

interface SeenDeadline {
  deadline_ms: number;
  seen_ms: number;
}

/** Remembers the longest recent deadline of each route. */
export class LongestDeadlines {
  #byRoute = new Map<string, SeenDeadline>();

  /** Records the time that the caller of an attempt still waits. */
  record(route: string, deadline_ms: number, now_ms: number): void {
    const counted_ms = Math.min(deadline_ms, MAX_DEADLINE_MS);
    if (counted_ms < this.longest(route, now_ms)) return;
    this.#byRoute.delete(route);
    this.#byRoute.set(route, { deadline_ms: counted_ms, seen_ms: now_ms });
    dropOldest(this.#byRoute, MAX_ROUTES);
  }

  /** The longest recent deadline of a route, in milliseconds; 0 if none. */
  longest(route: string, now_ms: number): number {
    const seen = this.#byRoute.get(route);
    if (seen === undefined || now_ms - seen.seen_ms > KEPT_MS) return 0;
    return seen.deadline_ms;
  }
}

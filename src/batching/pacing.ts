/**
 * Spaces the requests to stage endpoints that name a rate. One host batches for
 * an endpoint, so that it can keep to the rate alone; requests that free results
 * count like calls. Does no I/O.
 */
import {
  type NamedRateLimit,
  RateLimitKind,
} from "../endpoint_reports/endpoint_report.ts";
import { MIN_PER_S } from "../rate_limits/types.ts";

/** Shares of the rate for calls and for freeing their results. */
export const CALL_SHARE = 0.75;
const FREE_SHARE = 1 - CALL_SHARE;
const MS_PER_S = 1_000;

/** Shortest time between requests, in milliseconds; 0 without a limit. */
export function intervalMs(
  rate_limit: NamedRateLimit,
  { share, current_ms }: { share: number; current_ms: number },
): number {
  switch (rate_limit.kind) {
    case RateLimitKind.None:
      return 0;
    case RateLimitKind.Limited:
      return MS_PER_S / (share * Math.max(MIN_PER_S, rate_limit.per_s));
    case RateLimitKind.Unreadable:
      return current_ms;
  }
}

interface Pace {
  interval_ms: number;
  next_ms: number;
}

/** Spaces the requests that free results, by endpoint address. */
export class FreePacer {
  #paces = new Map<string, Pace>();
  #now: () => number;

  constructor(now: () => number) {
    this.#now = now;
  }

  /** Records what a response says about the endpoint's rate limit. */
  observe(address: string, rate_limit: NamedRateLimit): void {
    const pace = this.#paces.get(address);
    const interval_ms = intervalMs(rate_limit, {
      share: FREE_SHARE,
      current_ms: pace?.interval_ms ?? 0,
    });
    if (interval_ms === 0) this.#paces.delete(address);
    else {
      this.#paces.set(address, { interval_ms, next_ms: pace?.next_ms ?? 0 });
    }
  }

  /** Takes the next request; returns the time until it may be sent. */
  take(address: string): number {
    const pace = this.#paces.get(address);
    if (pace === undefined) return 0;
    const at_ms = Math.max(this.#now(), pace.next_ms);
    pace.next_ms = at_ms + pace.interval_ms;
    return at_ms - this.#now();
  }
}

/**
 * Divides the bound on the requests to a cold endpoint among the hosts that may
 * grant sends. Each part is counted in whole requests in the worst second, so
 * that the sum holds whichever hosts die or are cut off.
 */
import type { SendPace } from "../rate_limits/types.ts";

/** Bound on the requests to a cold endpoint, over all hosts together. */
export interface ColdBound {
  /** Times what it tolerates. */
  over: number;
  /** Requests beyond that. */
  slack: number;
}

/** The parts of a bound; a host has one of them at most. */
export interface BoundParts {
  /** Of the first issuer; undefined if the bound leaves none. */
  first: SendPace | undefined;
  /** Of the second host in the ranking. */
  substitute: SendPace | undefined;
  /** Of each further host, while there are no more than `own_hosts` hosts. */
  own: SendPace | undefined;
  own_hosts: number;
}

/** Longest time from the time that is granted to the arrival of the request. */
export const MAX_SEND_DELAY_MS = 100;
/**
 * Sends that arrive within one second were granted for this span: the first of
 * them may be late by the longest delay.
 */
const SPAN_MS = 1_000 + MAX_SEND_DELAY_MS;
/** How late the first issuer may be with a send without losing it. */
const FIRST_BURST_MS = 50;
/** Share of what the first issuer leaves that goes to its substitute. */
const SUBSTITUTE_SHARE = 0.25;
/** No host counts that a fleet doesn't have. */
const MAX_OWN_HOSTS = 512;
const MS_PER_S = 1_000;
/** Keeps an interval above the one at which one more send would fit. */
const ROUNDING = 1 + 1e-9;

/** Divides the bound for an endpoint that tolerates `per_s` while cold. */
export function divideBound(
  per_s: number,
  { over, slack }: ColdBound,
): BoundParts {
  const bound = Math.floor(per_s * over + slack + 1e-9);
  const min_interval_ms = MS_PER_S / per_s;
  const first = paceFor(bound, { min_interval_ms, burst_ms: FIRST_BURST_MS });
  const left = bound - maxSends(first);
  const substituteSends = Math.max(
    Math.ceil(left * SUBSTITUTE_SHARE),
    left - MAX_OWN_HOSTS,
  );
  const substitute = paceFor(substituteSends, { min_interval_ms, burst_ms: 0 });
  return {
    first,
    substitute,
    own: paceFor(1, { min_interval_ms, burst_ms: 0 }),
    own_hosts: left - substituteSends,
  };
}

/** Most sends of a host at this pace that arrive within one second. */
export function maxSends(pace: SendPace | undefined): number {
  if (pace === undefined) return 0;
  return Math.floor((SPAN_MS + pace.burst_ms) / pace.interval_ms) + 1;
}

/** The fastest pace at which no more than `sends` arrive within one second. */
function paceFor(
  sends: number,
  { min_interval_ms, burst_ms }: { min_interval_ms: number; burst_ms: number },
): SendPace | undefined {
  if (sends < 1) return undefined;
  const interval_ms = (SPAN_MS + burst_ms) / sends * ROUNDING;
  return { interval_ms: Math.max(min_interval_ms, interval_ms), burst_ms };
}

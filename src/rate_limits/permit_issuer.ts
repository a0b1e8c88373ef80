/**
 * Grants the sends to endpoints that limit their rate, for all hosts together.
 * Does no I/O and reads no clock: callers pass the time in.
 */
import { ReservationLimits } from "./reservation_limits.ts";
import {
  MIN_PER_S,
  type PermitReply,
  type PermitRequest,
  type SendPace,
} from "./types.ts";

/** Time whose permits may be granted at once. */
const BURST_MS = 500;
/** Longest time ahead for which a send is granted, in milliseconds. */
const MAX_WAIT_MS = 1_000;
/** Longest time after which a refused host asks again. */
const MAX_RETRY_AFTER_MS = 5_000;
/** The same for a cold endpoint, which may soon be warm or have another issuer. */
const MAX_COLD_RETRY_AFTER_MS = 2_000;
/** Endpoints that no host has asked for during this time are forgotten. */
const LIFETIME_MS = 60_000;
const MS_PER_S = 1_000;

/** Permits for one key: the incarnation of an endpoint, or that of a cold one. */
interface EndpointPermits {
  per_s: number;
  /** Time of the first send that is not granted yet. */
  next_send_ms: number;
  /** Earliest next send while the endpoint is cold. */
  next_cold_send_ms: number;
  reservationLimits: ReservationLimits;
  /** When the endpoint named the limit. */
  named_ms: number;
  /** Time at which the host that was refused last asks again. */
  next_retry_ms: number;
  asked_ms: number;
}

/** Grants sends, each endpoint at its own rate. */
export class PermitIssuer {
  #endpoints = new Map<string, EndpointPermits>();

  /**
   * Grants one send, now or soon, or tells when to ask again. `cold` is the pace
   * of this host's sends to an endpoint that is cold; undefined if it is warm.
   */
  request(
    request: PermitRequest,
    now_ms: number,
    cold?: SendPace,
  ): PermitReply {
    const permits = this.#permitsOf(request, now_ms);
    const named_interval_ms = MS_PER_S / permits.per_s;
    const send_interval_ms = Math.max(
      named_interval_ms,
      cold?.interval_ms ?? 0,
    );
    const send_ms = Math.max(
      nextSendMs(permits, now_ms),
      cold === undefined ? -Infinity : nextColdSendMs(permits, cold, now_ms),
    );
    const wait_ms = Math.max(0, send_ms - now_ms);
    const limit_ms = Math.min(
      MAX_WAIT_MS,
      permits.reservationLimits.limitMs(request, { now_ms, send_interval_ms }),
    );
    if (wait_ms <= limit_ms) {
      permits.next_send_ms = send_ms + named_interval_ms;
      if (cold !== undefined) {
        permits.next_cold_send_ms = send_ms + cold.interval_ms;
      }
      permits.reservationLimits.recordGrant(request.priority, now_ms);
      return { granted: true, wait_ms, retry_after_ms: 0 };
    }
    // Hosts that are refused get times of their own, one permit apart.
    const earliest_ms = Math.max(now_ms, permits.next_retry_ms) +
      send_interval_ms;
    const max_retry_ms = cold === undefined
      ? MAX_RETRY_AFTER_MS
      : MAX_COLD_RETRY_AFTER_MS;
    permits.next_retry_ms = Math.min(earliest_ms, now_ms + max_retry_ms);
    const retry_after_ms = permits.next_retry_ms - now_ms;
    return { granted: false, wait_ms: 0, retry_after_ms };
  }

  /** Forgets an endpoint whose limit has ended. */
  end(endpoint: string): void {
    this.#endpoints.delete(endpoint);
  }

  #permitsOf(
    { endpoint, per_s: named_per_s, age_ms }: PermitRequest,
    now_ms: number,
  ): EndpointPermits {
    this.#dropUnused(now_ms);
    const per_s = Math.max(MIN_PER_S, named_per_s);
    const named_ms = now_ms - age_ms;
    let permits = this.#endpoints.get(endpoint);
    if (permits === undefined) {
      permits = {
        per_s,
        named_ms,
        next_send_ms: -Infinity,
        next_cold_send_ms: -Infinity,
        next_retry_ms: 0,
        asked_ms: now_ms,
        reservationLimits: new ReservationLimits(),
      };
    } else if (named_ms > permits.named_ms) {
      // The sends that are granted ahead, or left over, keep their number.
      const ahead_ms = nextSendMs(permits, now_ms) - now_ms;
      permits.next_send_ms = now_ms + ahead_ms * permits.per_s / per_s;
      permits.per_s = per_s;
      permits.named_ms = named_ms;
    }
    permits.asked_ms = now_ms;
    // The endpoint asked for last stands last in the map.
    this.#endpoints.delete(endpoint);
    this.#endpoints.set(endpoint, permits);
    return permits;
  }

  #dropUnused(now_ms: number): void {
    for (const [endpoint, { asked_ms }] of this.#endpoints) {
      if (now_ms - asked_ms < LIFETIME_MS) return;
      this.#endpoints.delete(endpoint);
    }
  }
}

/** The next send's time; it is past if sends of a burst are left over. */
function nextSendMs(
  { next_send_ms, per_s }: EndpointPermits,
  now_ms: number,
): number {
  const burst_ms = Math.max(0, BURST_MS - MS_PER_S / per_s);
  return Math.max(next_send_ms, now_ms - burst_ms);
}

/** The next send's time at a cold endpoint; past if that send is a little late. */
function nextColdSendMs(
  { next_cold_send_ms }: EndpointPermits,
  { burst_ms }: SendPace,
  now_ms: number,
): number {
  return Math.max(next_cold_send_ms, now_ms - burst_ms);
}

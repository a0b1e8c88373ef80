/**
 * Limits how far ahead requests may reserve sends to an endpoint, so that urgent
 * requests find one. Does no I/O and reads no clock: callers pass the time in.
 */

/** A request that may wait for its send. */
export interface WaitingRequest {
  /** 0 is the most urgent. */
  priority: number;
  /** Longest time for which it may wait, in milliseconds. */
  max_wait_ms: number;
}

/** Urgent requests count for this long after they asked. */
const RECENT_MS = 2_000;
/** Share of an urgent request's wait up to which others may take sends. */
const MAX_SHARE_OF_URGENT_WAIT = 0.5;
/** A priority without a grant for this many sends may wait its full time. */
const MAX_SENDS_PASSED_OVER = 10;

/** Limits the reservations of less urgent requests. */
export class ReservationLimits {
  #asked = new Map<number, { max_wait_ms: number; at_ms: number }>();
  /** When each priority got a send last, or first asked for one. */
  #served_ms = new Map<number, number>();

  /** How far ahead the request may reserve a send, in milliseconds. */
  limitMs(
    { priority, max_wait_ms }: WaitingRequest,
    { now_ms, send_interval_ms }: { now_ms: number; send_interval_ms: number },
  ): number {
    if (max_wait_ms > 0) {
      this.#asked.set(priority, { max_wait_ms, at_ms: now_ms });
    }
    const served_ms = this.#served_ms.get(priority) ?? now_ms;
    this.#served_ms.set(priority, served_ms);
    if (now_ms - served_ms > MAX_SENDS_PASSED_OVER * send_interval_ms) {
      return max_wait_ms;
    }
    return Math.min(max_wait_ms, this.#shareOfUrgent(priority, now_ms));
  }

  /** Records that a request of this priority got a send. */
  recordGrant(priority: number, now_ms: number): void {
    this.#served_ms.set(priority, now_ms);
  }

  #shareOfUrgent(priority: number, now_ms: number): number {
    const waits_ms = [...this.#asked]
      .filter(([other, { at_ms }]) =>
        other < priority && now_ms - at_ms < RECENT_MS
      )
      .map(([_, { max_wait_ms }]) => max_wait_ms);
    return MAX_SHARE_OF_URGENT_WAIT * Math.min(...waits_ms);
  }
}

/**
 * Spreads over time when hosts and requests that an issuer has refused come back,
 * so that they don't come back together. Does no I/O and reads no clock: callers
 * pass the time in.
 */
import { dropOldest } from "../utils/drop_oldest.ts";

/** Time between two hosts that ask again after a refusal. */
const ASK_INTERVAL_MS = 20;
const MAX_ASK_AFTER_MS = 1_000;
/**
 * The same in a ramp-up. With the longer times, hosts that were refused during it
 * come back up to a second after the endpoint has become fast.
 */
const RAMP_ASK_INTERVAL_MS = 10;
const MAX_RAMP_ASK_AFTER_MS = 250;
/** Hosts whose next time is remembered; the oldest are dropped. */
const MAX_HOSTS = 4_096;
const MAX_RETRY_AFTER_MS = 5_000;

/** The next times at one endpoint. */
export class RefusalTimes {
  #nextAsk_ms = 0;
  /** When each host that was refused may ask again. */
  #asksAt_ms = new Map<string, number>();
  #nextRetry_ms = 0;

  /** Time after which a host that is refused may ask again, in milliseconds. */
  askAfterMs(
    host: string,
    { isRamping, now_ms }: { isRamping: boolean; now_ms: number },
  ): number {
    const known_ms = this.#asksAt_ms.get(host) ?? 0;
    if (known_ms > now_ms) return known_ms - now_ms;
    const interval_ms = isRamping ? RAMP_ASK_INTERVAL_MS : ASK_INTERVAL_MS;
    const max_ms = isRamping ? MAX_RAMP_ASK_AFTER_MS : MAX_ASK_AFTER_MS;
    this.#nextAsk_ms = Math.min(
      Math.max(now_ms, this.#nextAsk_ms) + interval_ms,
      now_ms + max_ms,
    );
    this.#asksAt_ms.delete(host);
    this.#asksAt_ms.set(host, this.#nextAsk_ms);
    dropOldest(this.#asksAt_ms, MAX_HOSTS);
    return this.#nextAsk_ms - now_ms;
  }

  /**
   * Time after which a caller that is refused may find a place, in milliseconds;
   * each call returns a later one.
   */
  retryAfterMs(
    { queueEnd_ms, interval_ms }: {
      /** When all requests in the queue are expected to have had a place. */
      queueEnd_ms: number;
      /** Time between two places that are given back. */
      interval_ms: number;
    },
    now_ms: number,
  ): number {
    this.#nextRetry_ms = Math.min(
      Math.max(queueEnd_ms, this.#nextRetry_ms) + interval_ms,
      now_ms + MAX_RETRY_AFTER_MS,
    );
    return this.#nextRetry_ms - now_ms;
  }
}

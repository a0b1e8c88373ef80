/**
 * Bounds the requests that all hosts together have in flight at an endpoint that
 * can bear few rejections. Does no I/O and reads no clock: callers pass the time
 * in.
 */

/** What an endpoint says of its capacity. */
export interface EndpointCapacity {
  /** Requests that it works on at a time. */
  slots: number;
  /** Rejections a second that it can bear. */
  max_rejections_per_s: number;
}

/** Requests that may wait at the endpoint, as a share of its slots. */
const WAITING_SHARE = 0.25;
/** The bound after a rejection of slots, as a share of the requests in flight. */
const SHARE_AFTER_REJECTION = 0.8;
/** Time for which the number of requests at which it rejected one is avoided. */
const CEILING_LIFETIME_MS = 30_000;
/** Share of the slots by which the bound grows in a second, and the least. */
const GROWTH_SHARE_PER_S = 0.05;
const MIN_GROWTH_PER_S = 0.5;
/** Share of the rejections that it can bear from which it gets no requests. */
const MAX_REJECTION_SHARE = 0.5;
/**
 * Time for which a new issuer grants few places: hosts report within it what
 * they already have in flight.
 */
const WARM_UP_MS = 600;
const WARM_UP_SHARE = 0.5;
const MS_PER_S = 1_000;

/** The bound of one endpoint. */
export class PlaceBound {
  #started_ms: number;
  /** Undefined before the first request. */
  #places: number | undefined;
  #ceiling = Infinity;
  #ceiling_ms = -Infinity;
  #grown_ms: number;
  #rejections_ms: number[] = [];

  constructor(now_ms: number) {
    this.#started_ms = now_ms;
    this.#grown_ms = now_ms;
  }

  /** Lowers the bound after a rejection with so many requests in flight. */
  recordRejection(
    in_flight: number,
    { slots, now_ms }: { slots: number; now_ms: number },
  ): void {
    this.#rejections_ms.push(now_ms);
    this.#ceiling = Math.max(1, Math.min(this.#ceiling, in_flight - 1));
    this.#ceiling_ms = now_ms;
    const lowered = in_flight > slots
      ? slots
      : Math.floor(in_flight * SHARE_AFTER_REJECTION);
    this.#places = Math.max(1, Math.min(this.#places ?? slots, lowered));
    this.#grown_ms = now_ms;
  }

  /** Requests that may be in flight now; 0 if it must get none. */
  places(
    { slots, max_rejections_per_s }: EndpointCapacity,
    now_ms: number,
  ): number {
    const recent = this.#rejections_ms
      .filter((at_ms) => at_ms > now_ms - MS_PER_S);
    this.#rejections_ms = recent;
    const budget = MAX_REJECTION_SHARE * max_rejections_per_s;
    if (recent.length >= Math.max(1, budget)) return 0;
    if (now_ms - this.#ceiling_ms > CEILING_LIFETIME_MS) {
      this.#ceiling = Infinity;
    }
    // If it lets fewer wait, no more than these are rejected.
    const waiting = Math.min(Math.ceil(WAITING_SHARE * slots), budget);
    const max = Math.min(slots + Math.floor(waiting), this.#ceiling);
    const elapsed_s = (now_ms - this.#grown_ms) / MS_PER_S;
    this.#grown_ms = now_ms;
    const per_s = Math.max(MIN_GROWTH_PER_S, GROWTH_SHARE_PER_S * slots);
    this.#places = Math.min(max, (this.#places ?? slots) + per_s * elapsed_s);
    const isWarmingUp = now_ms - this.#started_ms < WARM_UP_MS;
    const share = isWarmingUp ? WARM_UP_SHARE : 1;
    return Math.max(1, Math.floor(share * this.#places));
  }
}

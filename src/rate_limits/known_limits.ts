/**
 * The endpoints that this host knows to limit their rate, and when it may ask
 * for a permit again. Does no I/O and reads no clock: callers pass the time in.
 */
import {
  type NamedRateLimit,
  RateLimitKind,
} from "../endpoint_reports/endpoint_report.ts";
import type { EndpointNotice } from "../endpoint_reports/endpoint_notices.ts";
import { dropOldest } from "../utils/drop_oldest.ts";

interface KnownLimit {
  per_s: number;
  /** When an answer or another host named it last. */
  named_ms: number;
  /** Until when this host was refused a permit. */
  refused_until_ms: number;
}

/** What an endpoint's response says, and when its request was sent. */
export interface ObservedLimit {
  /** Incarnation of the endpoint. */
  endpoint: string;
  rate_limit: NamedRateLimit;
  sent_ms: number;
}

/** Endpoints that are remembered; beyond this the oldest are dropped. */
const MAX_ENDPOINTS = 4_096;

/** The endpoints that limit their rate. */
export class KnownLimits {
  #limits = new Map<string, KnownLimit>();

  /**
   * Records what a response says. Returns the notice for the other hosts if a
   * limit starts or ends. Responses may overtake each other, so one without a
   * limit ends it only if its request was sent after the limit was named.
   */
  observe(
    { endpoint, rate_limit, sent_ms }: ObservedLimit,
    now_ms: number,
  ): EndpointNotice | undefined {
    const known = this.#limits.get(endpoint);
    switch (rate_limit.kind) {
      case RateLimitKind.Unreadable:
        return undefined;
      case RateLimitKind.None:
        if (known === undefined || sent_ms <= known.named_ms) return undefined;
        this.#limits.delete(endpoint);
        return { endpoint };
      case RateLimitKind.Limited: {
        const { per_s } = rate_limit;
        this.#set(endpoint, per_s, now_ms);
        return known === undefined ? { endpoint, per_s } : undefined;
      }
    }
  }

  /** Applies the notice of another host; false if nothing changed. */
  apply({ endpoint, per_s }: EndpointNotice, now_ms: number): boolean {
    if (per_s === undefined) return this.#limits.delete(endpoint);
    if (this.#limits.has(endpoint)) return false;
    this.#set(endpoint, per_s, now_ms);
    return true;
  }

  /** Whether no endpoint limits its rate. */
  get isEmpty(): boolean {
    return this.#limits.size === 0;
  }

  /** The endpoint's limit and its age; undefined if it names none. */
  find(
    endpoint: string,
    now_ms: number,
  ): { per_s: number; age_ms: number } | undefined {
    const known = this.#limits.get(endpoint);
    if (known === undefined) return undefined;
    return { per_s: known.per_s, age_ms: now_ms - known.named_ms };
  }

  /** Forgets the limits that were named last before this time. */
  forgetBefore(oldest_ms: number): void {
    for (const [endpoint, { named_ms }] of this.#limits) {
      if (named_ms >= oldest_ms) return;
      this.#limits.delete(endpoint);
    }
  }

  /** Records that a permit was refused. */
  recordRefusal(endpoint: string, until_ms: number): void {
    const known = this.#limits.get(endpoint);
    if (known !== undefined) known.refused_until_ms = until_ms;
  }

  /** Time until a permit may be asked for, in milliseconds. */
  waitMs(endpoint: string, now_ms: number): number {
    const until_ms = this.#limits.get(endpoint)?.refused_until_ms ?? 0;
    return Math.max(0, until_ms - now_ms);
  }

  #set(endpoint: string, per_s: number, now_ms: number): void {
    const refused_until_ms = this.#limits.get(endpoint)?.refused_until_ms ?? 0;
    // The endpoint that was named last stands last in the map.
    this.#limits.delete(endpoint);
    this.#limits.set(endpoint, { per_s, named_ms: now_ms, refused_until_ms });
    dropOldest(this.#limits, MAX_ENDPOINTS);
  }
}

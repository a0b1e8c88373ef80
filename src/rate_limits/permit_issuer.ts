/**
 * Grants the sends to endpoints that limit their rate, for all hosts together.
 * Does no I/O and reads no clock: callers pass the time in.
 */
import { TokenBucket, type TokenBucketLimits } from "../utils/token_bucket.ts";
import { MIN_PER_S, type PermitReply, type PermitRequest } from "./types.ts";

/** Time whose permits may be granted at once, in seconds. */
const BURST_S = 0.5;
/** Longest time after which a refused host asks again. */
const MAX_RETRY_AFTER_MS = 5_000;
/** Endpoints that no host has asked for during this time are forgotten. */
const LIFETIME_MS = 60_000;
const MS_PER_S = 1_000;

interface EndpointPermits {
  bucket: TokenBucket;
  per_s: number;
  /** When the endpoint named the limit. */
  named_ms: number;
  /** Time at which the host that was refused last asks again. */
  next_retry_ms: number;
  asked_ms: number;
}

/** Grants sends, each endpoint at its own rate. */
export class PermitIssuer {
  #endpoints = new Map<string, EndpointPermits>();

  /** Grants one send, or tells when to ask again. */
  request(request: PermitRequest, now_ms: number): PermitReply {
    const permits = this.#permitsOf(request, now_ms);
    if (permits.bucket.tryTake(now_ms)) {
      return { granted: true, retry_after_ms: 0 };
    }
    // Hosts that are refused get times of their own, one permit apart.
    const earliest_ms = Math.max(now_ms, permits.next_retry_ms) +
      MS_PER_S / permits.per_s;
    permits.next_retry_ms = Math.min(earliest_ms, now_ms + MAX_RETRY_AFTER_MS);
    return { granted: false, retry_after_ms: permits.next_retry_ms - now_ms };
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
      const bucket = new TokenBucket(bucketLimits(per_s), now_ms);
      const next_retry_ms = 0;
      permits = { bucket, per_s, named_ms, next_retry_ms, asked_ms: now_ms };
    } else if (named_ms > permits.named_ms) {
      permits.per_s = per_s;
      permits.named_ms = named_ms;
      permits.bucket.setLimits(bucketLimits(per_s), now_ms);
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

function bucketLimits(per_s: number): TokenBucketLimits {
  return {
    tokens_per_second: per_s,
    burst_tokens: Math.max(1, per_s * BURST_S),
  };
}

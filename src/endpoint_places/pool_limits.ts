/**
 * The least limit of rejections that endpoints of each pool have named, also by
 * those that have crashed since. Does no I/O and reads no clock: callers pass the
 * time in.
 */
import { dropOldest } from "../utils/drop_oldest.ts";

interface NamedLimit {
  per_s: number;
  named_ms: number;
}

interface PoolLimit {
  /** By the incarnation of the endpoint that named it, the newest last. */
  named: Map<string, NamedLimit>;
  least_per_s: number;
}

/** An endpoint, as one of its pool. */
export interface PoolEndpoint {
  pool: string;
  /** Incarnation of the endpoint. */
  endpoint: string;
}

/** Endpoints of a pool that are remembered; the oldest are dropped. */
const MAX_ENDPOINTS = 4_096;

/** The pools whose endpoints can bear few rejections. */
export class PoolLimits {
  #pools = new Map<string, PoolLimit>();

  /** Records that an endpoint has named its limit. */
  name({ pool, endpoint }: PoolEndpoint, limit: NamedLimit): void {
    const known = this.#pools.get(pool) ??
      { named: new Map(), least_per_s: limit.per_s };
    this.#pools.set(pool, known);
    const before = known.named.get(endpoint);
    known.named.delete(endpoint);
    known.named.set(endpoint, limit);
    dropOldest(known.named, MAX_ENDPOINTS);
    if (before?.per_s !== limit.per_s) this.#update(pool, known);
  }

  /** Records that an endpoint has said that it has no limit any more. */
  end({ pool, endpoint }: PoolEndpoint): void {
    const known = this.#pools.get(pool);
    if (known?.named.delete(endpoint) === true) this.#update(pool, known);
  }

  /** The pool's limit; undefined if it has none. */
  leastPerS(pool: string): number | undefined {
    return this.#pools.get(pool)?.least_per_s;
  }

  /** Forgets the limits that were named last before this time. */
  forgetBefore(oldest_ms: number): void {
    for (const [pool, known] of this.#pools) {
      const { size } = known.named;
      for (const [endpoint, { named_ms }] of known.named) {
        if (named_ms >= oldest_ms) break;
        known.named.delete(endpoint);
      }
      if (known.named.size < size) this.#update(pool, known);
    }
  }

  #update(pool: string, known: PoolLimit): void {
    if (known.named.size === 0) this.#pools.delete(pool);
    known.least_per_s = Math.min(
      ...[...known.named.values()].map(({ per_s }) => per_s),
    );
  }
}

/**
 * Splits a pool into shards, one for each availability zone, each with its own
 * batcher. A single batcher puts the most pieces into a call but has to handle
 * every message of the pool. Where zones have several endpoints, the pieces of
 * one zone are enough to fill its calls. Has no side effects.
 */
import { type RouteEndpoint, RouteEndpointState } from "../routes/types.ts";

/**
 * Mean number of endpoints per zone from which a pool is sharded. Below it, one
 * host can handle all messages, and a single queue schedules pieces better.
 */
const MIN_ENDPOINTS_PER_SHARD = 6;

/** The pool's shards, which are zones, sorted; empty if it is not sharded. */
export function listShards(endpoints: readonly RouteEndpoint[]): string[] {
  const zones = new Set(endpoints.map((each) => each.availability_zone));
  if (zones.size < 2) return [];
  if (endpoints.length < zones.size * MIN_ENDPOINTS_PER_SHARD) return [];
  return [...zones].sort();
}

/** The endpoints in a shard's zone; all of the pool if none there is ready. */
export function endpointsOfShard(
  endpoints: readonly RouteEndpoint[],
  shard: string | undefined,
): readonly RouteEndpoint[] {
  if (shard === undefined) return endpoints;
  const own = endpoints.filter((each) => each.availability_zone === shard);
  const hasReady = own.some(({ state }) => state === RouteEndpointState.Ready);
  return hasReady ? own : endpoints;
}

/** How much longer the preferred shard's wait may be before another is used. */
const OTHER_SHARD_PENALTY_MS = 200;

/**
 * Chooses the shard for a job: the preferred one unless another's wait is
 * shorter by more than `OTHER_SHARD_PENALTY_MS`; undefined if there are none.
 */
export function chooseShard(
  shards: readonly string[],
  { preferred, waitMs }: {
    preferred: string | undefined;
    /** Expected queue wait in a shard, in milliseconds. */
    waitMs: (shard: string) => number;
  },
): string | undefined {
  let best: { shard: string; cost_ms: number } | undefined;
  for (const shard of shards) {
    const penalty_ms = shard === preferred ? 0 : OTHER_SHARD_PENALTY_MS;
    const cost_ms = waitMs(shard) + penalty_ms;
    if (best === undefined || cost_ms < best.cost_ms) best = { shard, cost_ms };
  }
  return best?.shard;
}

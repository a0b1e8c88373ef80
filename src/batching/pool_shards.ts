/**
 * How a pool is divided among batchers. Pure. One batcher that sees every piece
 * fills calls best, but it reads every message of the pool; where availability
 * zones have several endpoints, each zone's pieces are enough to fill its calls
 * and get a batcher of their own.
 */
import { type RouteEndpoint, RouteEndpointState } from "../routes/types.ts";

/**
 * Endpoints a zone from which on each zone has a batcher of its own. Below, one
 * host can read all messages of the pool, and one queue places pieces better.
 */
const MIN_ENDPOINTS_PER_SHARD = 6;

/** The zones that are batched apart, sorted; empty if the pool is one. */
export function listShards(endpoints: readonly RouteEndpoint[]): string[] {
  const zones = new Set(endpoints.map((each) => each.availability_zone));
  if (zones.size < 2) return [];
  if (endpoints.length < zones.size * MIN_ENDPOINTS_PER_SHARD) return [];
  return [...zones].sort();
}

/** The endpoints of a shard; all if none of its own takes work. */
export function endpointsOfShard(
  endpoints: readonly RouteEndpoint[],
  shard: string | undefined,
): readonly RouteEndpoint[] {
  if (shard === undefined) return endpoints;
  const own = endpoints.filter((each) => each.availability_zone === shard);
  const takesWork = own.some(({ state }) => state === RouteEndpointState.Ready);
  return takesWork ? own : endpoints;
}

/** How much longer a wait in the preferred shard may be than elsewhere. */
const OTHER_SHARD_PENALTY_MS = 200;

/** The shard for a job: the preferred one, unless another is much shorter. */
export function chooseShard(
  shards: readonly string[],
  { preferred, waitMs }: {
    preferred: string | undefined;
    /** Expected wait in a shard, in milliseconds. */
    waitMs: (shard: string) => number;
  },
): string | undefined {
  let best: { shard: string; cost_ms: number } | undefined;
  for (const shard of shards) {
    const away_ms = shard === preferred ? 0 : OTHER_SHARD_PENALTY_MS;
    const cost_ms = waitMs(shard) + away_ms;
    if (best === undefined || cost_ms < best.cost_ms) best = { shard, cost_ms };
  }
  return best?.shard;
}

import type { SendPace } from "../rate_limits/types.ts";
import type { BoundParts } from "./divide_bound.ts";

/**
 * Pace at which a host may grant sends to a cold endpoint; undefined if it may
 * grant none. `rank` is its place in the endpoint's ranking, undefined if it may
 * not act on it; `hostCount` the hosts that it lists, undefined if it isn't
 * listed itself.
 */
export function paceOf(
  { first, substitute, own, own_hosts }: BoundParts,
  { rank, hostCount = Infinity }: {
    rank: number | undefined;
    hostCount: number | undefined;
  },
): SendPace | undefined {
  if (rank === 0) return first;
  if (rank === 1 && substitute !== undefined) return substitute;
  return hostCount <= own_hosts ? own : undefined;
}

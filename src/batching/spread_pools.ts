/**
 * Assigns the pools to hosts that batch for them, so that no host gets a second
 * pool while another has none: a host that forms the batches of all pools runs
 * out of processor time first. Hosts that see the same hosts and pools assign them
 * alike, without a message. The shards of a pool are not spread: each keeps its own
 * rendezvous ranking.
 */
import { rankCandidates } from "../membership/rendezvous_hash.ts";

/** The hosts of each pool, the one that batches for it first. */
export function spreadPools(
  pools: readonly string[],
  hosts: readonly string[],
): Map<string, readonly string[]> {
  const assigned = new Map<string, readonly string[]>();
  let free = new Set(hosts);
  for (const pool of [...pools].sort()) {
    const ranked = rankCandidates(pool, hosts);
    const first = ranked.find((host) => free.has(host));
    if (first === undefined) break;
    assigned.set(pool, [first, ...ranked.filter((host) => host !== first)]);
    free.delete(first);
    if (free.size === 0) free = new Set(hosts);
  }
  return assigned;
}

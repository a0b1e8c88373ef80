/** Which endpoints are in the share of their zone that a host may use. */
import murmurhash from "murmurhash";

/** What decides how much of a zone is used. */
export interface ZoneShares {
  /** Whether every zone gets its whole share. */
  readonly isEmpty: boolean;
  isEvacuated(zone: string): boolean;
  /** The part of the requests that may go to a zone, from 0 to 1. */
  share(zone: string, now_ms: number): number;
}

/** Number of values of the hash that decides which endpoints are in a share. */
const HASH_VALUES = 2 ** 32;

/**
 * Whether a host may use an endpoint. `key` names the host and the endpoint: while
 * a zone's share changes, each host uses other endpoints of it, and one that it
 * has left stays left.
 */
export function isInShare(
  zones: ZoneShares,
  { zone, key }: { zone: string; key: string },
  now_ms: number,
): boolean {
  if (zones.isEmpty) return true;
  const share = zones.share(zone, now_ms);
  if (share === 0 || share === 1) return share === 1;
  return murmurhash.v3(key) < share * HASH_VALUES;
}

/** Checks the values that another host streams. */
import { readEvacuation } from "../evacuations/types.ts";
import type { FeedResult } from "../store_sync/object_feed.ts";
import { readEndpoint, readMember } from "../store_sync/sound_values.ts";
import { FeedName, mapValues } from "./feed_stream.ts";

/** The feeds whose values are checked; the others check theirs on use. */
const READERS: Partial<Record<FeedName, (value: unknown) => unknown>> = {
  [FeedName.Endpoints]: readEndpoint,
  [FeedName.Gateways]: readMember,
  [FeedName.Evacuations]: readEvacuation,
};

/** Replaces odd values, of hosts that don't check them, by undefined. */
export function readFeedValues(
  feed: FeedName,
  result: FeedResult<unknown>,
): FeedResult<unknown> {
  const read = READERS[feed];
  return read === undefined ? result : mapValues(result, read);
}

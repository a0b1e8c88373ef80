/** Positions for tests. */
import {
  createPosition,
  type FeedPosition,
} from "../../src/store_sync/feed_position.ts";

/** A position; its epoch is unknown if none is given. */
export function at(revision: number, epoch?: number): FeedPosition {
  return createPosition(epoch, revision);
}

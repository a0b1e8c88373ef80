/** Tells when a list of the store's objects was last confirmed to be whole. */
import {
  type FeedResult,
  FeedResultKind,
  type ObjectFeed,
} from "../store_sync/object_feed.ts";

/** Options of {@linkcode createConfirmedFeed}. */
export interface ConfirmedFeedOptions {
  /**
   * Called before a result is delivered that makes the list whole as of a time,
   * which is that of the call.
   */
  onConfirmed: (at_ms: number) => void;
  /** Whether this host reads the store itself. */
  readsStore: () => boolean;
  now: () => number;
}

/** Shortest watch of a follower that its reader has answered, not cut short. */
const MIN_FOLLOWED_WATCH_MS = 4_900;
/** How much earlier than asked the store may answer a watch without changes. */
const EARLY_ANSWER_MS = 100;

/** Wraps a feed. */
export function createConfirmedFeed<T>(
  feed: ObjectFeed<T>,
  { onConfirmed, readsStore, now }: ConfirmedFeedOptions,
): ObjectFeed<T> {
  const confirm = (result: FeedResult<T>, started_ms: number) => {
    onConfirmed(started_ms);
    return result;
  };
  return {
    async list(signal) {
      const started_ms = now();
      const result = await feed.list(signal);
      return result.kind === FeedResultKind.Listed
        ? confirm(result, started_ms)
        : result;
    },
    async watch(position, wait_ms, signal) {
      const started_ms = now();
      // A watch that this host itself ends early returns without changes.
      const min_elapsed_ms = readsStore()
        ? wait_ms - EARLY_ANSWER_MS
        : MIN_FOLLOWED_WATCH_MS;
      const result = await feed.watch(position, wait_ms, signal);
      const isAnswered = result.kind === FeedResultKind.Listed ||
        result.kind === FeedResultKind.Changed &&
          (result.changes.length > 0 || now() - started_ms >= min_elapsed_ms);
      return isAnswered ? confirm(result, started_ms) : result;
    },
  };
}

/** Follows a feed for as long as the process lives. */
import type { Logger } from "../logging/logger.ts";
import { Backoff, pause } from "../utils/loop.ts";
import {
  type FeedChange,
  type FeedItem,
  FeedReadKind,
  type ObjectFeed,
} from "./object_feed.ts";

/** Who is told what. */
export interface FeedFollower<T> {
  onList: (items: FeedItem<T>[]) => void;
  onChanges: (changes: FeedChange<T>[]) => void;
  /** The source does not answer; told once an outage. */
  onLost?: () => void;
  /** The source answers again; told before what it said. */
  onBack?: () => void;
}

/** What following needs. */
export interface FollowOptions {
  /** For the log. */
  name: string;
  /** How long one watch waits, in milliseconds. */
  wait_ms: number;
  log: Logger;
  random: () => number;
  signal: AbortSignal;
}

const RETRY = { first_ms: 60, most_ms: 800 };

/** Reads the feed whole, then watches it, and starts again when that fails. */
export async function followFeed<T>(
  feed: ObjectFeed<T>,
  follower: FeedFollower<T>,
  options: FollowOptions,
): Promise<void> {
  const { name, wait_ms, log, signal } = options;
  const backoff = new Backoff(RETRY, options.random);
  let revision: number | undefined;
  let lost = false;
  while (!signal.aborted) {
    const read = revision === undefined
      ? await feed.list(signal)
      : await feed.watch(revision, wait_ms, signal);
    if (signal.aborted) return;
    if (read.kind === FeedReadKind.Unavailable) {
      if (!lost) {
        lost = true;
        log.warn({ event: "source_lost", source: name, reason: read.reason });
        follower.onLost?.();
      }
      await pause(backoff.next_ms(), signal);
      continue;
    }
    if (lost) {
      lost = false;
      log.info({ event: "source_back", source: name });
      follower.onBack?.();
    }
    backoff.reset();
    switch (read.kind) {
      case FeedReadKind.Listed:
        revision = read.revision;
        follower.onList(read.items);
        break;
      case FeedReadKind.Changed:
        revision = read.revision;
        if (read.changes.length > 0) follower.onChanges(read.changes);
        break;
      case FeedReadKind.HistoryLost:
        log.info({ event: "history_lost", source: name, revision });
        revision = undefined;
        break;
    }
  }
}

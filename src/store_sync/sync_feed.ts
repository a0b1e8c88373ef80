/** Follows a feed for as long as the process lives. */
import type { Logger } from "../logging/logger.ts";
import { abortableDelay, Backoff } from "../utils/delay.ts";
import type { WatchCache } from "./watch_cache.ts";
import {
  type FeedChange,
  type FeedItem,
  FeedResultKind,
  type ObjectFeed,
} from "./object_feed.ts";

/** Who is told what. */
export interface FeedListener<T> {
  onList: (items: FeedItem<T>[]) => void;
  onChanges: (changes: FeedChange<T>[]) => void;
  /** The source does not answer; told once an outage. */
  onSourceUnavailable?: () => void;
  /** The source answers again; told before what it said. */
  onSourceAvailable?: () => void;
  /** Entries may be missing for that long; told before what was read. */
  onGracePeriod?: (unsettled_ms: number) => void;
}

/**
 * How far a feed was followed. Hosts compare these to find out that a watch
 * stays silent although there are changes.
 */
export class FeedProgress {
  /** Revision up to which this host has read. */
  revision = 0;
  /** Revision at which it last read a change. */
  lastChangeRevision = 0;
  #watching = new AbortController();

  /** Gives the present watch up, if somebody has read a later change. */
  abortStaleWatch(changed: number): boolean {
    if (changed <= this.revision) return false;
    this.#watching.abort(OVERTAKEN);
    return true;
  }

  /** A signal that ends the next watch early. */
  nextWatchSignal(signal: AbortSignal): AbortSignal {
    this.#watching = new AbortController();
    return AbortSignal.any([signal, this.#watching.signal]);
  }

  /** Takes note of what was read. */
  record(revision: number, changes: boolean): void {
    this.revision = Math.max(this.revision, revision);
    if (changes) {
      this.lastChangeRevision = Math.max(this.lastChangeRevision, revision);
    }
  }
}

const OVERTAKEN = "overtaken";

/** What following needs. */
export interface SyncFeedOptions<T> {
  /** For the log. */
  name: string;
  /** How long one watch waits, in milliseconds. */
  wait_ms: number;
  /** Pause after a change, in which further ones gather; 0 for none. */
  coalesce_ms: number;
  progress: FeedProgress;
  /** What was read, for hosts that follow this one. */
  cache: WatchCache<T>;
  log: Logger;
  now: () => number;
  random: () => number;
  signal: AbortSignal;
}

const RETRY = { initial_ms: 60, max_ms: 800 };

/** Reads the feed whole, then watches it, and starts again when that fails. */
export async function syncFeed<T>(
  feed: ObjectFeed<T>,
  follower: FeedListener<T>,
  options: SyncFeedOptions<T>,
): Promise<void> {
  const {
    name,
    wait_ms,
    coalesce_ms: gather_ms,
    progress,
    cache: history,
    log,
    signal,
  } = options;
  const backoff = new Backoff(RETRY, options.random);
  let revision: number | undefined;
  let lost = false;
  while (!signal.aborted) {
    const reading = progress.nextWatchSignal(signal);
    const read = revision === undefined
      ? await feed.list(reading)
      : await feed.watch(revision, wait_ms, reading);
    if (signal.aborted) return;
    if (reading.aborted) {
      log.info({ event: "watch_overtaken", source: name, revision });
      revision = undefined;
      continue;
    }
    if (read.kind === FeedResultKind.Unavailable) {
      // A watch that resumes after a cut may never hear of what it missed.
      revision = undefined;
      if (!lost) {
        lost = true;
        log.warn({ event: "source_lost", source: name, reason: read.reason });
        history.markSourceUnavailable();
        follower.onSourceUnavailable?.();
      }
      await abortableDelay(backoff.nextDelayMs(), signal);
      continue;
    }
    if (lost) {
      lost = false;
      log.info({ event: "source_back", source: name });
      history.startGracePeriod(options.now());
      follower.onSourceAvailable?.();
    }
    backoff.reset();
    if ("unsettled_ms" in read && (read.unsettled_ms ?? 0) > 0) {
      follower.onGracePeriod?.(read.unsettled_ms ?? 0);
    }
    switch (read.kind) {
      case FeedResultKind.Listed:
        revision = read.revision;
        progress.record(revision, history.replaceAll(read.items, revision));
        follower.onList(read.items);
        break;
      case FeedResultKind.Changed:
        revision = read.revision;
        progress.record(revision, read.changes.length > 0);
        history.applyChanges(read.changes, revision);
        if (read.changes.length === 0) break;
        follower.onChanges(read.changes);
        if (gather_ms > 0) await abortableDelay(gather_ms, signal);
        break;
      case FeedResultKind.RevisionTooOld:
        log.info({ event: "history_lost", source: name, revision });
        revision = undefined;
        break;
    }
  }
}

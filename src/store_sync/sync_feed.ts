/** Keeps a local copy of a feed in sync until the signal aborts. */
import type { Logger } from "../logging/logger.ts";
import { abortableDelay, Backoff } from "../utils/delay.ts";
import {
  comparePositions,
  createPosition,
  type FeedPosition,
  formatPosition,
  START_POSITION,
} from "./feed_position.ts";
import type { WatchCache } from "./watch_cache.ts";
import {
  type FeedChange,
  type FeedItem,
  FeedResultKind,
  type ObjectFeed,
} from "./object_feed.ts";

/** Callbacks of a feed that is kept in sync. */
export interface FeedListener<T> {
  onList: (items: FeedItem<T>[]) => void;
  onChanges: (changes: FeedChange<T>[]) => void;
  /** Called once per outage, when the source stops answering. */
  onSourceUnavailable?: () => void;
  /** Called when the source answers again, before its result is delivered. */
  onSourceAvailable?: () => void;
  /**
   * Called before a result if objects may be missing from it because of an
   * outage of the source; `unsettled_ms` is the remaining grace period.
   */
  onGracePeriod?: (unsettled_ms: number) => void;
}

/**
 * Tracks how far a feed has been read. Hosts compare these positions to detect a
 * watch that delivers nothing although there are changes.
 */
export class FeedProgress {
  /** Position up to which this host has read. */
  position: FeedPosition = START_POSITION;
  /** Position of the last change that this host has read. */
  lastChange: FeedPosition = START_POSITION;
  #watchAbort = new AbortController();

  /** Aborts the current watch and returns true if a peer has read a later change. */
  abortStaleWatch(peer: FeedPosition): boolean {
    if (comparePositions(peer, this.position) <= 0) return false;
    this.#watchAbort.abort(STALE_WATCH);
    return true;
  }

  /** Creates the abort signal of the next watch. */
  nextWatchSignal(signal: AbortSignal): AbortSignal {
    this.#watchAbort = new AbortController();
    return AbortSignal.any([signal, this.#watchAbort.signal]);
  }

  /** Records a result; `hasChanges` tells whether anything changed. */
  record({ epoch, revision }: FeedPosition, hasChanges: boolean): void {
    this.position = createPosition(epoch, revision);
    const isRetracted = comparePositions(this.position, this.lastChange) < 0;
    if (hasChanges || isRetracted) this.lastChange = this.position;
  }
}

/** Abort reason of a watch that a peer has overtaken. */
const STALE_WATCH = "overtaken";

/** Options of {@linkcode syncFeed}. */
export interface SyncFeedOptions<T> {
  /** Feed name in log lines. */
  name: string;
  /** Timeout of one watch, in milliseconds. */
  wait_ms: number;
  /** Delay after a change that coalesces further changes; 0 for none. */
  coalesce_ms: number;
  progress: FeedProgress;
  /** Receives every result, for hosts that follow this one. */
  cache: WatchCache<T>;
  log: Logger;
  now: () => number;
  random: () => number;
  signal: AbortSignal;
}

const RETRY_BACKOFF = { initial_ms: 60, max_ms: 800 };

/** Lists the feed, then watches it, and lists again when the watch fails. */
export async function syncFeed<T>(
  feed: ObjectFeed<T>,
  listener: FeedListener<T>,
  options: SyncFeedOptions<T>,
): Promise<void> {
  const {
    name,
    wait_ms,
    coalesce_ms,
    progress,
    cache,
    log,
    signal,
  } = options;
  const backoff = new Backoff(RETRY_BACKOFF, options.random);
  let position: FeedPosition | undefined;
  let unavailable = false;
  while (!signal.aborted) {
    const watchSignal = progress.nextWatchSignal(signal);
    const result = position === undefined
      ? await feed.list(watchSignal)
      : await feed.watch(position, wait_ms, watchSignal);
    if (signal.aborted) return;
    if (watchSignal.aborted) {
      log.info({
        event: "watch_overtaken",
        source: name,
        position: position && formatPosition(position),
      });
      position = undefined;
      continue;
    }
    if (result.kind === FeedResultKind.Unavailable) {
      // A watch that resumes after a disconnect may miss changes, so list again.
      position = undefined;
      if (!unavailable) {
        unavailable = true;
        log.warn({ event: "source_lost", source: name, reason: result.reason });
        cache.markSourceUnavailable();
        listener.onSourceUnavailable?.();
      }
      await abortableDelay(backoff.nextDelayMs(), signal);
      continue;
    }
    if (unavailable) {
      unavailable = false;
      log.info({ event: "source_back", source: name });
      cache.startGracePeriod(options.now());
      listener.onSourceAvailable?.();
    }
    backoff.reset();
    if ("unsettled_ms" in result && (result.unsettled_ms ?? 0) > 0) {
      listener.onGracePeriod?.(result.unsettled_ms ?? 0);
    }
    switch (result.kind) {
      case FeedResultKind.Listed:
        position = createPosition(result.epoch, result.revision);
        progress.record(position, cache.replaceAll(result.items, position));
        listener.onList(result.items);
        break;
      case FeedResultKind.Changed:
        position = createPosition(result.epoch, result.revision);
        progress.record(position, result.changes.length > 0);
        cache.applyChanges(result.changes, position);
        if (result.changes.length === 0) break;
        listener.onChanges(result.changes);
        if (coalesce_ms > 0) await abortableDelay(coalesce_ms, signal);
        break;
      case FeedResultKind.RevisionTooOld:
        log.info({
          event: "history_lost",
          source: name,
          position: position && formatPosition(position),
        });
        position = undefined;
        break;
    }
  }
}

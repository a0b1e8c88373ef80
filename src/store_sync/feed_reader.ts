/**
 * Delivers the results of one feed to this host and to those that follow it, and
 * notices outages and restorations of its source.
 */
import type { Logger } from "../logging/logger.ts";
import {
  createPosition,
  type FeedPosition,
  formatPosition,
  isContinuation,
  START_POSITION,
} from "./feed_position.ts";
import type { FeedProgress, WatchAbortReason } from "./feed_progress.ts";
import {
  type FeedChange,
  type FeedItem,
  type FeedResult,
  FeedResultKind,
} from "./object_feed.ts";
import {
  GRACE_PERIOD_AFTER_OUTAGE_MS,
  type WatchCache,
} from "./watch_cache.ts";

/** Callbacks of a feed that is kept in sync. */
export interface FeedListener<T> {
  onList: (items: FeedItem<T>[]) => void;
  onChanges: (changes: FeedChange<T>[]) => void;
  /** Called once per outage, when the source stops answering. */
  onSourceUnavailable?: () => void;
  /** Called when the source answers again, before its result is delivered. */
  onSourceAvailable?: () => void;
  /**
   * Called when the store has gone back to an older copy, before the list of that
   * content is delivered.
   */
  onSourceRestored?: () => void;
  /**
   * Called before a result if objects may be missing from it because of an
   * outage of the source; `unsettled_ms` is the remaining grace period.
   */
  onGracePeriod?: (unsettled_ms: number) => void;
}

/** Options of a {@linkcode FeedReader}. */
export interface FeedReaderOptions<T> {
  /** Feed name in log lines. */
  name: string;
  progress: FeedProgress;
  /** Receives every result, for hosts that follow this one. */
  cache: WatchCache<T>;
  /** Receives the epoch of each list, as far as it is known. */
  onEpoch?: (epoch: number) => void;
  log: Logger;
  now: () => number;
}

/** What a result has brought. */
export enum ReadOutcome {
  /** A whole list. */
  Listed,
  Changed,
  /** Nothing new. */
  Idle,
  /** The feed must be listed again. */
  Failed,
}

/** Delivers the results of one feed. */
export class FeedReader<T> {
  /** Position to watch from; undefined if the feed must be listed. */
  position: FeedPosition | undefined;
  /** Position of the last result that was delivered. */
  #delivered: FeedPosition | undefined;
  #unavailable = false;
  #listener: FeedListener<T>;
  #options: FeedReaderOptions<T>;

  constructor(listener: FeedListener<T>, options: FeedReaderOptions<T>) {
    this.#listener = listener;
    this.#options = options;
  }

  /**
   * Handles a result of a list or a watch. If a listener throws, the feed is
   * listed again: it must not stop for good.
   */
  handle(result: FeedResult<T>): ReadOutcome {
    try {
      return this.#deliver(result);
    } catch (error) {
      const { name, log } = this.#options;
      const { stack } = error as Error;
      log.error({ event: "fault", stage: "feed", source: name, error: stack });
      this.position = undefined;
      return ReadOutcome.Failed;
    }
  }

  #deliver(result: FeedResult<T>): ReadOutcome {
    if (result.kind === FeedResultKind.Unavailable) {
      return this.#handleUnavailable(result.reason);
    }
    this.#markAvailable();
    switch (result.kind) {
      case FeedResultKind.Listed:
        return this.#handleList(result);
      case FeedResultKind.Changed:
        return this.#handleChanges(result);
      case FeedResultKind.RevisionTooOld:
        return this.#listAgain("history_lost");
    }
  }

  /** Handles that the watch was aborted. */
  handleAborted(reason: WatchAbortReason): ReadOutcome {
    return this.#listAgain(reason);
  }

  #handleUnavailable(reason: string): ReadOutcome {
    // A watch that resumes after a disconnect may miss changes, so list again.
    this.position = undefined;
    if (this.#unavailable) return ReadOutcome.Failed;
    this.#unavailable = true;
    const { name, log, cache } = this.#options;
    log.warn({ event: "source_lost", source: name, reason });
    cache.markSourceUnavailable();
    this.#listener.onSourceUnavailable?.();
    return ReadOutcome.Failed;
  }

  #markAvailable(): void {
    if (!this.#unavailable) return;
    this.#unavailable = false;
    const { name, log, cache, now } = this.#options;
    log.info({ event: "source_back", source: name });
    cache.startGracePeriod(now());
    this.#listener.onSourceAvailable?.();
  }

  #handleList(
    list: Extract<FeedResult<T>, { kind: FeedResultKind.Listed }>,
  ): ReadOutcome {
    const { progress, cache } = this.#options;
    const position = createPosition(list.epoch, list.revision);
    this.position = position;
    this.#passOnGracePeriod(list.unsettled_ms);
    this.#noticeRestoration(position);
    progress.record(position, cache.replaceAll(list.items, position));
    if (position.epoch !== undefined) this.#options.onEpoch?.(position.epoch);
    this.#listener.onList(list.items);
    return ReadOutcome.Listed;
  }

  #handleChanges(
    result: Extract<FeedResult<T>, { kind: FeedResultKind.Changed }>,
  ): ReadOutcome {
    const { progress, cache } = this.#options;
    const previous = this.position ?? START_POSITION;
    const { changes } = result;
    const position = createPosition(result.epoch, result.revision);
    if (!isContinuation(previous, position)) {
      return this.#listAgain("history_lost", position);
    }
    this.position = position;
    this.#delivered = position;
    this.#passOnGracePeriod(result.unsettled_ms);
    progress.record(position, changes.length > 0);
    cache.applyChanges(changes, position);
    if (changes.length === 0) return ReadOutcome.Idle;
    this.#listener.onChanges(changes);
    return position.revision > previous.revision
      ? ReadOutcome.Changed
      : ReadOutcome.Idle;
  }

  /**
   * Entries may be missing from a restored store until they are written again,
   * so a grace period starts.
   */
  #noticeRestoration(position: FeedPosition): void {
    const previous = this.#delivered;
    this.#delivered = position;
    if (previous === undefined || isContinuation(previous, position)) return;
    const { name, log, cache, now } = this.#options;
    log.info({
      event: "store_restored",
      feed: name,
      epoch: position.epoch,
      from: formatPosition(previous),
      to: formatPosition(position),
    });
    cache.startGracePeriod(now());
    this.#listener.onSourceRestored?.();
    this.#passOnGracePeriod(GRACE_PERIOD_AFTER_OUTAGE_MS);
  }

  #passOnGracePeriod(unsettled_ms = 0): void {
    if (unsettled_ms > 0) this.#listener.onGracePeriod?.(unsettled_ms);
  }

  #listAgain(event: string, answered?: FeedPosition): ReadOutcome {
    this.#options.log.info({
      event,
      source: this.#options.name,
      position: this.position && formatPosition(this.position),
      answered: answered && formatPosition(answered),
    });
    this.position = undefined;
    return ReadOutcome.Failed;
  }
}

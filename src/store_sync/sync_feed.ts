/** Keeps a local copy of a feed in sync until the signal aborts. */
import type { Logger } from "../logging/logger.ts";
import { abortableDelay, Backoff } from "../utils/delay.ts";
import {
  comparePositions,
  createPosition,
  type FeedPosition,
  formatPosition,
  isContinuation,
  START_POSITION,
} from "./feed_position.ts";
import {
  GRACE_PERIOD_AFTER_OUTAGE_MS,
  type WatchCache,
} from "./watch_cache.ts";
import {
  type FeedChange,
  type FeedItem,
  type FeedResult,
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
  /** Newest position of a peer for which a watch was aborted. */
  #overtakenBy: FeedPosition | undefined;

  /**
   * Aborts the current watch and returns true if a peer has read a later change.
   * What a peer claims counts once: the list that follows proves or refutes it.
   */
  abortStaleWatch(peer: FeedPosition): boolean {
    if (comparePositions(peer, this.position) <= 0) return false;
    if (this.#isRefuted(peer)) return false;
    this.#overtakenBy = peer;
    this.#watchAbort.abort(STALE_WATCH);
    return true;
  }

  /** Creates the abort signal of a list and of the watches that follow it. */
  listSignal(signal: AbortSignal): AbortSignal {
    this.#watchAbort = new AbortController();
    return this.watchSignal(signal);
  }

  /** Creates a watch's abort signal; aborted if the list has been overtaken. */
  watchSignal(signal: AbortSignal): AbortSignal {
    return AbortSignal.any([signal, this.#watchAbort.signal]);
  }

  #isRefuted({ epoch, revision }: FeedPosition): boolean {
    const claimed = this.#overtakenBy;
    return claimed !== undefined && claimed.epoch === epoch &&
      revision <= claimed.revision;
  }

  /** Records a result; `hasChanges` tells whether anything changed. */
  record({ epoch, revision }: FeedPosition, hasChanges: boolean): void {
    this.position = createPosition(epoch, revision);
    const isRestored = !isContinuation(this.lastChange, this.position);
    if (hasChanges || isRestored) this.lastChange = this.position;
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
  /** Receives the epoch of each list, as far as it is known. */
  onEpoch?: (epoch: number) => void;
  log: Logger;
  now: () => number;
  random: () => number;
  signal: AbortSignal;
}

const RETRY_BACKOFF = { initial_ms: 60, max_ms: 800 };
/** A watch that brings nothing new sooner than this is repeated with a pause. */
const MIN_IDLE_WATCH_MS = 50;

/**
 * Lists the feed, then watches it, and lists again when the watch fails. Pauses
 * before each call that follows a reply without progress, whatever the reply is.
 */
export async function syncFeed<T>(
  feed: ObjectFeed<T>,
  listener: FeedListener<T>,
  options: SyncFeedOptions<T>,
): Promise<void> {
  const { coalesce_ms, progress, signal, now, wait_ms } = options;
  const reader = new FeedReader(listener, options);
  const backoff = new Backoff(RETRY_BACKOFF, options.random);
  while (!signal.aborted) {
    const start_ms = now();
    const { position } = reader;
    const callSignal = position === undefined
      ? progress.listSignal(signal)
      : progress.watchSignal(signal);
    const result = await readUnlessAborted(feed, position, {
      wait_ms,
      callSignal,
    });
    if (signal.aborted) return;
    const outcome = result === undefined || callSignal.aborted
      ? reader.handleOvertaken()
      : reader.handle(result);
    switch (outcome) {
      case ReadOutcome.Listed:
        // Peers may answer each watch with a list, and differ again and again.
        if (position === undefined) break;
        await abortableDelay(backoff.nextDelayMs(), signal);
        break;
      case ReadOutcome.Changed:
        backoff.reset();
        if (coalesce_ms > 0) await abortableDelay(coalesce_ms, signal);
        break;
      case ReadOutcome.Idle:
        if (now() - start_ms >= MIN_IDLE_WATCH_MS) backoff.reset();
        else await abortableDelay(backoff.nextDelayMs(), signal);
        break;
      case ReadOutcome.Failed: {
        // A list may have waited for its source; it must not miss its return.
        const spent_ms = position === undefined ? now() - start_ms : 0;
        const pause_ms = Math.max(0, backoff.nextDelayMs() - spent_ms);
        await abortableDelay(pause_ms, signal);
        break;
      }
    }
  }
}

/** Lists, or watches from a position; undefined if it was aborted before. */
async function readUnlessAborted<T>(
  feed: ObjectFeed<T>,
  position: FeedPosition | undefined,
  { wait_ms, callSignal }: { wait_ms: number; callSignal: AbortSignal },
): Promise<FeedResult<T> | undefined> {
  try {
    if (position === undefined) return await feed.list(callSignal);
    if (callSignal.aborted) return undefined;
    return await feed.watch(position, wait_ms, callSignal);
  } catch (error) {
    const { message } = error as Error;
    return { kind: FeedResultKind.Unavailable, reason: message };
  }
}

/** What a result has brought. */
enum ReadOutcome {
  Listed,
  Changed,
  /** Nothing new. */
  Idle,
  /** The feed must be listed again. */
  Failed,
}

/** Delivers the results of one feed. */
class FeedReader<T> {
  /** Position to watch from; undefined if the feed must be listed. */
  position: FeedPosition | undefined;
  /** Position of the last result that was delivered. */
  #delivered: FeedPosition | undefined;
  #unavailable = false;
  #listener: FeedListener<T>;
  #options: SyncFeedOptions<T>;

  constructor(listener: FeedListener<T>, options: SyncFeedOptions<T>) {
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

  /** Handles that a peer has read further than the watch. */
  handleOvertaken(): ReadOutcome {
    return this.#listAgain("watch_overtaken");
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

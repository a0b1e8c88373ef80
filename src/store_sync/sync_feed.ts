/** Keeps a local copy of a feed in sync until the signal aborts. */
import { abortableDelay, Backoff } from "../utils/delay.ts";
import type { FeedPosition } from "./feed_position.ts";
import type { WatchAbortReason } from "./feed_progress.ts";
import {
  type FeedListener,
  FeedReader,
  type FeedReaderOptions,
  ReadOutcome,
} from "./feed_reader.ts";
import {
  type FeedResult,
  FeedResultKind,
  type ObjectFeed,
} from "./object_feed.ts";

/** Options of {@linkcode syncFeed}. */
export interface SyncFeedOptions<T> extends FeedReaderOptions<T> {
  /** Timeout of one watch, in milliseconds. */
  wait_ms: number;
  /** Delay after a change that coalesces further changes; 0 for none. */
  coalesce_ms: number;
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
      ? reader.handleAborted(callSignal.reason as WatchAbortReason)
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
      case ReadOutcome.Failed:
        await abortableDelay(backoff.nextDelayMs(), signal);
        break;
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

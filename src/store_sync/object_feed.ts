/**
 * Feed of one kind of object in the store: list all objects, then watch for
 * changes from the revision of that list.
 */

import type { FeedPosition } from "./feed_position.ts";

/** One object; its value is undefined if it cannot be decoded. */
export interface FeedItem<T> {
  /** Name of the object, unique within its kind. */
  name: string;
  value: T | undefined;
}

/** A change of one object. */
export interface FeedChange<T> extends FeedItem<T> {
  deleted: boolean;
}

/**
 * Up to which position of the store a result is current, and whether objects may
 * be missing from it.
 */
interface FeedReading extends FeedPosition {
  /**
   * Remaining grace period after an outage of the source, in milliseconds. Until
   * it ends, a missing object may still exist. Undefined if there is none.
   */
  unsettled_ms?: number;
}

/** Result of a list or a watch. */
export type FeedResult<T> =
  | FeedReading & {
    kind: FeedResultKind.Listed;
    items: FeedItem<T>[];
    /** Newest position that the source has gone back from; undefined if none. */
    retracted?: FeedPosition | undefined;
  }
  | FeedReading & { kind: FeedResultKind.Changed; changes: FeedChange<T>[] }
  /** Changes since that revision are no longer kept: list again. */
  | { kind: FeedResultKind.RevisionTooOld }
  | {
    kind: FeedResultKind.Unavailable;
    reason: string;
    /** Whether the source answers, but with less than the caller has. */
    isBehind?: boolean;
    /** Whether the source is sound but has no such feed. */
    isUnknown?: boolean;
    /**
     * Whether an open connection brought nothing in time; another may work. All
     * that were open then are in doubt.
     */
    isSilent?: boolean;
  };

/** The kinds of {@linkcode FeedResult}. */
export enum FeedResultKind {
  Listed = "listed",
  Changed = "changed",
  RevisionTooOld = "history_lost",
  Unavailable = "unavailable",
}

/**
 * Lists and watches one kind of object. Failures are reported as `Unavailable`;
 * the promises do not reject.
 */
export interface ObjectFeed<T> {
  /** Lists all objects. */
  list(signal: AbortSignal): Promise<FeedResult<T>>;
  /** Waits up to `wait_ms` for changes after `position`. */
  watch(
    position: FeedPosition,
    wait_ms: number,
    signal: AbortSignal,
  ): Promise<FeedResult<T>>;
}

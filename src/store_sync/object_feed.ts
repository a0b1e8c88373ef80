/**
 * A kind of object that others write and this host follows: read whole, then
 * watched from the revision of that reading.
 */

/** One object; its value is undefined if it can't be read. */
export interface FeedItem<T> {
  name: string;
  value: T | undefined;
}

/** A change of one object. */
export interface FeedChange<T> extends FeedItem<T> {
  deleted: boolean;
}

/** What a read or a watch brings. */
export type FeedResult<T> =
  | {
    kind: FeedResultKind.Listed;
    items: FeedItem<T>[];
    revision: number;
    /** How long entries may still be missing after an outage of the source. */
    unsettled_ms?: number;
  }
  | {
    kind: FeedResultKind.Changed;
    changes: FeedChange<T>[];
    revision: number;
    unsettled_ms?: number;
  }
  /** Changes since that revision are not kept any more: read it whole. */
  | { kind: FeedResultKind.RevisionTooOld }
  | { kind: FeedResultKind.Unavailable; reason: string };

/** The kinds of {@linkcode FeedResult}. */
export enum FeedResultKind {
  Listed = "listed",
  Changed = "changed",
  RevisionTooOld = "history_lost",
  Unavailable = "unavailable",
}

/** Reads and watches one kind of object. */
export interface ObjectFeed<T> {
  list(signal: AbortSignal): Promise<FeedResult<T>>;
  /** Waits up to `wait_ms` for changes after `revision`. */
  watch(
    revision: number,
    wait_ms: number,
    signal: AbortSignal,
  ): Promise<FeedResult<T>>;
}

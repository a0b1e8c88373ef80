import {
  type FeedChange,
  type FeedItem,
  type FeedResult,
  FeedResultKind,
} from "./object_feed.ts";
import {
  comparePositions,
  createPosition,
  type FeedPosition,
  formatPosition,
  isSameEpoch,
  newerPosition,
  START_POSITION,
} from "./feed_position.ts";

/**
 * How long after an outage of the source a missing entry does not count as
 * removed. Live endpoints write their entries again within about two seconds.
 */
export const GRACE_PERIOD_AFTER_OUTAGE_MS = 2_200;

/** Deleted entries (tombstones) to keep; followers further behind list again. */
const MAX_TOMBSTONES = 500;

interface Entry<T> {
  value: T | undefined;
  deleted: boolean;
  /** Revision at which this state was read. */
  revision: number;
}

/**
 * Caches the items and recent changes of one feed, so that other hosts can
 * follow the feed from this host instead of from the store. The caller passes
 * the time in.
 */
export class WatchCache<T> {
  #entries = new Map<string, Entry<T>>();
  /** Oldest revision of this epoch from which changes can be served. */
  #oldest_revision = Infinity;
  #position: FeedPosition = START_POSITION;
  /** Newest position that the source has gone back from, within its epoch. */
  #retracted: FeedPosition | undefined;
  #sourceUnavailable = true;
  /** Whether a result or an outage has been recorded yet. */
  #updated = false;
  #graceEnd_ms = 0;
  #waiters = new Set<() => void>();

  /** Position up to which the feed has been read. */
  get position(): FeedPosition {
    return this.#position;
  }

  /**
   * Replaces all items; returns true if any item differs from before. `retracted`
   * is a position that the source has gone back from before.
   */
  replaceAll(
    items: readonly FeedItem<T>[],
    position: FeedPosition,
    retracted?: FeedPosition,
  ): boolean {
    const { revision } = position;
    const previous = this.#entries;
    if (comparePositions(position, this.#position) < 0) {
      this.#retracted = this.#position;
    }
    this.#retracted = retracted ?? this.#retracted;
    this.#entries = new Map(items.map(({ name, value }) => [
      name,
      { value, deleted: false, revision },
    ]));
    this.#oldest_revision = revision;
    const changed = !sameEntries(previous, this.#entries);
    this.#recordRead(position);
    return changed;
  }

  /**
   * Applies changes; an empty list only advances the position. Only a list can
   * take the cache back to an older position.
   */
  applyChanges(
    changes: readonly FeedChange<T>[],
    position: FeedPosition,
  ): void {
    const newer = newerPosition(this.#position, position);
    const { revision } = newer;
    for (const { name, value, deleted } of changes) {
      this.#entries.set(name, { value, deleted, revision });
    }
    this.#evictTombstones();
    this.#recordRead(newer);
  }

  /** Marks the source as unavailable and wakes all waiting followers. */
  markSourceUnavailable(): void {
    this.#sourceUnavailable = true;
    this.#notifyWaiters();
  }

  /** Starts the grace period when the source answers again after an outage. */
  startGracePeriod(now_ms: number): void {
    this.#graceEnd_ms = now_ms + GRACE_PERIOD_AFTER_OUTAGE_MS;
  }

  /** Extends the grace period to the end that another host reports. */
  extendGracePeriod(until_ms: number): void {
    this.#graceEnd_ms = Math.max(this.#graceEnd_ms, until_ms);
  }

  /** Records that nothing changed up to this position of the same epoch. */
  advancePosition(position: FeedPosition): void {
    if (this.#sourceUnavailable) return;
    if (!isSameEpoch(position, this.#position)) return;
    this.#position = newerPosition(this.#position, position);
  }

  /**
   * Lists all items; unavailable if the cache is older than `oldest`, unless that
   * is a position from which its source has gone back.
   */
  list(oldest: FeedPosition, now_ms: number): FeedResult<T> {
    if (this.#sourceUnavailable) return UNAVAILABLE;
    const isBehind = comparePositions(this.#position, oldest) < 0;
    if (isBehind && !this.#isRetracted(oldest)) return this.#behind(oldest);
    const items = [...this.#entries]
      .filter(([, { deleted }]) => !deleted)
      .map(([name, { value }]) => ({ name, value }));
    return {
      kind: FeedResultKind.Listed,
      items,
      ...this.#position,
      retracted: this.#retracted,
      unsettled_ms: this.#remainingGraceMs(now_ms),
    };
  }

  /**
   * Returns the changes after `position`, possibly none. A cache that is still in
   * an older epoch is unavailable.
   */
  changesSince(position: FeedPosition, now_ms: number): FeedResult<T> {
    if (this.#sourceUnavailable) return UNAVAILABLE;
    if (this.#hasLeft(position)) return { kind: FeedResultKind.RevisionTooOld };
    if (!isSameEpoch(position, this.#position)) return this.#behind(position);
    const changes = [...this.#entries]
      .filter(([, entry]) => entry.revision > position.revision)
      .map(([name, { value, deleted }]) => ({ name, value, deleted }));
    return {
      kind: FeedResultKind.Changed,
      changes,
      ...newerPosition(position, this.#position),
      unsettled_ms: this.#remainingGraceMs(now_ms),
    };
  }

  /** Resolves on a change after `position`, on an outage or after `wait_ms`. */
  waitForChanges(position: FeedPosition, wait_ms: number): Promise<void> {
    return this.#waitFor(
      () => this.#sourceUnavailable || this.#hasChanges(position),
      wait_ms,
    );
  }

  /** Resolves on the first result, on an outage or after `wait_ms`. */
  waitForFirstUpdate(wait_ms: number): Promise<void> {
    return this.#waitFor(() => this.#updated, wait_ms);
  }

  /** Checks the condition again on each result and outage. */
  async #waitFor(condition: () => boolean, wait_ms: number): Promise<void> {
    if (condition()) return;
    await new Promise<void>((resolve) => {
      const check = () => {
        if (condition()) done();
      };
      const done = () => {
        clearTimeout(timer);
        this.#waiters.delete(check);
        resolve();
      };
      const timer = setTimeout(done, wait_ms);
      this.#waiters.add(check);
    });
  }

  /** Whether a position lies in an older epoch, before what is kept or retracted. */
  #hasLeft(position: FeedPosition): boolean {
    if (this.#isRetracted(position)) return true;
    return isSameEpoch(position, this.#position)
      ? position.revision < this.#oldest_revision
      : comparePositions(position, this.#position) < 0;
  }

  #isRetracted(position: FeedPosition): boolean {
    const retracted = this.#retracted;
    return retracted !== undefined && retracted.epoch === position.epoch &&
      position.revision <= retracted.revision &&
      comparePositions(this.#position, position) < 0;
  }

  #hasChanges(position: FeedPosition): boolean {
    if (this.#hasLeft(position)) return true;
    if (!isSameEpoch(position, this.#position)) return false;
    for (const entry of this.#entries.values()) {
      if (entry.revision > position.revision) return true;
    }
    return false;
  }

  #behind(asked: FeedPosition): FeedResult<T> {
    const [wanted, read] = [asked, this.#position].map(formatPosition);
    const reason = `behind: asked ${wanted}, read ${read}`;
    return { kind: FeedResultKind.Unavailable, reason, isBehind: true };
  }

  #recordRead({ epoch, revision }: FeedPosition): void {
    this.#position = createPosition(epoch, revision);
    this.#sourceUnavailable = false;
    this.#notifyWaiters();
  }

  #notifyWaiters(): void {
    this.#updated = true;
    for (const check of [...this.#waiters]) check();
  }

  #remainingGraceMs(now_ms: number): number {
    return Math.max(0, this.#graceEnd_ms - now_ms);
  }

  #evictTombstones(): void {
    const deleted = [...this.#entries].filter(([, entry]) => entry.deleted);
    const surplus = deleted.length - MAX_TOMBSTONES;
    for (const [name, { revision }] of deleted.slice(0, Math.max(0, surplus))) {
      this.#entries.delete(name);
      this.#oldest_revision = Math.max(this.#oldest_revision, revision);
    }
  }
}

const UNAVAILABLE = {
  kind: FeedResultKind.Unavailable,
  reason: "not read here",
} as const;

function sameEntries<T>(
  before: ReadonlyMap<string, Entry<T>>,
  after: ReadonlyMap<string, Entry<T>>,
): boolean {
  const present = [...before].filter(([, { deleted }]) => !deleted);
  if (present.length !== after.size) return false;
  return present.every(([name, { value }]) => {
    const current = after.get(name);
    return current !== undefined &&
      JSON.stringify(current.value) === JSON.stringify(value);
  });
}

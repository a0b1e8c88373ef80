import {
  type FeedChange,
  type FeedItem,
  type FeedResult,
  FeedResultKind,
} from "./object_feed.ts";

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
  /** Oldest revision from which changes can be served. */
  #oldest_revision = Infinity;
  #revision = 0;
  #sourceUnavailable = true;
  /** Whether a result or an outage has been recorded yet. */
  #updated = false;
  #graceEnd_ms = 0;
  #waiters = new Set<() => void>();

  /** Revision up to which the feed has been read. */
  get revision(): number {
    return this.#revision;
  }

  /** Replaces all items; returns true if any item differs from before. */
  replaceAll(items: readonly FeedItem<T>[], revision: number): boolean {
    const previous = this.#entries;
    this.#entries = new Map(items.map(({ name, value }) => [
      name,
      { value, deleted: false, revision },
    ]));
    this.#oldest_revision = revision;
    const changed = !sameEntries(previous, this.#entries);
    this.#recordRead(revision);
    return changed;
  }

  /** Applies changes; an empty list only advances the revision. */
  applyChanges(changes: readonly FeedChange<T>[], revision: number): void {
    for (const { name, value, deleted } of changes) {
      this.#entries.set(name, { value, deleted, revision });
    }
    this.#evictTombstones();
    this.#recordRead(revision);
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

  /** Records that nothing changed up to this revision. */
  advanceRevision(revision: number): void {
    if (!this.#sourceUnavailable) {
      this.#revision = Math.max(this.#revision, revision);
    }
  }

  /** Lists all items; unavailable if the cache is older than `min_revision`. */
  list(min_revision: number, now_ms: number): FeedResult<T> {
    if (this.#sourceUnavailable) return UNAVAILABLE;
    if (this.#revision < min_revision) {
      return {
        kind: FeedResultKind.Unavailable,
        reason: `behind: asked ${min_revision}, read ${this.#revision}`,
      };
    }
    const items = [...this.#entries]
      .filter(([, { deleted }]) => !deleted)
      .map(([name, { value }]) => ({ name, value }));
    return {
      kind: FeedResultKind.Listed,
      items,
      revision: this.#revision,
      unsettled_ms: this.#remainingGraceMs(now_ms),
    };
  }

  /** Returns the changes after `revision`, possibly none. */
  changesSince(revision: number, now_ms: number): FeedResult<T> {
    if (this.#sourceUnavailable) return UNAVAILABLE;
    if (revision < this.#oldest_revision) {
      return { kind: FeedResultKind.RevisionTooOld };
    }
    const changes = [...this.#entries]
      .filter(([, entry]) => entry.revision > revision)
      .map(([name, { value, deleted }]) => ({ name, value, deleted }));
    return {
      kind: FeedResultKind.Changed,
      changes,
      revision: Math.max(revision, this.#revision),
      unsettled_ms: this.#remainingGraceMs(now_ms),
    };
  }

  /** Resolves on a change after `revision`, on an outage or after `wait_ms`. */
  waitForChanges(revision: number, wait_ms: number): Promise<void> {
    return this.#waitFor(
      () => this.#sourceUnavailable || this.#hasChanges(revision),
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

  #hasChanges(revision: number): boolean {
    if (revision < this.#oldest_revision) return true;
    for (const entry of this.#entries.values()) {
      if (entry.revision > revision) return true;
    }
    return false;
  }

  #recordRead(revision: number): void {
    this.#revision = revision;
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

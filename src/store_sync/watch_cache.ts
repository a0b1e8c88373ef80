/**
 * What this host has read of a feed, kept so that other hosts can follow the
 * feed from here instead of from the store. Time comes in.
 */
import {
  type FeedChange,
  type FeedItem,
  type FeedResult,
  FeedResultKind,
} from "./object_feed.ts";

/**
 * How long after a source's return a missing entry still means nothing.
 * Writers that live are back within about two seconds.
 */
export const GRACE_PERIOD_AFTER_OUTAGE_MS = 2_200;

/** Deletions that are remembered; followers further behind read a list. */
const MOST_DELETIONS = 500;

interface Entry<T> {
  value: T | undefined;
  deleted: boolean;
  /** Revision by which this state was read. */
  revision: number;
}

/** See the module's comment. */
export class WatchCache<T> {
  #entries = new Map<string, Entry<T>>();
  /** Followers at or after this revision can be told what changed since. */
  #base = Infinity;
  #revision = 0;
  #lost = true;
  /** Whether anything was heard yet, be it a loss. */
  #told = false;
  #unsettledUntil_ms = 0;
  #waiting = new Set<() => void>();

  /** Revision up to which the feed was read. */
  get revision(): number {
    return this.#revision;
  }

  /** Takes a whole reading; true if it differs from what was known. */
  replaceAll(items: readonly FeedItem<T>[], revision: number): boolean {
    const before = this.#entries;
    this.#entries = new Map(items.map(({ name, value }) => [
      name,
      { value, deleted: false, revision },
    ]));
    this.#base = revision;
    const changed = !sameEntries(before, this.#entries);
    this.#read(revision);
    return changed;
  }

  /** Takes changes, or the word that there were none. */
  applyChanges(changes: readonly FeedChange<T>[], revision: number): void {
    for (const { name, value, deleted } of changes) {
      this.#entries.set(name, { value, deleted, revision });
    }
    this.#forgetDeletions();
    this.#read(revision);
  }

  /** The source does not answer this host. */
  markSourceUnavailable(): void {
    this.#lost = true;
    this.#wake();
  }

  /** The source answers again after an outage. */
  startGracePeriod(now_ms: number): void {
    this.#unsettledUntil_ms = now_ms + GRACE_PERIOD_AFTER_OUTAGE_MS;
  }

  /** Entries may be missing until then, as somebody else tells. */
  extendGracePeriod(until_ms: number): void {
    this.#unsettledUntil_ms = Math.max(this.#unsettledUntil_ms, until_ms);
  }

  /** Nothing is new up to this revision. */
  advanceRevision(revision: number): void {
    if (!this.#lost) this.#revision = Math.max(this.#revision, revision);
  }

  /** Every entry, for a follower that has read up to `least_revision`. */
  list(least_revision: number, now_ms: number): FeedResult<T> {
    if (this.#lost || this.#revision < least_revision) return UNAVAILABLE;
    const items = [...this.#entries]
      .filter(([, { deleted }]) => !deleted)
      .map(([name, { value }]) => ({ name, value }));
    return {
      kind: FeedResultKind.Listed,
      items,
      revision: this.#revision,
      unsettled_ms: this.#unsettledMs(now_ms),
    };
  }

  /** What changed after `revision`; empty if nothing did. */
  changesSince(revision: number, now_ms: number): FeedResult<T> {
    if (this.#lost) return UNAVAILABLE;
    if (revision < this.#base) return { kind: FeedResultKind.RevisionTooOld };
    const changes = [...this.#entries]
      .filter(([, entry]) => entry.revision > revision)
      .map(([name, { value, deleted }]) => ({ name, value, deleted }));
    return {
      kind: FeedResultKind.Changed,
      changes,
      revision: Math.max(revision, this.#revision),
      unsettled_ms: this.#unsettledMs(now_ms),
    };
  }

  /** Resolves when there is news after `revision`, or the time is over. */
  waitForChanges(revision: number, wait_ms: number): Promise<void> {
    return this.#waitUntil(
      () => this.#lost || this.#hasNews(revision),
      wait_ms,
    );
  }

  /** Resolves when something was read, or is known not to come. */
  waitForFirstUpdate(wait_ms: number): Promise<void> {
    return this.#waitUntil(() => this.#told, wait_ms);
  }

  /** Looks at each reading and loss whether a condition holds. */
  async #waitUntil(holds: () => boolean, wait_ms: number): Promise<void> {
    if (holds()) return;
    await new Promise<void>((resolve) => {
      const look = () => {
        if (holds()) done();
      };
      const done = () => {
        clearTimeout(timer);
        this.#waiting.delete(look);
        resolve();
      };
      const timer = setTimeout(done, wait_ms);
      this.#waiting.add(look);
    });
  }

  #hasNews(revision: number): boolean {
    if (revision < this.#base) return true;
    for (const entry of this.#entries.values()) {
      if (entry.revision > revision) return true;
    }
    return false;
  }

  #read(revision: number): void {
    this.#revision = revision;
    this.#lost = false;
    this.#wake();
  }

  #wake(): void {
    this.#told = true;
    for (const wake of [...this.#waiting]) wake();
  }

  #unsettledMs(now_ms: number): number {
    return Math.max(0, this.#unsettledUntil_ms - now_ms);
  }

  #forgetDeletions(): void {
    const deleted = [...this.#entries].filter(([, entry]) => entry.deleted);
    const surplus = deleted.length - MOST_DELETIONS;
    for (const [name, { revision }] of deleted.slice(0, Math.max(0, surplus))) {
      this.#entries.delete(name);
      this.#base = Math.max(this.#base, revision);
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
  const there = [...before].filter(([, { deleted }]) => !deleted);
  if (there.length !== after.size) return false;
  return there.every(([name, { value }]) => {
    const now = after.get(name);
    return now !== undefined &&
      JSON.stringify(now.value) === JSON.stringify(value);
  });
}

/** Following a feed at another host instead of at the store. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { WatchCache } from "../../src/store_sync/watch_cache.ts";
import {
  type FeedResult,
  FeedResultKind,
} from "../../src/store_sync/object_feed.ts";

function item(name: string, value = 1) {
  return { name, value };
}

function summary(read: FeedResult<number>): string {
  switch (read.kind) {
    case FeedResultKind.Listed:
      return `all to ${read.revision}: ${read.items.map(({ name }) => name)}`;
    case FeedResultKind.Changed:
      return `to ${read.revision}: ${
        read.changes.map(({ name, deleted }) => deleted ? `-${name}` : name)
      }`;
    default:
      return read.kind;
  }
}

test("a follower hears what changed after its revision", () => {
  const history = new WatchCache<number>();
  history.replaceAll([item("a"), item("b")], 10);
  history.applyChanges([{ ...item("b", 2), deleted: false }], 12);
  history.applyChanges([{ ...item("a"), deleted: true }], 15);
  assert.equal(summary(history.changesSince(10, 0)), "to 15: -a,b");
  assert.equal(summary(history.changesSince(12, 0)), "to 15: -a");
  assert.equal(summary(history.changesSince(15, 0)), "to 15: ");
  assert.equal(summary(history.list(0, 0)), "all to 15: b");
});

test("a follower that is further behind reads everything", () => {
  const history = new WatchCache<number>();
  history.replaceAll([item("a")], 10);
  assert.equal(
    summary(history.changesSince(9, 0)),
    FeedResultKind.RevisionTooOld,
  );
});

test("a host does not tell what it has not read, or can't read now", () => {
  const history = new WatchCache<number>();
  assert.equal(summary(history.list(0, 0)), FeedResultKind.Unavailable);
  history.replaceAll([item("a")], 10);
  assert.equal(summary(history.list(11, 0)), FeedResultKind.Unavailable);
  history.markSourceUnavailable();
  assert.equal(
    summary(history.changesSince(10, 0)),
    FeedResultKind.Unavailable,
  );
});

test("a follower never goes back to an older revision", () => {
  const history = new WatchCache<number>();
  history.replaceAll([item("a")], 10);
  assert.equal(summary(history.changesSince(14, 0)), "to 14: ");
});

test("a reading that brings nothing new is no news", () => {
  const history = new WatchCache<number>();
  assert.equal(history.replaceAll([item("a")], 10), true);
  assert.equal(history.replaceAll([item("a")], 14), false);
  assert.equal(history.replaceAll([item("a", 2)], 18), true);
});

test("a follower is told how long entries may still be missing", () => {
  const history = new WatchCache<number>();
  history.replaceAll([item("a")], 10);
  history.markSourceUnavailable();
  history.startGracePeriod(1_000);
  history.replaceAll([], 20);
  const read = history.changesSince(20, 1_200);
  assert.equal("unsettled_ms" in read && read.unsettled_ms, 2_000);
});

test("a wait ends with the news, or with its time", async () => {
  const history = new WatchCache<number>();
  history.replaceAll([item("a")], 10);
  const began_ms = performance.now();
  await history.waitForChanges(10, 30);
  assert.ok(performance.now() - began_ms >= 25);
  const waiting = history.waitForChanges(10, 60_000);
  history.applyChanges([{ ...item("b"), deleted: false }], 11);
  await waiting;
});

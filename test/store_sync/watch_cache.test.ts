/** The cache from which other hosts follow a feed. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { at } from "./at_position.ts";
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

test("a follower receives the changes after its revision", () => {
  const cache = new WatchCache<number>();
  cache.replaceAll([item("a"), item("b")], at(10));
  cache.applyChanges([{ ...item("b", 2), deleted: false }], at(12));
  cache.applyChanges([{ ...item("a"), deleted: true }], at(15));
  assert.equal(summary(cache.changesSince(at(10), 0)), "to 15: -a,b");
  assert.equal(summary(cache.changesSince(at(12), 0)), "to 15: -a");
  assert.equal(summary(cache.changesSince(at(15), 0)), "to 15: ");
  assert.equal(summary(cache.list(at(0), 0)), "all to 15: b");
});

test("a follower that is too far behind must list again", () => {
  const cache = new WatchCache<number>();
  cache.replaceAll([item("a")], at(10));
  assert.equal(
    summary(cache.changesSince(at(9), 0)),
    FeedResultKind.RevisionTooOld,
  );
});

test("a cache that is behind or whose source is down is unavailable", () => {
  const cache = new WatchCache<number>();
  assert.equal(summary(cache.list(at(0), 0)), FeedResultKind.Unavailable);
  cache.replaceAll([item("a")], at(10));
  assert.equal(summary(cache.list(at(11), 0)), FeedResultKind.Unavailable);
  cache.markSourceUnavailable();
  assert.equal(
    summary(cache.changesSince(at(10), 0)),
    FeedResultKind.Unavailable,
  );
});

test("a follower never receives a revision older than its own", () => {
  const cache = new WatchCache<number>();
  cache.replaceAll([item("a")], at(10));
  assert.equal(summary(cache.changesSince(at(14), 0)), "to 14: ");
});

test("an identical list does not count as a change", () => {
  const cache = new WatchCache<number>();
  assert.equal(cache.replaceAll([item("a")], at(10)), true);
  assert.equal(cache.replaceAll([item("a")], at(14)), false);
  assert.equal(cache.replaceAll([item("a", 2)], at(18)), true);
});

test("a follower receives the rest of the grace period", () => {
  const cache = new WatchCache<number>();
  cache.replaceAll([item("a")], at(10));
  cache.markSourceUnavailable();
  cache.startGracePeriod(1_000);
  cache.replaceAll([], at(20));
  const read = cache.changesSince(at(20), 1_200);
  assert.equal("unsettled_ms" in read && read.unsettled_ms, 2_000);
});

test("a wait ends on a change or on its timeout", async () => {
  const cache = new WatchCache<number>();
  cache.replaceAll([item("a")], at(10));
  const start_ms = performance.now();
  await cache.waitForChanges(at(10), 30);
  assert.ok(performance.now() - start_ms >= 25);
  const waiting = cache.waitForChanges(at(10), 60_000);
  cache.applyChanges([{ ...item("b"), deleted: false }], at(11));
  await waiting;
});

test("a follower of the older epoch lists again and gets the lower revision", () => {
  const cache = new WatchCache<number>();
  cache.replaceAll([item("a")], at(10, 2));
  assert.equal(
    summary(cache.changesSince(at(300, 1), 0)),
    FeedResultKind.RevisionTooOld,
  );
  assert.equal(summary(cache.list(at(300, 1), 0)), "all to 10: a");
});

test("a cache of the older epoch has nothing for a follower of the newer", () => {
  const cache = new WatchCache<number>();
  cache.replaceAll([item("a")], at(300, 1));
  const expected = {
    kind: FeedResultKind.Unavailable,
    reason: "behind: asked 2:10, read 1:300",
    isBehind: true,
  };
  assert.deepEqual(cache.list(at(10, 2), 0), expected);
  assert.deepEqual(cache.changesSince(at(10, 2), 0), expected);
});

test("a heartbeat of another epoch does not advance a cache", () => {
  const cache = new WatchCache<number>();
  cache.replaceAll([item("a")], at(300, 1));
  cache.advancePosition(at(310, 2));
  assert.deepEqual(cache.position, at(300, 1));
  cache.advancePosition(at(310, 1));
  assert.deepEqual(cache.position, at(310, 1));
});

test("a wait of the older epoch ends when the cache learns the newer", async () => {
  const cache = new WatchCache<number>();
  cache.replaceAll([item("a")], at(300, 1));
  const waiting = cache.waitForChanges(at(300, 1), 60_000);
  cache.replaceAll([item("a")], at(10, 2));
  await waiting;
});

test("a follower goes back with a reader whose store names no new epoch", () => {
  const cache = new WatchCache<number>();
  cache.replaceAll([item("a")], at(300));
  cache.replaceAll([item("b")], at(10));
  assert.equal(
    summary(cache.changesSince(at(300), 0)),
    FeedResultKind.RevisionTooOld,
  );
  assert.equal(summary(cache.list(at(300), 0)), "all to 10: b");
  assert.equal(summary(cache.list(at(301), 0)), FeedResultKind.Unavailable);
  cache.applyChanges([], at(310));
  assert.equal(summary(cache.list(at(301), 0)), "all to 310: b");
  assert.equal(summary(cache.list(at(311), 0)), FeedResultKind.Unavailable);
});

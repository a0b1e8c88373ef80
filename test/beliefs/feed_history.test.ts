/** Following a feed at another host instead of at the store. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FeedHistory } from "../../src/beliefs/feed_history.ts";
import { type FeedRead, FeedReadKind } from "../../src/beliefs/object_feed.ts";

function item(name: string, value = 1) {
  return { name, value };
}

function summary(read: FeedRead<number>): string {
  switch (read.kind) {
    case FeedReadKind.Listed:
      return `all to ${read.revision}: ${read.items.map(({ name }) => name)}`;
    case FeedReadKind.Changed:
      return `to ${read.revision}: ${
        read.changes.map(({ name, deleted }) => deleted ? `-${name}` : name)
      }`;
    default:
      return read.kind;
  }
}

test("a follower hears what changed after its revision", () => {
  const history = new FeedHistory<number>();
  history.replaceAll([item("a"), item("b")], 10);
  history.apply([{ ...item("b", 2), deleted: false }], 12);
  history.apply([{ ...item("a"), deleted: true }], 15);
  assert.equal(summary(history.since(10, 0)), "to 15: -a,b");
  assert.equal(summary(history.since(12, 0)), "to 15: -a");
  assert.equal(summary(history.since(15, 0)), "to 15: ");
  assert.equal(summary(history.list(0, 0)), "all to 15: b");
});

test("a follower that is further behind reads everything", () => {
  const history = new FeedHistory<number>();
  history.replaceAll([item("a")], 10);
  assert.equal(summary(history.since(9, 0)), FeedReadKind.HistoryLost);
});

test("a host does not tell what it has not read, or can't read now", () => {
  const history = new FeedHistory<number>();
  assert.equal(summary(history.list(0, 0)), FeedReadKind.Unavailable);
  history.replaceAll([item("a")], 10);
  assert.equal(summary(history.list(11, 0)), FeedReadKind.Unavailable);
  history.sourceLost();
  assert.equal(summary(history.since(10, 0)), FeedReadKind.Unavailable);
});

test("a follower never goes back to an older revision", () => {
  const history = new FeedHistory<number>();
  history.replaceAll([item("a")], 10);
  assert.equal(summary(history.since(14, 0)), "to 14: ");
});

test("a reading that brings nothing new is no news", () => {
  const history = new FeedHistory<number>();
  assert.equal(history.replaceAll([item("a")], 10), true);
  assert.equal(history.replaceAll([item("a")], 14), false);
  assert.equal(history.replaceAll([item("a", 2)], 18), true);
});

test("a follower is told how long entries may still be missing", () => {
  const history = new FeedHistory<number>();
  history.replaceAll([item("a")], 10);
  history.sourceLost();
  history.sourceBack(1_000);
  history.replaceAll([], 20);
  const read = history.since(20, 1_200);
  assert.equal("unsettled_ms" in read && read.unsettled_ms, 2_000);
});

test("a wait ends with the news, or with its time", async () => {
  const history = new FeedHistory<number>();
  history.replaceAll([item("a")], 10);
  const began_ms = performance.now();
  await history.waitForNews(10, 30);
  assert.ok(performance.now() - began_ms >= 25);
  const waiting = history.waitForNews(10, 60_000);
  history.apply([{ ...item("b"), deleted: false }], 11);
  await waiting;
});

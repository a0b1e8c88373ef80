/** What a host does when the store has come back from an older copy. */
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import { createLogger } from "../../src/logging/logger.ts";
import type { FeedPosition } from "../../src/store_sync/feed_position.ts";
import {
  type FeedResult,
  FeedResultKind,
} from "../../src/store_sync/object_feed.ts";
import { FeedProgress } from "../../src/store_sync/feed_progress.ts";
import { syncFeed } from "../../src/store_sync/sync_feed.ts";
import {
  GRACE_PERIOD_AFTER_OUTAGE_MS,
  WatchCache,
} from "../../src/store_sync/watch_cache.ts";
import { at } from "./at_position.ts";

let events: string[];
let logLines: string[];
let cache: WatchCache<number>;
let progress: FeedProgress;

beforeEach(() => {
  events = [];
  logLines = [];
  cache = new WatchCache();
  progress = new FeedProgress();
});

function listed(position: FeedPosition, names: string[]): FeedResult<number> {
  const items = names.map((name) => ({ name, value: 1 }));
  return { kind: FeedResultKind.Listed, items, ...position };
}

function changed(position: FeedPosition, names: string[]): FeedResult<number> {
  const changes = names.map((name) => ({ name, value: 1, deleted: false }));
  return { kind: FeedResultKind.Changed, changes, ...position };
}

const LOST: FeedResult<number> = { kind: FeedResultKind.RevisionTooOld };
const AWAY: FeedResult<number> = {
  kind: FeedResultKind.Unavailable,
  reason: "away",
};

/** Syncs a feed whose calls get these results in turn, then stops. */
async function sync(results: FeedResult<number>[]): Promise<void> {
  const stopping = new AbortController();
  const answer = (call: string) => {
    const result = results.shift();
    if (result === undefined) stopping.abort();
    else events.push(call);
    return Promise.resolve(result ?? LOST);
  };
  await syncFeed<number>({
    list: () => answer("list"),
    watch: ({ revision }) => answer(`watch ${revision}`),
  }, {
    onList: (items) => events.push(`all ${items.map(({ name }) => name)}`),
    onChanges: (changes) => events.push(`${changes.map(({ name }) => name)}`),
    onSourceUnavailable: () => events.push("unavailable"),
    onSourceAvailable: () => events.push("available"),
    onSourceRestored: () => events.push("restored"),
    onGracePeriod: (unsettled_ms) => events.push(`grace ${unsettled_ms}`),
  }, {
    name: "f",
    wait_ms: 20_000,
    coalesce_ms: 0,
    progress,
    cache,
    log: createLogger({
      level: "info",
      host: "h",
      writeLine: (line) => logLines.push(line),
    }),
    now: () => 1_000,
    random: () => 0,
    signal: stopping.signal,
  });
}

const GRACE = `grace ${GRACE_PERIOD_AFTER_OUTAGE_MS}`;

test("a watch that was silent through a restoration lists again", async () => {
  await sync([
    listed(at(100, 1), ["a"]),
    changed(at(120, 2), ["c"]),
    listed(at(120, 2), ["b", "c"]),
    changed(at(121, 2), ["d"]),
  ]);
  assert.deepEqual(events.filter((event) => event !== "restored"), [
    "list",
    "all a",
    "watch 100",
    "list",
    ...events.filter((event) => event === GRACE),
    "all b,c",
    "watch 120",
    "d",
  ]);
});

test("a restoration is told once, before its list, with a grace period", async () => {
  await sync([
    listed(at(100, 1), ["a", "b"]),
    LOST,
    listed(at(50, 2), ["a"]),
    changed(at(51, 2), ["b"]),
    LOST,
    listed(at(60, 2), ["a", "b"]),
  ]);
  assert.deepEqual(events, [
    "list",
    "all a,b",
    "watch 100",
    "list",
    "restored",
    GRACE,
    "all a",
    "watch 50",
    "b",
    "watch 51",
    "list",
    "all a,b",
  ]);
  const read = cache.list(at(0), 1_200);
  assert.ok(read.kind === FeedResultKind.Listed);
  assert.equal(read.unsettled_ms, GRACE_PERIOD_AFTER_OUTAGE_MS - 200);
  const told = logLines.filter((line) => line.includes("store_restored"));
  assert.equal(told.length, 1);
  assert.match(told[0] ?? "", /feed=f epoch=2 from=1:100 to=2:50/);
});

test("a restoration during an absence is told after the source is back", async () => {
  await sync([
    listed(at(100, 1), ["a"]),
    AWAY,
    AWAY,
    listed(at(50, 2), ["a"]),
  ]);
  assert.deepEqual(events.slice(-4), ["available", "restored", GRACE, "all a"]);
});

test("a store without epochs that goes back is restored too", async () => {
  await sync([listed(at(100), ["a"]), LOST, listed(at(50), ["a"])]);
  assert.deepEqual(events.slice(-3), ["restored", GRACE, "all a"]);
});

test("a lower epoch is the store's content all the same", async () => {
  await sync([
    listed(at(100, 5), ["a"]),
    changed(at(120, 3), []),
    listed(at(120, 3), ["b"]),
    changed(at(121, 3), ["c"]),
  ]);
  assert.deepEqual(events.slice(-5), [
    "restored",
    GRACE,
    "all b",
    "watch 120",
    "c",
  ]);
  assert.deepEqual(progress.position, at(121, 3));
});

test("neither a first list nor a first known epoch is a restoration", async () => {
  await sync([
    listed(at(100), ["a"]),
    changed(at(101, 2), ["b"]),
    LOST,
    listed(at(102, 2), ["a", "b"]),
    AWAY,
    listed(at(103, 2), ["a", "b"]),
  ]);
  assert.equal(events.includes("restored"), false);
});

/** When a list of the hosts counts as confirmed. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createConfirmedFeed } from "../../src/cold_endpoints/confirmed_feed.ts";
import {
  type FeedResult,
  FeedResultKind,
} from "../../src/store_sync/object_feed.ts";

const POSITION = { revision: 5 };
const WAIT_MS = 20_000;
const LISTED: FeedResult<string> = {
  kind: FeedResultKind.Listed,
  items: [],
  ...POSITION,
};
const IDLE: FeedResult<string> = {
  kind: FeedResultKind.Changed,
  changes: [],
  ...POSITION,
};
const CHANGED: FeedResult<string> = {
  ...IDLE,
  changes: [{ name: "a", value: "b", deleted: false }],
};
const UNAVAILABLE: FeedResult<string> = {
  kind: FeedResultKind.Unavailable,
  reason: "test",
};
const { signal } = new AbortController();

/** Calls a feed that answers after a time; returns what was confirmed. */
async function confirmedBy(
  result: FeedResult<string>,
  { elapsed_ms, readsStore, lists = false }: {
    elapsed_ms: number;
    readsStore: boolean;
    lists?: boolean;
  },
): Promise<number[]> {
  let now_ms = 1_000;
  const confirmed: number[] = [];
  const answer = () => {
    now_ms += elapsed_ms;
    return Promise.resolve(result);
  };
  const feed = createConfirmedFeed({ list: answer, watch: answer }, {
    onConfirmed: (at_ms) => confirmed.push(at_ms),
    readsStore: () => readsStore,
    now: () => now_ms,
  });
  const received = lists
    ? await feed.list(signal)
    : await feed.watch(POSITION, WAIT_MS, signal);
  assert.equal(received, result);
  return confirmed;
}

for (const readsStore of [true, false]) {
  test(`a list and changes confirm it as of the call, readsStore ${readsStore}`, async () => {
    const call = { elapsed_ms: 300, readsStore };
    assert.deepEqual(await confirmedBy(LISTED, { ...call, lists: true }), [
      1_000,
    ]);
    assert.deepEqual(await confirmedBy(LISTED, call), [1_000]);
    assert.deepEqual(await confirmedBy(CHANGED, call), [1_000]);
    assert.deepEqual(await confirmedBy(UNAVAILABLE, call), []);
    const failed = { ...call, lists: true };
    assert.deepEqual(await confirmedBy(UNAVAILABLE, failed), []);
  });
}

test("a watch without changes confirms it if the source let it run to its end", async () => {
  const atStore = { readsStore: true };
  const ended = { ...atStore, elapsed_ms: WAIT_MS - 50 };
  assert.deepEqual(await confirmedBy(IDLE, ended), [1_000]);
  const cutShort = { ...atStore, elapsed_ms: 6_000 };
  assert.deepEqual(await confirmedBy(IDLE, cutShort), []);
  const followed = { readsStore: false, elapsed_ms: 5_000 };
  assert.deepEqual(await confirmedBy(IDLE, followed), [1_000]);
  const early = { readsStore: false, elapsed_ms: 100 };
  assert.deepEqual(await confirmedBy(IDLE, early), []);
});

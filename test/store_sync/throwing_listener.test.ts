/** An error while a result is read or applied does not end a feed. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createLogger } from "../../src/logging/logger.ts";
import {
  type FeedResult,
  FeedResultKind,
} from "../../src/store_sync/object_feed.ts";
import { FeedProgress } from "../../src/store_sync/feed_progress.ts";
import type { FeedListener } from "../../src/store_sync/feed_reader.ts";
import { syncFeed } from "../../src/store_sync/sync_feed.ts";
import { WatchCache } from "../../src/store_sync/watch_cache.ts";
import { at } from "./at_position.ts";

const OBSERVED_MS = 1_000;

/** Follows a source that has one value more with each answer. */
async function follow(
  listener: Partial<FeedListener<number>>,
  beforeAnswer: (call: number) => void = () => {},
): Promise<{ received: number[]; lines: string[] }> {
  const received: number[] = [];
  const lines: string[] = [];
  const stopping = new AbortController();
  setTimeout(() => stopping.abort(), OBSERVED_MS);
  let calls = 0;
  const item = () => ({ name: "a", value: calls, deleted: false });
  const answer = async (result: () => FeedResult<number>) => {
    await new Promise((resolve) => setTimeout(resolve, 20));
    calls += 1;
    beforeAnswer(calls);
    return result();
  };
  await syncFeed<number>({
    list: () =>
      answer(() => ({
        kind: FeedResultKind.Listed,
        items: [item()],
        ...at(calls, 1),
      })),
    watch: () =>
      answer(() => ({
        kind: FeedResultKind.Changed,
        changes: [item()],
        ...at(calls, 1),
      })),
  }, {
    onList(items) {
      listener.onList?.(items);
      received.push(items[0]?.value ?? 0);
    },
    onChanges(changes) {
      listener.onChanges?.(changes);
      received.push(changes[0]?.value ?? 0);
    },
  }, {
    name: "a",
    wait_ms: 50,
    coalesce_ms: 0,
    progress: new FeedProgress(),
    cache: new WatchCache(),
    log: createLogger({
      level: "error",
      host: "h",
      writeLine: (line) => lines.push(line),
    }),
    now: () => performance.now(),
    random: () => 0.5,
    signal: stopping.signal,
  });
  return { received, lines };
}

/** Throws the second time that it is called. */
function throwingOnce(): () => void {
  let calls = 0;
  return () => {
    calls += 1;
    if (calls === 2) throw new Error("thrown by the test");
  };
}

test("a feed goes on, with a list, after a listener of its changes threw", async () => {
  const { received, lines } = await follow({ onChanges: throwingOnce() });
  assert.deepEqual(received.slice(0, 2), [1, 2]);
  assert.ok((received[2] ?? 0) > 3, `received ${received}`);
  assert.equal(lines.filter((line) => line.includes("event=fault")).length, 1);
});

test("a feed goes on after a listener of its list threw", async () => {
  let calls = 0;
  const { received } = await follow({
    onList() {
      calls += 1;
      if (calls === 1) throw new Error("thrown by the test");
    },
  });
  assert.ok((received[0] ?? 0) > 1, `received ${received}`);
});

test("a feed goes on after a read that threw", async () => {
  const { received } = await follow({}, (call) => {
    if (call === 2) throw new Error("thrown by the test");
  });
  assert.equal(received[0], 1);
  assert.ok((received[1] ?? 0) > 2, `received ${received}`);
});

/** Records of streams that the store holds for hosts that start after all were lost. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { createLogger } from "../../src/logging/logger.ts";
import {
  type FeedResult,
  FeedResultKind,
} from "../../src/store_sync/object_feed.ts";
import { StoredOrigins } from "../../src/stream_origins/stored_origins.ts";
import type { OriginBatch } from "../../src/stream_origins/types.ts";
import { UNKNOWN } from "../../src/stream_origins/version_history.ts";

const BATCH_MS = 1_100;

let stopping: AbortController;
let stored: Map<string, OriginBatch>;
let lists: number;
let isDown: boolean;
/** Added to the monotonic clock and to the time of day. */
let passed_ms: number;

beforeEach(() => {
  stopping = new AbortController();
  stored = new Map();
  lists = 0;
  isDown = false;
  passed_ms = 0;
});
afterEach(() => stopping.abort());

function createHost(host = "host-1"): StoredOrigins {
  return new StoredOrigins({
    host,
    store: {
      listOrigins(): Promise<FeedResult<OriginBatch>> {
        lists += 1;
        return Promise.resolve(
          isDown ? { kind: FeedResultKind.Unavailable, reason: "down" } : {
            kind: FeedResultKind.Listed,
            items: [...stored].map(([name, value]) => ({ name, value })),
            revision: 1,
          },
        );
      },
      writeOrigins(name, batch) {
        stored.set(name, batch);
        return Promise.resolve();
      },
      removeOrigins(name) {
        stored.delete(name);
        return Promise.resolve();
      },
    },
    log: createLogger({ level: "error", host: "h", writeLine: () => {} }),
    now: () => performance.now() + passed_ms,
    unixTime: () => 1_000_000 + passed_ms,
    signal: stopping.signal,
  });
}

function record(key: string, version: string) {
  return { key, pool: "model", version };
}

async function passTime(): Promise<void> {
  await new Promise((done) => setTimeout(done, BATCH_MS));
}

test("another host finds what was written, and reads once", async () => {
  const writer = createHost();
  void writer.run();
  writer.add(record("docks/a", "v1"));
  writer.add(record("docks/b", "v2"));
  await passTime();
  assert.equal(stored.size, 1);
  const reader = createHost("host-2");
  const found = await Promise.all(
    ["docks/a", "docks/b", "docks/c"].map((key) => reader.find(key)),
  );
  assert.deepEqual(found, [
    record("docks/a", "v1"),
    record("docks/b", "v2"),
    undefined,
  ]);
  assert.equal(lists, 1);
});

test("nothing is written without records, and batches are removed in the end", async () => {
  const writer = createHost();
  void writer.run();
  await passTime();
  assert.equal(stored.size, 0);
  writer.add(record("docks/a", "v1"));
  await passTime();
  assert.equal(stored.size, 1);
  await passTime();
  assert.equal(stored.size, 1);
  passed_ms = 120_000;
  await passTime();
  assert.equal(stored.size, 0);
});

test("a host that has started again doesn't replace what it wrote just before", async () => {
  for (const key of ["docks/a", "docks/b"]) {
    const writer = createHost();
    void writer.run();
    writer.add(record(key, "v1"));
    await passTime();
    passed_ms += 1_000;
  }
  assert.equal(stored.size, 2);
});

test("a stream that was recorded with two versions is of none", async () => {
  const writer = createHost();
  void writer.run();
  writer.add(record("docks/a", "v1"));
  writer.add(record("docks/a", "v2"));
  await passTime();
  const found = await createHost("host-2").find("docks/a");
  assert.equal(found?.version, UNKNOWN);
});

test("a stream whose version isn't known stays so", async () => {
  const writer = createHost();
  void writer.run();
  writer.add(record("docks/a", UNKNOWN));
  await passTime();
  const found = await createHost("host-2").find("docks/a");
  assert.equal(found?.version, UNKNOWN);
});

test("a store that doesn't answer is asked again, not with each stream", async () => {
  isDown = true;
  const reader = createHost();
  await reader.find("docks/a");
  await reader.find("docks/a");
  assert.equal(lists, 1);
  passed_ms = 1_000;
  await reader.find("docks/a");
  assert.equal(lists, 2);
});

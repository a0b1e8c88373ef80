/** The versions that the store names for hosts that start after all were lost. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { createLogger } from "../../src/logging/logger.ts";
import {
  type FeedResult,
  FeedResultKind,
} from "../../src/store_sync/object_feed.ts";
import { StoredVersions } from "../../src/stream_origins/stored_versions.ts";
import type { PoolVersions } from "../../src/stream_origins/types.ts";
import { VersionHistory } from "../../src/stream_origins/version_history.ts";
import { sampleEndpoint } from "./sample_endpoint.ts";

/** Longer than a host looks for changes apart, and reads apart. */
const WRITTEN_MS = 1_800;

let stopping: AbortController;
let stored: Map<string, string[]>;
let writes: number;
let isDown: boolean;
let epoch: number;
/** Added to the clock. */
let passed_ms: number;

beforeEach(() => {
  stopping = new AbortController();
  stored = new Map();
  writes = 0;
  isDown = false;
  epoch = 1;
  passed_ms = 0;
});
afterEach(() => stopping.abort());

const now = () => performance.now() + passed_ms;

function createHost({ isWriter = true } = {}) {
  const history = new VersionHistory();
  const versions = new StoredVersions({
    history,
    store: {
      listVersions: (): Promise<FeedResult<PoolVersions>> =>
        Promise.resolve(
          isDown ? { kind: FeedResultKind.Unavailable, reason: "down" } : {
            kind: FeedResultKind.Listed,
            items: [...stored].map(([pool, versions]) => ({
              name: pool,
              value: { pool, versions },
            })),
            revision: 1,
          },
        ),
      writeVersions({ pool, versions }) {
        writes += 1;
        if (isDown) return Promise.reject(new Error("down"));
        stored.set(pool, versions);
        return Promise.resolve();
      },
    },
    isWriter: () => isWriter,
    isResumable: (pool) => pool === "model",
    epoch: () => epoch,
    log: createLogger({ level: "error", host: "h", writeLine: () => {} }),
    now,
    random: () => 0.5,
    signal: stopping.signal,
  });
  const observe = (...seen: string[]) =>
    history.observe(seen.map((each) => sampleEndpoint(each)), now());
  return { history, versions, observe };
}

async function passTime(): Promise<void> {
  await new Promise((done) => setTimeout(done, WRITTEN_MS));
}

test("the store names a version until streams of it can't go on, and is written on changes only", async () => {
  const host = createHost();
  host.observe("v1");
  void host.versions.run();
  await passTime();
  assert.deepEqual(stored.get("model"), ["v1"]);
  host.observe("v2");
  await passTime();
  assert.deepEqual(stored.get("model"), ["v1", "v2"]);
  await passTime();
  assert.equal(writes, 2);
  passed_ms = 121_000;
  await passTime();
  assert.deepEqual(stored.get("model"), ["v2"]);
});

test("a host that starts after all were lost knows a version that left before", async () => {
  stored.set("model", ["v1", "v2"]);
  const host = createHost({ isWriter: false });
  host.observe("v2");
  const before_ms = now() - 60_000;
  assert.equal(host.history.isKnownSince(before_ms, "model"), false);
  await host.versions.learn();
  assert.equal(host.history.isKnownSince(before_ms, "model"), true);
  assert.equal(host.history.isKnownSince(before_ms, "other"), false);
  const versions = host.history.versionsSince("model", before_ms).sort();
  assert.deepEqual(versions, ["v1", "v2"]);
});

test("a host writes no less than others have written", async () => {
  stored.set("model", ["v1", "v2"]);
  const host = createHost();
  host.observe("v1", "v3");
  void host.versions.run();
  await passTime();
  assert.deepEqual(stored.get("model"), ["v1", "v2", "v3"]);
});

test("what a store that goes back has lost is written again", async () => {
  const host = createHost();
  host.observe("v1", "v2");
  void host.versions.run();
  await passTime();
  stored.set("model", ["v1"]);
  epoch = 2;
  await passTime();
  assert.deepEqual(stored.get("model"), ["v1", "v2"]);
});

test("a store that doesn't answer tells of no time before, and is asked again", async () => {
  stored.set("model", ["v1"]);
  isDown = true;
  const host = createHost({ isWriter: false });
  host.observe("v1");
  await host.versions.learn();
  const before_ms = now() - 60_000;
  assert.equal(host.history.isKnownSince(before_ms, "model"), false);
  isDown = false;
  passed_ms = 1_000;
  await host.versions.learn();
  assert.equal(host.history.isKnownSince(before_ms, "model"), true);
});

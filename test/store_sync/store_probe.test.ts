/**
 * A store that falls silent while watches wait there must be noticed long
 * before the watches time out, since followers depend on them.
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  type FeedResult,
  FeedResultKind,
  type ObjectFeed,
} from "../../src/store_sync/object_feed.ts";
import {
  createProbedFeed,
  StoreProbe,
} from "../../src/store_sync/store_probe.ts";

const WATCH_MS = 60_000;
const PROBE_INTERVAL_MS = 10;

let stop: AbortController;
let probes: number;

beforeEach(() => {
  stop = new AbortController();
  probes = 0;
});

afterEach(() => {
  stop.abort();
});

/** A feed whose watches wait until they are aborted. */
const waitingFeed: ObjectFeed<number> = {
  list: () => Promise.reject(new Error("not listed here")),
  watch: (_revision, _wait_ms, signal) =>
    new Promise((resolve) => {
      signal.addEventListener("abort", () =>
        resolve({
          kind: FeedResultKind.Unavailable,
          reason: String(signal.reason),
        }));
    }),
};

function startWatch(
  options: { answers: () => boolean; isNeeded?: boolean },
): { result: FeedResult<number> | undefined } {
  const probe = new StoreProbe({
    answers() {
      probes += 1;
      return Promise.resolve(options.answers());
    },
    isNeeded: () => options.isNeeded ?? true,
    interval_ms: PROBE_INTERVAL_MS,
    signal: stop.signal,
  });
  const feed = createProbedFeed(waitingFeed, probe);
  const started: { result: FeedResult<number> | undefined } = {
    result: undefined,
  };
  void feed.watch(1, WATCH_MS, stop.signal).then((result) =>
    started.result = result
  );
  return started;
}

async function waitForProbes(count: number): Promise<void> {
  while (probes < count) await delay(PROBE_INTERVAL_MS);
}

test("a watch ends as soon as the store stops answering", async () => {
  let up = true;
  const watch = startWatch({ answers: () => up });
  await waitForProbes(5);
  assert.equal(watch.result, undefined);
  up = false;
  await waitForProbes(probes + 1);
  await delay(PROBE_INTERVAL_MS);
  assert.deepEqual(watch.result, {
    kind: FeedResultKind.Unavailable,
    reason: "store_silent",
  });
});

test("probes end with the last watch", async () => {
  startWatch({ answers: () => false });
  await waitForProbes(1);
  await delay(5 * PROBE_INTERVAL_MS);
  assert.equal(probes, 1);
});

test("a host without followers does not probe", async () => {
  const watch = startWatch({ answers: () => false, isNeeded: false });
  await delay(5 * PROBE_INTERVAL_MS);
  assert.equal(probes, 0);
  assert.equal(watch.result, undefined);
});

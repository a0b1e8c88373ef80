/**
 * Replays bursts in a pipeline of three pools, the last of which is the
 * narrowest, while the first could do far more.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { BatchLimits } from "../../src/routes/types.ts";
import {
  type ReplayedClass,
  type ReplayedOutcomes,
  type ReplayedPool,
  replayPipeline,
} from "./pipeline_replay.ts";

const LIMITS: BatchLimits = {
  concurrent_calls: 1,
  pieces_per_call: 16,
  call_ms: 200,
  piece_ms: 10,
  room_bytes: 36_000_000,
  retention_ms: 4_000,
  link_bytes_per_ms: 1_250_000,
};

const POOLS: ReplayedPool[] = [
  { name: "encode", endpoints: 8, limits: LIMITS },
  {
    name: "retrieve",
    endpoints: 4,
    limits: { ...LIMITS, pieces_per_call: 70, piece_ms: 2.4 },
  },
  {
    name: "rerank",
    endpoints: 4,
    limits: { ...LIMITS, pieces_per_call: 90, piece_ms: 1.8 },
  },
];
const PIECES = [1, 4, 10];
/** Full calls of 90 pieces take 362 ms: 4 endpoints do 994 pieces a second. */
const LAST_POOL_REQUESTS_PER_S = 99;
const HOSTS = 24;

const BURST_FROM_MS = 2_000;
const BURST_TO_MS = 8_000;
const LENGTH_MS = 16_000;
/** A burst's queue is worked off in this time, as a fifth of the rate is idle. */
const SETTLED_MS = 10_000;

/** Requests at a multiple of the last pool's rate, a larger one in the burst. */
function requestsAt(
  load: number,
  burst_load: number,
  change: Partial<ReplayedClass> = {},
): ReplayedClass {
  return {
    name: "review",
    priority: 1,
    target_latency_ms: 1_700,
    deadline_ms: 6_000,
    stages: [
      { pool: "encode", after: [], result_bytes: 8_000 },
      { pool: "retrieve", after: [0], result_bytes: 60_000 },
      { pool: "rerank", after: [1], result_bytes: 6_000 },
    ],
    pieces: PIECES,
    rate_per_s: (at_ms) =>
      LAST_POOL_REQUESTS_PER_S *
      (at_ms >= BURST_FROM_MS && at_ms < BURST_TO_MS ? burst_load : load),
    ...change,
  };
}

async function replay(
  classes: ReplayedClass[],
  counted_from_ms = 0,
): Promise<ReplayedOutcomes> {
  const outcomes = await replayPipeline({
    pools: POOLS,
    classes,
    hosts: HOSTS,
    length_ms: LENGTH_MS,
    counted_from_ms,
  });
  return outcomes.get(classes[0]?.name ?? "") as ReplayedOutcomes;
}

test("below the last pool's rate all requests are on time", async () => {
  const { asked, on_time } = await replay([requestsAt(0.7, 0.7)]);
  assert.equal(on_time, asked);
});

test("in a burst beyond the last pool's rate most refusals come at once", async () => {
  const { refused_after_ms } = await replay([requestsAt(0.6, 1.8)]);
  const sorted = refused_after_ms.toSorted((a, b) => a - b);
  const median_ms = sorted[Math.floor(sorted.length / 2)] ?? 0;
  assert.ok(sorted.length > 100, `${sorted.length} refused`);
  assert.ok(median_ms < LIMITS.call_ms, `${median_ms} ms`);
});

test("in a burst beyond the last pool's rate no request is held until its deadline", async () => {
  const { failed, longest_unserved_ms } = await replay([requestsAt(0.6, 1.8)]);
  assert.equal(failed, 0);
  assert.ok(longest_unserved_ms < 0.75 * 6_000, `${longest_unserved_ms} ms`);
});

test("in a burst beyond the last pool's rate, what it can do is on time", async () => {
  const { asked, on_time } = await replay([requestsAt(0.6, 1.8)]);
  const burst_s = (BURST_TO_MS - BURST_FROM_MS) / 1_000;
  const possible = asked - 0.8 * LAST_POOL_REQUESTS_PER_S * burst_s;
  assert.ok(on_time > 0.8 * possible, `${on_time} of ${possible} on time`);
});

test("after a burst beyond the last pool's rate all requests are on time again", async () => {
  const { asked, on_time } = await replay([requestsAt(0.6, 1.8)], SETTLED_MS);
  assert.ok(on_time > 0.98 * asked, `${on_time} of ${asked} on time`);
});

test("a burst of less urgent requests leaves urgent ones on time", async () => {
  const urgent = requestsAt(0.4, 0.4);
  const others = requestsAt(0.3, 1.5, {
    name: "draft",
    priority: 2,
    target_latency_ms: 3_000,
    deadline_ms: 5_000,
  });
  const { asked, on_time } = await replay([urgent, others]);
  assert.ok(on_time > 0.95 * asked, `${on_time} of ${asked} on time`);
});

test("a burst of urgent requests leaves room for some that are less urgent", async () => {
  const others = requestsAt(0.3, 0.3, {
    name: "draft",
    priority: 2,
    target_latency_ms: 3_000,
    deadline_ms: 5_000,
  });
  const { asked, on_time, late } = await replay([others, requestsAt(0.3, 1.5)]);
  assert.ok(on_time + late > asked / 4, `${on_time} and ${late} of ${asked}`);
});

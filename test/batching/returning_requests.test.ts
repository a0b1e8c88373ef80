/** What is known of requests that were refused and come back. */
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import { ReturningRequests } from "../../src/batching/returning_requests.ts";
import type { StageJob } from "../../src/batching/types.ts";

const CALL_MS = 200;
const REQUEST = "request";

let returning: ReturningRequests;

beforeEach(() => {
  returning = new ReturningRequests();
  // Refused at 1,000, when it had 1,400 ms for all stages and 600 for this one.
  returning.recordRefusal(job("a"), { arrived_ms: 1_000, now_ms: 1_000 });
});

function job(attempt_id: string, change: Partial<StageJob> = {}): StageJob {
  return {
    attempt_id,
    request: REQUEST,
    pool: "encode",
    stage: 0,
    pieces: [{ index: 0, key: "k", inputs: undefined }],
    result_bytes: 10,
    priority: 0,
    due_in_ms: 600,
    expires_in_ms: 5_000,
    home_zone: undefined,
    input_bytes: 0,
    last_read: [],
    target_in_ms: 1_400,
    ...change,
  };
}

function timesOf(offered: StageJob, now_ms: number) {
  const { target_in_ms, due_in_ms } = returning.withFirstTarget(offered, {
    call_ms: CALL_MS,
    now_ms,
  });
  return { target_in_ms, due_in_ms };
}

const FRESH = { target_in_ms: 1_400, due_in_ms: 600 };

test("the target of a request that comes back counts from its first attempt", () => {
  assert.deepEqual(timesOf(job("b"), 1_300), {
    target_in_ms: 1_100,
    due_in_ms: 600,
  });
});

test("a request that comes back too late to be on time is due by its first attempt", () => {
  assert.deepEqual(timesOf(job("b"), 1_500), {
    target_in_ms: 900,
    due_in_ms: 100,
  });
});

test("a request that is refused again counts from its first attempt still", () => {
  const again = returning.withFirstTarget(job("b"), {
    call_ms: CALL_MS,
    now_ms: 1_300,
  });
  returning.recordRefusal(again, { arrived_ms: 1_300, now_ms: 1_350 });
  assert.equal(timesOf(job("c"), 1_600).target_in_ms, 800);
});

test("all first stages of the attempt that comes back count from the first one", () => {
  assert.equal(timesOf(job("b"), 1_300).target_in_ms, 1_100);
  assert.equal(timesOf(job("b", { stage: 1 }), 1_300).target_in_ms, 1_100);
});

test("another request with the same content is new once one has come back", () => {
  timesOf(job("b"), 1_300);
  assert.deepEqual(timesOf(job("c"), 1_300), FRESH);
});

test("another stage of the refused attempt is no return", () => {
  assert.deepEqual(timesOf(job("a", { stage: 1 }), 1_010), FRESH);
  assert.equal(timesOf(job("b"), 1_300).target_in_ms, 1_100);
});

test("a job of a later stage is left alone", () => {
  const pieces = [{ index: 0, key: undefined, inputs: ["10.0.0.1:80/a"] }];
  assert.deepEqual(timesOf(job("b", { pieces }), 1_300), FRESH);
});

test("a request that comes back long after is new", () => {
  assert.deepEqual(timesOf(job("b"), 12_000), FRESH);
});

test("requests of hosts that send no fingerprint are new", () => {
  const { request: _, ...unnamed } = job("b");
  returning.recordRefusal(unnamed, { arrived_ms: 1_000, now_ms: 1_000 });
  assert.deepEqual(timesOf(unnamed, 1_300), FRESH);
});

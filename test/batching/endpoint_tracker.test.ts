/** Memory, backoff and slowness that a batcher tracks for an endpoint. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { EndpointTracker } from "../../src/batching/endpoint_tracker.ts";
import {
  type BatchLimits,
  RouteEndpointState,
} from "../../src/routes/types.ts";

const limits: BatchLimits = {
  concurrent_calls: 1,
  pieces_per_call: 10,
  call_ms: 200,
  piece_ms: 10,
  room_bytes: 1_000,
  retention_ms: 4_000,
  link_bytes_per_ms: 1_000,
};

function createTracker(): EndpointTracker {
  return new EndpointTracker({
    id: "one",
    pool: "encode",
    address: "127.0.0.1:1",
    availability_zone: "a",
    slots: 1,
    state: RouteEndpointState.Ready,
    born_ms: 1,
  });
}

test("results take memory from the call's start until they are removed", () => {
  const tracker = createTracker();
  tracker.startCall({ bytes: 600, pieces: 2, now_ms: 0 }, limits);
  assert.equal(tracker.freeResultBytes(0, limits), 400);
  tracker.completeCall({ bytes: 600, pieces: 2, elapsed_ms: 220 }, limits);
  tracker.addResult("first", { bytes: 300, expires_ms: 4_220 });
  tracker.addResult("second", { bytes: 300, expires_ms: 4_220 });
  assert.equal(tracker.freeResultBytes(220, limits), 400);
  tracker.removeResult("first");
  tracker.removeResult("first");
  assert.equal(tracker.freeResultBytes(220, limits), 700);
  assert.equal(tracker.freeResultBytes(4_220, limits), 1_000);
});

test("evictable results are evicted only while memory is short", () => {
  const tracker = createTracker();
  tracker.addResult("read", { bytes: 400, expires_ms: 4_000 });
  tracker.markEvictable("read");
  assert.deepEqual(tracker.takeEvictable(0, limits), []);
  tracker.addResult("unread", { bytes: 200, expires_ms: 4_000 });
  assert.deepEqual(tracker.takeEvictable(0, limits), ["read"]);
  assert.deepEqual(tracker.takeEvictable(0, limits), []);
  assert.equal(tracker.freeResultBytes(0, limits), 400);
  tracker.removeResult("read");
  assert.equal(tracker.freeResultBytes(0, limits), 800);
});

test("backoff doubles with each failure up to a limit, then ends", () => {
  const tracker = createTracker();
  const backoffs_ms = [1, 2, 3, 4, 5, 6].map(() => {
    tracker.startCall({ bytes: 0, pieces: 1, now_ms: 0 }, limits);
    return tracker.failCall({ bytes: 0, pieces: 1, elapsed_ms: 0 }, {
      limits,
      now_ms: 0,
    });
  });
  assert.deepEqual(backoffs_ms, [300, 600, 1_200, 2_400, 4_000, 4_000]);
  assert.equal(tracker.canStartCall(3_999, limits), false);
  assert.equal(tracker.canStartCall(4_000, limits), true);
});

test("slow calls raise the slowness and the call timeout", () => {
  const tracker = createTracker();
  const before_ms = tracker.callTimeoutMs(10, limits);
  for (let n = 0; n < 10; n++) {
    tracker.startCall({ bytes: 0, pieces: 10, now_ms: 0 }, limits);
    tracker.completeCall({ bytes: 0, pieces: 10, elapsed_ms: 1_500 }, limits);
  }
  assert.ok(tracker.slowness > 4);
  assert.ok(tracker.callTimeoutMs(10, limits) > 2 * before_ms);
});

test("a call that timed out raises the timeout of the next one", () => {
  const tracker = createTracker();
  const first_ms = tracker.callTimeoutMs(10, limits);
  tracker.startCall({ bytes: 0, pieces: 10, now_ms: 0 }, limits);
  tracker.failCall({ bytes: 0, pieces: 10, elapsed_ms: first_ms }, {
    limits,
    now_ms: first_ms,
  });
  assert.ok(tracker.callTimeoutMs(10, limits) > 1.8 * first_ms);
});

test("a moment's silence costs a short backoff, and gives the next call more time", () => {
  const tracker = createTracker();
  const timeOut = (started_ms: number, elapsed_ms: number) => {
    const call = { bytes: 0, pieces: 1 };
    tracker.startCall({ ...call, now_ms: started_ms }, limits);
    const now_ms = started_ms + elapsed_ms;
    tracker.timeOutCall({ ...call, elapsed_ms }, { limits, now_ms });
  };
  const usual_ms = tracker.callTimeoutMs(1, limits);
  timeOut(0, 528);
  assert.equal(tracker.slowness, 1);
  assert.ok(tracker.callTimeoutMs(1, limits) > 2 * usual_ms);
  timeOut(828, 528);
  assert.equal(tracker.slowness, 1);
  assert.equal(tracker.acceptsCalls(1_655), false);
  assert.equal(tracker.acceptsCalls(1_656), true);
  timeOut(1_656, 1_000);
  assert.ok(tracker.slowness > 4);
  tracker.startCall({ bytes: 0, pieces: 1, now_ms: 3_000 }, limits);
  tracker.recordAnswer(3_210);
  tracker.completeCall({ bytes: 0, pieces: 1, elapsed_ms: 210 }, limits);
  timeOut(4_000, 900);
  assert.equal(tracker.acceptsCalls(5_200), true);
});

test("failures of this host's own way are forgotten, with the assumed slowness", () => {
  const tracker = createTracker();
  const call = { bytes: 100, pieces: 1 };
  tracker.startCall({ ...call, now_ms: 0 }, limits);
  tracker.failCall({ ...call, elapsed_ms: 2_000 }, { limits, now_ms: 2_000 });
  assert.ok(tracker.slowness > 5);
  assert.equal(tracker.acceptsCalls(2_001), false);
  tracker.forgetFailures();
  assert.equal(tracker.slowness, 1);
  assert.equal(tracker.acceptsCalls(2_001), true);
  tracker.startCall({ ...call, now_ms: 2_001 }, limits);
  tracker.loseCall(call);
  assert.equal(tracker.slowness, 1);
  assert.equal(tracker.canStartCall(2_200, limits), true);
  assert.equal(tracker.freeResultBytes(2_200, limits), limits.room_bytes);
});

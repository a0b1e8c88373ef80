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

function endpointCalls(): EndpointTracker {
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

test("results take memory from the call's start until they are released", () => {
  const calls = endpointCalls();
  calls.startCall({ bytes: 600, pieces: 2, now_ms: 0 }, limits);
  assert.equal(calls.freeResultBytes(0, limits), 400);
  calls.completeCall({ bytes: 600, pieces: 2, elapsed_ms: 220 }, limits);
  calls.addResult("first", { bytes: 300, expires_ms: 4_220 });
  calls.addResult("second", { bytes: 300, expires_ms: 4_220 });
  assert.equal(calls.freeResultBytes(220, limits), 400);
  calls.removeResult("first");
  calls.removeResult("first");
  assert.equal(calls.freeResultBytes(220, limits), 700);
  assert.equal(calls.freeResultBytes(4_220, limits), 1_000);
});

test("results that were read are given up only while memory is short", () => {
  const calls = endpointCalls();
  calls.addResult("read", { bytes: 400, expires_ms: 4_000 });
  calls.markEvictable("read");
  assert.deepEqual(calls.evict(0, limits), []);
  calls.addResult("unread", { bytes: 200, expires_ms: 4_000 });
  assert.deepEqual(calls.evict(0, limits), ["read"]);
  assert.equal(calls.freeResultBytes(0, limits), 800);
});

test("an endpoint that fails rests, longer each time, and comes back", () => {
  const calls = endpointCalls();
  const rests_ms = [1, 2, 3, 4, 5, 6].map(() => {
    calls.startCall({ bytes: 0, pieces: 1, now_ms: 0 }, limits);
    return calls.failCall({ bytes: 0, pieces: 1, elapsed_ms: 0 }, {
      limits,
      now_ms: 0,
    });
  });
  assert.deepEqual(rests_ms, [300, 600, 1_200, 2_400, 4_000, 4_000]);
  assert.equal(calls.hasFreeSlot(3_999, limits), false);
  assert.equal(calls.hasFreeSlot(4_000, limits), true);
});

test("slowness is learned from calls and stretches the patience", () => {
  const calls = endpointCalls();
  const before_ms = calls.callTimeoutMs(10, limits);
  for (let n = 0; n < 10; n++) {
    calls.startCall({ bytes: 0, pieces: 10, now_ms: 0 }, limits);
    calls.completeCall({ bytes: 0, pieces: 10, elapsed_ms: 1_500 }, limits);
  }
  assert.ok(calls.slowness > 4);
  assert.ok(calls.callTimeoutMs(10, limits) > 2 * before_ms);
});

test("a call that was given up counts as slow, so that the next gets longer", () => {
  const calls = endpointCalls();
  const first_ms = calls.callTimeoutMs(10, limits);
  calls.startCall({ bytes: 0, pieces: 10, now_ms: 0 }, limits);
  calls.failCall({ bytes: 0, pieces: 10, elapsed_ms: first_ms }, {
    limits,
    now_ms: first_ms,
  });
  assert.ok(calls.callTimeoutMs(10, limits) > 1.8 * first_ms);
});

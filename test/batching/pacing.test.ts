import assert from "node:assert/strict";
import { test } from "node:test";
import { EndpointTracker } from "../../src/batching/endpoint_tracker.ts";
import { FreePacer, intervalMs } from "../../src/batching/pacing.ts";
import {
  type NamedRateLimit,
  RateLimitKind,
} from "../../src/endpoint_reports/endpoint_report.ts";
import { RouteEndpointState } from "../../src/routes/types.ts";

const LIMITS = {
  concurrent_calls: 4,
  pieces_per_call: 10,
  call_ms: 10,
  piece_ms: 1,
  room_bytes: 1_000,
  retention_ms: 1_000,
  link_bytes_per_ms: 1,
};
const NONE: NamedRateLimit = { kind: RateLimitKind.None };
const UNREADABLE: NamedRateLimit = { kind: RateLimitKind.Unreadable };
const FOUR: NamedRateLimit = { kind: RateLimitKind.Limited, per_s: 4 };
const ADDRESS = "10.1.0.1:1";

test("calls to an endpoint that names a rate are spaced until it names none", () => {
  const tracker = new EndpointTracker({
    id: "e",
    pool: "p",
    address: ADDRESS,
    availability_zone: "az-1",
    slots: 1,
    state: RouteEndpointState.Ready,
    born_ms: 1,
  });
  const start = (now_ms: number) =>
    tracker.startCall({ bytes: 0, pieces: 1, now_ms }, LIMITS);
  start(0);
  assert.equal(tracker.canStartCall(0, LIMITS), true);
  tracker.recordRateLimit(FOUR);
  assert.equal(tracker.canStartCall(300, LIMITS), false);
  assert.equal(Math.round(tracker.availableInMs(300, LIMITS)), 33);
  assert.equal(tracker.canStartCall(334, LIMITS), true);
  start(334);
  tracker.recordRateLimit(UNREADABLE);
  assert.equal(tracker.canStartCall(400, LIMITS), false);
  tracker.recordRateLimit(NONE);
  assert.equal(tracker.canStartCall(400, LIMITS), true);
});

test("calls and the requests that free their results share the rate", () => {
  let now_ms = 0;
  const pacer = new FreePacer(() => now_ms);
  assert.equal(pacer.take(ADDRESS), 0);
  pacer.observe(ADDRESS, FOUR);
  assert.equal(pacer.take(ADDRESS), 0);
  assert.equal(pacer.take(ADDRESS), 1_000);
  now_ms = 500;
  assert.equal(pacer.take(ADDRESS), 1_500);
  pacer.observe(ADDRESS, NONE);
  assert.equal(pacer.take(ADDRESS), 0);
});

test("a rate of zero leaves a request now and then", () => {
  const zero: NamedRateLimit = { kind: RateLimitKind.Limited, per_s: 0 };
  assert.equal(intervalMs(zero, { share: 1, current_ms: 0 }), 10_000);
});

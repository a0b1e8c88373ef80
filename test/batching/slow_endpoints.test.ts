/** The load of a pool some of whose endpoints are slow. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { loadOf } from "../../src/batching/admit_job.ts";
import { EndpointTracker } from "../../src/batching/endpoint_tracker.ts";
import { serviceRate } from "../../src/batching/expected_wait.ts";
import { createPoolQueue } from "../../src/batching/pool_queue.ts";
import {
  type BatchLimits,
  RouteEndpointState,
} from "../../src/routes/types.ts";

const LIMITS: BatchLimits = {
  concurrent_calls: 1,
  pieces_per_call: 50,
  call_ms: 200,
  piece_ms: 4,
  room_bytes: 5_000_000,
  retention_ms: 4_000,
  link_bytes_per_ms: 1_250_000,
};

function rateOf(slownesses: number[]): number {
  const ready = slownesses.map((slowness, number) => {
    const tracker = new EndpointTracker({
      id: `seal-${number}`,
      pool: "seal",
      address: `10.0.0.${number + 1}:80`,
      availability_zone: "a",
      slots: 1,
      state: RouteEndpointState.Ready,
      born_ms: 1,
    });
    tracker.slowness = slowness;
    return tracker;
  });
  const queue = createPoolQueue({ pool: "seal", shard: undefined }, 0);
  return serviceRate(loadOf(queue, { ready, now_ms: 0 }), LIMITS);
}

test("a slow endpoint takes nothing off the rate of the others", () => {
  assert.ok(rateOf([1, 1, 5]) > rateOf([1, 1]));
});

test("a pool of slow endpoints is as much slower as they are", () => {
  assert.equal(rateOf([2, 2]), rateOf([1, 1]) / 2);
});

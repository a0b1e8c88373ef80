/** The issuer's view of endpoints that begin to fail. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { PoolTraffic } from "../../src/endpoint_places/pool_traffic.ts";
import { RecoveryWatch } from "../../src/endpoint_places/recovery_watch.ts";

const ENDPOINT = "e/1/10.1.0.1:1";

/** Records single troubles at intervals; returns how many it took. */
function troublesUntilFound(
  { interval_ms, expected_per_s }: {
    interval_ms: number;
    expected_per_s: number;
  },
): number {
  const watch = new RecoveryWatch();
  for (let count = 1; count <= 100; count++) {
    const trouble = { count: 1, expected_per_s };
    if (watch.record(ENDPOINT, trouble, count * interval_ms)) return count;
  }
  return Infinity;
}

test("three troubles in two seconds are found where few requests are sent", () => {
  const rare = { interval_ms: 600, expected_per_s: 1.8 };
  assert.equal(troublesUntilFound(rare), 3);
});

test("troubles that are far apart are not found", () => {
  const single = { interval_ms: 1_500, expected_per_s: 1.8 };
  assert.equal(troublesUntilFound(single), Infinity);
});

test("an endpoint that fails one of twenty requests is not found", () => {
  const someOfMany = { interval_ms: 100, expected_per_s: 200 };
  assert.equal(troublesUntilFound(someOfMany), Infinity);
});

test("an endpoint that fails all of many requests is found within 0.2 s", () => {
  const all = { interval_ms: 5, expected_per_s: 200 };
  assert.ok(troublesUntilFound(all) * all.interval_ms <= 200);
});

test("the same endpoint is not found again at once", () => {
  const watch = new RecoveryWatch();
  const troubles = { count: 3, expected_per_s: 1 };
  assert.ok(watch.record(ENDPOINT, troubles, 1_000));
  assert.ok(!watch.record(ENDPOINT, troubles, 2_000));
  assert.ok(!watch.record(ENDPOINT, { ...troubles, count: 2 }, 5_900));
  assert.ok(watch.record(ENDPOINT, troubles, 6_100));
});

test("the rate of a pool is right soon after its first request", () => {
  const traffic = new PoolTraffic();
  for (let ms = 0; ms <= 1_000; ms += 10) traffic.record("desks", ms);
  const per_s = traffic.perS("desks", 1_000);
  assert.ok(Math.abs(per_s - 100) < 10, `${per_s}`);
  assert.equal(traffic.perS("other", 1_000), 0);
});

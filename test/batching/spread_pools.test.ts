/** Which hosts batch for which pools. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { spreadPools } from "../../src/batching/spread_pools.ts";

const HOSTS = Array.from({ length: 4 }, (_, n) => `10.0.0.${n}:1`);

function batchersOf(pools: string[], hosts = HOSTS): string[] {
  const assigned = spreadPools(pools, hosts);
  return pools.map((pool) => assigned.get(pool)?.[0] ?? "");
}

test("no host batches for two pools while another batches for none", () => {
  for (let fleet = 0; fleet < 100; fleet++) {
    const pools = [0, 1, 2].map((n) => `pool-${fleet}-${n}`);
    assert.equal(new Set(batchersOf(pools)).size, 3);
  }
});

test("more pools than hosts are shared out evenly", () => {
  const pools = Array.from({ length: 9 }, (_, n) => `pool-${n}`);
  const counts = Map.groupBy(batchersOf(pools), (host) => host);
  assert.deepEqual(
    [...counts.values()].map(({ length }) => length).sort(),
    [2, 2, 2, 3],
  );
});

test("hosts that list pools and hosts in another order assign them alike", () => {
  const pools = ["a", "b", "c"];
  assert.deepEqual(
    spreadPools([...pools].reverse(), [...HOSTS].reverse()),
    spreadPools(pools, HOSTS),
  );
});

test("each host is listed once for a pool, as a substitute for its batcher", () => {
  for (const hosts of spreadPools(["a", "b", "c"], HOSTS).values()) {
    assert.deepEqual([...hosts].sort(), HOSTS);
  }
});

test("pools without hosts have no batcher", () => {
  assert.equal(spreadPools(["a"], []).size, 0);
});

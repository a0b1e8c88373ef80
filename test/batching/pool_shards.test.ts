/** Sharding of pools, and the choice of a shard for a job. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  chooseShard,
  endpointsOfShard,
  listShards,
} from "../../src/batching/pool_shards.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";

function endpoints(zones: string, state = RouteEndpointState.Ready) {
  return [...zones].map((availability_zone, n) =>
    ({ id: `${n}`, availability_zone, state }) as RouteEndpoint
  );
}

test("a pool with too few endpoints per zone is not sharded", () => {
  assert.deepEqual(listShards(endpoints("abcd")), []);
  assert.deepEqual(listShards(endpoints("abcda")), []);
  assert.deepEqual(listShards(endpoints("abcdabcdabcda")), []);
  assert.deepEqual(listShards(endpoints("a".repeat(60))), []);
});

test("a pool with enough endpoints per zone is sharded by zone", () => {
  assert.deepEqual(listShards(endpoints("dcba".repeat(6))), [
    "a",
    "b",
    "c",
    "d",
  ]);
});

test("a shard without a ready endpoint uses the whole pool", () => {
  const all = [
    ...endpoints("aab"),
    ...endpoints("cc", RouteEndpointState.Leaving),
  ];
  assert.equal(endpointsOfShard(all, "a").length, 2);
  assert.equal(endpointsOfShard(all, "c").length, 5);
  assert.equal(endpointsOfShard(all, "z").length, 5);
  assert.equal(endpointsOfShard(all, undefined).length, 5);
});

test("a job goes to the preferred shard unless another's wait is much shorter", () => {
  const waits_ms: Record<string, number> = { a: 190, b: 0, c: 50 };
  const choose = (preferred: string | undefined) =>
    chooseShard(["a", "b", "c"], {
      preferred,
      waitMs: (shard) => waits_ms[shard] ?? 0,
    });
  assert.equal(choose("a"), "a");
  waits_ms.a = 210;
  assert.equal(choose("a"), "b");
  assert.equal(choose("z"), "b");
  assert.equal(chooseShard([], { preferred: "a", waitMs: () => 0 }), undefined);
});

/** The bound on the requests in flight at an endpoint that bears few rejections. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { PlaceBound } from "../../src/endpoint_places/place_bound.ts";

const CAPACITY = { slots: 8, max_rejections_per_s: 4 };
const WARM_MS = 1_000;

test("a new bound is half the slots, until hosts have told what is in flight", () => {
  const bound = new PlaceBound(0);
  assert.equal(bound.places(CAPACITY, 0), 4);
  assert.equal(bound.places(CAPACITY, WARM_MS), 8);
});

test("no more wait at the endpoint than half of the rejections that it bears", () => {
  const mayWait = (max_rejections_per_s: number) => {
    const bound = new PlaceBound(0);
    const capacity = { slots: 100, max_rejections_per_s };
    bound.places(capacity, 0);
    return bound.places(capacity, 60_000) - capacity.slots;
  };
  assert.deepEqual([0, 1, 4, 20, 1_000].map(mayWait), [0, 0, 2, 10, 25]);
});

test("a rejection of one that waits brings the bound back to the slots, for a while", () => {
  const bound = new PlaceBound(0);
  bound.places(CAPACITY, 0);
  assert.equal(bound.places(CAPACITY, 20_000), 10);
  bound.recordRejection(10, { slots: 8, now_ms: 20_000 });
  assert.equal(bound.places(CAPACITY, 20_001), 8);
  assert.equal(bound.places(CAPACITY, 40_000), 9);
  assert.equal(bound.places(CAPACITY, 49_000), 9);
  assert.equal(bound.places(CAPACITY, 60_000), 10);
});

test("a rejection within the slots lowers the bound, which grows again slowly", () => {
  const bound = new PlaceBound(0);
  bound.places(CAPACITY, 0);
  assert.equal(bound.places(CAPACITY, WARM_MS), 8);
  bound.recordRejection(5, { slots: 8, now_ms: WARM_MS });
  assert.equal(bound.places(CAPACITY, WARM_MS), 4);
  assert.equal(bound.places(CAPACITY, 10_000), 4);
  assert.equal(bound.places(CAPACITY, 40_000), 10);
});

test("an endpoint that has rejected half of what it bears gets nothing for a second", () => {
  const bound = new PlaceBound(0);
  bound.places(CAPACITY, 0);
  bound.recordRejection(8, { slots: 8, now_ms: WARM_MS });
  assert.ok(bound.places(CAPACITY, WARM_MS) > 0);
  bound.recordRejection(6, { slots: 8, now_ms: WARM_MS + 100 });
  assert.equal(bound.places(CAPACITY, WARM_MS + 999), 0);
  assert.ok(bound.places(CAPACITY, WARM_MS + 1_101) > 0);
});

test("one that bears no rejection gets nothing for a second after one", () => {
  const bound = new PlaceBound(0);
  const capacity = { slots: 8, max_rejections_per_s: 0 };
  bound.places(capacity, 0);
  bound.recordRejection(8, { slots: 8, now_ms: WARM_MS });
  assert.equal(bound.places(capacity, WARM_MS + 999), 0);
});

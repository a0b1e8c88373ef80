/** How long this host takes endpoints to be cold. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ColdEndpoints,
  ColdSource,
  MAX_COLD_MS,
} from "../../src/cold_endpoints/cold_endpoints.ts";
import type { RouteEndpoint } from "../../src/routes/types.ts";
import { createEndpoint } from "./cold_fleet.ts";

const LIMITS = { start_ms: 4_000, per_s: 19 };
const ENDPOINT = createEndpoint();

function create(limits: typeof LIMITS | undefined = LIMITS) {
  const spells: [string, ColdSource][] = [];
  const cold = new ColdEndpoints({
    limitsOf: () => limits,
    onCold: (endpoint, { source }) => spells.push([endpoint.id, source]),
  });
  return { cold, spells };
}

function entry(cold_remaining_ms: number | undefined): RouteEndpoint {
  return { ...ENDPOINT, cold_remaining_ms };
}

test("an endpoint is cold for the time that its entry names, from the entry's arrival", () => {
  const { cold, spells } = create();
  assert.equal(cold.limitPerS(ENDPOINT, 0), undefined);
  cold.observeEntry(entry(3_000), 1_000);
  assert.equal(cold.limitPerS(ENDPOINT, 1_000), 19);
  assert.equal(cold.remainingMs(ENDPOINT, 3_999), 1);
  assert.equal(cold.limitPerS(ENDPOINT, 4_000), undefined);
  assert.deepEqual(spells, [["e-1", ColdSource.Entry]]);
});

test("a later entry replaces an earlier one, longer or shorter", () => {
  const { cold } = create();
  cold.observeEntry(entry(3_000), 0);
  cold.observeEntry(entry(5_000), 1_200);
  assert.equal(cold.remainingMs(ENDPOINT, 1_200), 5_000);
  cold.observeEntry(entry(0), 2_400);
  assert.equal(cold.remainingMs(ENDPOINT, 2_400), 0);
});

test("an endpoint may turn cold again and again", () => {
  const { cold, spells } = create();
  for (let spell = 0; spell < 20; spell++) {
    const from_ms = spell * 10_000;
    cold.observeEntry(entry(2_000), from_ms);
    assert.equal(cold.limitPerS(ENDPOINT, from_ms + 1_999), 19);
    cold.observeEntry(entry(0), from_ms + 2_000);
    assert.equal(cold.limitPerS(ENDPOINT, from_ms + 2_000), undefined);
  }
  assert.equal(spells.length, 20);
});

test("if entry and answer contradict each other, the longer time counts", () => {
  const { cold } = create();
  cold.observeEntry(entry(0), 0);
  assert.equal(cold.observeAnswer(ENDPOINT, 4_000, 100), 4_000);
  // The entry was written before the endpoint turned cold.
  cold.observeEntry(entry(0), 200);
  assert.equal(cold.remainingMs(ENDPOINT, 200), 3_900);
  // An answer that was overtaken.
  assert.equal(cold.observeAnswer(ENDPOINT, 0, 300), 0);
  assert.equal(cold.remainingMs(ENDPOINT, 300), 3_800);
  cold.observeEntry(entry(6_000), 400);
  assert.equal(cold.observeAnswer(ENDPOINT, 1_000, 500), 0);
  assert.equal(cold.remainingMs(ENDPOINT, 500), 5_900);
});

test("an entry of a list never shortens the time, and counts once", () => {
  const { cold } = create();
  cold.observeEntry(entry(3_000), 0);
  cold.observeListed(entry(3_000), 2_000);
  assert.equal(cold.remainingMs(ENDPOINT, 2_000), 1_000);
  cold.observeListed(entry(0), 2_100);
  assert.equal(cold.remainingMs(ENDPOINT, 2_100), 900);
  cold.observeListed(entry(2_000), 2_200);
  assert.equal(cold.remainingMs(ENDPOINT, 2_200), 2_000);
});

test("a time beyond all measure counts as a minute", () => {
  const { cold } = create();
  cold.observeEntry(entry(1e300), 0);
  assert.equal(cold.remainingMs(ENDPOINT, 0), MAX_COLD_MS);
  cold.observeAnswer(ENDPOINT, 1e12, 0);
  assert.equal(cold.remainingMs(ENDPOINT, 0), MAX_COLD_MS);
});

test("an endpoint that starts and doesn't say is cold for the pool's time", () => {
  const { cold, spells } = create();
  cold.observeEntry(entry(undefined), 0);
  assert.equal(cold.remainingMs(ENDPOINT, 0), 4_000);
  assert.deepEqual(spells, [["e-1", ColdSource.Start]]);
  // Later entries are no start.
  cold.observeEntry(entry(undefined), 4_000);
  assert.equal(cold.remainingMs(ENDPOINT, 4_000), 0);
  const next = { ...entry(undefined), born_ms: 2 };
  cold.observeEntry(next, 5_000);
  assert.equal(cold.remainingMs(next, 5_000), 4_000);
});

test("the endpoints of a host's first list have not just started", () => {
  const { cold } = create();
  cold.observeListed(entry(undefined), 0);
  assert.equal(cold.remainingMs(ENDPOINT, 0), 0);
  cold.observeEntry(entry(undefined), 1_200);
  assert.equal(cold.remainingMs(ENDPOINT, 1_200), 0);
});

test("after an evacuation the zone's endpoints count as cold until an entry says more, for 3 s at most", () => {
  const { cold } = create();
  const other = { ...createEndpoint(2), availability_zone: "az-2" };
  const silent = createEndpoint(3);
  cold.observeEntry(entry(0), 0);
  cold.observeEntry({ ...silent, cold_remaining_ms: 0 }, 0);
  cold.presume("az-1", 1_000);
  assert.equal(cold.limitPerS(ENDPOINT, 1_000), 19);
  assert.equal(cold.limitPerS(other, 1_000), undefined);
  cold.observeEntry(entry(0), 1_500);
  assert.equal(cold.limitPerS(ENDPOINT, 1_500), undefined);
  assert.equal(cold.remainingMs(silent, 1_500), 2_500);
  assert.equal(cold.remainingMs(silent, 4_000), 0);
  cold.presume("az-1", 9_000);
  cold.observeEntry(entry(6_000), 9_100);
  assert.equal(cold.remainingMs(ENDPOINT, 9_100), 6_000);
});

test("an entry without a time doesn't end what is presumed", () => {
  const { cold } = create();
  cold.observeListed(entry(undefined), 0);
  cold.presume("az-1", 1_000);
  cold.observeEntry(entry(undefined), 1_100);
  assert.equal(cold.remainingMs(ENDPOINT, 1_100), 2_900);
});

test("a pool that names no rate has no limit, and nothing is presumed", () => {
  for (const limits of [undefined, { start_ms: 4_000, per_s: 0 }]) {
    const { spells } = create();
    const cold = new ColdEndpoints({ limitsOf: () => limits });
    cold.observeEntry(entry(3_000), 0);
    cold.presume("az-1", 0);
    assert.equal(cold.limitPerS(ENDPOINT, 0), undefined);
    assert.equal(cold.hasLimit(ENDPOINT), false);
    assert.deepEqual(spells, []);
  }
});

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  EndpointPauses,
  MAX_PAUSE_MS,
} from "../../src/endpoint_reports/endpoint_pauses.ts";

test("a pause lasts its time, for its incarnation alone", () => {
  const pauses = new EndpointPauses();
  assert.equal(pauses.begin("e/1/a", 2_000, 100), 2_000);
  assert.equal(pauses.remainingMs("e/1/a", 100), 2_000);
  assert.equal(pauses.remainingMs("e/1/a", 2_099), 1);
  assert.equal(pauses.remainingMs("e/1/a", 2_100), 0);
  assert.equal(pauses.remainingMs("e/2/a", 100), 0);
});

test("a later answer lengthens a pause and never shortens it", () => {
  const pauses = new EndpointPauses();
  pauses.begin("e", 2_000, 0);
  assert.equal(pauses.begin("e", 100, 500), undefined);
  assert.equal(pauses.remainingMs("e", 500), 1_500);
  assert.equal(pauses.begin("e", 3_000, 500), undefined);
  assert.equal(pauses.remainingMs("e", 500), 3_000);
  assert.equal(pauses.begin("e", 100, 4_000), 100);
});

test("no pause lasts longer than the bound, whatever is named", () => {
  fc.assert(fc.property(
    fc.array(fc.double({ min: 0, noNaN: true }), { minLength: 1 }),
    (named_ms) => {
      const pauses = new EndpointPauses();
      for (const each of named_ms) pauses.begin("e", each, 0);
      assert.ok(pauses.remainingMs("e", 0) <= MAX_PAUSE_MS);
      assert.equal(pauses.remainingMs("e", MAX_PAUSE_MS), 0);
    },
  ));
});

import assert from "node:assert/strict";
import { test } from "node:test";
import { SuspectedTraits } from "../../src/quarantine/suspected_traits.ts";

const MINUTE_MS = 60_000;

test("a request with a suspected trait avoids where it crashed, until it is answered", () => {
  const suspected = new SuspectedTraits();
  suspected.record("x", ["e1"], 0);
  suspected.record("y", ["e2"], 0);
  const avoided = () => [...suspected.addressesToAvoid(["x", "y", "z"], 1)];
  assert.deepEqual(avoided(), ["e1", "e2"]);
  suspected.clear(["x"]);
  assert.deepEqual(avoided(), ["e2"]);
});

test("a suspicion ends with time", () => {
  const suspected = new SuspectedTraits();
  suspected.record("x", ["e1"], 0);
  assert.equal(suspected.addressesToAvoid(["x"], 9 * MINUTE_MS).size, 1);
  assert.equal(suspected.addressesToAvoid(["x"], 10 * MINUTE_MS).size, 0);
});

test("endless new traits take bounded memory", () => {
  const suspected = new SuspectedTraits();
  suspected.record("first", ["e1"], 0);
  for (let n = 0; n < 2_000; n++) suspected.record(`p${n}`, ["e1"], 0);
  assert.equal(suspected.addressesToAvoid(["first"], 0).size, 0);
});

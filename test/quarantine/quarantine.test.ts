import assert from "node:assert/strict";
import { test } from "node:test";
import { AnsweredParts } from "../../src/quarantine/answered_parts.ts";
import { Quarantine } from "../../src/quarantine/quarantine.ts";
import { sharedParts } from "../../src/quarantine/request_traits.ts";
import { quarantineName } from "../../src/quarantine/types.ts";

const MINUTE_MS = 60_000;

test("a request falls under an entry if it has all of its parts", () => {
  const quarantine = new Quarantine();
  quarantine.put({ parts: ["x", "y"], probes: 0 }, 0);
  assert.equal(quarantine.find(["x", "z"]), undefined);
  assert.deepEqual(quarantine.find(["y", "z", "x"])?.parts, ["x", "y"]);
  assert.equal(quarantine.find([]), undefined);
});

test("the last part of a prompt is the request's own", () => {
  const prompt = ["a", "b", "a", "own"].map((id) => ({ id, tokens: 1 }));
  assert.deepEqual(sharedParts(prompt), ["a", "b"]);
  assert.deepEqual(sharedParts(prompt.slice(3)), []);
});

test("an entry that the store no longer has ends, one that it never had stays", () => {
  const quarantine = new Quarantine();
  const stored = { parts: ["x"], probes: 0 };
  quarantine.replaceStored([stored], 0);
  quarantine.put({ parts: ["y"], probes: 0 }, 0);
  assert.deepEqual(quarantine.unstored(), [{ parts: ["y"], probes: 0 }]);
  quarantine.replaceStored([], 0);
  assert.equal(quarantine.find(["x"]), undefined);
  assert.notEqual(quarantine.find(["y"]), undefined);
});

test("an entry that a restoration lost stays, and is to be written again", () => {
  const quarantine = new Quarantine();
  const lost = { parts: ["x"], probes: 0 };
  quarantine.replaceStored([lost], 0);
  quarantine.markRestored();
  quarantine.replaceStored([], 10);
  assert.notEqual(quarantine.find(["x"]), undefined);
  assert.deepEqual(quarantine.unstored(), [lost]);
  quarantine.putStored(lost, 20);
  assert.deepEqual(quarantine.unstored(), []);
  quarantine.replaceStored([], 30);
  assert.equal(quarantine.find(["x"]), undefined);
});

test("an entry that has ended is not in force again when an older copy brings it back", () => {
  const quarantine = new Quarantine();
  const ended = { parts: ["x"], probes: 0 };
  const name = quarantineName(["x"]);
  quarantine.replaceStored([ended], 0);
  quarantine.remove(name, 5);
  quarantine.markRestored();
  for (const now_ms of [10, 20]) {
    quarantine.replaceStored([ended], now_ms);
    assert.equal(quarantine.find(["x"]), undefined);
    assert.deepEqual(quarantine.returned(), [name]);
  }
  quarantine.remove(name, 5);
  assert.deepEqual(quarantine.returned(), []);
  quarantine.put(ended, 30);
  assert.notEqual(quarantine.find(["x"]), undefined);
});

test("an entry that ended and was made again is not taken for one that returned", () => {
  const quarantine = new Quarantine();
  const entry = { parts: ["x"], probes: 0 };
  quarantine.replaceStored([entry], 0);
  quarantine.remove(quarantineName(["x"]), 3);
  quarantine.put(entry, 5);
  quarantine.markRestored();
  quarantine.replaceStored([entry], 10);
  assert.notEqual(quarantine.find(["x"]), undefined);
  assert.deepEqual(quarantine.returned(), []);
});

test("an entry that the store has with fewer probes is to be written again", () => {
  const quarantine = new Quarantine();
  quarantine.replaceStored([{ parts: ["x"], probes: 2 }], 0);
  quarantine.markRestored();
  quarantine.replaceStored([{ parts: ["x"], probes: 1 }], 10);
  assert.deepEqual(quarantine.unstored(), [{ parts: ["x"], probes: 2 }]);
});

test("a late write of an entry that has ended does not put it in force", () => {
  const quarantine = new Quarantine();
  const entry = { parts: ["x"], probes: 0 };
  quarantine.replaceStored([entry], 0);
  quarantine.remove(quarantineName(["x"]), 1_000);
  quarantine.putWritten(entry, 5_000);
  assert.equal(quarantine.find(["x"]), undefined);
  assert.deepEqual(quarantine.returned(), [quarantineName(["x"])]);
  quarantine.remove(quarantineName(["x"]), 6_000);
  assert.deepEqual(quarantine.returned(), []);
  quarantine.putWritten(entry, 6_000 + MINUTE_MS);
  assert.notEqual(quarantine.find(["x"]), undefined);
});

test("at most two probes are due, ever later", () => {
  const quarantine = new Quarantine();
  const due = (probes: number, now_ms: number) =>
    quarantine.isProbeDue({ parts: ["x"], probes }, now_ms);
  quarantine.put({ parts: ["x"], probes: 0 }, 0);
  assert.equal(due(0, 9 * MINUTE_MS), false);
  assert.equal(due(0, 10 * MINUTE_MS), true);
  quarantine.put({ parts: ["x"], probes: 1 }, 10 * MINUTE_MS);
  assert.equal(due(1, 69 * MINUTE_MS), false);
  assert.equal(due(1, 70 * MINUTE_MS), true);
  quarantine.put({ parts: ["x"], probes: 2 }, 70 * MINUTE_MS);
  assert.equal(due(2, 10_000 * MINUTE_MS), false);
});

test("endless entries take bounded memory, the oldest are dropped", () => {
  const quarantine = new Quarantine();
  for (let n = 0; n < 300; n++) {
    quarantine.put({ parts: [`p${n}`], probes: 0 }, n);
  }
  assert.equal(quarantine.all().length, 256);
  assert.equal(quarantine.find(["p0"]), undefined);
  assert.notEqual(quarantine.find(["p299"]), undefined);
});

test("a name does not depend on the order of the parts", () => {
  assert.equal(quarantineName(["x", "y"]), quarantineName(["y", "x"]));
  assert.notEqual(quarantineName(["x", "y"]), quarantineName(["x"]));
});

test("answered parts are remembered up to a bound", () => {
  const answered = new AnsweredParts();
  answered.record(["old"], 5);
  assert.equal(answered.hasAnswerSince("old", 5), true);
  assert.equal(answered.hasAnswerSince("old", 6), false);
  for (let n = 0; n < 9_000; n++) answered.record([`p${n}`], 10);
  assert.equal(answered.hasAnswerSince("old", 0), false);
  assert.equal(answered.hasAnswerSince("p8999", 10), true);
});

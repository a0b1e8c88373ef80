/** The evacuated zones and their shares, as decisions over time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  Evacuations,
  RESTORED_GRACE_MS,
} from "../../src/evacuations/evacuations.ts";

const LEAVE_MS = 1_000;

function create(): Evacuations {
  return new Evacuations({ leave_ms: LEAVE_MS });
}

test("a host that learns of an evacuation from a watch moves a growing share of its requests", () => {
  const zones = create();
  const changes = zones.applyChanges([{ zone: "a", deleted: false }], 100);
  assert.deepEqual(changes, [{ zone: "a", evacuated: true }]);
  assert.ok(zones.isEvacuated("a"));
  const shares = [100, 350, 600, 1_100, 9_000].map((at_ms) =>
    zones.share("a", at_ms)
  );
  assert.deepEqual(shares, [1, 0.75, 0.5, 0, 0]);
  assert.equal(zones.share("b", 600), 1);
});

test("a host that learns of an evacuation from a list or a peer moves all at once", () => {
  const zones = create();
  zones.replaceAll(["a"], 100);
  zones.addFromPeer(["b"], 100);
  assert.equal(zones.share("a", 100), 0);
  assert.equal(zones.share("b", 100), 0);
  assert.deepEqual(zones.all(), ["a", "b"]);
});

test("after an evacuation the share grows back over 2 s, and then nothing is kept", () => {
  const zones = create();
  zones.replaceAll(["a"], 0);
  assert.deepEqual(zones.applyChanges([{ zone: "a", deleted: true }], 1_000), [
    { zone: "a", evacuated: false },
  ]);
  const shares = [1_000, 2_000, 3_000].map((at_ms) => zones.share("a", at_ms));
  assert.deepEqual(shares, [0, 0.5, 1]);
  assert.equal(zones.isEvacuated("a"), false);
  zones.advance(2_999);
  assert.equal(zones.isEmpty, false);
  zones.advance(3_000);
  assert.ok(zones.isEmpty);
});

test("an evacuation that ends or begins while shares move goes on from the share of then", () => {
  const zones = create();
  zones.applyChanges([{ zone: "a", deleted: false }], 0);
  zones.applyChanges([{ zone: "a", deleted: true }], 500);
  assert.equal(zones.share("a", 500), 0.5);
  assert.equal(zones.share("a", 1_000), 0.75);
  zones.applyChanges([{ zone: "a", deleted: false }], 1_000);
  assert.equal(zones.share("a", 1_000), 0.75);
  assert.equal(zones.share("a", 1_750), 0);
});

test("of an evacuation that begins and ends in one delivery, the last state counts", () => {
  const zones = create();
  const begin = { zone: "a", deleted: false };
  const end = { zone: "a", deleted: true };
  assert.deepEqual(zones.applyChanges([begin, end], 0), []);
  assert.ok(zones.isEmpty);
  assert.deepEqual(zones.applyChanges([end, begin], 0), [
    { zone: "a", evacuated: true },
  ]);
  // It was cancelled and requested again: it has been in force throughout.
  assert.deepEqual(zones.applyChanges([end, begin], 700), []);
  assert.equal(zones.share("a", 1_000), 0);
});

test("two evacuated zones are handled each on its own", () => {
  const zones = create();
  zones.replaceAll(["a", "b"], 0);
  zones.applyChanges([{ zone: "a", deleted: true }], 0);
  assert.deepEqual(zones.all(), ["b"]);
  assert.equal(zones.share("a", 2_000), 1);
  assert.equal(zones.share("b", 2_000), 0);
});

test("an evacuation that a list lacks has ended", () => {
  const zones = create();
  zones.replaceAll(["a", "b"], 0);
  assert.deepEqual(zones.replaceAll(["b"], 10), [
    { zone: "a", evacuated: false },
  ]);
});

test("an evacuation that an older copy lacks stays in force for the grace period, and ends if it is not written again", () => {
  const zones = create();
  zones.replaceAll(["a", "b"], 0);
  zones.markRestored();
  assert.deepEqual(zones.replaceAll([], 100), []);
  assert.deepEqual(zones.kept(), ["a", "b"]);
  // Listed again within the period, for another reason.
  assert.deepEqual(zones.replaceAll([], 5_000), []);
  zones.applyChanges([{ zone: "a", deleted: false }], 6_000);
  assert.equal(zones.share("a", 6_000), 0);
  assert.deepEqual(zones.advance(100 + RESTORED_GRACE_MS - 1), []);
  assert.deepEqual(zones.advance(100 + RESTORED_GRACE_MS), [
    { zone: "b", evacuated: false },
  ]);
  assert.deepEqual(zones.all(), ["a"]);
});

test("an evacuation that an older copy brings back is in force at once", () => {
  const zones = create();
  zones.replaceAll(["a"], 0);
  zones.replaceAll([], 100);
  zones.markRestored();
  zones.replaceAll(["a"], 5_000);
  assert.equal(zones.share("a", 5_000), 0);
});

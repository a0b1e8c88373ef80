/** What a host knows of evacuations, from the store and from its peers. */
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import { EvacuationService } from "../../src/evacuations/evacuation_service.ts";
import { createLogger } from "../../src/logging/logger.ts";
import type { FeedPosition } from "../../src/store_sync/feed_position.ts";
import { at } from "../store_sync/at_position.ts";

const GRACE_MS = 10_000;
const STEP_MS = 100;

let now_ms: number;
let logLines: string[];
let ended: string[];
let doubts: number;
let changes: number;
let knownZones: string[] | undefined;
let service: EvacuationService;

beforeEach(() => {
  now_ms = 0;
  logLines = [];
  ended = [];
  doubts = 0;
  changes = 0;
  knownZones = ["a", "b"];
  service = new EvacuationService({
    in_force_ms: 5_000,
    onChange: () => changes += 1,
    onEnded: (zone) => ended.push(zone),
    onDoubt: () => doubts += 1,
    isKnownZone: (zone) => knownZones?.includes(zone),
    log: createLogger({
      level: "info",
      host: "h",
      writeLine: (line) => logLines.push(line),
    }),
    now: () => now_ms,
  });
});

/** Lets the time pass with a loop that runs. */
function pass(duration_ms: number): void {
  const end_ms = now_ms + duration_ms;
  while (now_ms < end_ms) {
    now_ms = Math.min(end_ms, now_ms + STEP_MS);
    service.step();
  }
}

function list(zones: string[], position: FeedPosition): void {
  const items = zones.map((zone) => ({ name: zone, value: { zone } }));
  service.applyList(items, position);
}

function change(zone: string, deleted: boolean, revision: number): void {
  const value = deleted ? undefined : { zone };
  service.applyChanges([{ name: zone, value, deleted }], at(revision, 1));
}

function report(zones: string[], { epoch, revision }: FeedPosition) {
  return { zones, fresh: true, revision, ...(epoch && { epoch }) };
}

function countLines(text: string): number {
  return logLines.filter((line) => line.includes(text)).length;
}

test("a host that starts serves nothing before a list of the store or of a peer", async () => {
  assert.equal(service.isConfirmed, false);
  let served = false;
  const waits = service.confirmed().then(() => served = true);
  await Promise.resolve();
  assert.equal(served, false);
  list(["a"], at(10, 1));
  await waits;
  assert.ok(service.isConfirmed);
  assert.deepEqual(service.zones.all(), ["a"]);
});

test("a host that starts while the store is unavailable takes the evacuations of a peer", () => {
  service.markSourceUnavailable();
  service.takeFromPeer("peer", report(["a"], at(10, 1)));
  assert.ok(service.isConfirmed);
  assert.equal(service.zones.share("a", now_ms), 0);
});

test("a peer that has just started as well, and knows nothing, confirms nothing", () => {
  // All hosts started at once, and the list of the store is still due.
  const ignorant = { zones: [], fresh: false, revision: 0 };
  service.takeFromPeer("ignorant", ignorant);
  assert.equal(service.isConfirmed, false);
  service.takeFromPeer("peer", { ...report(["a"], at(10, 1)), fresh: false });
  assert.ok(service.isConfirmed);
  assert.equal(service.zones.share("a", now_ms), 0);
});

test("a host whose peers don't answer, or are of an earlier release, serves from what it has", () => {
  service.markSourceUnavailable();
  const recorded = JSON.parse(
    '{"endpoints":[],"endpoints_fresh":true,"quarantined":[],"leaving":[]}',
  );
  service.takeFromPeer("peer", recorded.evacuations);
  assert.equal(service.isConfirmed, false);
  pass(2_500);
  assert.ok(service.isConfirmed);
  assert.equal(countLines("event=evacuations_unconfirmed"), 1);
});

test("a malformed report of a peer changes nothing", () => {
  list([], at(10, 1));
  for (const odd of [1, { zones: "a" }, { zones: [1], revision: 99 }, null]) {
    service.takeFromPeer("peer", odd);
  }
  assert.deepEqual(service.zones.all(), []);
  assert.equal(countLines("event=peer_message_rejected"), 4);
});

test("a host whose source is unavailable learns the begin and the end from peers that are ahead", () => {
  list([], at(10, 1));
  service.markSourceUnavailable();
  service.takeFromPeer("peer", report(["a"], at(20, 1)));
  assert.equal(service.zones.share("a", now_ms), 0);
  // Another peer has not heard of it yet.
  service.takeFromPeer("other", report([], at(15, 1)));
  assert.ok(service.zones.isEvacuated("a"));
  service.takeFromPeer("peer", report([], at(30, 1)));
  assert.deepEqual(ended, ["a"]);
  // A peer that is behind brings no evacuation back.
  service.takeFromPeer("other", report(["a"], at(20, 1)));
  assert.deepEqual(service.zones.all(), []);
});

test("after a pause of the loop, a host lists the evacuations before it sends", async () => {
  list([], at(10, 1));
  pass(1_000);
  now_ms += 2_500;
  assert.equal(service.isConfirmed, false);
  assert.equal(doubts, 1);
  assert.ok(service.mustAskStore);
  // A peer may have been frozen as well.
  service.markSourceAvailable();
  service.takeFromPeer("peer", { ...report([], at(10, 1)), fresh: false });
  assert.equal(service.isConfirmed, false);
  const waits = service.confirmed();
  list(["a"], at(20, 1));
  await waits;
  assert.equal(service.zones.share("a", now_ms), 0);
  assert.ok(service.isConfirmed);
  assert.equal(service.mustAskStore, false);
});

test("a loop that runs late, but not for long, stays confirmed", () => {
  list([], at(10, 1));
  for (let n = 0; n < 5; n++) {
    now_ms += 1_900;
    service.step();
  }
  assert.ok(service.isConfirmed);
  assert.equal(doubts, 0);
});

test("a second pause keeps those waiting who have waited since the first", async () => {
  list([], at(10, 1));
  pass(STEP_MS);
  now_ms += 2_500;
  let ends = 0;
  const first = service.confirmed().then(() => ends += 1);
  now_ms += 2_500;
  const second = service.confirmed().then(() => ends += 1);
  await Promise.resolve();
  assert.equal(ends, 0);
  list([], at(20, 1));
  await Promise.all([first, second]);
});

test("an evacuation that an older copy of the store lacks stays in force until it is written again", () => {
  list(["a"], at(100, 1));
  list([], at(40, 2));
  assert.ok(service.zones.isEvacuated("a"));
  assert.equal(countLines("event=evacuations_kept"), 1);
  pass(5_000);
  service.applyChanges(
    [{ name: "a", value: { zone: "a" }, deleted: false }],
    at(45, 2),
  );
  pass(GRACE_MS);
  assert.equal(service.zones.share("a", now_ms), 0);
});

test("an evacuation that an older copy lacks ends after the grace period", () => {
  list(["a"], at(100, 1));
  list([], at(40, 2));
  pass(GRACE_MS - STEP_MS);
  assert.ok(service.zones.isEvacuated("a"));
  pass(STEP_MS);
  assert.equal(service.zones.isEvacuated("a"), false);
  assert.deepEqual(ended, ["a"]);
});

test("an evacuation that a peer told of and an older copy lacks stays in force as well", () => {
  service.markSourceUnavailable();
  service.takeFromPeer("peer", report(["a"], at(100, 1)));
  list([], at(40, 2));
  assert.ok(service.zones.isEvacuated("a"));
});

test("an evacuation that an older copy brings back is in force", () => {
  list(["a"], at(100, 1));
  change("a", true, 110);
  list(["a"], at(40, 2));
  assert.equal(service.zones.share("a", now_ms), 0);
});

test("what begins and ends in one delivery has no effect and ends nothing", () => {
  list([], at(10, 1));
  service.applyChanges([
    { name: "a", value: { zone: "a" }, deleted: false },
    { name: "a", value: undefined, deleted: true },
  ], at(12, 1));
  assert.deepEqual([service.zones.all(), ended, changes], [[], [], 0]);
});

test("a zone that no endpoint names gives one warning, once endpoints are known", () => {
  knownZones = undefined;
  list(["nowhere", "a"], at(10, 1));
  assert.equal(countLines("event=evacuation_ignored"), 0);
  knownZones = ["a"];
  service.endpointsChanged();
  service.endpointsChanged();
  list(["nowhere", "a"], at(11, 1));
  assert.equal(countLines("event=evacuation_ignored name=nowhere"), 1);
  assert.equal(countLines("event=evacuation_ignored"), 1);
});

test("a name that can't be a zone gives one warning and is left out", () => {
  for (const revision of [10, 11]) {
    service.applyList(
      [{ name: "", value: undefined }, { name: "b", value: { zone: "b" } }],
      at(revision, 1),
    );
  }
  assert.deepEqual(service.zones.all(), ["b"]);
  assert.equal(countLines("event=evacuation_ignored"), 1);
});

test("while shares move, the other components are told again until they rest", () => {
  list([], at(10, 1));
  change("a", false, 12);
  pass(1_000);
  assert.equal(service.zones.share("a", now_ms), 0);
  const moved = changes;
  assert.ok(moved >= 10, `${moved}`);
  assert.equal(countLines("event=evacuations_in_force zones=a"), 1);
  pass(1_000);
  assert.equal(changes, moved);
});

test("what a host reports to its peers is what they take over", () => {
  list(["a", "b"], at(10, 1));
  assert.deepEqual(service.report(), {
    zones: ["a", "b"],
    fresh: true,
    revision: 10,
    epoch: 1,
  });
});

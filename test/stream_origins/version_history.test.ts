/** Which software versions were in service, and since when that is known. */
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import { sampleEndpoint } from "./sample_endpoint.ts";
import { VersionHistory } from "../../src/stream_origins/version_history.ts";

let history: VersionHistory;
beforeEach(() => history = new VersionHistory());

function observe(versions: (string | undefined)[], now_ms: number): void {
  history.observe(versions.map((each) => sampleEndpoint(each)), now_ms);
}

test("a version that has left was in service until then", () => {
  observe(["v1"], 0);
  observe(["v1", "v2"], 1_000);
  observe(["v2"], 5_000);
  assert.deepEqual(history.versionsSince("model", 4_000), ["v1", "v2"]);
  assert.deepEqual(history.versionsSince("model", 5_001), ["v2"]);
  assert.deepEqual(history.versionsSince("other", 0), []);
});

test("endpoints that name no version count as one of their own", () => {
  observe([undefined, "v1"], 0);
  assert.equal(history.versionsSince("model", 0).length, 2);
});

test("what was in service before the first list is not known", () => {
  assert.equal(history.isKnownSince(0, "model"), false);
  observe(["v1"], 1_000);
  assert.equal(history.isKnownSince(1_000, "model"), true);
  assert.equal(history.isKnownSince(999, "model"), false);
});

test("a host that has just started learns from another what was in service", () => {
  const other = new VersionHistory();
  other.observe([sampleEndpoint("v1")], 0);
  other.observe([sampleEndpoint("v2")], 60_000);
  observe(["v2"], 1_000);
  history.merge({ ...other.report(62_000), is_current: true }, 1_500);
  assert.equal(history.isKnownSince(-60_500, "model"), true);
  assert.equal(history.isKnownSince(-60_501, "model"), false);
  assert.deepEqual(history.versionsSince("model", -1_000).sort(), ["v1", "v2"]);
  assert.deepEqual(history.versionsSince("model", 0), ["v2"]);
});

test("how long a host that may be behind has known the endpoints doesn't count", () => {
  const other = new VersionHistory();
  other.observe([sampleEndpoint("v1")], 0);
  observe(["v2"], 1_000);
  history.merge({ ...other.report(60_000), is_current: false }, 1_500);
  assert.equal(history.isKnownSince(999, "model"), false);
  assert.deepEqual(history.versionsSince("model", 0).sort(), ["v1", "v2"]);
});

test("the store bridges the time before a span only if it was read since", () => {
  observe(["v1"], 1_000);
  const stored = [{ pool: "model", versions: ["v1"] }];
  history.mergeStored(stored, { asked_ms: 2_000, now_ms: 2_100 });
  assert.equal(history.isKnownSince(500, "model", 2_000), true);
  assert.equal(history.isKnownSince(500, "model", 2_001), false);
  history.mergeStored(stored, { asked_ms: 3_000, now_ms: 3_100 });
  assert.equal(history.isKnownSince(500, "model", 2_001), true);
});

test("a host without a list of its own doesn't conclude from those of others", () => {
  const other = new VersionHistory();
  other.observe([sampleEndpoint("v1")], 0);
  history.merge({ ...other.report(60_000), is_current: true }, 1_000);
  assert.equal(history.isKnownSince(500, "model"), false);
});

test("a report of a host without a list tells of no time", () => {
  assert.deepEqual(history.report(1_000), { known_for_ms: 0, versions: [] });
});

test("versions that left long ago are forgotten", () => {
  observe(["v1"], 0);
  observe(["v2"], 1_000);
  observe(["v2"], 700_000);
  assert.deepEqual(history.versionsSince("model", -Infinity), ["v2"]);
});

/** How long the callers of a route wait. */
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import { LongestDeadlines } from "../../src/stream_origins/longest_deadlines.ts";

let deadlines: LongestDeadlines;

beforeEach(() => {
  deadlines = new LongestDeadlines();
  deadlines.record("draft", 6_000, 0);
});

test("the longest deadline of a route counts, not the last one", () => {
  deadlines.record("draft", 2_000, 1_000);
  assert.equal(deadlines.longest("draft", 1_000), 6_000);
  assert.equal(deadlines.longest("review", 1_000), 0);
});

test("a long deadline is forgotten when none like it comes any more", () => {
  deadlines.record("draft", 2_000, 61_000);
  assert.equal(deadlines.longest("draft", 61_000), 2_000);
});

test("one odd caller doesn't make all streams of a route look days old", () => {
  deadlines.record("draft", 999_999_999, 1_000);
  assert.equal(deadlines.longest("draft", 1_000), 120_000);
});

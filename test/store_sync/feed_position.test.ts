/** Order of positions, and what hosts tell each other of them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  comparePositions,
  decodePosition,
  newerPosition,
} from "../../src/store_sync/feed_position.ts";
import {
  createChangeRevisions,
  peerPosition,
} from "../../src/store_sync/state_snapshot.ts";
import { FeedProgress } from "../../src/store_sync/feed_progress.ts";
import { at } from "./at_position.ts";

test("a lower revision of a higher epoch is newer", () => {
  assert.ok(comparePositions(at(10, 2), at(300, 1)) > 0);
  assert.ok(comparePositions(at(10, 2), at(11, 2)) < 0);
  assert.deepEqual(newerPosition(at(10, 2), at(300, 1)), at(10, 2));
});

test("positions of an unknown epoch are ordered by revision", () => {
  assert.ok(comparePositions(at(10), at(300, 1)) < 0);
  assert.ok(comparePositions(at(10, 2), at(300)) < 0);
  assert.deepEqual(newerPosition(at(10, 2), at(300)), at(300, 2));
});

test("an epoch that is not a whole number is unknown, a revision must be one", () => {
  assert.deepEqual(decodePosition(3, 7), at(7, 3));
  for (const epoch of [undefined, null, "3", -1, 0.5, NaN, 1e308, {}]) {
    assert.deepEqual(decodePosition(epoch, 7), at(7));
  }
  for (const revision of [undefined, null, "7", -1, 0.5, NaN, 1e308, {}]) {
    assert.equal(decodePosition(3, revision), undefined);
  }
});

test("a peer of the older epoch does not end watches by its higher revision", () => {
  const progress = new FeedProgress();
  progress.record(at(10, 2), true);
  assert.equal(progress.abortStaleWatch(at(300, 1)), false);
  assert.equal(progress.abortStaleWatch(at(10, 2)), false);
  assert.equal(progress.abortStaleWatch(at(11, 2)), true);
  const behind = new FeedProgress();
  behind.record(at(300, 1), true);
  assert.equal(behind.abortStaleWatch(at(10, 2)), true);
});

test("what a host tells after a restoration is of the new epoch", () => {
  const progress = {
    configuration: new FeedProgress(),
    endpoints: new FeedProgress(),
    quarantined: new FeedProgress(),
  };
  progress.endpoints.record(at(300, 1), true);
  progress.endpoints.record(at(10, 2), true);
  progress.configuration.record(at(12, 2), true);
  const told = JSON.parse(JSON.stringify(createChangeRevisions(progress, 3)));
  assert.deepEqual(peerPosition(told, "endpoints"), at(10, 2));
  assert.deepEqual(peerPosition(told, "configuration"), at(12, 2));
  assert.deepEqual(peerPosition(told, "quarantined"), at(0));
  assert.equal(told.configuration_version, 3);
});

test("what a host of an earlier release tells is of an unknown epoch", () => {
  const told = { configuration: 5, endpoints: 7 };
  assert.deepEqual(peerPosition(told, "endpoints"), at(7));
  assert.equal(peerPosition(told, "quarantined"), undefined);
});

test("what a peer tells ends a watch once, as the list that follows decides", () => {
  const progress = new FeedProgress();
  progress.record(at(10, 2), true);
  assert.equal(progress.abortStaleWatch(at(300)), true);
  progress.record(at(12, 2), true);
  assert.equal(progress.abortStaleWatch(at(300)), false);
  assert.equal(progress.abortStaleWatch(at(299)), false);
  assert.equal(progress.abortStaleWatch(at(13, 2)), true);
});

test("a watch that is given up while changes are coalesced does not begin", () => {
  const progress = new FeedProgress();
  const { signal } = new AbortController();
  progress.listSignal(signal);
  progress.record(at(10, 1), true);
  progress.abortStaleWatch(at(0, 2));
  assert.equal(progress.watchSignal(signal).aborted, true);
  assert.equal(progress.listSignal(signal).aborted, false);
});

/** Whether the source says that a host's list of endpoints is current. */
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import type { RouteEndpoint } from "../../src/routes/types.ts";
import {
  type FeedResult,
  FeedResultKind,
} from "../../src/store_sync/object_feed.ts";
import { createConfirmSource } from "../../src/stream_origins/confirm_source.ts";
import { sampleEndpoint } from "./sample_endpoint.ts";

let result: FeedResult<RouteEndpoint>;
let isReading: boolean;
/** Endpoints that this host knows of. */
let known: string[];
/** How often a change was told of an endpoint that this host has missed. */
let missed: number;

beforeEach(() => {
  result = { kind: FeedResultKind.Changed, changes: [], epoch: 1, revision: 9 };
  isReading = true;
  known = ["a", "b", "c"];
  missed = 0;
});

function confirm(): Promise<RouteEndpoint[] | undefined> {
  return createConfirmSource({
    source: {
      list: () => Promise.reject(new Error("not listed")),
      watch: () => Promise.resolve(result),
    },
    position: () => ({ epoch: 1, revision: 5 }),
    isReading: () => isReading,
    isKnown: (name) => known.includes(name),
    onMissed: () => missed += 1,
    now: () => performance.now(),
  })();
}

test("a source without changes confirms the list", async () => {
  assert.deepEqual(await confirm(), []);
});

test("endpoints that have changed are told, also those that have left", async () => {
  const value = sampleEndpoint("v2");
  const left = sampleEndpoint("v3");
  const changes = [
    { name: "a", value, deleted: false },
    { name: "b", value: left, deleted: true },
    { name: "c", value: undefined, deleted: true },
  ];
  result = { kind: FeedResultKind.Changed, changes, epoch: 1, revision: 9 };
  assert.deepEqual(await confirm(), [value, left]);
  assert.equal(missed, 0);
});

test("the deletion of an endpoint that this host has missed is told", async () => {
  known = ["a"];
  const value = sampleEndpoint("v2");
  const gone = { name: "b", value: undefined, deleted: true };
  const joined = { name: "b", value, deleted: false };
  result = {
    kind: FeedResultKind.Changed,
    changes: [joined, gone],
    epoch: 1,
    revision: 9,
  };
  assert.deepEqual(await confirm(), [value]);
  assert.equal(missed, 0);
  result = { ...result, changes: [gone] };
  assert.deepEqual(await confirm(), []);
  assert.equal(missed, 1);
});

const NOT_CONFIRMED: [string, FeedResult<RouteEndpoint>][] = [
  ["doesn't answer", { kind: FeedResultKind.Unavailable, reason: "timeout" }],
  ["has dropped its history", { kind: FeedResultKind.RevisionTooOld }],
  [
    "has gone back",
    { kind: FeedResultKind.Changed, changes: [], epoch: 2, revision: 9 },
  ],
];
for (const [what, answer] of NOT_CONFIRMED) {
  test(`a source that ${what} confirms nothing`, async () => {
    result = answer;
    assert.equal(await confirm(), undefined);
  });
}

test("a host that doesn't read the source confirms nothing", async () => {
  isReading = false;
  assert.equal(await confirm(), undefined);
});

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

beforeEach(() => {
  result = { kind: FeedResultKind.Changed, changes: [], epoch: 1, revision: 9 };
  isReading = true;
});

function confirm(): Promise<RouteEndpoint[] | undefined> {
  return createConfirmSource({
    source: {
      list: () => Promise.reject(new Error("not listed")),
      watch: () => Promise.resolve(result),
    },
    position: () => ({ epoch: 1, revision: 5 }),
    isReading: () => isReading,
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

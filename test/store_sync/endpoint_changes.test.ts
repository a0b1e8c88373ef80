/** Which endpoints a list changes, as far as the log is concerned. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";
import { changedEndpoints } from "../../src/store_sync/endpoint_changes.ts";

function endpoint(id: string, state = RouteEndpointState.Ready): RouteEndpoint {
  return {
    id,
    pool: "desk",
    address: "127.0.0.1:80",
    availability_zone: "a",
    slots: 1,
    state,
    born_ms: 1,
  };
}

test("a list names the endpoints that are new, changed or gone", () => {
  const before = [endpoint("same"), endpoint("leaves"), endpoint("gone")];
  const after = [
    endpoint("same"),
    endpoint("leaves", RouteEndpointState.Leaving),
    endpoint("new"),
  ];
  assert.deepEqual(changedEndpoints(before, after), [
    { id: "leaves", pool: "desk", state: "leaving" },
    { id: "new", pool: "desk", state: "ready" },
    { id: "gone", pool: undefined, state: "removed" },
  ]);
});

test("the first list names no endpoint", () => {
  assert.deepEqual(changedEndpoints([], [endpoint("new")]), []);
});

/** The endpoints of a host whose store came back from an older copy. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";
import { EndpointRegistry } from "../../src/store_sync/endpoint_registry.ts";
import { GRACE_PERIOD_AFTER_OUTAGE_MS } from "../../src/store_sync/watch_cache.ts";

const RESTORED_MS = 60_000;

function item(id: string, change: Partial<RouteEndpoint> = {}) {
  const value: RouteEndpoint = {
    id,
    pool: "desk",
    address: `127.0.0.1:${id}`,
    availability_zone: "a",
    slots: 1,
    state: RouteEndpointState.Ready,
    born_ms: 1,
    ...change,
  };
  return { name: id, value };
}

function changed(id: string, change: Partial<RouteEndpoint> = {}) {
  return { ...item(id, change), deleted: false };
}

function removed(id: string) {
  return { ...item(id), deleted: true };
}

function ids(registry: EndpointRegistry, now_ms: number): string[] {
  return registry.readyInPool("desk", now_ms).map((endpoint) => endpoint.id);
}

test("endpoints that were written after the copy stay in use until they are written again", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("old"), item("new"), item("gone")], 0);
  registry.markSourceRestored(RESTORED_MS);
  registry.replaceAll([item("old")], RESTORED_MS);
  assert.deepEqual(ids(registry, RESTORED_MS), ["old", "new", "gone"]);
  registry.applyChanges([changed("new")], RESTORED_MS + 1_200);
  const settled_ms = RESTORED_MS + GRACE_PERIOD_AFTER_OUTAGE_MS;
  assert.deepEqual(ids(registry, settled_ms - 1), ["old", "new", "gone"]);
  assert.deepEqual(ids(registry, settled_ms), ["old", "new"]);
});

test("an endpoint that is removed after the grace period of a restoration leaves at once", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("old")], 0);
  registry.markSourceRestored(RESTORED_MS);
  registry.replaceAll([item("old")], RESTORED_MS);
  const settled_ms = RESTORED_MS + GRACE_PERIOD_AFTER_OUTAGE_MS;
  registry.applyChanges([removed("old")], settled_ms);
  assert.deepEqual(ids(registry, settled_ms), []);
});

/** The endpoints of a host whose store came back from an older copy. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";
import {
  EndpointRegistry,
  RETURNED_ENTRY_HOLD_MS,
} from "../../src/store_sync/endpoint_registry.ts";
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

/** A host that saw one endpoint leave, and then the copy that still has it. */
function registryWithReturned(): EndpointRegistry {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("here"), item("left")], 0);
  registry.applyChanges([removed("left")], 10_000);
  registry.markSourceRestored(RESTORED_MS);
  registry.replaceAll([item("here"), item("left")], RESTORED_MS);
  return registry;
}

test("an endpoint that has left is not used when an older copy brings its entry back", () => {
  const registry = registryWithReturned();
  assert.deepEqual(ids(registry, RESTORED_MS), ["here"]);
  assert.deepEqual(registry.all(RESTORED_MS).map(({ id }) => id), ["here"]);
  registry.replaceAll([item("here"), item("left")], RESTORED_MS + 1_000);
  assert.deepEqual(ids(registry, RESTORED_MS + 1_000), ["here"]);
  registry.applyChanges([removed("left")], RESTORED_MS + 3_600);
  const end_ms = RESTORED_MS + RETURNED_ENTRY_HOLD_MS;
  assert.deepEqual(ids(registry, end_ms), ["here"]);
});

test("an endpoint whose entry came back is used once it writes its entry again", () => {
  const registry = registryWithReturned();
  registry.applyChanges([changed("left")], RESTORED_MS + 1_200);
  assert.deepEqual(ids(registry, RESTORED_MS + 1_200), ["here", "left"]);
});

test("an endpoint whose entry came back and does not lapse is used in the end", () => {
  const registry = registryWithReturned();
  const end_ms = RESTORED_MS + RETURNED_ENTRY_HOLD_MS;
  assert.deepEqual(ids(registry, end_ms - 1), ["here"]);
  assert.deepEqual(ids(registry, end_ms), ["here", "left"]);
  registry.markSourceRestored(end_ms);
  registry.replaceAll([item("here"), item("left")], end_ms);
  assert.deepEqual(ids(registry, end_ms), ["here", "left"]);
});

test("an endpoint that came back in the lost span is not taken for one that has left", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("back")], 0);
  registry.applyChanges([removed("back")], 10_000);
  registry.applyChanges([changed("back")], 14_000);
  registry.markSourceRestored(RESTORED_MS);
  registry.replaceAll([item("back")], RESTORED_MS);
  assert.deepEqual(ids(registry, RESTORED_MS), ["back"]);
});

test("an endpoint that started again is not replaced by its earlier incarnation", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("again")], 0);
  registry.applyChanges([changed("again", { born_ms: 2 })], 10_000);
  registry.markSourceRestored(RESTORED_MS);
  registry.replaceAll([item("again")], RESTORED_MS);
  const [endpoint] = registry.readyInPool("desk", RESTORED_MS);
  assert.equal(endpoint?.born_ms, 2);
  registry.applyChanges([changed("again", { born_ms: 2 })], RESTORED_MS + 900);
  const end_ms = RESTORED_MS + RETURNED_ENTRY_HOLD_MS;
  assert.equal(registry.readyInPool("desk", end_ms)[0]?.born_ms, 2);
});

test("an endpoint that has left is not used when a peer still lists it", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("here"), item("left")], 0);
  registry.applyChanges([removed("left")], 10_000);
  registry.markSourceUnavailable();
  registry.replaceFromPeer([item("here"), item("left")], RESTORED_MS);
  assert.deepEqual(ids(registry, RESTORED_MS + 60_000), ["here"]);
  const end_ms = RESTORED_MS + RETURNED_ENTRY_HOLD_MS;
  registry.replaceFromPeer([item("here"), item("left")], end_ms);
  assert.deepEqual(ids(registry, end_ms), ["here", "left"]);
});

test("an endpoint that a stale peer did not list is used when another peer lists it", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("here"), item("new")], 0);
  registry.markSourceUnavailable();
  registry.replaceFromPeer([item("here")], RESTORED_MS);
  registry.replaceFromPeer([item("here"), item("new")], RESTORED_MS + 400);
  assert.deepEqual(ids(registry, RESTORED_MS + 400), ["here", "new"]);
});

test("entries that lapsed in an outage are used at once when they are back", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("here")], 0);
  registry.markSourceUnavailable();
  registry.markSourceAvailable(10_000);
  registry.replaceAll([], 10_000);
  assert.deepEqual(ids(registry, 20_000), []);
  registry.replaceAll([item("here")], 20_000);
  assert.deepEqual(ids(registry, 20_000), ["here"]);
});

test("an entry that comes back twice is held back for the whole time once more", () => {
  const registry = registryWithReturned();
  const again_ms = RESTORED_MS + RETURNED_ENTRY_HOLD_MS - 1;
  registry.markSourceRestored(again_ms);
  registry.replaceAll([item("here"), item("left")], again_ms);
  const end_ms = again_ms + RETURNED_ENTRY_HOLD_MS;
  assert.deepEqual(ids(registry, end_ms - 1), ["here"]);
  assert.deepEqual(ids(registry, end_ms), ["here", "left"]);
});

test("an entry that is missing since one outage is kept through the grace period of the next", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("late")], 0);
  registry.markSourceUnavailable();
  registry.markSourceAvailable(10_000);
  registry.replaceAll([], 10_000);
  registry.markSourceUnavailable();
  registry.markSourceAvailable(20_000);
  registry.replaceAll([], 20_000);
  assert.deepEqual(ids(registry, 20_000), ["late"]);
  const settled_ms = 20_000 + GRACE_PERIOD_AFTER_OUTAGE_MS;
  assert.deepEqual(ids(registry, settled_ms), []);
});

test("an endpoint that was dropped after one outage does not come back with the next", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("gone")], 0);
  registry.markSourceUnavailable();
  registry.markSourceAvailable(10_000);
  registry.replaceAll([], 10_000);
  registry.dropExpired(20_000);
  registry.markSourceUnavailable();
  assert.deepEqual(ids(registry, 30_000), []);
});

const ADDRESS = "127.0.0.1:9000";

test("an address belongs to the endpoint that started there last", () => {
  const registry = new EndpointRegistry();
  const older = item("older", { address: ADDRESS, born_ms: 100 });
  const newer = item("newer", { address: ADDRESS, born_ms: 200 });
  registry.replaceAll([older, newer], 0);
  assert.equal(registry.findByAddress(ADDRESS)?.id, "newer");
  registry.replaceAll([newer, older], 0);
  assert.equal(registry.findByAddress(ADDRESS)?.id, "newer");
  registry.applyChanges([{ ...newer, deleted: true }], 10);
  assert.equal(registry.findByAddress(ADDRESS)?.id, "older");
});

const DRAINING = { state: RouteEndpointState.Leaving };

test("an endpoint whose entry said that it is leaving is not used when an older copy says that it is ready", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("here"), item("leaving")], 0);
  registry.applyChanges([changed("leaving", DRAINING)], 10_000);
  registry.markSourceRestored(RESTORED_MS);
  registry.replaceAll([item("here"), item("leaving")], RESTORED_MS);
  assert.deepEqual(ids(registry, RESTORED_MS), ["here"]);
  registry.applyChanges([changed("leaving")], RESTORED_MS + 1_200);
  const end_ms = RESTORED_MS + RETURNED_ENTRY_HOLD_MS;
  assert.deepEqual(ids(registry, end_ms), ["here"]);
  registry.applyChanges([changed("leaving", { born_ms: 2 })], end_ms);
  assert.deepEqual(ids(registry, end_ms), ["here", "leaving"]);
});

test("an endpoint whose entry said that it is leaving is not used when a peer says that it is ready", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("here"), item("leaving", DRAINING)], 0);
  registry.markSourceUnavailable();
  registry.replaceFromPeer([item("here"), item("leaving")], RESTORED_MS);
  assert.deepEqual(ids(registry, RESTORED_MS), ["here"]);
});

test("an endpoint that left after its entry said so is not used when its entry comes back and does not lapse", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("here"), item("leaving", DRAINING)], 0);
  registry.applyChanges([removed("leaving")], 10_000);
  registry.markSourceRestored(RESTORED_MS);
  registry.replaceAll([item("here"), item("leaving")], RESTORED_MS);
  const end_ms = RESTORED_MS + RETURNED_ENTRY_HOLD_MS;
  assert.deepEqual(ids(registry, end_ms), ["here"]);
});

test("an endpoint is not replaced by an earlier incarnation that this host never knew", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("again", { born_ms: 2 })], 0);
  registry.markSourceRestored(RESTORED_MS);
  registry.replaceAll([item("again", { born_ms: 1 })], RESTORED_MS);
  const [endpoint] = registry.readyInPool("desk", RESTORED_MS);
  assert.equal(endpoint?.born_ms, 2);
  const end_ms = RESTORED_MS + RETURNED_ENTRY_HOLD_MS;
  assert.equal(registry.readyInPool("desk", end_ms)[0]?.born_ms, 1);
});

test("an endpoint that started again is kept when a peer still lists its earlier incarnation", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("again", { born_ms: 1 })], 0);
  registry.applyChanges([changed("again", { born_ms: 2 })], 10_000);
  registry.markSourceUnavailable();
  registry.replaceFromPeer([item("again", { born_ms: 1 })], RESTORED_MS);
  const [endpoint] = registry.readyInPool("desk", RESTORED_MS);
  assert.equal(endpoint?.born_ms, 2);
});

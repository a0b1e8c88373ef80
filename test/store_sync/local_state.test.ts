import assert from "node:assert/strict";
import { test } from "node:test";
import { ActiveConfiguration } from "../../src/store_sync/active_configuration.ts";
import { EndpointRegistry } from "../../src/store_sync/endpoint_registry.ts";
import { GRACE_PERIOD_AFTER_OUTAGE_MS } from "../../src/store_sync/watch_cache.ts";
import { incarnationOf } from "../../src/routes/incarnation.ts";
import {
  type RouteConfiguration,
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";

function configuration(version: number): RouteConfiguration {
  const limits = {
    header_bytes: 1,
    body_bytes: 1,
    header_timeout_ms: 1,
    idle_timeout_ms: 1,
  };
  return {
    version,
    routes: [],
    pools: new Map(),
    organisations: undefined,
    limits,
  };
}

function item(id: string, change: Partial<RouteEndpoint> = {}) {
  const value: RouteEndpoint = {
    id,
    pool: "desk",
    address: `127.0.0.1:${id.length}`,
    availability_zone: "a",
    slots: 1,
    state: RouteEndpointState.Ready,
    born_ms: 1,
    ...change,
  };
  return { name: id, value };
}

function ids(registry: EndpointRegistry, now_ms: number): string[] {
  return registry.readyInPool("desk", now_ms).map((endpoint) => endpoint.id);
}

test("the configuration version never decreases, whichever source delivers it", () => {
  const seen: string[] = [];
  const active = new ActiveConfiguration((table, source) =>
    seen.push(`${table.configuration.version} from ${source}`)
  );
  assert.equal(active.applyIfNewer(configuration(7), "store"), true);
  assert.equal(active.applyIfNewer(configuration(5), "peer"), false);
  assert.equal(active.applyIfNewer(configuration(7), "peer"), false);
  assert.equal(active.applyIfNewer(configuration(30), "peer"), true);
  assert.deepEqual(seen, ["7 from store", "30 from peer"]);
});

test("an entry removed while the source is available is dropped at once", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("one"), item("other")], 0);
  registry.applyChanges([{ ...item("one"), deleted: true }], 10);
  assert.deepEqual(ids(registry, 10), ["other"]);
  registry.replaceAll([item("third")], 20);
  assert.deepEqual(ids(registry, 20), ["third"]);
});

test("a leaving endpoint receives no new work but stays in the registry", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("one")], 0);
  const leaving = item("one", { state: RouteEndpointState.Leaving });
  registry.applyChanges([{ ...leaving, deleted: false }], 10);
  assert.deepEqual(ids(registry, 10), []);
  assert.equal(registry.inPool("desk", 10).length, 1);
});

test("entries that expired in an outage are kept until the grace period ends", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("back"), item("gone")], 0);
  registry.markSourceUnavailable();
  assert.equal(ids(registry, 60_000).length, 2);
  registry.markSourceAvailable(60_000);
  registry.replaceAll([], 60_000);
  assert.equal(ids(registry, 60_000).length, 2);
  registry.applyChanges([{ ...item("back"), deleted: false }], 61_000);
  assert.deepEqual(ids(registry, 60_000 + GRACE_PERIOD_AFTER_OUTAGE_MS), [
    "back",
  ]);
});

test("an entry removed after the grace period is dropped at once", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("one")], 0);
  registry.markSourceUnavailable();
  registry.markSourceAvailable(100);
  const late_ms = 100 + GRACE_PERIOD_AFTER_OUTAGE_MS;
  registry.applyChanges([{ ...item("one"), deleted: true }], late_ms);
  assert.deepEqual(ids(registry, late_ms), []);
});

test("an entry that cannot be decoded removes its endpoint", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("one")], 0);
  registry.applyChanges(
    [{ name: "one", value: undefined, deleted: false }],
    10,
  );
  assert.deepEqual(ids(registry, 10), []);
});

test("an incarnation that said that it is leaving stays so, whatever entries say", () => {
  const registry = new EndpointRegistry();
  registry.replaceAll([item("one"), item("other")], 0);
  const incarnation = incarnationOf(item("one").value);
  assert.equal(registry.markLeaving(incarnation), true);
  assert.equal(registry.markLeaving(incarnation), false);
  const assertOut = () => {
    assert.deepEqual(ids(registry, 1), ["other"]);
    const states = registry.inPool("desk", 1).map(({ id, state }) =>
      `${id} ${state}`
    );
    assert.ok(states.includes("one leaving"));
  };
  assertOut();
  registry.applyChanges([{ ...item("one"), deleted: false }], 1);
  assertOut();
  registry.replaceAll([item("one"), item("other")], 1);
  assertOut();
  registry.replaceFromPeer([item("one"), item("other")], 1);
  assertOut();
  registry.markSourceUnavailable();
  assertOut();
  registry.applyChanges([{ ...item("one"), deleted: true }], 1);
  registry.applyChanges([{ ...item("one"), deleted: false }], 2);
  assertOut();
  const restarted = item("one", { born_ms: 2 });
  registry.applyChanges([{ ...restarted, deleted: false }], 3);
  assert.deepEqual(ids(registry, 4).sort(), ["one", "other"]);
});

test("an incarnation that said that it is leaving before its entry is known never becomes ready", () => {
  const registry = new EndpointRegistry();
  registry.markLeaving(incarnationOf(item("one").value));
  registry.replaceAll([item("one"), item("other")], 0);
  assert.deepEqual(ids(registry, 1), ["other"]);
  assert.deepEqual(
    registry.all(1).map(({ id, state }) => `${id} ${state}`),
    ["one leaving", "other ready"],
  );
});

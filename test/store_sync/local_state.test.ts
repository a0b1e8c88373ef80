import assert from "node:assert/strict";
import { test } from "node:test";
import { ActiveConfiguration } from "../../src/store_sync/active_configuration.ts";
import { EndpointRegistry } from "../../src/store_sync/endpoint_registry.ts";
import { GRACE_PERIOD_AFTER_OUTAGE_MS } from "../../src/store_sync/watch_cache.ts";
import {
  EndpointState,
  type RouteConfiguration,
  type RouteEndpoint,
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
    state: EndpointState.Ready,
    born_ms: 1,
    ...change,
  };
  return { name: id, value };
}

function ids(belief: EndpointRegistry, now_ms: number): string[] {
  return belief.readyInPool("desk", now_ms).map((endpoint) => endpoint.id);
}

test("a configuration never goes back, whoever tells it", () => {
  const seen: string[] = [];
  const belief = new ActiveConfiguration((table, source) =>
    seen.push(`${table.configuration.version} from ${source}`)
  );
  assert.equal(belief.accept(configuration(7), "store"), true);
  assert.equal(belief.accept(configuration(5), "peer"), false);
  assert.equal(belief.accept(configuration(7), "peer"), false);
  assert.equal(belief.accept(configuration(30), "peer"), true);
  assert.deepEqual(seen, ["7 from store", "30 from peer"]);
});

test("an entry that vanishes while the source is well is gone at once", () => {
  const belief = new EndpointRegistry();
  belief.replaceAll([item("one"), item("other")], 0);
  belief.applyChanges([{ ...item("one"), deleted: true }], 10);
  assert.deepEqual(ids(belief, 10), ["other"]);
  belief.replaceAll([item("third")], 20);
  assert.deepEqual(ids(belief, 20), ["third"]);
});

test("a leaving endpoint gets nothing new but stays known", () => {
  const belief = new EndpointRegistry();
  belief.replaceAll([item("one")], 0);
  const leaving = item("one", { state: EndpointState.Leaving });
  belief.applyChanges([{ ...leaving, deleted: false }], 10);
  assert.deepEqual(ids(belief, 10), []);
  assert.equal(belief.inPool("desk", 10).length, 1);
});

test("entries that lapsed in an outage count until live ones are back", () => {
  const belief = new EndpointRegistry();
  belief.replaceAll([item("back"), item("gone")], 0);
  belief.markSourceUnavailable();
  assert.equal(ids(belief, 60_000).length, 2);
  belief.markSourceAvailable(60_000);
  belief.replaceAll([], 60_000);
  assert.equal(ids(belief, 60_000).length, 2);
  belief.applyChanges([{ ...item("back"), deleted: false }], 61_000);
  assert.deepEqual(ids(belief, 60_000 + GRACE_PERIOD_AFTER_OUTAGE_MS), [
    "back",
  ]);
});

test("an endpoint that vanishes after the grace is gone at once", () => {
  const belief = new EndpointRegistry();
  belief.replaceAll([item("one")], 0);
  belief.markSourceUnavailable();
  belief.markSourceAvailable(100);
  const late_ms = 100 + GRACE_PERIOD_AFTER_OUTAGE_MS;
  belief.applyChanges([{ ...item("one"), deleted: true }], late_ms);
  assert.deepEqual(ids(belief, late_ms), []);
});

test("an entry that can't be read names no endpoint", () => {
  const belief = new EndpointRegistry();
  belief.replaceAll([item("one")], 0);
  belief.applyChanges([{ name: "one", value: undefined, deleted: false }], 10);
  assert.deepEqual(ids(belief, 10), []);
});

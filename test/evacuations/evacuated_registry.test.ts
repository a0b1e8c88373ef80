/** Which endpoints are ready while zones are evacuated. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Evacuations } from "../../src/evacuations/evacuations.ts";
import { RouteEndpointState } from "../../src/routes/types.ts";
import { EndpointRegistry } from "../../src/store_sync/endpoint_registry.ts";
import { type RouteEndpoint } from "../../src/routes/types.ts";

const HOSTS = 8;
const ENDPOINTS = 40;

function endpoint(
  id: string,
  zone: string,
  change: Partial<RouteEndpoint> = {},
): RouteEndpoint {
  return {
    id,
    pool: "desk",
    address: `10.0.0.1:${id.length}${id.replaceAll(/\D/g, "")}`,
    availability_zone: zone,
    slots: 1,
    state: RouteEndpointState.Ready,
    born_ms: 1,
    ...change,
  };
}

function createHost(
  endpoints: RouteEndpoint[],
  host = "h",
): { zones: Evacuations; registry: EndpointRegistry } {
  const zones = new Evacuations({ leave_ms: 1_000 });
  const registry = new EndpointRegistry({ zones, host });
  registry.replaceAll(
    endpoints.map((value) => ({ name: value.id, value })),
    0,
  );
  return { zones, registry };
}

function readyIds(registry: EndpointRegistry, now_ms: number): string[] {
  return registry.readyInPool("desk", now_ms).map(({ id }) => id);
}

test("no consumer of the registry sees an endpoint of an evacuated zone as ready", () => {
  const endpoints = [endpoint("e1", "a"), endpoint("e2", "b")];
  const { zones, registry } = createHost(endpoints);
  zones.replaceAll(["a"], 0);
  assert.deepEqual(readyIds(registry, 0), ["e2"]);
  assert.deepEqual(
    registry.inPool("desk", 0).map(({ state }) => state),
    [RouteEndpointState.Leaving, RouteEndpointState.Ready],
  );
  assert.deepEqual([...registry.readyAddresses(0)], [endpoints[1]?.address]);
  assert.ok(registry.isEvacuated(endpoint("e1", "a"), 0));
  assert.equal(registry.isEvacuated(endpoint("e2", "b"), 0), false);
});

test("peers and the log are told the states that the entries name", () => {
  const { zones, registry } = createHost([endpoint("e1", "a")]);
  zones.replaceAll(["a"], 0);
  assert.equal(registry.all(0)[0]?.state, RouteEndpointState.Ready);
});

test("a pool is refused only while all zones of its endpoints are evacuated", () => {
  const { zones, registry } = createHost([
    endpoint("e1", "a"),
    endpoint("e2", "b", { state: RouteEndpointState.Leaving }),
  ]);
  zones.replaceAll(["a"], 0);
  assert.equal(registry.isPoolEvacuated("desk", 0), false);
  zones.replaceAll(["a", "b"], 0);
  assert.ok(registry.isPoolEvacuated("desk", 0));
  assert.equal(registry.isPoolEvacuated("unknown", 0), false);
  zones.replaceAll(["b"], 0);
  assert.equal(registry.isPoolEvacuated("desk", 0), false);
});

test("an endpoint that starts in an evacuated zone is not used, and one that starts again elsewhere is", () => {
  const { zones, registry } = createHost([endpoint("e1", "a")]);
  zones.replaceAll(["a"], 0);
  const moved = endpoint("e1", "b", { born_ms: 2, address: "10.0.0.9:1" });
  const started = endpoint("e2", "a", { born_ms: 2 });
  registry.applyChanges(
    [moved, started].map((value) => ({
      name: value.id,
      value,
      deleted: false,
    })),
    10,
  );
  assert.deepEqual(readyIds(registry, 10), ["e1"]);
  assert.equal(registry.isEvacuated(moved, 10), false);
  // A request that was meant for its earlier run doesn't reach the old zone.
  assert.ok(registry.isEvacuated(endpoint("e1", "a"), 10));
});

test("an endpoint whose entry names another zone for the same run is judged by that", () => {
  const before = endpoint("e1", "b");
  const { zones, registry } = createHost([before]);
  zones.replaceAll(["a"], 0);
  const value = { ...before, availability_zone: "a" };
  registry.applyChanges([{ name: "e1", value, deleted: false }], 10);
  assert.ok(registry.isEvacuated(before, 10));
});

test("requests leave a zone gradually, each host's from other endpoints", () => {
  const endpoints = Array.from(
    { length: ENDPOINTS },
    (_, n) => endpoint(`e${n}`, "a"),
  );
  const hosts = Array.from(
    { length: HOSTS },
    (_, n) => createHost(endpoints, `host-${n}`),
  );
  for (const { zones } of hosts) {
    zones.applyChanges([{ zone: "a", deleted: false }], 0);
  }
  const sets = new Set<string>();
  for (const at_ms of [0, 250, 500, 750, 1_000]) {
    const expected = 1 - at_ms / 1_000;
    let ready = 0;
    for (const { registry } of hosts) {
      const ids = readyIds(registry, at_ms);
      ready += ids.length;
      if (at_ms === 500) sets.add(ids.join());
    }
    const share = ready / (HOSTS * ENDPOINTS);
    assert.ok(Math.abs(share - expected) < 0.1, `${share} at ${at_ms} ms`);
  }
  assert.equal(sets.size, HOSTS);
});

test("an endpoint that a host has stopped using stays unused while the share sinks", () => {
  const endpoints = Array.from(
    { length: ENDPOINTS },
    (_, n) => endpoint(`e${n}`, "a"),
  );
  const { zones, registry } = createHost(endpoints);
  zones.applyChanges([{ zone: "a", deleted: false }], 0);
  let before = new Set(readyIds(registry, 0));
  for (let at_ms = 50; at_ms <= 1_000; at_ms += 50) {
    const ready = readyIds(registry, at_ms);
    assert.ok(ready.every((id) => before.has(id)));
    before = new Set(ready);
  }
  assert.equal(before.size, 0);
});

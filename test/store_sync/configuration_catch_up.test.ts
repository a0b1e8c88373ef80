import assert from "node:assert/strict";
import { test } from "node:test";
import { ActiveConfiguration } from "../../src/store_sync/active_configuration.ts";
import { ConfigurationCatchUp } from "../../src/store_sync/configuration_catch_up.ts";
import { serialiseConfiguration } from "../../src/store_sync/state_snapshot.ts";
import type { RouteConfiguration } from "../../src/routes/types.ts";

function configuration(version: number): RouteConfiguration {
  return {
    version,
    routes: [],
    pools: new Map(),
    organisations: undefined,
    limits: {
      header_bytes: 1,
      body_bytes: 1,
      header_timeout_ms: 1,
      idle_timeout_ms: 1,
    },
  };
}

function setUp(peerVersion: number) {
  const active = new ActiveConfiguration(() => {});
  active.applyIfNewer(configuration(1), "store");
  const host = { active, now_ms: 0, fetched: 0 };
  const catchUp = new ConfigurationCatchUp({
    configuration: active,
    fetchSnapshot() {
      host.fetched += 1;
      return Promise.resolve({
        configuration: serialiseConfiguration(configuration(peerVersion)),
        endpoints: [],
        endpoints_fresh: true,
        quarantined: [],
      });
    },
    now: () => host.now_ms,
  });
  return { host, catchUp };
}

test("a version that the store does not deliver is taken from a peer, once", async () => {
  const { host, catchUp } = setUp(7);
  for (let second = 0; second < 10; second++) {
    host.now_ms = 1_000 * second;
    await catchUp.handleVersion("peer", 7);
  }
  assert.equal(host.active.version, 7);
  assert.equal(host.fetched, 1);
});

test("a version that the feeds deliver in time is not fetched from a peer", async () => {
  const { host, catchUp } = setUp(7);
  for (let version = 2; version < 20; version++) {
    host.now_ms = 1_000 * version;
    await catchUp.handleVersion("peer", version);
    host.active.applyIfNewer(configuration(version), "store");
  }
  assert.equal(host.fetched, 0);
});

test("an older version, or none, of a peer changes nothing", async () => {
  const { host, catchUp } = setUp(7);
  for (const version of [0, 1, 0, 1]) {
    host.now_ms += 2_000;
    await catchUp.handleVersion("peer", version);
  }
  assert.equal(host.fetched, 0);
});

test("a host catches up after its start and after a restoration", () => {
  const { host, catchUp } = setUp(7);
  assert.equal(catchUp.isActive, true);
  host.now_ms = 60_000;
  assert.equal(catchUp.isActive, false);
  catchUp.restart();
  assert.equal(catchUp.isActive, true);
});

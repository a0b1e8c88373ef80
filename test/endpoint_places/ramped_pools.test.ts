/** Which pools are ramped up, by their configuration and their endpoints. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeConfiguration } from "../../platform/decode_objects.ts";
import {
  createRampOptions,
  type RampDependencies,
} from "../../src/gateway/ramp_components.ts";
import { ObservedLoad } from "../../src/routing/observed_load.ts";
import { checkGatewaySettings } from "../../src/settings/gateway_settings.ts";

const PIECES = {
  slots: 1,
  batch: 20,
  call_ms: 20,
  item_ms: 1,
  headroom_mb: 10,
  handle_s: 4,
  link_mbps: 10_000,
};

function configurationOf(service: object) {
  const configuration = decodeConfiguration("main", {
    version: 1,
    routes: [],
    services: [{ name: "desk", max_connections: 1, ...service }],
    limits: {
      max_header_bytes: 1,
      max_body_bytes: 1,
      header_timeout_ms: 1,
      idle_timeout_ms: 1,
    },
  });
  assert.ok(configuration !== undefined);
  return configuration;
}

function optionsOf(service: object) {
  const load = new ObservedLoad();
  const configuration = configurationOf(service);
  const dependencies = {
    load,
    configuration: { routeTable: { configuration } },
  } as unknown as RampDependencies;
  return { load, options: createRampOptions(dependencies) };
}

test("a cold start is decoded into milliseconds; 0 and none are none", () => {
  const coldOf = (service: object) =>
    configurationOf(service).pools.get("desk")?.cold;
  assert.deepEqual(coldOf({ cold_start_s: 2.5, cold_per_s: 19 }), {
    start_ms: 2_500,
    per_s: 19,
  });
  assert.deepEqual(coldOf({ cold_start_s: 3 }), { start_ms: 3_000, per_s: 0 });
  // Its endpoints may still turn cold later.
  const onlyLater = { start_ms: 0, per_s: 19 };
  assert.deepEqual(coldOf({ cold_start_s: 0, cold_per_s: 19 }), onlyLater);
  assert.equal(coldOf({ cold_start_s: 0, cold_per_s: 0 }), undefined);
  assert.equal(coldOf({}), undefined);
});

test("pools with a cold start are ramped up, others not, nor stage pools", () => {
  assert.ok(optionsOf({ cold_start_s: 3 }).options.isOn("desk"));
  assert.ok(!optionsOf({}).options.isOn("desk"));
  assert.ok(!optionsOf({}).options.isAnyOn());
  assert.ok(!optionsOf({ cold_per_s: 19 }).options.isOn("desk"));
  const stage = optionsOf({ cold_start_s: 3, pieces: PIECES });
  assert.ok(!stage.options.isOn("desk"));
  assert.ok(!optionsOf({ cold_start_s: 3 }).options.isOn("unknown"));
});

test("pools are ramped up once their endpoints report their speed", () => {
  const { load, options } = optionsOf({});
  load.recordSpeedReport("desk");
  assert.ok(options.isOn("desk"));
  assert.ok(options.isAnyOn());
});

test("the settings can leave the ramp-up out", () => {
  const text = (ramp_up: string) => `
host: { name: gateway-1, availability_zone: az-1 }
listen: { callers: "10.0.0.1:80", readiness: "10.0.0.1:81", peers: "10.0.0.1:7000" }
object_store: { address: "10.0.0.9:99" }
${ramp_up}
`;
  const left = checkGatewaySettings("g", text("ramp_up: { enabled: false }"));
  assert.ok(left.ok && !left.value.ramp_up.enabled);
  assert.ok(!checkGatewaySettings("g", text("ramp_up: { enabled: 3 }")).ok);
});

/** Behaviour of gateway hosts while parts of the deployment fail or change. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, test } from "node:test";
import { checkGatewaySettings } from "../../src/settings/gateway_settings.ts";
import { getJson, sendJsonRequest } from "../../stand_ins/json_client.ts";
import {
  ApiKey,
  defaultEngines,
  GatewayFleet,
  type GatewayFleetOptions,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { StoreFault } from "../../stand_ins/deployment/object_store.ts";

let fleet: GatewayFleet;
let attempts = 0;

afterEach(() => fleet.stop());

async function startFleet(options: GatewayFleetOptions = {}): Promise<void> {
  fleet = new GatewayFleet(options);
  await fleet.start();
}

function call(path: string, gateway = 0, key: string = ApiKey.Docks) {
  return sendJsonRequest(fleet.gateways[gateway]?.callers ?? "", path, {
    method: "POST",
    text: "body",
    headers: {
      host: "fleet.example",
      "x-attempt-id": `attempt-${attempts++}`,
      "x-key": key,
      "x-deadline-ms": "2000",
      "x-pieces": "2,3",
      "x-piece-key": "cafe",
      "x-prompt-prefix": `aa:100,b${attempts % 9}:50,cc:10`,
    },
  });
}

async function callStatus(path: string, gateway = 0, key?: string) {
  return (await call(path, gateway, key)).status;
}

async function readinessStatus(gateway: number): Promise<number> {
  const { readiness } = fleet.gateways[gateway] ?? { readiness: "" };
  return (await getJson(readiness, "/v1/ready")).status;
}

function hasLogged(gateway: number, text: string): boolean {
  return fleet.gateways[gateway]?.logLines.some((line) =>
    line.includes(text)
  ) ??
    false;
}

test("a draining host is not ready at once and finishes running requests", async () => {
  const engines = defaultEngines();
  engines[Service.Model] = [{ id: "model-1", events: 10, work_ms: 60 }];
  await startFleet({ gateways: 2, engines });
  assert.equal(await readinessStatus(0), 200);
  const running = call("/draft/x");
  await waitUntil(() =>
    fleet.engine(Service.Model).receivedRequests.length === 1
  );
  fleet.gateways[0]?.gateway.drain();
  assert.equal(await readinessStatus(0), 503);
  await waitUntil(() =>
    !fleet.store.listNames("gateways").includes("gateway-1")
  );
  const late = await call("/stamp/x");
  assert.equal(late.status, 200);
  assert.equal(late.headers.connection, "close");
  const response = await running;
  assert.equal(response.text.match(/^id: /gm)?.length, 10);
  await fleet.gateways[0]?.gateway.stopped;
  assert.equal(await callStatus("/review/x", 1), 200);
});

test("requests are served when a host that batches pieces stops", async () => {
  await startFleet({ gateways: 3 });
  await waitUntil(() =>
    fleet.gateways.every((_, n) => hasLogged(n, "event=members count=3"))
  );
  assert.equal(await callStatus("/review/x"), 200);
  for (const lost of [1, 2]) {
    fleet.gateways[lost]?.gateway.stop();
    const responses = await Promise.all(
      Array.from({ length: 6 }, () => callStatus("/review/x")),
    );
    assert.deepEqual(responses, Array(6).fill(200));
  }
});

test("requests are served during a store outage", async () => {
  await startFleet({ gateways: 1 });
  for (
    const fault of [StoreFault.Silent, StoreFault.Unavailable, StoreFault.Reset]
  ) {
    fleet.store.fault = fault;
    await waitUntil(() => hasLogged(0, "event=source_lost source=endpoints"));
    assert.equal(await callStatus("/review/x"), 200);
    assert.equal(await callStatus("/stamp/x"), 200);
    fleet.store.fault = StoreFault.None;
    await waitUntil(() => hasLogged(0, "event=source_back source=endpoints"));
    fleet.gateways[0]?.logLines.splice(0);
  }
});

test("a host that starts during a store outage reads from its seed peers", async () => {
  await startFleet({ gateways: 1 });
  fleet.store.fault = StoreFault.Unavailable;
  const peers = fleet.gateways[0]?.logLines
    .find((line) => line.includes("event=start"))
    ?.match(/peers=(\S+)/)?.[1] ?? "";
  await fleet.startGateway(2, [peers]);
  await waitUntil(() => hasLogged(1, "state=ready"));
  assert.equal(await callStatus("/stamp/x", 1), 200);
  assert.equal(await callStatus("/review/x", 1), 200);
});

test("a host without a configuration rejects requests and is not ready", async () => {
  await startFleet({ gateways: 0 });
  fleet.store.fault = StoreFault.Unavailable;
  await fleet.startGateway(1);
  assert.equal(await readinessStatus(0), 503);
  const response = await call("/stamp/x");
  assert.equal(response.status, 503);
  assert.ok(Number(response.headers["retry-after"]) > 0);
  fleet.store.fault = StoreFault.None;
  await waitUntil(() =>
    hasLogged(0, "state=ready") && hasLogged(0, "event=endpoints")
  );
  assert.equal(await readinessStatus(0), 200);
});

test("a new configuration is active at once and is not replaced by an older one", async () => {
  await startFleet({ gateways: 1 });
  assert.equal(await callStatus("/stamp/x", 0, ApiKey.Mills), 200);
  const docks = { name: "docks", api_keys: [ApiKey.Docks] };
  fleet.publishManifest({ tenants: [docks] });
  await waitUntil(() => hasLogged(0, "event=configuration version=2"));
  assert.equal(await callStatus("/stamp/x", 0, ApiKey.Mills), 401);
  fleet.version = 1;
  fleet.publishManifest({});
  await sleep(100);
  assert.equal(await callStatus("/stamp/x", 0, ApiKey.Mills), 401);
});

test("an invalid configuration leaves the last valid one active", async () => {
  await startFleet({ gateways: 1 });
  fleet.publishManifest({ routes: "none" });
  await waitUntil(() => hasLogged(0, "event=unreadable"));
  assert.equal(await callStatus("/stamp/x"), 200);
});

test("a draining or removed endpoint gets no new requests", async () => {
  await startFleet({ gateways: 1 });
  const [first, second] = [0, 1].map((n) => fleet.engine(Service.Desk, n));
  assert.ok(first !== undefined && second !== undefined);
  fleet.registerEngine(Service.Desk, first, { state: "draining" });
  await waitUntil(() =>
    hasLogged(0, `endpoint=${first.id} pool=desk state=leaving`)
  );
  for (let n = 0; n < 6; n++) assert.equal(await callStatus("/stamp/x"), 200);
  assert.equal(first.receivedRequests.length, 0);
  fleet.store.remove("servers", second.id);
  await waitUntil(() =>
    hasLogged(0, `endpoint=${second.id} pool=desk state=removed`)
  );
  assert.equal(await callStatus("/stamp/x"), 503);
  assert.equal(second.receivedRequests.length, 6);
});

test("changes whose watch history was lost are found by a full read", async () => {
  await startFleet({ gateways: 1 });
  fleet.store.discardHistory();
  fleet.store.fault = StoreFault.Reset;
  await waitUntil(() => hasLogged(0, "event=source_lost"));
  fleet.gateways[0]?.logLines.splice(0);
  const [first] = fleet.engines.get(Service.Desk) ?? [];
  assert.ok(first !== undefined);
  fleet.registerEngine(Service.Desk, first, { state: "draining" });
  fleet.store.discardHistory();
  fleet.store.fault = StoreFault.None;
  await waitUntil(() => hasLogged(0, "event=endpoints count="));
  for (let n = 0; n < 4; n++) assert.equal(await callStatus("/stamp/x"), 200);
  assert.equal(first.receivedRequests.length, 0);
});

test("changed settings are applied, and invalid ones change nothing", async () => {
  await startFleet({ gateways: 1 });
  const { gateway } = fleet.gateways[0] ?? {};
  assert.ok(gateway !== undefined);
  const text = (level: string) => `
host: { name: gateway-1, availability_zone: az-1 }
listen: { callers: "127.0.0.1:1", readiness: "127.0.0.1:2", peers: "127.0.0.1:3" }
object_store: { address: "127.0.0.1:4" }
log: { level: ${level} }
`;
  gateway.reload(checkGatewaySettings("gateway.yaml", text("loud")));
  assert.ok(hasLogged(0, "event=reload outcome=rejected"));
  assert.equal(await callStatus("/stamp/x"), 200);
  gateway.reload(checkGatewaySettings("gateway.yaml", text("error")));
  const before = fleet.gateways[0]?.logLines.length;
  assert.equal(await callStatus("/stamp/x"), 200);
  assert.equal(fleet.gateways[0]?.logLines.length, before);
});

test("a host whose watch went silent learns of changes from a peer", async () => {
  // Only a peer can tell: the host itself would notice the silence much later.
  await startFleet({ gateways: 2, watch_ms: 15_000, silence_ms: 30_000 });
  await waitUntil(() => hasLogged(0, "event=members count=2"));
  fleet.store.silenceOldestWatches(2);
  fleet.publishManifest({
    tenants: [{ name: "docks", api_keys: [ApiKey.Docks] }],
  });
  await waitUntil(() =>
    [0, 1].every((n) => hasLogged(n, "event=configuration version=2"))
  );
  assert.ok([0, 1].some((n) => hasLogged(n, "event=watch_overtaken")));
});

test("a host reads everything again after a watch breaks, as the next may miss changes", async () => {
  await startFleet({ gateways: 2, watch_ms: 15_000 });
  fleet.publishManifest({
    tenants: [{ name: "docks", api_keys: [ApiKey.Docks] }],
  });
  fleet.store.disconnectAndWithholdEvents();
  await waitUntil(() =>
    [0, 1].every((n) => hasLogged(n, "event=configuration version=2"))
  );
});

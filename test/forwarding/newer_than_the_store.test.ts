/** What gateway hosts know that is newer than the copy from which the store came back. */
import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Engine } from "../../stand_ins/deployment/engine.ts";
import {
  ApiKey,
  defaultEngines,
  GatewayFleet,
  type GatewayFleetOptions,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";

let fleet: GatewayFleet;
let attempts = 0;

afterEach(() => fleet.stop());

async function startFleet(options: GatewayFleetOptions = {}): Promise<void> {
  fleet = new GatewayFleet(options);
  await fleet.start();
}

async function callStatus(
  path: string,
  gateway = 0,
  key: string = ApiKey.Docks,
): Promise<number> {
  const { callers } = fleet.gateways[gateway] ?? { callers: "" };
  const response = await sendJsonRequest(callers, path, {
    method: "POST",
    text: "body",
    headers: {
      host: "fleet.example",
      "x-attempt-id": `attempt-${attempts++}`,
      "x-key": key,
      "x-deadline-ms": "15000",
    },
  });
  return response.status;
}

function hasLogged(gateway: number, text: string): boolean {
  const { logLines } = fleet.gateways[gateway] ?? { logLines: [] };
  return logLines.some((line) => line.includes(text));
}

test("an entry that names the address of another pool's endpoint costs that endpoint nothing", async () => {
  await startFleet();
  const stranger = fleet.engine(Service.Model);
  const ghost = new Engine({ id: "ghost" });
  ghost.address = stranger.address;
  fleet.registerEngine(Service.Desk, ghost, { zone: "az-1" });
  await waitUntil(() => hasLogged(0, "endpoint=ghost pool=desk state=ready"));
  for (let n = 0; n < 20; n++) assert.equal(await callStatus("/stamp/x"), 200);
  assert.ok(hasLogged(0, "endpoint=ghost "));
  assert.ok(stranger.arrivals_ms.length > 0);
  assert.equal(stranger.receivedRequests.length, 0);
  for (let n = 0; n < 10; n++) assert.equal(await callStatus("/draft/x"), 200);
  assert.ok(stranger.receivedRequests.length > 0);
});

const READERS = 2;
/** Time within which a change must be active on every host. */
const MAX_PROPAGATION_MS = 6_000;

for (
  const { gateways, role } of [
    { gateways: 1, role: "reads the store" },
    { gateways: 6, role: "follows other hosts" },
  ]
) {
  test(`a host that starts after a restoration and ${role} learns of a key that was withdrawn in the lost span`, async () => {
    await startFleet({ gateways, readers: READERS });
    await waitUntil(() =>
      fleet.store.listNames("gateways").length === gateways
    );
    const copy = fleet.store.copy();
    const docks = { name: "docks", api_keys: [ApiKey.Docks] };
    fleet.publishManifest({ tenants: [docks] });
    await waitUntil(() =>
      fleet.gateways.every((_, n) =>
        hasLogged(n, "event=configuration version=2 ")
      )
    );
    fleet.store.restore(copy);
    // The store gives out more revisions than it had lost.
    for (let n = 0; n < 20; n++) fleet.store.put("other", "object", { n });
    await fleet.startGateway(gateways + 1);
    await waitUntil(() =>
      hasLogged(gateways, "event=configuration version=1 source=store")
    );
    await waitUntil(
      () => hasLogged(gateways, "event=configuration version=2 "),
      MAX_PROPAGATION_MS,
    );
    assert.equal(await callStatus("/stamp/x", gateways, ApiKey.Mills), 401);
    assert.equal(await callStatus("/stamp/x", gateways), 200);
  });
}

/** Repairs begin after 3 s, and few hosts spread theirs over little time. */
const MAX_REPAIR_MS = 8_000;

test("hosts whose entries the store lost are known to all again", async () => {
  await startFleet({ gateways: 1 });
  const copy = fleet.store.copy();
  for (const number of [2, 3]) await fleet.startGateway(number);
  await waitUntil(() => fleet.store.listNames("gateways").length === 3);
  fleet.store.restore(copy);
  await waitUntil(
    () => fleet.store.listNames("gateways").length === 3,
    MAX_REPAIR_MS,
  );
  await fleet.startGateway(4);
  await waitUntil(() => hasLogged(3, "event=members count=4"));
});

test("a draining host withdraws again when an older copy brings its entry back", async () => {
  const engines = defaultEngines();
  engines[Service.Desk] = [{ id: "slow", work_ms: 8_000 }];
  const route = {
    name: "stamp",
    hostname: "fleet.example",
    path_prefix: "/stamp/",
    kind: "unsafe",
    service: Service.Desk,
    timeout_ms: 20_000,
    target_latency_ms: 10_000,
    priority: 1,
    max_attempts: 1,
    public: false,
    sticky: false,
    resumable: false,
  };
  await startFleet({
    gateways: 2,
    engines,
    manifestChanges: { routes: [route] },
    drain_timeout_s: 15,
  });
  await waitUntil(() => fleet.store.listNames("gateways").length === 2);
  const copy = fleet.store.copy();
  // Keeps the host draining.
  const answered = callStatus("/stamp/x", 1);
  await waitUntil(() => fleet.engine(Service.Desk).arrivals_ms.length > 0);
  fleet.gateways[1]?.gateway.drain();
  await waitUntil(() => fleet.store.listNames("gateways").length === 1);
  // Members are read at most once a second.
  await sleep(1_500);
  fleet.store.restore(copy);
  await waitUntil(
    () => !fleet.store.listNames("gateways").includes("gateway-2"),
    MAX_REPAIR_MS,
  );
  assert.ok(hasLogged(1, "event=entry_repair withdrawn=true"));
  assert.equal(await answered, 200);
});

/** Calls while the store's content settles after a restoration. */
async function statusesFor(duration_ms: number): Promise<number[]> {
  const statuses: number[] = [];
  const end_ms = performance.now() + duration_ms;
  while (performance.now() < end_ms) {
    statuses.push(await callStatus("/stamp/x"));
    await sleep(20);
  }
  return statuses;
}

test("an endpoint that has left gets no request when an older copy brings its entry back", async () => {
  await startFleet();
  const left = fleet.engine(Service.Desk);
  const copy = fleet.store.copy();
  fleet.store.remove("servers", left.id);
  await waitUntil(() =>
    hasLogged(0, `endpoint=${left.id} pool=desk state=removed`)
  );
  const arrivals = left.arrivals_ms.length;
  fleet.gateways[0]?.logLines.splice(0);
  fleet.store.restore(copy);
  await waitUntil(() => hasLogged(0, "event=endpoints count="));
  const statuses = await statusesFor(1_000);
  assert.ok(statuses.every((status) => status === 200));
  assert.equal(left.arrivals_ms.length, arrivals);
  // An endpoint that is alive after all writes its entry again.
  fleet.registerEngine(Service.Desk, left);
  await waitUntil(() =>
    hasLogged(0, `endpoint=${left.id} pool=desk state=ready`)
  );
  await statusesFor(500);
  assert.ok(left.arrivals_ms.length > arrivals);
});

test("endpoints that the restored store lacks serve until they have written their entries again", async () => {
  await startFleet();
  const engines = [0, 1].map((n) => fleet.engine(Service.Desk, n));
  for (const { id } of engines) fleet.store.remove("servers", id);
  const copy = fleet.store.copy();
  for (const engine of engines) fleet.registerEngine(Service.Desk, engine);
  await waitUntil(() =>
    engines.every(({ id }) =>
      hasLogged(0, `endpoint=${id} pool=desk state=ready`)
    )
  );
  fleet.gateways[0]?.logLines.splice(0);
  fleet.store.restore(copy);
  await waitUntil(() => hasLogged(0, "event=endpoints count="));
  const before = await statusesFor(1_000);
  for (const engine of engines) fleet.registerEngine(Service.Desk, engine);
  const after = await statusesFor(2_500);
  assert.deepEqual(
    [...before, ...after].filter((status) => status !== 200),
    [],
  );
});

/** What gateway hosts know that is newer than the copy from which the store came back. */
import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import {
  ApiKey,
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
      "x-deadline-ms": "2000",
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
  fleet.store.put("servers", "ghost", {
    service: Service.Desk,
    address: stranger.address,
    zone: "az-1",
    version: "v1",
    slots: 8,
    state: "ready",
    cold_remaining_ms: 0,
    sequence: 1,
    born: 1,
  });
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

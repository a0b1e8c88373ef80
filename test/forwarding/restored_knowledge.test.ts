/** Gateway hosts whose object store came back from an older copy. */
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

async function callStatus(path: string, gateway = 0): Promise<number> {
  const { callers } = fleet.gateways[gateway] ?? { callers: "" };
  const response = await sendJsonRequest(callers, path, {
    method: "POST",
    text: "body",
    headers: {
      host: "fleet.example",
      "x-attempt-id": `attempt-${attempts++}`,
      "x-key": ApiKey.Docks,
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

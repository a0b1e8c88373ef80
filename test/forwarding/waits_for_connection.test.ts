/** Requests whose time ends while they wait for a connection to an endpoint. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, test } from "node:test";
import {
  defaultEngines,
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { callFleet } from "../endpoint_reports/fleet_calls.ts";

const WORK_MS = 1_500;
const DEADLINE_MS = 1_000;

let fleet: GatewayFleet;

afterEach(() => fleet.stop());

async function startFleet(engines: { id: string; work_ms?: number }[]) {
  fleet = new GatewayFleet({
    max_connections: 1,
    engines: { ...defaultEngines(), [Service.Desk]: engines },
  });
  await fleet.start();
}

/** The endpoint's only connection is busy with a request. */
async function occupy() {
  const engine = fleet.engine(Service.Desk);
  const running = callFleet(fleet, "/stamp/x", { deadline_ms: 1_900 });
  await waitUntil(() => engine.receivedRequests.length === 1);
  return { engine, running };
}

test("one whose deadline passes is refused as not run", async () => {
  await startFleet([{ id: "desk-1", work_ms: WORK_MS }]);
  const { engine, running } = await occupy();
  const answer = await callFleet(fleet, "/stamp/x", {
    deadline_ms: DEADLINE_MS,
  });
  assert.equal(answer.status, 503, JSON.stringify(answer));
  assert.equal((await running).status, 200);
  assert.equal(engine.receivedRequests.length, 1);
});

test("an idempotent one goes to another endpoint after its time for one send", async () => {
  await startFleet([{ id: "desk-1", work_ms: WORK_MS }, { id: "desk-2" }]);
  const logged = (text: string) =>
    fleet.gateways[0]?.logLines.some((line) =>
      line.includes("endpoint=desk-2") && line.includes(text)
    ) ?? false;
  fleet.store.remove("servers", "desk-2");
  await waitUntil(() => logged("state=removed"));
  const { engine, running } = await occupy();
  const waiting = callFleet(fleet, "/lookup/x", { deadline_ms: 1_300 });
  await sleep(50);
  fleet.registerEngine(Service.Desk, fleet.engine(Service.Desk, 1));
  await waitUntil(() => logged("state=ready"));
  assert.equal((await waiting).status, 200);
  assert.equal((await running).status, 200);
  assert.equal(engine.receivedRequests.length, 1);
});

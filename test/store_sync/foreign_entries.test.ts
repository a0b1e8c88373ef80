/**
 * Guards against requests that reach a draining endpoint since another writer's
 * entry, without the time of its start, counted as that of a new incarnation.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  RawCaller,
  rawRequest,
} from "../../stand_ins/deployment/raw_caller.ts";

const REQUESTS = 20;
const APPLIED_MS = 600;

for (const gateways of [1, 10]) {
  test(`an entry without a start brings no draining endpoint back, ${gateways} hosts`, async (t) => {
    const fleet = new GatewayFleet({ gateways });
    t.after(() => fleet.stop());
    await fleet.start();
    const engine = fleet.engine(Service.Desk);
    fleet.registerEngine(Service.Desk, engine, {
      state: "draining",
      sequence: 2,
    });
    await waitUntil(() =>
      fleet.gateways.every(({ logLines }) =>
        logLines.some((line) => line.includes("state=leaving"))
      )
    );
    fleet.registerEngine(Service.Desk, engine, { born: undefined });
    await sleep(APPLIED_MS);
    // A host that starts now has never seen the endpoint's own entry.
    await fleet.startGateway(gateways + 1);
    await sleep(APPLIED_MS);
    const received = engine.receivedRequests.length;
    for (const { callers } of fleet.gateways) {
      const caller = await RawCaller.open(callers);
      for (let n = 0; n < REQUESTS; n++) {
        caller.write(rawRequest("/stamp/x"));
        assert.equal((await caller.outcome()).status, 200);
      }
      caller.close();
    }
    assert.equal(engine.receivedRequests.length, received);
  });
}

test("endpoints of a deployment that tells no starts are used", async (t) => {
  const fleet = new GatewayFleet();
  t.after(() => fleet.stop());
  await fleet.start();
  for (const service of Object.values(Service)) {
    for (const engine of fleet.engines.get(service) ?? []) {
      fleet.registerEngine(service, engine, { born: undefined });
    }
  }
  const late = await fleet.startGateway(2);
  await waitUntil(() =>
    late.logLines.some((line) => line.includes("event=endpoints count=8"))
  );
  const caller = await RawCaller.open(late.callers);
  caller.write(rawRequest("/stamp/x"));
  assert.equal((await caller.outcome()).status, 200);
  caller.close();
});

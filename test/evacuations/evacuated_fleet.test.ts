/** Evacuations of a zone, by gateway hosts in this process. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";
import { EngineFault } from "../../stand_ins/deployment/engine.ts";
import {
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  call,
  firstGateway,
  IN_FORCE_MS,
  KIND,
  receivedBy,
  startFleet,
  waitForLine,
} from "./evacuating_fleet.ts";

const STAGES = { "x-pieces": "2,3", "x-piece-key": "cafe" };

test("requests leave an evacuated zone within the bound, and come back after it", async (t) => {
  const fleet = await startFleet(t, { gateways: 2 });
  fleet.store.put(KIND, "az-1", {});
  await sleep(IN_FORCE_MS);
  const before = receivedBy(fleet, Service.Desk, 0);
  for (let n = 0; n < 20; n++) {
    for (const gateway of fleet.gateways) {
      assert.equal((await call(gateway, "/stamp/1")).status, 200);
    }
  }
  assert.equal(receivedBy(fleet, Service.Desk, 0), before);
  fleet.store.remove(KIND, "az-1");
  await waitForLine(fleet, "event=evacuation zone=az-1 state=ended");
  await sleep(2_100);
  for (let n = 0; n < 20; n++) await call(firstGateway(fleet), "/stamp/1");
  assert.ok(receivedBy(fleet, Service.Desk, 0) > before);
});

test("while all zones of a pool are evacuated, requests are refused at once with a time", async (t) => {
  const fleet = await startFleet(t);
  const gateway = firstGateway(fleet);
  fleet.store.put(KIND, "az-1", {});
  fleet.store.put(KIND, "az-2", {});
  await sleep(IN_FORCE_MS);
  const requests = [
    call(gateway, "/stamp/1"),
    call(gateway, "/lookup/1"),
    call(gateway, "/review/1", { "x-pieces": "2,3", "x-piece-key": "cafe" }),
    call(gateway, "/draft/1"),
  ];
  for (const request of requests) {
    const started_ms = performance.now();
    const { status, headers, text } = await request;
    assert.equal(status, 503, text);
    assert.equal(headers["retry-after"], "1.000");
    assert.ok(text.includes("zones_evacuated"), text);
    assert.ok(performance.now() - started_ms < 200);
  }
  const engines = [...fleet.engines.values()].flat();
  for (const { receivedRequests, pieceCalls } of engines) {
    assert.deepEqual([receivedRequests.length, pieceCalls.length], [0, 0]);
  }
});

test("a host without the setting makes no call to the store for evacuations", async (t) => {
  const fleet = new GatewayFleet();
  t.after(() => fleet.stop());
  await fleet.start();
  fleet.store.put(KIND, "az-1", {});
  await sleep(500);
  const gateway = firstGateway(fleet);
  const { text } = await sendJsonRequest(gateway.metrics, "/metrics", {});
  assert.ok(text.includes('kind="servers"'));
  assert.ok(!text.includes('kind="evacuations"'));
  for (let n = 0; n < 20; n++) await call(gateway, "/stamp/1");
  assert.ok(receivedBy(fleet, Service.Desk, 0) > 0);
});

test("results in an evacuated zone aren't freed, and other zones may still read them", async (t) => {
  const engines = {
    [Service.Desk]: [{ id: "desk-1" }, { id: "desk-2" }],
    [Service.Model]: [
      { id: "model-1", events: 5, work_ms: 250 },
      { id: "model-2", events: 5, work_ms: 250 },
    ],
    // All in az-1, as zones alternate.
    [Service.Encode]: [{ id: "encode-1", call_ms: 20 }],
    [Service.Rank]: [{ id: "rank-1", call_ms: 20 }],
  };
  // In force long before the stream ends.
  const fleet = await startFleet(t, { engines, in_force_ms: 500 });
  const gateway = firstGateway(fleet);
  const request = call(gateway, "/review/1", {
    ...STAGES,
    "x-deadline-ms": "1900",
  });
  const models = fleet.engines.get(Service.Model) ?? [];
  await waitUntil(() =>
    models.some((each) => each.receivedRequests.length > 0)
  );
  const freedBefore = fleet.engine(Service.Rank).freed.length;
  fleet.store.put(KIND, "az-1", {});
  await waitForLine(fleet, "event=evacuations_in_force zones=az-1");
  // What runs is run to its end, wherever it runs.
  assert.equal((await request).status, 200);
  await sleep(300);
  assert.equal(fleet.engine(Service.Rank).freed.length, freedBefore);
  // It isn't tried either.
  const { logLines } = gateway;
  assert.ok(!logLines.some((line) => line.includes("event=free_failed")));
});

test("work that a batcher has queued for an evacuated zone runs elsewhere or is refused", async (t) => {
  const fleet = await startFleet(t, { call_ms: 200, target_latency_ms: 1_500 });
  const gateway = firstGateway(fleet);
  for (const index of [0, 1]) {
    fleet.store.remove("servers", `encode-${index + 1}`);
  }
  await waitForLine(fleet, "endpoint=encode-2");
  // Both endpoints want no calls, so that the job waits in its queue.
  const encoders = fleet.engines.get(Service.Encode) ?? [];
  for (const engine of encoders) {
    engine.fault = EngineFault.Full;
    fleet.registerEngine(Service.Encode, engine);
  }
  await sleep(500);
  const request = call(gateway, "/review/1", STAGES);
  await waitUntil(() =>
    encoders.some((each) => each.pieceCalls.length > 0) ||
    gateway.logLines.some((line) => line.includes("event=stage_call"))
  );
  fleet.store.put(KIND, "az-1", {});
  fleet.store.put(KIND, "az-2", {});
  const { status, headers } = await request;
  assert.equal(status, 503);
  assert.ok(Number(headers["retry-after"]) > 0);
  const calls = () =>
    gateway.logLines.filter((line) => line.includes("event=stage_call")).length;
  const before = calls();
  await sleep(300);
  assert.equal(calls(), before);
});

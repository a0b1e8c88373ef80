/**
 * Gateway hosts that stop one after the other while a stage pool is short of
 * endpoints. Requests that wait for its results when the drain's time limit
 * nears must be answered, or their callers see a connection cut for no reason.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  ApiKey,
  defaultEngines,
  GatewayFleet,
  Service,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { EngineFault } from "../../stand_ins/deployment/engine.ts";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";

const DRAIN_TIMEOUT_S = 4;
const STOP_INTERVAL_MS = 300;
const HOSTS = 3;

const NOT_RUN = 503;
const MAY_HAVE_RUN = 502;

/** A fleet whose first stage has one endpoint, which is always at capacity. */
async function startFleet(t: TestContext): Promise<GatewayFleet> {
  const route = {
    name: "review",
    hostname: "fleet.example",
    path_prefix: "/review/",
    kind: "streaming",
    service: Service.Model,
    stages: [{ service: Service.Encode, after: [], bytes: 1_000 }],
    timeout_ms: 60_000,
    target_latency_ms: 5_000,
    priority: 1,
    max_attempts: 2,
    public: false,
    sticky: false,
    resumable: false,
  };
  const fleet = new GatewayFleet({
    gateways: HOSTS,
    drain_timeout_s: DRAIN_TIMEOUT_S,
    engines: {
      ...defaultEngines(),
      [Service.Encode]: [{ id: "encode-1" }],
    },
    manifestChanges: { routes: [route] },
  });
  t.after(() => fleet.stop());
  await fleet.start();
  fleet.engine(Service.Encode).fault = EngineFault.Full;
  return fleet;
}

function send(callers: string, id: string): Promise<number> {
  return sendJsonRequest(callers, "/review/x", {
    method: "POST",
    text: "x",
    headers: {
      host: "fleet.example",
      "x-attempt-id": id,
      "x-key": ApiKey.Docks,
      "x-deadline-ms": "50000",
      "x-pieces": "2",
      "x-piece-key": "k",
    },
  }).then(({ status }) => status, () => 0);
}

test("hosts that stop in turn answer every request that waits for a stage", async (t) => {
  const fleet = await startFleet(t);
  const answers: Promise<number>[] = [];
  const drains: Promise<number>[] = [];
  for (const [index, { gateway, callers }] of fleet.gateways.entries()) {
    answers.push(send(callers, `before/${index}`));
    await delay(STOP_INTERVAL_MS);
    const started_ms = performance.now();
    gateway.drain();
    drains.push(gateway.stopped.then(() => performance.now() - started_ms));
    answers.push(send(callers, `after/${index}`));
  }
  const statuses = await Promise.all(answers);
  assert.deepEqual(statuses, statuses.map(() => NOT_RUN));
  for (const elapsed_ms of await Promise.all(drains)) {
    assert.ok(elapsed_ms < DRAIN_TIMEOUT_S * 1_000);
  }
});

test("a request that may have run is not answered as not run when its host stops", async (t) => {
  const fleet = await startFleet(t);
  const [host] = fleet.gateways;
  assert.ok(host !== undefined);
  for (const engine of fleet.engines.get(Service.Model) ?? []) {
    engine.fault = EngineFault.NoResponse;
  }
  const answer = sendJsonRequest(host.callers, "/review/x", {
    method: "POST",
    text: "x",
    headers: {
      host: "fleet.example",
      "x-attempt-id": "sent",
      "x-key": ApiKey.Docks,
      "x-deadline-ms": "50000",
      "x-pieces": "0",
    },
  });
  await delay(STOP_INTERVAL_MS);
  host.gateway.drain();
  assert.equal((await answer).status, MAY_HAVE_RUN);
});

/**
 * Requests that become ready to be sent late in the drain of their host, when
 * they would be cut at its end.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  defaultEngines,
  GatewayFleet,
  Service,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  CallerView,
  RawCaller,
  rawRequest,
} from "../../stand_ins/deployment/raw_caller.ts";

/** Requests are ended 1 s before. */
const DRAIN_TIMEOUT_S = 4;
const READY_AT_MS = 2_700;
const LONG_WORK_MS = 1_200;
const SHORT_WORK_MS = 20;

async function startFleet(
  t: TestContext,
  work_ms: number,
  drain_timeout_s = DRAIN_TIMEOUT_S,
): Promise<GatewayFleet> {
  const fleet = new GatewayFleet({
    drain_timeout_s,
    timeout_ms: 10_000,
    engines: {
      ...defaultEngines(),
      [Service.Desk]: [{ id: "desk-1", work_ms }],
      [Service.Model]: [{ id: "model-1", events: 3, work_ms }],
    },
  });
  t.after(() => fleet.stop());
  await fleet.start();
  return fleet;
}

function countReceived(fleet: GatewayFleet): number {
  return [...fleet.engines.values()].flat()
    .reduce((sum, engine) => sum + engine.receivedRequests.length, 0);
}

/** Sends a request whose last byte arrives late in its host's drain. */
async function sendLate(fleet: GatewayFleet, path: string) {
  const [host] = fleet.gateways;
  const caller = await RawCaller.open(host?.callers ?? "");
  const headers = { "x-deadline-ms": "6000", "x-pieces": "0,0" };
  const text = rawRequest(path, headers);
  host?.gateway.drain();
  caller.write(text.slice(0, -1));
  await sleep(READY_AT_MS);
  caller.write(text.slice(-1));
  const outcome = await caller.outcome();
  caller.close();
  return outcome;
}

for (const path of ["/stamp/x", "/lookup/x", "/draft/x", "/review/x"]) {
  test(`${path}: a request that would outlast the drain is refused as not run`, async (t) => {
    const fleet = await startFleet(t, LONG_WORK_MS);
    const outcome = await sendLate(fleet, path);
    assert.deepEqual([outcome.view, outcome.status], [
      CallerView.Complete,
      503,
    ]);
    assert.match(outcome.text, /^retry-after: 0\.020/im);
    assert.equal(countReceived(fleet), 0);
  });
}

test("a request that is expected to end within the drain is served", async (t) => {
  const fleet = await startFleet(t, SHORT_WORK_MS);
  const caller = await RawCaller.open(fleet.gateways[0]?.callers ?? "");
  for (let n = 0; n < 8; n++) {
    caller.write(rawRequest("/stamp/x"));
    assert.equal((await caller.outcome()).status, 200);
  }
  caller.close();
  const outcome = await sendLate(fleet, "/stamp/x");
  assert.deepEqual([outcome.view, outcome.status], [CallerView.Complete, 200]);
});

test("a draining host that knows nothing of a route serves streams that have time", async (t) => {
  const fleet = await startFleet(t, SHORT_WORK_MS, 8);
  const [host] = fleet.gateways;
  host?.gateway.drain();
  for (const path of ["/lookup/x", "/draft/x", "/review/x"]) {
    const caller = await RawCaller.open(host?.callers ?? "");
    const headers = { "x-deadline-ms": "9000", "x-pieces": "0,0" };
    caller.write(rawRequest(path, headers));
    const { view, status } = await caller.outcome();
    assert.deepEqual([view, status], [CallerView.Complete, 200]);
    caller.close();
  }
});

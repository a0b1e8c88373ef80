/**
 * Endpoints that write an earlier refusal once more on a connection in use
 * again. It says nothing of the request that waits there: that request may run.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { EngineFault } from "../../stand_ins/deployment/engine.ts";
import {
  ApiKey,
  GatewayFleet,
  Service,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";

const IDS: Record<string, string | undefined> = {
  "the id of the earlier request": "first",
  "no id": undefined,
  "an unknown id": "unknown",
};
const STATUSES = [503, 429, 421, 400, 409, 408];
const DELAYS_MS = [0, 5, 50];
/** Longer than the latest refusal, so that it precedes the answer. */
const WORK_MS = 100;
const CALL_TIMEOUT_MS = 3_000;
const MAX_CALLS = 10;
/** Statuses that promise that a request has not run and will not run. */
const PROMISES = [408, 421, 429, 503];

/** A deployment in which every endpoint has one idle connection. */
async function startFleet(t: TestContext): Promise<GatewayFleet> {
  const engine = (id: string) => ({ id, work_ms: WORK_MS });
  const fleet = new GatewayFleet({
    engines: {
      [Service.Desk]: [engine("desk-1"), engine("desk-2")],
      [Service.Model]: [],
      [Service.Encode]: [],
      [Service.Rank]: [],
    },
  });
  t.after(() => fleet.stop());
  await fleet.start();
  const calls = Array.from({ length: 8 }, () => call(fleet, "/lookup/x"));
  await Promise.all(calls);
  assert.ok(engines(fleet).every(({ connections }) => connections > 0));
  return fleet;
}

function engines(fleet: GatewayFleet) {
  return fleet.engines.get(Service.Desk) ?? [];
}

/** The caller's answer; status 0 if there is none in time. */
async function call(fleet: GatewayFleet, path: string, id = "first") {
  try {
    return await sendJsonRequest(fleet.gateways[0]?.callers ?? "", path, {
      method: "POST",
      text: id,
      timeout_ms: CALL_TIMEOUT_MS,
      headers: {
        host: "fleet.example",
        "x-attempt-id": id,
        "x-key": ApiKey.Docks,
        "x-deadline-ms": "1500",
        "x-pieces": "1",
        "x-piece-key": "cafe",
      },
    });
  } catch {
    return { status: 0, text: "" };
  }
}

function runsOf(fleet: GatewayFleet, id: string): number {
  return engines(fleet).flatMap((engine) => engine.receivedRequests)
    .filter(({ headers }) => headers["x-attempt-id"] === id).length;
}

/** Number of refusals that all endpoints have written once more. */
function repeatedRefusals(fleet: GatewayFleet): number {
  return engines(fleet).reduce((sum, each) => sum + each.repeatedRefusals, 0);
}

function injectFault(fleet: GatewayFleet, fault: EngineFault): void {
  for (const engine of engines(fleet)) engine.fault = fault;
}

/**
 * Calls until an endpoint has written its earlier refusal once more. An endpoint
 * that backs off may have no connection that it can repeat one on.
 */
async function callUntilRepeated(fleet: GatewayFleet, name: string) {
  const before = repeatedRefusals(fleet);
  for (let n = 0; n < MAX_CALLS; n++) {
    injectFault(fleet, EngineFault.None);
    await Promise.all([1, 2, 3].map(() => call(fleet, "/lookup/x")));
    injectFault(fleet, EngineFault.RepeatedRefusal);
    const id = `${name}-${n}`;
    const { status } = await call(fleet, "/stamp/x", id);
    assert.ok(!PROMISES.includes(status), `${id}: ${status}`);
    assert.equal(runsOf(fleet, id), 1, id);
    if (repeatedRefusals(fleet) > before) return;
  }
  assert.fail(`${name}: no refusal was repeated`);
}

for (const [description, attempt_id] of Object.entries(IDS)) {
  test(`a repeated refusal with ${description} does not make a non-idempotent request not run`, async (t) => {
    const fleet = await startFleet(t);
    for (const status of STATUSES) {
      for (const delay_ms of DELAYS_MS) {
        for (const engine of engines(fleet)) {
          engine.repeatedRefusal = { status, attempt_id, delay_ms };
        }
        await callUntilRepeated(fleet, `unsafe-${status}-${delay_ms}`);
      }
    }
  });

  test(`a repeated refusal with ${description} does not answer an idempotent request`, async (t) => {
    const fleet = await startFleet(t);
    for (const engine of engines(fleet)) {
      engine.repeatedRefusal = { status: 503, attempt_id, delay_ms: 5 };
    }
    injectFault(fleet, EngineFault.RepeatedRefusal);
    const answer = await call(fleet, "/lookup/x", "safe");
    assert.ok([200, 502].includes(answer.status), `${answer.status}`);
    assert.ok(repeatedRefusals(fleet) > 0);
    if (answer.status === 200) assert.match(answer.text, /^desk-\d:safe$/);
  });

  test(`a repeated answer with ${description} is not passed on as the answer`, async (t) => {
    const fleet = await startFleet(t);
    for (const status of [200, 404, 500]) {
      const delay_ms = 5;
      const origin = { attempt_id, executed: true, signed: true };
      const earlier = { status, delay_ms, ...origin };
      for (const engine of engines(fleet)) engine.repeatedRefusal = earlier;
      injectFault(fleet, EngineFault.RepeatedRefusal);
      const answer = await call(fleet, "/stamp/x", `answer-${status}`);
      assert.ok([0, 502].includes(answer.status), `${answer.status}`);
      injectFault(fleet, EngineFault.None);
      await Promise.all([1, 2, 3].map(() => call(fleet, "/lookup/x")));
    }
  });
}

test("a refusal without an id is a promise on a new connection", async (t) => {
  const fleet = new GatewayFleet();
  t.after(() => fleet.stop());
  await fleet.start();
  for (const engine of engines(fleet)) engine.refusalsEchoId = false;
  injectFault(fleet, EngineFault.Full);
  assert.equal((await call(fleet, "/stamp/x", "refused")).status, 503);
  assert.equal(runsOf(fleet, "refused"), 0);
});

test("a refusal that echoes the id is a promise on a connection in use again", async (t) => {
  const fleet = await startFleet(t);
  const [, second] = engines(fleet);
  assert.ok(second !== undefined);
  injectFault(fleet, EngineFault.Full);
  second.fault = EngineFault.None;
  for (let n = 0; n < 4; n++) {
    assert.equal((await call(fleet, "/stamp/x", `n${n}`)).status, 200);
    assert.equal(runsOf(fleet, `n${n}`), 1);
  }
});

test("a request without stages that is refused for a lost result gets an answer", async (t) => {
  const fleet = new GatewayFleet();
  t.after(() => fleet.stop());
  await fleet.start();
  injectFault(fleet, EngineFault.InputsGone);
  assert.equal((await call(fleet, "/stamp/x", "refused")).status, 503);
});

test("a stream that may have run is not called not run when its stage results are lost", async (t) => {
  const fleet = new GatewayFleet({
    manifestChanges: {
      routes: [{
        name: "resumed",
        hostname: "fleet.example",
        path_prefix: "/resumed/",
        kind: "streaming",
        service: Service.Model,
        stages: [{ service: Service.Encode, after: [], bytes: 1_000 }],
        timeout_ms: 2_000,
        target_latency_ms: 300,
        priority: 1,
        max_attempts: 2,
        public: true,
        sticky: false,
        resumable: true,
      }],
    },
  });
  t.after(() => fleet.stop());
  await fleet.start();
  const models = fleet.engines.get(Service.Model) ?? [];
  for (const model of models) {
    model.fault = EngineFault.ResponseLost;
    model.onReceived = () => {
      for (const each of models) each.fault = EngineFault.InputsGone;
    };
  }
  const { status } = await call(fleet, "/resumed/x", "resumed");
  assert.equal(status, 502);
});

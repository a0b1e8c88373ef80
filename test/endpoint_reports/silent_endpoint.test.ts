/** Sound endpoints that fall silent for a second or so, and go on. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, test } from "node:test";
import type { Engine } from "../../stand_ins/deployment/engine.ts";
import {
  defaultEngines,
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { attemptCount, callFleet } from "./fleet_calls.ts";

const HTTP_OK = 200;
const SILENCE_MS = 1_200;
/** Usual time of an answer; an endpoint that takes longer gets fewer requests. */
const WORK_MS = 40;
/** Time after a silence in which the endpoint must be in use again. */
const MAX_EXCLUSION_MS = 1_000;

let fleet: GatewayFleet;

afterEach(() => fleet.stop());

async function startFleet(
  engines: Partial<ReturnType<typeof defaultEngines>> = {},
): Promise<void> {
  const work_ms = WORK_MS;
  fleet = new GatewayFleet({
    engines: {
      ...defaultEngines(),
      [Service.Desk]: [{ id: "desk-1", work_ms }, { id: "desk-2", work_ms }],
      ...engines,
    },
  });
  await fleet.start();
}

function call(path: string, pieces?: string) {
  return callFleet(fleet, path, { pieces, deadline_ms: 4_000 });
}

function callMany(count: number, path: string, pieces?: string) {
  return Promise.all(Array.from({ length: count }, () => call(path, pieces)));
}

/** Has every endpoint answer, so that all are known to be well. */
async function warmUp(service: Service, path: string, pieces?: string) {
  const engines = fleet.engines.get(service) ?? [];
  for (let n = 0; n < 50; n++) {
    await callMany(4, path, pieces);
    if (engines.every(({ arrivals_ms }) => arrivals_ms.length > 0)) return;
  }
  assert.fail("an endpoint was never reached");
}

function fallSilent(engine: Engine): void {
  engine.silentUntil_ms = performance.now() + SILENCE_MS;
}

/** Sends requests after a silence; the endpoint must soon get one. */
async function assertInUseAgain(engine: Engine, path: string, pieces?: string) {
  await sleep(Math.max(0, engine.silentUntil_ms - performance.now()));
  const end_ms = performance.now() + MAX_EXCLUSION_MS;
  const isInUse = () =>
    engine.arrivals_ms.some((at_ms) => at_ms > engine.silentUntil_ms);
  while (performance.now() < end_ms && !isInUse()) {
    const answers = await callMany(16, path, pieces);
    assert.ok(answers.every(({ status }) => status === HTTP_OK));
  }
  assert.ok(isInUse(), `not in use ${MAX_EXCLUSION_MS} ms after its silence`);
}

test("non-idempotent requests are answered after it, each run once", async () => {
  await startFleet();
  const engine = fleet.engine(Service.Desk);
  await warmUp(Service.Desk, "/stamp/x");
  const before = attemptCount();
  fallSilent(engine);
  const answers = await callMany(8, "/stamp/x");
  assert.ok(answers.every(({ status }) => status === HTTP_OK));
  const runs = (fleet.engines.get(Service.Desk) ?? [])
    .flatMap(({ receivedRequests }) => receivedRequests)
    .map(({ headers }) => headers["x-attempt-id"])
    .filter((id) => Number(id?.split("-")[1]) >= before);
  assert.equal(new Set(runs).size, runs.length);
  assert.equal(runs.length, answers.length);
  await assertInUseAgain(engine, "/stamp/x");
});

test("idempotent requests are answered, and the endpoint is in use again soon", async () => {
  await startFleet();
  const engine = fleet.engine(Service.Desk);
  await warmUp(Service.Desk, "/lookup/x");
  fallSilent(engine);
  while (performance.now() < engine.silentUntil_ms) {
    const answers = await callMany(8, "/lookup/x");
    assert.ok(answers.every(({ status }) => status === HTTP_OK));
    await sleep(20);
  }
  await assertInUseAgain(engine, "/lookup/x");
});

test("a resumable stream is answered if it falls silent before its head, and the endpoint is in use again soon", async () => {
  await startFleet();
  const engine = fleet.engine(Service.Model);
  await warmUp(Service.Model, "/draft/x");
  fallSilent(engine);
  while (performance.now() < engine.silentUntil_ms) {
    const answers = await callMany(8, "/draft/x");
    for (const { status, text } of answers) {
      assert.equal(status, HTTP_OK);
      assert.equal(text.match(/^id: /gm)?.length, 5);
    }
    await sleep(20);
  }
  await assertInUseAgain(engine, "/draft/x");
});

for (const path of ["/draft/x", "/review/x"]) {
  test(`${path}: a stream goes on whole after a silence between its events`, async () => {
    await startFleet({
      [Service.Model]: [{ id: "model-1", events: 5, work_ms: 50 }],
    });
    const engine = fleet.engine(Service.Model);
    const answering = callMany(4, path);
    await waitUntil(() => engine.receivedRequests.length === 4);
    await sleep(120);
    fallSilent(engine);
    for (const { status, text } of await answering) {
      assert.equal(status, HTTP_OK);
      assert.deepEqual(
        text.match(/^id: \d$/gm),
        [1, 2, 3, 4, 5].map((id) => `id: ${id}`),
      );
    }
    assert.equal(engine.receivedRequests.length, 4);
    assert.equal(engine.abortedRequests, 0);
    await assertInUseAgain(engine, path);
  });
}

test("stages run elsewhere while an endpoint of theirs is silent, and it is in use again soon", async () => {
  await startFleet();
  const engine = fleet.engine(Service.Encode);
  await warmUp(Service.Encode, "/review/x", "4,1");
  fallSilent(engine);
  while (performance.now() < engine.silentUntil_ms) {
    const answers = await callMany(4, "/review/x", "4,1");
    assert.ok(answers.every(({ status }) => status === HTTP_OK));
  }
  const calls = engine.pieceCalls.length;
  await sleep(Math.max(0, engine.silentUntil_ms - performance.now()));
  const end_ms = performance.now() + MAX_EXCLUSION_MS;
  while (performance.now() < end_ms && engine.pieceCalls.length === calls) {
    await callMany(4, "/review/x", "4,1");
  }
  assert.ok(engine.pieceCalls.length > calls, "not in use again");
});

/**
 * A request that was read whole ends with an answer or an honest refusal,
 * whatever throws or hangs while it is handled.
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, mock, test } from "node:test";
import { deploymentCodec } from "../../platform/codec.ts";
import { JobRouter } from "../../src/batching/job_router.ts";
import { EndpointAgents } from "../../src/endpoints/endpoint_agents.ts";
import { EventSplitter } from "../../src/forwarding/event_splitter.ts";
import { QuarantineService } from "../../src/quarantine/quarantine_service.ts";
import { ObservedEndpoint } from "../../src/routing/observed_load.ts";
import { PoolRetryBudgets } from "../../src/routing/repeat_budget.ts";
import { EndpointRegistry } from "../../src/store_sync/endpoint_registry.ts";
import { EngineFault } from "../../stand_ins/deployment/engine.ts";
import {
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  CallerView,
  RawCaller,
  type RawOutcome,
  rawRequest,
} from "../../stand_ins/deployment/raw_caller.ts";

/** Longest time after a request's deadline at which it may end. */
const LATE_MS = 500;

let fleet: GatewayFleet;
let caller: RawCaller;

beforeEach(async () => {
  fleet = new GatewayFleet();
  await fleet.start();
  caller = await RawCaller.open(fleet.gateways[0]?.callers ?? "");
});

afterEach(() => {
  mock.restoreAll();
  caller.close();
  fleet.stop();
});

async function call(
  path: string,
  headers: Record<string, string> = {},
): Promise<RawOutcome> {
  caller.write(rawRequest(path, headers));
  return await caller.outcome();
}

function assertNoLoss(): void {
  const lost = fleet.gateways[0]?.logLines.filter((line) =>
    line.includes("end=no_outcome")
  );
  assert.deepEqual(lost, []);
}

function throwFrom(object: object, method: string): void {
  mock.method(object as Record<string, () => void>, method, () => {
    throw new Error(`${method} throws`);
  });
}

function countRuns(): number {
  return [...fleet.engines.values()].flat()
    .reduce((sum, engine) => sum + engine.receivedRequests.length, 0);
}

const THROWS_BEFORE_SENDING: [string, object, string][] = [
  ["its headers are decoded", deploymentCodec, "decodeRequest"],
  ["its prompt is checked", QuarantineService.prototype, "admit"],
  ["it is recorded", PoolRetryBudgets.prototype, "recordRequest"],
  ["its stages run", JobRouter.prototype, "run"],
  ["an endpoint is chosen", EndpointRegistry.prototype, "readyInPool"],
  ["its send is encoded", deploymentCodec, "encodeRequestHeaders"],
  ["its connection is chosen", EndpointAgents.prototype, "agentFor"],
];

for (const [step, object, method] of THROWS_BEFORE_SENDING) {
  test(`a request is refused as not run if an error is thrown when ${step}`, async () => {
    throwFrom(object, method);
    const outcome = await call("/review/x");
    assert.deepEqual([outcome.view, outcome.status], [
      CallerView.Complete,
      503,
    ]);
    mock.restoreAll();
    assert.equal(countRuns(), 0);
    assertNoLoss();
  });
}

const THROWS_AFTER_SENDING: [string, object, string][] = [
  ["the response's head is decoded", deploymentCodec, "decodeResponse"],
  [
    "the response's headers are filtered",
    deploymentCodec,
    "filterResponseHeaders",
  ],
];

for (const [step, object, method] of THROWS_AFTER_SENDING) {
  test(`a request gets 502 if an error is thrown when ${step}`, async () => {
    throwFrom(object, method);
    const outcome = await call("/stamp/x");
    assert.deepEqual([outcome.view, outcome.status], [
      CallerView.Complete,
      502,
    ]);
    assert.equal(countRuns(), 1);
    assertNoLoss();
  });
}

test("a stream gets 502 if an error is thrown at its first bytes", async () => {
  throwFrom(EventSplitter.prototype, "push");
  const outcome = await call("/review/x");
  assert.deepEqual([outcome.view, outcome.status], [CallerView.Complete, 502]);
  assertNoLoss();
});

test("a stream is cut if an error is thrown after its head", async () => {
  const push = EventSplitter.prototype.push;
  let chunks = 0;
  mock.method(
    EventSplitter.prototype,
    "push",
    function (this: EventSplitter, chunk: Buffer) {
      if (++chunks > 2) throw new Error("push throws");
      return push.call(this, chunk);
    },
  );
  assert.equal((await call("/review/x")).view, CallerView.Cut);
  assertNoLoss();
});

test("an answer stays whole if an error is thrown after it", async () => {
  throwFrom(ObservedEndpoint.prototype, "recordOutcome");
  const outcome = await call("/stamp/x");
  assert.deepEqual([outcome.view, outcome.status], [CallerView.Complete, 200]);
  assert.equal((await call("/stamp/x")).status, 200);
  assertNoLoss();
});

test("a request ends in time if its stages never return", async () => {
  mock.method(JobRouter.prototype, "run", () => new Promise(() => {}));
  const started_ms = performance.now();
  const outcome = await call("/review/x", { "x-deadline-ms": "600" });
  assert.equal(outcome.status, 503);
  assert.ok(performance.now() - started_ms < 600 + LATE_MS);
  assertNoLoss();
});

test("a request ends in time if its endpoint's crash can't be told", async () => {
  mock.method(
    QuarantineService.prototype,
    "recordBroken",
    () => ({
      crashed: new Promise(() => {}),
      suspected: new Promise(() => {}),
    }),
  );
  for (const engine of fleet.engines.get(Service.Desk) ?? []) {
    engine.fault = EngineFault.ResponseLost;
  }
  const started_ms = performance.now();
  const outcome = await call("/lookup/x", { "x-deadline-ms": "600" });
  assert.ok(outcome.status === 502 || outcome.status === 504, outcome.text);
  assert.ok(performance.now() - started_ms < 600 + LATE_MS);
  assertNoLoss();
});

const ODD_HEADS: [string, string][] = [
  ["a status below 100", "HTTP/1.1 099 Odd"],
  ["a switch of protocols", "HTTP/1.1 101 Switching Protocols"],
  ["a control character in its status text", "HTTP/1.1 200 O\x01K"],
];

for (const [what, statusLine] of ODD_HEADS) {
  for (const path of ["/stamp/x", "/review/x"]) {
    test(`${path}: a request ends in time if its endpoint answers with ${what}`, async () => {
      for (const engine of [...fleet.engines.values()].flat()) {
        engine.raw_response = `${statusLine}\r\nx-attempt-id: {id}\r\n` +
          "x-response-signature: s\r\ncontent-type: text/event-stream\r\n" +
          "connection: upgrade\r\nupgrade: odd\r\n" +
          "content-length: 13\r\n\r\nid: 1\ndata:\n\n";
      }
      const started_ms = performance.now();
      const outcome = await call(path, { "x-deadline-ms": "600" });
      assert.ok(performance.now() - started_ms < 600 + LATE_MS);
      assert.equal(outcome.view, CallerView.Complete);
      assert.ok((outcome.status ?? 0) > 500, outcome.text);
      assertNoLoss();
    });
  }
}

for (const path of ["/stamp/x", "/draft/x"]) {
  test(`${path}: a request without stages is refused if its endpoints miss results of stages`, async () => {
    for (const engine of [...fleet.engines.values()].flat()) {
      engine.fault = EngineFault.InputsGone;
    }
    const outcome = await call(path, {
      "x-deadline-ms": "600",
      "x-pieces": "",
    });
    assert.deepEqual([outcome.view, outcome.status], [
      CallerView.Complete,
      503,
    ]);
    assertNoLoss();
  });
}

test("a request without stages goes to another endpoint if one misses results", async () => {
  fleet.engine(Service.Desk).fault = EngineFault.InputsGone;
  for (let n = 0; n < 8; n++) {
    assert.equal((await call("/stamp/x", { "x-pieces": "" })).status, 200);
  }
});

test("requests of an organisation with a name beyond Latin-1 reach an endpoint", async () => {
  const name = "Žižkov";
  fleet.publishManifest({ tenants: [{ name, api_keys: ["key-docks"] }] });
  await waitUntil(() =>
    fleet.gateways[0]?.logLines.some((line) =>
      line.includes("event=configuration version=2")
    ) ?? false
  );
  assert.equal((await call("/stamp/x")).status, 200);
  const received = [...fleet.engines.values()].flat()
    .flatMap(({ receivedRequests }) => receivedRequests);
  const header = received[0]?.headers["x-tenant"] ?? "";
  assert.equal(Buffer.from(header, "latin1").toString(), name);
});

test("a request that can't be written to any connection is refused", async () => {
  const engine = fleet.engine(Service.Desk);
  engine.stop();
  fleet.engine(Service.Desk, 1).stop();
  fleet.store.remove("servers", "desk-2");
  fleet.registerEngine(Service.Desk, engine, { address: "127.0.0.1:99999" });
  await waitUntil(() =>
    fleet.gateways[0]?.logLines.some((line) =>
      line.includes("endpoint=desk-1")
    ) ?? false
  );
  const outcome = await call("/stamp/x");
  assert.deepEqual([outcome.view, outcome.status], [CallerView.Complete, 503]);
  assertNoLoss();
});

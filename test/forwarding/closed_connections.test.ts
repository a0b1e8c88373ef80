/** Requests beside the close of their connection by the host. */
import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  defaultEngines,
  GatewayFleet,
  type GatewayFleetOptions,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  CallerView,
  RawCaller,
  rawRequest,
} from "../../stand_ins/deployment/raw_caller.ts";

const LIMITS = {
  max_header_bytes: 8_192,
  max_body_bytes: 20_000,
  header_timeout_ms: 500,
  idle_timeout_ms: 5_000,
};
/** Time within which a host has looked for idle connections once. */
const IDLE_CHECK_MS = 5_000;

let fleet: GatewayFleet;
let callers: RawCaller[] = [];

async function start(options: GatewayFleetOptions = {}): Promise<void> {
  fleet = new GatewayFleet(options);
  await fleet.start();
}

async function open(): Promise<RawCaller> {
  const caller = await RawCaller.open(fleet.gateways[0]?.callers ?? "");
  callers.push(caller);
  return caller;
}

afterEach(() => {
  for (const caller of callers) caller.close();
  callers = [];
  fleet.stop();
});

function countRuns(): number {
  return [...fleet.engines.values()].flat()
    .reduce((sum, engine) => sum + engine.receivedRequests.length, 0);
}

test("a request that crosses the close of its idle connection is not passed on", async () => {
  await start({
    manifestChanges: { limits: { ...LIMITS, idle_timeout_ms: 100 } },
  });
  const caller = await open();
  caller.write(rawRequest("/stamp/x"));
  assert.equal((await caller.outcome()).status, 200);
  await waitUntil(() => caller.closed, 2 * IDLE_CHECK_MS);
  caller.write(rawRequest("/stamp/x"));
  await sleep(200);
  assert.equal(countRuns(), 1);
});

test("a request whose first bytes have arrived survives the close of idle connections", async () => {
  const engines = defaultEngines();
  engines[Service.Model] = [{ id: "model-1", events: 18, work_ms: 100 }];
  await start({ engines });
  const [caller, idle, other] = [await open(), await open(), await open()];
  const request = rawRequest("/stamp/x");
  caller.write(request.slice(0, 40));
  fleet.gateways[0]?.gateway.drain();
  await sleep(1_500);
  // Keeps the host from stopping.
  other.write(rawRequest("/draft/x"));
  await waitUntil(() => idle.closed);
  caller.write(request.slice(40));
  const outcome = await caller.outcome();
  assert.equal(outcome.view, CallerView.Complete);
  assert.match(outcome.text, /connection: close/i);
});

test("a connection that promised to stay open is not closed right after a stream", async () => {
  const engines = defaultEngines();
  engines[Service.Model] = [{ id: "model-1", events: 8, work_ms: 100 }];
  await start({ engines });
  const caller = await open();
  caller.write(rawRequest("/draft/x"));
  await waitUntil(() => caller.received.includes("id: 2"));
  fleet.gateways[0]?.gateway.drain();
  assert.equal((await caller.outcome()).view, CallerView.Complete);
  caller.write(rawRequest("/stamp/x"));
  const outcome = await caller.outcome();
  assert.deepEqual([outcome.status, countRuns()], [200, 2]);
  assert.match(outcome.text, /connection: close/i);
});

test("a shorter idle time-out does not close connections that became idle before", async () => {
  await start();
  const caller = await open();
  caller.write(rawRequest("/stamp/x"));
  assert.equal((await caller.outcome()).status, 200);
  fleet.publishManifest({ limits: { ...LIMITS, idle_timeout_ms: 100 } });
  await sleep(IDLE_CHECK_MS + 300);
  assert.equal(caller.closed, false);
  caller.write(rawRequest("/stamp/x"));
  assert.equal((await caller.outcome()).status, 200);
});

test("a pipelined request keeps its connection from being idle", async () => {
  const engines = defaultEngines();
  engines[Service.Desk] = [{ id: "desk-1", work_ms: 3_500 }];
  const limits = { ...LIMITS, idle_timeout_ms: 100 };
  await start({ engines, manifestChanges: { limits } });
  await sleep(IDLE_CHECK_MS - 1_000);
  const caller = await open();
  caller.write(
    rawRequest("/stamp/x", { "x-key": "unknown" }) +
      rawRequest("/stamp/x", { "x-deadline-ms": "1900" }),
  );
  assert.equal((await caller.outcome()).status, 401);
  assert.equal((await caller.outcome()).status, 504);
});

test("CONNECT gets a response", async () => {
  await start();
  const caller = await open();
  caller.write(
    "CONNECT other.example:443 HTTP/1.1\r\nhost: other.example\r\n\r\n",
  );
  assert.equal((await caller.outcome()).status, 405);
});

test("requests for an upgrade and with an unknown expectation get a response", async () => {
  await start();
  const caller = await open();
  const upgrade = { connection: "upgrade", upgrade: "websocket" };
  caller.write(rawRequest("/stamp/x", upgrade));
  assert.equal((await caller.outcome()).status, 200);
  const other = await open();
  other.write(rawRequest("/stamp/x", { expect: "the-moon" }));
  assert.equal((await other.outcome()).status, 417);
});

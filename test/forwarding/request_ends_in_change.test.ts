/**
 * Requests that wait while what they need is taken away, or while their host
 * stops: each ends with an answer or an honest refusal, and in time.
 */
import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  ApiKey,
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

/** Longest time after a request's deadline at which it may end. */
const LATE_MS = 500;
const DEADLINE_MS = 1_500;

let fleet: GatewayFleet;
let callers: RawCaller[] = [];

async function start(options: GatewayFleetOptions = {}): Promise<void> {
  fleet = new GatewayFleet(options);
  await fleet.start();
}

async function send(path: string, gateway = 0): Promise<RawCaller> {
  const caller = await RawCaller.open(fleet.gateways[gateway]?.callers ?? "");
  callers.push(caller);
  caller.write(rawRequest(path, { "x-deadline-ms": String(DEADLINE_MS) }));
  return caller;
}

afterEach(() => {
  for (const caller of callers) caller.close();
  callers = [];
  const lines = fleet.gateways.flatMap(({ logLines }) => logLines);
  fleet.stop();
  assert.deepEqual(
    lines.filter((line) => /event=fault|end=no_outcome/.test(line)),
    [],
  );
});

function slowEngines(service: Service, change: object) {
  const engines = defaultEngines();
  engines[service] = [{ id: `${service}-1`, ...change }];
  return engines;
}

async function configurationInForce(version: number): Promise<void> {
  await waitUntil(() =>
    fleet.gateways.every(({ logLines }) =>
      logLines.some((line) =>
        line.includes(`event=configuration version=${version}`)
      )
    )
  );
}

const received = (service: Service) =>
  fleet.engine(service).receivedRequests.length;

const CHANGES: [string, Record<string, unknown>][] = [
  ["its route is removed", { routes: [] }],
  ["its route's service is removed", { services: [] }],
  ["its key is withdrawn", {
    tenants: [{ name: "mills", api_keys: [ApiKey.Mills] }],
  }],
];

for (const [what, change] of CHANGES) {
  test(`a request that runs when ${what} gets its answer`, async () => {
    await start({ engines: slowEngines(Service.Desk, { work_ms: 600 }) });
    const caller = await send("/stamp/x");
    await waitUntil(() => received(Service.Desk) === 1);
    fleet.publishManifest(change);
    await configurationInForce(2);
    assert.equal((await caller.outcome()).status, 200);
  });

  test(`a request whose stages run when ${what} ends in time`, async () => {
    await start({
      gateways: 2,
      engines: slowEngines(Service.Encode, { call_ms: 300 }),
    });
    const started_ms = performance.now();
    const waiting = [];
    for (let n = 0; n < 6; n++) waiting.push(await send("/review/x", n % 2));
    await waitUntil(() => fleet.engine(Service.Encode).pieceCalls.length > 0);
    // All requests have arrived; the first call takes longer.
    await sleep(100);
    fleet.publishManifest(change);
    for (const caller of waiting) {
      const { view, status } = await caller.outcome();
      assert.equal(view, CallerView.Complete);
      assert.ok([200, 503, 504].includes(status ?? 0), String(status));
    }
    const elapsed_ms = performance.now() - started_ms;
    assert.ok(elapsed_ms < DEADLINE_MS + LATE_MS, `${elapsed_ms} ms`);
  });
}

test("a request keeps the time-out that it came with", async () => {
  await start({ engines: slowEngines(Service.Desk, { work_ms: 800 }) });
  const caller = await send("/stamp/x");
  await waitUntil(() => received(Service.Desk) === 1);
  fleet.publishManifest({
    routes: [{
      name: "stamp",
      hostname: "fleet.example",
      path_prefix: "/stamp/",
      kind: "unsafe",
      timeout_ms: 50,
      service: Service.Desk,
    }],
  });
  await configurationInForce(2);
  assert.equal((await caller.outcome()).status, 200);
});

for (const change of ["removed", "leaving"]) {
  test(`a request that waits for the next send of an endpoint ends in time if that is ${change}`, async () => {
    await start({ engines: slowEngines(Service.Desk, { work_ms: 1 }) });
    const engine = fleet.engine(Service.Desk);
    engine.rate_limit_per_s = 2;
    for (let n = 0; n < 3; n++) {
      await (await send("/stamp/x")).outcome();
    }
    const started_ms = performance.now();
    const waiting = [await send("/stamp/x"), await send("/stamp/x")];
    if (change === "removed") fleet.store.remove("servers", engine.id);
    else fleet.registerEngine(Service.Desk, engine, { state: "draining" });
    for (const caller of waiting) {
      const { view, status } = await caller.outcome();
      assert.equal(view, CallerView.Complete);
      assert.ok(status === 200 || status === 503, String(status));
    }
    assert.ok(performance.now() - started_ms < DEADLINE_MS + LATE_MS);
  });
}

test("a host that stops while a body arrives reads it to its end", async () => {
  await start({ drain_timeout_s: 5 });
  fleet.gateways[0]?.gateway.drain();
  await sleep(1_500);
  const caller = await RawCaller.open(fleet.gateways[0]?.callers ?? "");
  callers.push(caller);
  const request = rawRequest("/stamp/x", { "x-deadline-ms": "9000" });
  caller.write(request.slice(0, -2));
  await sleep(1_400);
  caller.write(request.slice(-2));
  assert.equal((await caller.outcome()).status, 200);
});

test("a request whose body doesn't end is refused when its host must stop", async () => {
  await start({ drain_timeout_s: 4 });
  const caller = await RawCaller.open(fleet.gateways[0]?.callers ?? "");
  callers.push(caller);
  caller.write(rawRequest("/stamp/x").slice(0, -2));
  await sleep(50);
  fleet.gateways[0]?.gateway.drain();
  const outcome = await caller.outcome();
  assert.deepEqual([outcome.view, outcome.status], [CallerView.Complete, 503]);
});

test("requests that outlast the drain of their host are refused or answered", async () => {
  await start({
    drain_timeout_s: 4,
    engines: slowEngines(Service.Desk, { work_ms: 9_000 }),
    timeout_ms: 9_000,
  });
  const caller = await RawCaller.open(fleet.gateways[0]?.callers ?? "");
  callers.push(caller);
  caller.write(rawRequest("/stamp/x", { "x-deadline-ms": "9000" }));
  await waitUntil(() => fleet.engine(Service.Desk).receivedRequests.length > 0);
  fleet.gateways[0]?.gateway.drain();
  const outcome = await caller.outcome();
  assert.deepEqual([outcome.view, outcome.status], [CallerView.Complete, 502]);
});

test("stages at a host that stops are run elsewhere or refused in time", async () => {
  await start({
    gateways: 3,
    engines: slowEngines(Service.Encode, { call_ms: 200 }),
  });
  await waitUntil(() =>
    fleet.gateways.every(({ logLines }) =>
      logLines.some((line) => line.includes("event=members count=3"))
    )
  );
  const started_ms = performance.now();
  const waiting = [];
  for (let n = 0; n < 12; n++) waiting.push(await send("/review/x", n % 2));
  await waitUntil(() => fleet.engine(Service.Encode).pieceCalls.length > 0);
  fleet.gateways[2]?.gateway.stop();
  for (const caller of waiting) {
    const { view, status } = await caller.outcome();
    assert.equal(view, CallerView.Complete);
    assert.ok([200, 503, 504].includes(status ?? 0), String(status));
  }
  assert.ok(performance.now() - started_ms < DEADLINE_MS + LATE_MS);
});

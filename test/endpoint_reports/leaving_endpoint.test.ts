/** Endpoints that say in their responses that they are leaving. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, test } from "node:test";
import { type Engine, EngineFault } from "../../stand_ins/deployment/engine.ts";
import {
  defaultEngines,
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { callFleet, type CallOptions } from "./fleet_calls.ts";

const GATEWAYS = 3;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
/** Time after which a leaving endpoint may get no request of the same host. */
const DRAIN_MS = 2_000;

let fleet: GatewayFleet;

afterEach(() => fleet.stop());

async function startFleet(
  engines: Partial<ReturnType<typeof defaultEngines>> = {},
): Promise<void> {
  fleet = new GatewayFleet({
    gateways: GATEWAYS,
    engines: {
      ...defaultEngines(),
      // Busy for a while, so that requests are spread over both.
      [Service.Desk]: [
        { id: "desk-1", work_ms: 20 },
        { id: "desk-2", work_ms: 20 },
      ],
      ...engines,
    },
  });
  await fleet.start();
  await waitUntil(() =>
    fleet.gateways.every(({ logLines }) =>
      logLines.some((line) => line.includes(`event=members count=${GATEWAYS}`))
    )
  );
}

function call(path: string, options?: CallOptions) {
  return callFleet(fleet, path, options);
}

/** Sends requests through a host until the endpoint gets one. */
async function reach(engine: Engine, path: string, pieces?: string) {
  const before = engine.arrivals_ms.length;
  for (let n = 0; n < 50 && engine.arrivals_ms.length === before; n++) {
    await Promise.all([1, 2, 3].map(() => call(path, { pieces })));
  }
  assert.ok(engine.arrivals_ms.length > before, "never reached");
}

/** Sends requests through some hosts; the endpoint must get none of them. */
async function assertGetsNone(
  engine: Engine,
  { path, gateways, pieces }: {
    path: string;
    gateways: number[];
    pieces?: string;
  },
): Promise<void> {
  const before = engine.arrivals_ms.length;
  for (const gateway of gateways) {
    // Together, so that the load is spread over the endpoints.
    const answers = await Promise.all(
      Array.from({ length: 12 }, () => call(path, { gateway, pieces })),
    );
    assert.ok(answers.every(({ status }) => status === HTTP_OK));
  }
  assert.equal(engine.arrivals_ms.length, before);
}

function hasLearned(engine: Engine, gateway: number): boolean {
  return fleet.gateways[gateway]?.logLines.some((line) =>
    line.includes("event=endpoint_leaving") &&
    line.includes(`incarnation=${engine.id}/`)
  ) ?? false;
}

async function waitUntilAllHaveLearned(engine: Engine): Promise<void> {
  await waitUntil(() =>
    fleet.gateways.every((_, gateway) => hasLearned(engine, gateway))
  );
}

for (
  const { path, service, fault } of [
    { path: "/stamp/x", service: Service.Desk, fault: EngineFault.None },
    { path: "/lookup/x", service: Service.Desk, fault: EngineFault.None },
    { path: "/draft/x", service: Service.Model, fault: EngineFault.None },
    { path: "/stamp/x", service: Service.Desk, fault: EngineFault.Full },
    { path: "/stamp/x", service: Service.Desk, fault: EngineFault.Error },
    {
      path: "/lookup/x",
      service: Service.Desk,
      fault: EngineFault.MismatchedId,
    },
    {
      path: "/draft/x",
      service: Service.Model,
      fault: EngineFault.StreamTruncated,
    },
  ]
) {
  test(`${path}, fault ${fault}: one answer that says so takes the endpoint out at every host`, async () => {
    await startFleet();
    const engine = fleet.engine(service);
    engine.leaving = "1";
    engine.fault = fault;
    await reach(engine, path);
    await assertGetsNone(engine, { path, gateways: [0] });
    await waitUntilAllHaveLearned(engine);
    await assertGetsNone(engine, { path, gateways: [0, 1, 2] });
  });
}

test("it stays out although its entry says that it is ready, and is back after a restart", async () => {
  await startFleet();
  const engine = fleet.engine(Service.Desk);
  engine.leaving = "1";
  await reach(engine, "/stamp/x");
  await waitUntilAllHaveLearned(engine);
  const entriesRead = () =>
    fleet.gateways.every(({ logLines }) =>
      logLines.some((line) =>
        line.includes("event=endpoint ") &&
        line.includes(`endpoint=${engine.id}`) && line.includes("state=ready")
      )
    );
  fleet.registerEngine(Service.Desk, engine);
  await waitUntil(entriesRead);
  await assertGetsNone(engine, { path: "/stamp/x", gateways: [0, 1, 2] });
  fleet.store.remove("servers", engine.id);
  await sleep(500);
  fleet.registerEngine(Service.Desk, engine);
  await sleep(500);
  await assertGetsNone(engine, { path: "/stamp/x", gateways: [0, 1, 2] });
  engine.leaving = undefined;
  fleet.registerEngine(Service.Desk, engine, { born: 2 });
  await sleep(500);
  await reach(engine, "/stamp/x");
});

test("it gets nothing while the store does not answer", async () => {
  await startFleet();
  const engine = fleet.engine(Service.Desk);
  fleet.store.stop();
  await sleep(1_000);
  engine.leaving = "1";
  await reach(engine, "/stamp/x");
  const learned_ms = performance.now();
  while (performance.now() < learned_ms + DRAIN_MS + 500) {
    await assertGetsNone(engine, { path: "/stamp/x", gateways: [0, 1, 2] });
    await sleep(100);
  }
  assert.ok(hasLearned(engine, 1) && hasLearned(engine, 2));
});

test("a stage endpoint that says so gets no more calls, but its results are read and freed", async () => {
  await startFleet();
  const engine = fleet.engine(Service.Encode);
  const run = () => call("/review/x", { pieces: "2,1" });
  engine.leaving = "1";
  for (let n = 0; n < 50 && engine.pieceCalls.length === 0; n++) {
    assert.equal((await run()).status, HTTP_OK);
  }
  assert.equal(engine.pieceCalls.length, 1);
  await waitUntil(() => engine.freed.length === 2);
  await waitUntilAllHaveLearned(engine);
  for (let n = 0; n < 20; n++) {
    assert.equal((await run()).status, HTTP_OK);
  }
  assert.equal(engine.pieceCalls.length, 1);
});

test("a stage endpoint that says so only when results are freed gets no more calls", async () => {
  await startFleet({ [Service.Encode]: [{ id: "encode-1", call_ms: 100 }] });
  const engine = fleet.engine(Service.Encode);
  const running = call("/review/x", { pieces: "1,1" });
  // The call for pieces has arrived, so its response says nothing of it.
  await waitUntil(() => engine.pieceCalls.length === 1);
  engine.leaving = "1";
  assert.equal((await running).status, HTTP_OK);
  await waitUntilAllHaveLearned(engine);
  const calls = engine.pieceCalls.length;
  const { status } = await call("/review/x", { pieces: "1,1" });
  assert.equal(status, HTTP_UNAVAILABLE);
  assert.equal(engine.pieceCalls.length, calls);
});

test("requests for a pool whose endpoints all leave are refused at once, before their stages", async () => {
  await startFleet();
  const engines = fleet.engines.get(Service.Model) ?? [];
  for (const engine of engines) {
    engine.leaving = "1";
    await reach(engine, "/draft/x");
  }
  const encode = fleet.engines.get(Service.Encode) ?? [];
  for (const pieces of ["0,0", "1,1"]) {
    const { status, headers, elapsed_ms } = await call("/review/x", { pieces });
    assert.equal(status, HTTP_UNAVAILABLE);
    assert.ok(Number(headers["retry-after"]) > 0);
    assert.ok(elapsed_ms < 500, `refused after ${elapsed_ms} ms`);
  }
  assert.equal(encode.flatMap(({ pieceCalls }) => pieceCalls).length, 0);
});

test("requests that wait for a send at an endpoint that leaves don't reach it", async () => {
  await startFleet({ [Service.Desk]: [{ id: "desk-1" }] });
  const engine = fleet.engine(Service.Desk);
  engine.rate_limit_per_s = 4;
  await call("/stamp/x");
  await waitUntil(() => engine.arrivals_ms.length === 1);
  await sleep(500);
  engine.leaving = "1";
  const answers = await Promise.all(
    Array.from({ length: 12 }, () => call("/stamp/x")),
  );
  const first_ms = engine.arrivals_ms[1] ?? 0;
  assert.ok(answers.some(({ status }) => status === HTTP_OK));
  assert.ok(answers.some(({ status }) => status === HTTP_UNAVAILABLE));
  const late = engine.arrivals_ms.filter((at_ms) => at_ms > first_ms + 200);
  assert.equal(late.length, 0);
});

test("a value other than 1 takes no endpoint out", async () => {
  await startFleet();
  const engine = fleet.engine(Service.Desk);
  for (const value of ["0", "true", "", "1, 0", "01"]) {
    engine.leaving = value;
    await reach(engine, "/stamp/x");
  }
  await reach(engine, "/stamp/x");
  assert.ok(!hasLearned(engine, 0));
});

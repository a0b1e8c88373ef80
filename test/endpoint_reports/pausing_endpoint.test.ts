/** Endpoints that refuse a request and want none for some seconds. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, test } from "node:test";
import { type Engine, EngineFault } from "../../stand_ins/deployment/engine.ts";
import {
  defaultEngines,
  GatewayFleet,
  type GatewayFleetOptions,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { callFleet, type CallOptions } from "./fleet_calls.ts";

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const PAUSE_S = 2;
/** Requests that were on their way may still arrive for this long. */
const ON_THEIR_WAY_MS = 500;
/** Requests that may reach an endpoint later in its pause. */
const MAX_IN_PAUSE = 2;

let fleet: GatewayFleet;

afterEach(() => fleet.stop());

/** Engines that are busy for a while, so that requests are spread over both. */
function busyDesks() {
  const work_ms = 20;
  return {
    [Service.Desk]: [{ id: "desk-1", work_ms }, { id: "desk-2", work_ms }],
  };
}

async function startFleet(options: GatewayFleetOptions = {}): Promise<void> {
  fleet = new GatewayFleet({
    ...options,
    engines: { ...defaultEngines(), ...busyDesks(), ...options.engines },
  });
  await fleet.start();
}

function call(path: string, options?: CallOptions) {
  return callFleet(fleet, path, options);
}

/** Has an endpoint reject one request, or the next `count`, with a pause. */
function pause(
  engine: Engine,
  { fault = EngineFault.Full, retry_after = `${PAUSE_S}`, count = 1 }: {
    fault?: EngineFault;
    retry_after?: string;
    count?: number;
  } = {},
): void {
  engine.retry_after = retry_after;
  engine.fault = fault;
  engine.remainingFaults = count;
}

function logs(text: string, gateway = 0): string[] {
  return fleet.gateways[gateway]?.logLines.filter((line) =>
    line.includes(text)
  ) ?? [];
}

/** Sends requests until an endpoint has rejected one; resolves to the time. */
async function untilRejected(
  engine: Engine,
  path: string,
  options: CallOptions = {},
): Promise<number> {
  for (let n = 0; n < 50 && engine.remainingFaults > 0; n++) {
    await Promise.all([1, 2, 3].map(() => call(path, options)));
  }
  assert.equal(engine.remainingFaults, 0, "never reached");
  return performance.now();
}

/** Sends requests until nearly the end of a pause that began by `since_ms`. */
async function keepBusy(
  path: string,
  since_ms: number,
  options: CallOptions = {},
) {
  const answers = [];
  while (performance.now() < since_ms + PAUSE_S * 1_000 - 500) {
    answers.push(
      ...await Promise.all([1, 2, 3, 4].map(() => call(path, options))),
    );
    await sleep(50);
  }
  return answers;
}

function arrivalsAfter({ arrivals_ms }: Engine, since_ms: number): number {
  return arrivals_ms.filter((at_ms) => at_ms > since_ms).length;
}

for (
  const { path, service, fault } of [
    { path: "/stamp/x", service: Service.Desk, fault: EngineFault.Full },
    { path: "/lookup/x", service: Service.Desk, fault: EngineFault.Full },
    { path: "/draft/x", service: Service.Model, fault: EngineFault.Full },
    { path: "/stamp/x", service: Service.Desk, fault: EngineFault.Refused },
    { path: "/lookup/x", service: Service.Desk, fault: EngineFault.Refused },
  ]
) {
  test(`${path}, ${fault}: the endpoint gets nothing of this host until its pause ends, and is no worse for it`, async () => {
    await startFleet();
    const engine = fleet.engine(service);
    pause(engine, { fault });
    const since_ms = await untilRejected(engine, path);
    const answers = await keepBusy(path, since_ms);
    assert.ok(answers.every(({ status }) => status === HTTP_OK));
    assert.equal(arrivalsAfter(engine, since_ms), 0);
    const [begun = ""] = logs("event=endpoint_pause");
    assert.match(begun, new RegExp(`endpoint=${engine.id} .*wait_ms=2000`));
    for (const line of logs("event=send ")) {
      assert.match(line, /failure_share=0 /);
    }
    await sleep(Math.max(0, since_ms + PAUSE_S * 1_000 - performance.now()));
    for (let n = 0; n < 50 && arrivalsAfter(engine, since_ms) === 0; n++) {
      await Promise.all([1, 2, 3, 4, 5, 6, 7, 8].map(() => call(path)));
    }
    assert.ok(arrivalsAfter(engine, since_ms) > 0, "not used again");
  });
}

test("the pause holds for the host that was refused alone", async () => {
  await startFleet({ gateways: 2 });
  const engine = fleet.engine(Service.Desk);
  pause(engine);
  const since_ms = await untilRejected(engine, "/stamp/x");
  await keepBusy("/stamp/x", since_ms, { gateway: 1 });
  assert.ok(arrivalsAfter(engine, since_ms) > 0);
  assert.equal(logs("event=endpoint_pause", 1).length, 0);
});

test("the next incarnation of the endpoint gets requests at once", async () => {
  await startFleet();
  const engine = fleet.engine(Service.Desk);
  pause(engine);
  const since_ms = await untilRejected(engine, "/stamp/x");
  fleet.registerEngine(Service.Desk, engine, { born: 2 });
  await sleep(500);
  await keepBusy("/stamp/x", since_ms);
  assert.ok(arrivalsAfter(engine, since_ms) > 0);
});

test("requests that wait for a connection to the endpoint don't reach it in its pause", async () => {
  await startFleet({
    max_connections: 1,
    engines: {
      ...defaultEngines(),
      ...busyDesks(),
      [Service.Desk]: [{ id: "desk-1", work_ms: 700 }],
    },
  });
  const engine = fleet.engine(Service.Desk);
  pause(engine);
  const answers = await Promise.all(
    Array.from({ length: 8 }, () => call("/stamp/x")),
  );
  const [since_ms = 0] = engine.arrivals_ms;
  assert.ok(answers.some(({ status }) => status === HTTP_UNAVAILABLE));
  assert.ok(
    answers.every(({ status, elapsed_ms }) =>
      status === HTTP_OK || elapsed_ms < 500
    ),
  );
  await sleep(500);
  const late = arrivalsAfter(engine, since_ms + ON_THEIR_WAY_MS);
  assert.ok(late <= MAX_IN_PAUSE, `${late} reached it`);
});

test("a stage endpoint gets neither calls nor requests to free results in its pause, and these afterwards", async () => {
  await startFleet();
  const engine = fleet.engine(Service.Encode);
  const other = fleet.engine(Service.Encode, 1);
  const pieces = "4,1";
  for (let n = 0; n < 50 && engine.pieceCalls.length === 0; n++) {
    await call("/review/x", { pieces });
  }
  pause(engine);
  const since_ms = await untilRejected(engine, "/review/x", { pieces });
  const answers = await keepBusy("/review/x", since_ms, { pieces });
  assert.ok(answers.every(({ status }) => status === HTTP_OK));
  assert.ok(other.pieceCalls.length > 0);
  // A request that the fault does not apply to may have been on its way.
  assert.equal(arrivalsAfter(engine, since_ms + ON_THEIR_WAY_MS), 0);
  const computed = engine.pieceCalls.flat().length;
  await waitUntil(() => engine.freed.length === computed);
});

test("results whose freeing a stage endpoint refuses are freed after its pause, and it gets no calls", async () => {
  await startFleet({
    engines: {
      ...defaultEngines(),
      ...busyDesks(),
      [Service.Encode]: [{ id: "encode-1", call_ms: 100 }],
    },
  });
  const engine = fleet.engine(Service.Encode);
  const running = call("/review/x", { pieces: "1,1" });
  await waitUntil(() => engine.pieceCalls.length === 1);
  pause(engine, { retry_after: "1" });
  assert.equal((await running).status, HTTP_OK);
  await waitUntil(() => engine.remainingFaults === 0);
  const since_ms = performance.now();
  const { status, headers, elapsed_ms } = await call("/review/x", {
    pieces: "1,1",
  });
  if (status === HTTP_OK) assert.ok(elapsed_ms > 500, "not held back");
  else {
    assert.equal(status, HTTP_UNAVAILABLE);
    assert.ok(Number(headers["retry-after"]) > 0.5);
  }
  assert.equal(arrivalsAfter(engine, since_ms) > 0, status === HTTP_OK);
  await waitUntil(() => engine.freed.length >= 1);
  assert.ok(performance.now() > since_ms + 500);
});

test("while all endpoints of a pool pause, requests are refused at once, before their stages, with the earliest time", async () => {
  await startFleet();
  const [first, second] = fleet.engines.get(Service.Model) ?? [];
  assert.ok(first && second);
  pause(first, { retry_after: "8" });
  pause(second, { retry_after: "5" });
  await untilRejected(first, "/draft/x");
  await untilRejected(second, "/draft/x");
  for (const pieces of ["0,0", "1,1"]) {
    const { status, headers, elapsed_ms } = await call("/review/x", { pieces });
    assert.equal(status, HTTP_UNAVAILABLE);
    const retry_after_s = Number(headers["retry-after"]);
    assert.ok(retry_after_s > 3 && retry_after_s <= 5, `${retry_after_s} s`);
    assert.ok(elapsed_ms < 500, `refused after ${elapsed_ms} ms`);
  }
  const encode = fleet.engines.get(Service.Encode) ?? [];
  assert.equal(encode.flatMap(({ pieceCalls }) => pieceCalls).length, 0);
});

test("while all endpoints of a stage's pool pause, requests are refused at once with the earliest time", async () => {
  await startFleet();
  const engines = fleet.engines.get(Service.Encode) ?? [];
  for (const engine of engines) pause(engine, { retry_after: "5" });
  const isPausing = () =>
    engines.every(({ remainingFaults }) => remainingFaults === 0);
  for (let n = 0; n < 50 && !isPausing(); n++) {
    await call("/review/x", { pieces: "1,1" });
  }
  assert.ok(isPausing());
  const { status, headers, elapsed_ms } = await call("/review/x", {
    pieces: "1,1",
  });
  assert.equal(status, HTTP_UNAVAILABLE);
  const retry_after_s = Number(headers["retry-after"]);
  assert.ok(retry_after_s > 3 && retry_after_s <= 5.2, `${retry_after_s} s`);
  assert.ok(elapsed_ms < 500, `refused after ${elapsed_ms} ms`);
});

test("a request that would still be in time waits for the first pause to end", async () => {
  await startFleet({
    engines: { ...defaultEngines(), [Service.Desk]: [{ id: "desk-1" }] },
  });
  const engine = fleet.engine(Service.Desk);
  pause(engine, { retry_after: "0.15" });
  const refused = await call("/stamp/x");
  assert.equal(refused.status, HTTP_UNAVAILABLE);
  const { status, elapsed_ms } = await call("/stamp/x");
  assert.equal(status, HTTP_OK);
  assert.ok(elapsed_ms > 50, `sent after ${elapsed_ms} ms`);
});

test("a time that is none pauses nothing", async () => {
  await startFleet();
  const engine = fleet.engine(Service.Desk);
  for (
    const retry_after of ["0", "-5", "", "Wed, 21 Oct 2099 07:28:00 GMT", "1e9"]
  ) {
    pause(engine, { retry_after });
    await untilRejected(engine, "/stamp/x");
  }
  assert.equal(logs("event=endpoint_pause").length, 0);
});

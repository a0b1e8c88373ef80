/** Endpoints that start and recover, behind a few real hosts. */
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
import {
  callFleet,
  type TimedResponse,
} from "../endpoint_reports/fleet_calls.ts";

const GATEWAYS = 4;
const SLOTS = 8;
const WORK_MS = 60;
const RESTART_MS = 300;
/** Time for which an endpoint that has restarted answers nothing. */
const SILENCE_MS = 1_500;
const PER_S = 120;
const COLD_START_S = 3;
const HTTP_OK = 200;

let fleet: GatewayFleet;

afterEach(() => fleet.stop());

async function startFleet(
  { cold_start_s, enabled }: { cold_start_s?: number; enabled?: boolean },
): Promise<Engine[]> {
  const endpoints = Array.from({ length: 3 }, (_, n) => ({
    id: `desk-${n}`,
    slots: SLOTS,
    work_ms: WORK_MS,
    restart_ms: RESTART_MS,
  }));
  fleet = new GatewayFleet({
    gateways: GATEWAYS,
    engines: { ...defaultEngines(), [Service.Desk]: endpoints },
    max_connections: 400,
    target_latency_ms: 1_000,
    timeout_ms: 4_000,
    service_changes: { [Service.Desk]: { cold_start_s } },
    ramp_up: enabled,
  });
  await fleet.start();
  await fleet.waitForMembers();
  return fleet.engines.get(Service.Desk) ?? [];
}

/** Sends requests over all hosts for a time. */
async function load(for_ms: number): Promise<TimedResponse[]> {
  const answers: Promise<TimedResponse>[] = [];
  const started_ms = performance.now();
  while (performance.now() < started_ms + for_ms) {
    const due = (performance.now() - started_ms) * PER_S / 1_000;
    while (answers.length < due) {
      const gateway = answers.length % GATEWAYS;
      const path = `/lookup/${answers.length}`;
      answers.push(callFleet(fleet, path, { gateway, deadline_ms: 3_500 }));
    }
    await sleep(2);
  }
  return await Promise.all(answers);
}

function lines(text: string): string[] {
  return fleet.gateways.flatMap(({ logLines }) =>
    logLines.filter((line) => line.includes(text))
  );
}

function refusals(answers: TimedResponse[]): number {
  return answers.filter(({ status }) => status !== HTTP_OK).length;
}

/** Restarts an endpoint, which answers nothing for a while afterwards. */
async function restartSilent(engine: Engine): Promise<void> {
  const { onRestart } = engine;
  const restarted = new Promise<void>((resolve) => {
    engine.onRestart = () => {
      engine.silentUntil_ms = performance.now() + SILENCE_MS;
      onRestart();
      resolve();
    };
  });
  engine.crash();
  await restarted;
}

test("all hosts together send few requests to an endpoint that starts slowly, refuse none for it, and use it in the end", async () => {
  const [engine] = await startFleet({ cold_start_s: COLD_START_S });
  assert.ok(engine !== undefined);
  await load(500);
  assert.deepEqual(lines("event=ramp_"), [], "ramp-up at the fleet's start");
  await restartSilent(engine);
  await waitUntil(() => lines("event=ramp_known").length >= GATEWAYS);
  const before = engine.arrivals_ms.length;
  const slow = load(SILENCE_MS - 700);
  await sleep(SILENCE_MS - 750);
  const arrived = engine.arrivals_ms.length - before;
  const answers = [...await slow, ...await load(2_500)];
  const [started = ""] = lines("event=ramp_started");
  assert.match(started, /reason=start takeover=false/);
  assert.ok(arrived <= 4, `${arrived} requests while it was silent`);
  assert.equal(refusals(answers), 0);
  await waitUntil(() => lines("event=ramp_ended").length > 0, 12_000);
  const total = engine.arrivals_ms.length - before;
  assert.ok(total >= 30, `${total} requests after its start`);
});

test("all hosts together ramp up an endpoint that fails, and use it when it recovers", async () => {
  const [engine] = await startFleet({ cold_start_s: COLD_START_S });
  assert.ok(engine !== undefined);
  await load(1_000);
  engine.fault = EngineFault.Error;
  const failing = await load(1_500);
  const { length } = engine.arrivals_ms;
  const [started = ""] = lines("event=ramp_started");
  assert.match(started, /reason=recovery/);
  assert.ok(lines("event=ramp_known").length >= GATEWAYS);
  engine.fault = EngineFault.None;
  const recovered = await load(2_500);
  assert.equal(refusals([...failing, ...recovered]), 0);
  const used = engine.arrivals_ms.length - length;
  assert.ok(used >= 50, `${used} requests after it recovered`);
});

test("a host that starts meanwhile is told of the ramp-up, and ramps nothing else", async () => {
  const [engine] = await startFleet({ cold_start_s: COLD_START_S });
  assert.ok(engine !== undefined);
  await restartSilent(engine);
  await waitUntil(() => lines("event=ramp_known").length >= GATEWAYS);
  const { logLines } = await fleet.startGateway(GATEWAYS + 1);
  const known = () =>
    logLines.filter((line) => line.includes("event=ramp_known"));
  await waitUntil(() => known().length > 0, 8_000);
  const [line = ""] = known();
  assert.equal(known().length, 1);
  assert.match(line, /endpoint=desk-0\/\d+\/\S+ reason=start/);
});

for (
  const { title, options } of [
    { title: "pools without cold start", options: {} },
    {
      title: "hosts that leave the ramp-up out",
      options: { cold_start_s: COLD_START_S, enabled: false },
    },
  ]
) {
  test(`${title} ramp nothing up`, async () => {
    const [engine] = await startFleet(options);
    assert.ok(engine !== undefined);
    await restartSilent(engine);
    await load(600);
    engine.fault = EngineFault.Error;
    await load(600);
    assert.deepEqual(lines("event=ramp_"), []);
    assert.deepEqual(lines("event=place "), []);
  });
}

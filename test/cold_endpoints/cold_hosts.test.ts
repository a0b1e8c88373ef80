/** A few hosts keep all their requests to cold endpoints within the bound. */
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
import {
  callFleet,
  type TimedResponse,
} from "../endpoint_reports/fleet_calls.ts";

const GATEWAYS = 3;
const PER_S = 10;
const BOUND = { over: 1.5, slack: 5 };
/** Most requests that may arrive in any second. */
const MOST = PER_S * BOUND.over + BOUND.slack;
/** So long that each host has several requests in flight. */
const WORK_MS = 40;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
/** Interval at which a cold engine writes its entry. */
const ENTRY_INTERVAL_MS = 600;
const COLD_MS = 2_000;

let fleet: GatewayFleet;
let coldEntries: NodeJS.Timeout | undefined;

afterEach(() => {
  clearInterval(coldEntries);
  fleet.stop();
});

async function startFleet(
  service: Service,
  { engines = 2, isBounded = true, max_connections = 100 } = {},
): Promise<void> {
  fleet = new GatewayFleet({
    gateways: GATEWAYS,
    cold_per_s: PER_S,
    max_connections,
    timeout_ms: 5_000,
    ...(isBounded ? { cold_endpoints: BOUND } : {}),
    engines: {
      ...defaultEngines(),
      [service]: Array.from({ length: engines }, (_, n) => ({
        id: `${service}-${n}`,
        events: service === Service.Model ? 2 : 0,
        work_ms: WORK_MS,
        call_ms: WORK_MS,
      })),
    },
  });
  await fleet.start();
  await fleet.waitForMembers();
  if (!isBounded) return;
  const isEstablished = ({ logLines }: { logLines: string[] }) =>
    logLines.some((line) => line.includes("reason=established"));
  await waitUntil(() => fleet.gateways.every(isEstablished), 15_000);
}

/** Has an engine write that it is cold until it is told otherwise. */
async function turnCold(service: Service, engines: Engine[]): Promise<void> {
  const write = () => {
    for (const engine of engines) {
      fleet.registerEngine(service, engine, { cold_remaining_ms: COLD_MS });
    }
  };
  write();
  coldEntries = setInterval(write, ENTRY_INTERVAL_MS);
  await waitUntil(() =>
    fleet.gateways.every(({ logLines }) =>
      engines.every(({ id }) =>
        logLines.some((line) =>
          line.includes(`event=endpoint_cold endpoint=${id}`)
        )
      )
    )
  );
}

/** Sends requests to the hosts in turn; resolves to the responses. */
async function load(
  path: string,
  { per_s, for_s, pieces, gateways = GATEWAYS }: {
    per_s: number;
    for_s: number;
    pieces?: string;
    gateways?: number;
  },
): Promise<TimedResponse[]> {
  const responses: Promise<TimedResponse>[] = [];
  const started_ms = performance.now();
  for (let n = 0; n < per_s * for_s; n++) {
    const options = pieces === undefined ? {} : { pieces };
    const gateway = n % gateways;
    responses.push(callFleet(fleet, path, { gateway, ...options }));
    const due_ms = started_ms + (n + 1) * 1_000 / per_s;
    await sleep(Math.max(0, due_ms - performance.now()));
  }
  return await Promise.all(responses);
}

/** Most arrivals in a second that begins at `from_ms` or later. */
function mostInSecond({ arrivals_ms }: Engine, from_ms: number): number {
  const counted = arrivals_ms.filter((at_ms) => at_ms >= from_ms);
  const within = (start_ms: number) =>
    counted.filter((at_ms) => at_ms >= start_ms && at_ms < start_ms + 1_000);
  return Math.max(0, ...counted.map((start_ms) => within(start_ms).length));
}

function count(responses: TimedResponse[], status: number): number {
  return responses.filter((response) => response.status === status).length;
}

for (
  const [path, service] of [
    ["/draft/x", Service.Model],
    ["/stamp/x", Service.Desk],
    ["/lookup/x", Service.Desk],
  ] as const
) {
  test(`${path}: a cold endpoint gets no more than the bound, also when a host stops, and the other takes the rest`, async () => {
    await startFleet(service);
    const cold = fleet.engine(service, 0);
    await turnCold(service, [cold]);
    const from_ms = performance.now();
    const responses = await load(path, { per_s: 90, for_s: 4 });
    const until_ms = performance.now();
    fleet.gateways.at(-1)?.gateway.stop();
    const gateways = GATEWAYS - 1;
    responses.push(...await load(path, { per_s: 90, for_s: 2, gateways }));
    const most = mostInSecond(cold, from_ms);
    assert.ok(most <= MOST, `${most} in a second`);
    const served = cold.arrivals_ms.filter((at_ms) =>
      at_ms >= from_ms && at_ms < until_ms
    ).length;
    // How much it gets of them is the choice of an endpoint's.
    assert.ok(served >= 0.25 * PER_S * 4, `only ${served} of ${4 * PER_S}`);
    assert.equal(count(responses, HTTP_OK), responses.length);
  });
}

test("a burst on a pool whose endpoints are all cold stays within the bound, and the rest is refused with a time", async () => {
  await startFleet(Service.Desk, { engines: 3 });
  const engines = fleet.engines.get(Service.Desk) ?? [];
  await turnCold(Service.Desk, engines);
  const from_ms = performance.now();
  const responses = await load("/lookup/x", { per_s: 150, for_s: 3 });
  const served = count(responses, HTTP_OK);
  const refused = count(responses, HTTP_UNAVAILABLE);
  assert.equal(served + refused, responses.length);
  assert.ok(served >= 0.5 * PER_S * 3 * 3, `only ${served} served`);
  for (const engine of engines) {
    const most = mostInSecond(engine, from_ms);
    assert.ok(most <= MOST, `${most} in a second`);
  }
  for (const { status, headers } of responses) {
    if (status === HTTP_UNAVAILABLE) assert.ok(headers["retry-after"]);
  }
});

test("requests that wait for a connection as the endpoint turns cold don't exceed the bound", async () => {
  // One connection for each host.
  await startFleet(Service.Desk, { engines: 1, max_connections: 3 });
  const cold = fleet.engine(Service.Desk, 0);
  const waiting = load("/stamp/x", { per_s: 200, for_s: 1 });
  await sleep(800);
  const learned = turnCold(Service.Desk, [cold]);
  await learned;
  const from_ms = performance.now();
  await waiting;
  await sleep(1_500);
  const most = mostInSecond(cold, from_ms);
  assert.ok(most <= MOST, `${most} in a second`);
});

test("one response that says so bounds the requests of all hosts", async () => {
  await startFleet(Service.Desk);
  const cold = fleet.engine(Service.Desk, 0);
  cold.cold_ms = "5000";
  // Through one host alone.
  await load("/lookup/x", { per_s: 20, for_s: 0.5, gateways: 1 });
  await waitUntil(() =>
    fleet.gateways.every(({ logLines }) =>
      logLines.some((line) => line.includes("event=endpoint_cold"))
    )
  );
  const from_ms = performance.now();
  const responses = await load("/lookup/x", { per_s: 90, for_s: 3 });
  const most = mostInSecond(cold, from_ms);
  assert.ok(most <= MOST, `${most} in a second`);
  assert.equal(count(responses, HTTP_OK), responses.length);
});

test("a cold stage endpoint gets no more calls and requests to free results than the bound", async () => {
  await startFleet(Service.Encode, { engines: 1 });
  const cold = fleet.engine(Service.Encode, 0);
  await turnCold(Service.Encode, [cold]);
  const from_ms = performance.now();
  const responses = await load("/review/x", {
    per_s: 30,
    for_s: 4,
    pieces: "1,1",
  });
  const most = mostInSecond(cold, from_ms);
  assert.ok(most <= MOST, `${most} in a second`);
  assert.ok(count(responses, HTTP_OK) >= responses.length / 3);
});

test("without the settings hosts neither bound requests nor ask each other", async () => {
  await startFleet(Service.Desk, { engines: 1, isBounded: false });
  const cold = fleet.engine(Service.Desk, 0);
  cold.cold_ms = "5000";
  fleet.registerEngine(Service.Desk, cold, { cold_remaining_ms: 5_000 });
  await sleep(600);
  const from_ms = performance.now();
  const responses = await load("/lookup/x", { per_s: 90, for_s: 2 });
  assert.equal(count(responses, HTTP_OK), responses.length);
  assert.ok(mostInSecond(cold, from_ms) > MOST);
  for (const { logLines } of fleet.gateways) {
    assert.ok(logLines.every((line) => !/event=\w*cold/.test(line)));
  }
});

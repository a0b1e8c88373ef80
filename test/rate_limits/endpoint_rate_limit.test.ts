/** Endpoints that name the rate of requests that they take from all hosts. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, test } from "node:test";
import type { Engine } from "../../stand_ins/deployment/engine.ts";
import {
  ApiKey,
  defaultEngines,
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";

const GATEWAYS = 3;
const LIMIT_PER_S = 4;
const WINDOW_S = 4;
/** What an endpoint may get in a window: half more, and five requests. */
const MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5;
/** Time until every host keeps to the limit. */
const LEARNING_MS = 500;
const WORK_MS = 40;
/** So many that each host always has a request in flight. */
const BUSY_PER_S = 1.2 * GATEWAYS * 1_000 / WORK_MS;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

let fleet: GatewayFleet;
let attempts = 0;

afterEach(() => fleet.stop());

async function startFleet(service: Service, engines: number): Promise<void> {
  fleet = new GatewayFleet({
    gateways: GATEWAYS,
    engines: {
      ...defaultEngines(),
      [service]: Array.from({ length: engines }, (_, n) => ({
        id: `${service}-${n}`,
        events: service === Service.Model ? 2 : 0,
        work_ms: WORK_MS,
      })),
    },
  });
  await fleet.start();
  await waitUntil(() =>
    fleet.gateways.every(({ logLines }) =>
      logLines.some((line) => line.includes(`event=members count=${GATEWAYS}`))
    )
  );
}

interface Answer {
  status: number;
  elapsed_ms: number;
  retry_after_s: number | undefined;
}

async function call(path: string, pieces = "0,0"): Promise<Answer> {
  const number = attempts++;
  const started_ms = performance.now();
  const { status, headers } = await sendJsonRequest(
    fleet.gateways[number % GATEWAYS]?.callers ?? "",
    path,
    {
      method: "POST",
      text: "body",
      headers: {
        host: "fleet.example",
        "x-attempt-id": `attempt-${number}`,
        "x-key": ApiKey.Docks,
        "x-deadline-ms": "1500",
        "x-pieces": pieces,
        "x-piece-key": `key${number}`,
        "x-prompt-prefix": `a${number % 5}:40,b${number}:10`,
      },
    },
  );
  const retryAfter = headers["retry-after"];
  return {
    status,
    elapsed_ms: performance.now() - started_ms,
    retry_after_s: retryAfter === undefined ? undefined : Number(retryAfter),
  };
}

/** Sends `per_s` requests a second for some time; resolves to the answers. */
async function load(
  path: string,
  { per_s, for_s, pieces }: { per_s: number; for_s: number; pieces?: string },
): Promise<Answer[]> {
  const answers: Promise<Answer>[] = [];
  for (let n = 0; n < per_s * for_s; n++) {
    answers.push(call(path, pieces));
    await sleep(1_000 / per_s);
  }
  return await Promise.all(answers);
}

/** Most arrivals in a window that begins at `from_ms` or later. */
function mostInWindow({ arrivals_ms }: Engine, from_ms: number): number {
  const counted = arrivals_ms.filter((at_ms) => at_ms >= from_ms);
  return Math.max(
    0,
    ...counted.map((start_ms) =>
      counted.filter((at_ms) =>
        at_ms >= start_ms && at_ms < start_ms + WINDOW_S * 1_000
      ).length
    ),
  );
}

function enginesOf(service: Service): Engine[] {
  return fleet.engines.get(service) ?? [];
}

function count(answers: Answer[], status: number): number {
  return answers.filter((answer) => answer.status === status).length;
}

for (
  const [path, service] of [
    ["/draft/x", Service.Model],
    ["/stamp/x", Service.Desk],
    ["/lookup/x", Service.Desk],
  ] as const
) {
  test(`${path}: endpoints get no more than the rate they name, and the others take the rest`, async () => {
    await startFleet(service, 3);
    const limited = enginesOf(service).slice(0, 2);
    for (const engine of limited) engine.rate_limit_per_s = LIMIT_PER_S;
    const started_ms = performance.now();
    const answers = await load(path, { per_s: BUSY_PER_S, for_s: 6 });
    assert.equal(count(answers, HTTP_OK), answers.length);
    for (const engine of limited) {
      const most = mostInWindow(engine, started_ms + LEARNING_MS);
      assert.ok(most <= MAX_IN_WINDOW, `${most} in ${WINDOW_S} s`);
      assert.ok(most >= LIMIT_PER_S * WINDOW_S / 2, `only ${most}`);
    }
  });
}

test("requests beyond the rate of all endpoints are refused at once, before their stages, with a time to return", async () => {
  await startFleet(Service.Model, 2);
  for (const engine of enginesOf(Service.Model)) {
    engine.rate_limit_per_s = LIMIT_PER_S;
  }
  await load("/review/x", { per_s: 40, for_s: 1 });
  const started_ms = performance.now();
  const computed = () =>
    enginesOf(Service.Encode)
      .reduce((sum, engine) => sum + engine.pieceCalls.flat().length, 0);
  const computedBefore = computed();
  const answers = await load("/review/x", {
    per_s: 40,
    for_s: 5,
    pieces: "1,1",
  });
  const served = count(answers, HTTP_OK);
  const refused = answers.filter(({ status }) => status === HTTP_UNAVAILABLE);
  assert.equal(served + refused.length, answers.length);
  assert.ok(served >= 2 * LIMIT_PER_S * 5 / 2, `only ${served} served`);
  for (const engine of enginesOf(Service.Model)) {
    assert.ok(mostInWindow(engine, started_ms) <= MAX_IN_WINDOW);
  }
  for (const { elapsed_ms, retry_after_s } of refused) {
    assert.ok(elapsed_ms < 500, `refused after ${elapsed_ms} ms`);
    assert.ok(retry_after_s !== undefined && retry_after_s > 0);
  }
  assert.equal(computed() - computedBefore, served);
});

test("requests that can wait for the next send within their time are not refused", async () => {
  await startFleet(Service.Model, 1);
  const [engine] = enginesOf(Service.Model);
  if (engine === undefined) throw new Error("no engine");
  const per_s = 2 * LIMIT_PER_S;
  engine.rate_limit_per_s = per_s;
  await load("/draft/x", { per_s: LIMIT_PER_S, for_s: 1 });
  await sleep(1_000);
  // Half a second's sends at once, and one more.
  const atOnce = per_s / 2 + 1;
  const answers: Answer[] = [];
  for (let round = 0; round < 6; round++) {
    const calls = Array.from({ length: atOnce }, () => call("/draft/x"));
    answers.push(...await Promise.all(calls));
    await sleep(1_000 * atOnce / per_s);
  }
  assert.equal(count(answers, HTTP_OK), answers.length);
});

test("the limit ends with an answer that names none", async () => {
  await startFleet(Service.Desk, 1);
  const [engine] = enginesOf(Service.Desk);
  if (engine === undefined) throw new Error("no engine");
  engine.rate_limit_per_s = LIMIT_PER_S;
  const limited = await load("/stamp/x", { per_s: 30, for_s: 2 });
  assert.ok(count(limited, HTTP_OK) < limited.length / 2);
  engine.rate_limit_per_s = undefined;
  await load("/stamp/x", { per_s: 30, for_s: 1 });
  const free = await load("/stamp/x", { per_s: 30, for_s: 1 });
  assert.equal(count(free, HTTP_OK), free.length);
});

test("a stage endpoint gets no more calls than the rate it names", async () => {
  await startFleet(Service.Encode, 1);
  const [engine] = enginesOf(Service.Encode);
  if (engine === undefined) throw new Error("no engine");
  engine.rate_limit_per_s = LIMIT_PER_S;
  await load("/review/x", { per_s: 20, for_s: 1, pieces: "1,1" });
  const started_ms = performance.now();
  const answers = await load("/review/x", {
    per_s: 20,
    for_s: 5,
    pieces: "1,1",
  });
  const most = mostInWindow(engine, started_ms);
  assert.ok(most <= MAX_IN_WINDOW, `${most} in ${WINDOW_S} s`);
  assert.ok(count(answers, HTTP_OK) >= answers.length / 2);
});

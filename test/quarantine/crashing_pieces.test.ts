/** A request whose pieces crash each endpoint that computes them. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, test } from "node:test";
import {
  ApiKey,
  defaultEngines,
  GatewayFleet,
  Service,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";

const CRASH_KEY = "dead";
const GATEWAYS = 3;
const RESTART_MS = 700;
/**
 * Crashes that one attempt may cause, and that after which no more are allowed
 * but those that were under way.
 */
const MAX_CRASHES = 6;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

let fleet: GatewayFleet;
let attempts = 0;

afterEach(() => fleet.stop());

async function startFleet(): Promise<void> {
  const engines = [1, 2, 3, 4].map((number) => ({
    id: `encode-${number}`,
    call_ms: 30,
    crash_key: CRASH_KEY,
    restart_ms: RESTART_MS,
  }));
  fleet = new GatewayFleet({
    gateways: GATEWAYS,
    call_ms: 60,
    timeout_ms: 6_000,
    engines: { ...defaultEngines(), [Service.Encode]: engines },
  });
  await fleet.start();
  await fleet.waitForMembers();
}

async function call(gateway: number, key: string): Promise<number> {
  try {
    const { callers = "" } = fleet.gateways[gateway] ?? {};
    const { status } = await sendJsonRequest(callers, "/review/x", {
      method: "POST",
      text: key,
      headers: {
        host: "fleet.example",
        "x-attempt-id": `attempt-${attempts++}`,
        "x-key": ApiKey.Docks,
        "x-deadline-ms": "5000",
        "x-pieces": "2,1",
        "x-piece-key": key,
      },
    });
    return status;
  } catch {
    return 0;
  }
}

function countCrashes(): number {
  return [...fleet.engines.values()].flat()
    .reduce((sum, engine) => sum + engine.crashes, 0);
}

test("a request on whose pieces endpoints crash stops reaching them, and those beside it are served", async () => {
  await startFleet();
  const sound: Promise<number>[] = [];
  const dead: number[] = [];
  for (let round = 0; round < 4; round++) {
    for (let n = 0; n < 6; n++) {
      sound.push(call(n % GATEWAYS, `sound-${round}-${n}`));
    }
    dead.push(await call(round % GATEWAYS, CRASH_KEY));
    await sleep(RESTART_MS);
  }
  assert.deepEqual(await Promise.all(sound), sound.map(() => HTTP_OK));
  assert.deepEqual(dead, dead.map(() => HTTP_UNAVAILABLE));
  const crashes = countCrashes();
  assert.ok(crashes <= MAX_CRASHES, `${crashes} crashes`);
  for (let n = 0; n < GATEWAYS; n++) {
    assert.equal(await call(n, CRASH_KEY), HTTP_UNAVAILABLE);
  }
  assert.equal(countCrashes(), crashes);
});

test("requests whose calls met plain crashes are blamed for none", async () => {
  await startFleet();
  for (let round = 0; round < 4; round++) {
    const calls = [0, 1, 2].map((n) => call(n, "popular"));
    await sleep(20);
    fleet.engine(Service.Encode, round).crash();
    assert.deepEqual(await Promise.all(calls), calls.map(() => HTTP_OK));
    await sleep(RESTART_MS);
  }
});

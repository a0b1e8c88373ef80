/**
 * Guards against requests that crash the same endpoint again and again: a cause
 * took crashes at two endpoints, and requests that share a prompt prefix go to one,
 * as do all in a pool of one.
 */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, test } from "node:test";
import {
  ApiKey,
  defaultEngines,
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";

const CRASH_BODY = "deadly";
const CRASH_PART = "dead";
const GATEWAYS = 2;
const WORK_MS = 10;
const EVENTS = 4;
const RESTART_MS = 400;
/** Pause between two requests that crash endpoints; they crash at other times. */
const INTERVAL_MS = 1_200;
const ROUNDS = 9;
/** Crashes after which a request must not come, where it can go elsewhere. */
const MAX_CRASHES = 3;
/** The rule allows three more at the only endpoint. */
const MAX_CRASHES_OF_ONE = 6;
const SOUND_PARTS = "aa:600,bb:200";

let fleet: GatewayFleet;
let attempts = 0;

afterEach(() => fleet.stop());

async function startFleet(engines: number): Promise<void> {
  fleet = new GatewayFleet({
    gateways: GATEWAYS,
    engines: {
      ...defaultEngines(),
      [Service.Model]: Array.from({ length: engines }, (_, n) => ({
        id: `model-${n}`,
        events: EVENTS,
        work_ms: WORK_MS,
        crash_body: CRASH_BODY,
        crash_part: CRASH_PART,
        restart_ms: RESTART_MS,
      })),
    },
  });
  await fleet.start();
  await fleet.waitForMembers();
}

interface Sent {
  round: number;
  body: string;
  prompt: string;
}

/** Sends a stream that can't be resumed; resolves to status and body, or "cut". */
async function send({ round, body, prompt }: Sent): Promise<string> {
  const callers = fleet.gateways[round % GATEWAYS]?.callers ?? "";
  try {
    const response = await sendJsonRequest(callers, "/review/x", {
      method: "POST",
      text: body,
      headers: {
        host: "fleet.example",
        "x-attempt-id": `attempt-${attempts++}`,
        "x-key": ApiKey.Docks,
        "x-deadline-ms": "1500",
        "x-prompt-prefix": prompt,
      },
    });
    return `${response.status}`;
  } catch {
    return "cut";
  }
}

function crashes(): number {
  return (fleet.engines.get(Service.Model) ?? [])
    .reduce((sum, engine) => sum + engine.crashes, 0);
}

async function sendSound(round: number): Promise<void> {
  const own = `${(0xa000 + attempts).toString(16)}:10`;
  const sent = { round, body: `${round}`, prompt: `${SOUND_PARTS},${own}` };
  assert.equal(await send(sent), "200");
}

/** Sends a bad request in each round, and sound ones in between. */
async function playRounds(bad: (round: number) => Sent): Promise<void> {
  for (let round = 0; round < ROUNDS; round++) {
    await send(bad(round));
    await sleep(INTERVAL_MS);
    await sendSound(round);
    await sendSound(round + 1);
  }
}

const deadlyRequest = (round: number): Sent => ({
  round,
  body: CRASH_BODY,
  prompt: `${SOUND_PARTS},dd:10`,
});

const deadlyPart = (round: number): Sent => ({
  round,
  body: `log ${round}`,
  prompt: `aa:600,${CRASH_PART}:50,bb:200,${(0xb000 + round).toString(16)}:10`,
});

for (
  const [what, bad] of [
    ["a request", deadlyRequest],
    ["requests with a part", deadlyPart],
  ] as const
) {
  test(`${what} that crashes the engine of its prefix is kept away after three crashes`, async () => {
    await startFleet(4);
    await playRounds(bad);
    assert.ok(crashes() <= MAX_CRASHES, `${crashes()} crashes`);
  });

  test(`${what} that crashes the only engine is kept away`, async () => {
    await startFleet(1);
    await playRounds(bad);
    assert.ok(crashes() <= MAX_CRASHES_OF_ONE, `${crashes()} crashes`);
  });
}

for (const engines of [1, 4]) {
  test(`no request is kept away since one of ${engines} engines crashes by itself, though all are alike`, async () => {
    await startFleet(engines);
    const alike = (round: number): Sent => ({
      round,
      body: "sound",
      prompt: `${SOUND_PARTS},cc:10`,
    });
    for (let round = 0; round < ROUNDS; round++) {
      const sending = [send(alike(round)), send(alike(round + 1))];
      await sleep(WORK_MS / 2);
      for (const engine of fleet.engines.get(Service.Model) ?? []) {
        if (engine.receivedRequests.length > 0) engine.crash();
        engine.receivedRequests = [];
      }
      await Promise.all(sending);
      await sleep(RESTART_MS + 500);
      assert.equal(await send(alike(round)), "200");
    }
    const kept = fleet.gateways.flatMap(({ logLines }) => logLines)
      .filter((line) => line.includes("event=quarantine"));
    assert.deepEqual(kept, []);
  });
}

test("an engine that crashes before it answers anybody convicts no request", async () => {
  await startFleet(1);
  const engine = fleet.engine(Service.Model);
  for (let round = 0; round < ROUNDS; round++) {
    const sending = send({
      round,
      body: `log ${round}`,
      prompt: `${SOUND_PARTS},${(0xc000 + round).toString(16)}:10`,
    });
    await sleep(WORK_MS / 2);
    engine.crash();
    await sending;
    await sleep(RESTART_MS + 500);
  }
  await waitUntil(() => engine.crashes === ROUNDS);
  await sendSound(0);
});

/** Requests that share a prompt part on which every endpoint crashes. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, test } from "node:test";
import { quarantineName } from "../../src/quarantine/types.ts";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";
import {
  ApiKey,
  defaultEngines,
  GatewayFleet,
  type RunningGateway,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";

const CRASH_PART = "dead";
const GATEWAYS = 3;
/** The requests with the part that may reach endpoints in all. */
const MAX_ARRIVALS = 8;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

let fleet: GatewayFleet;
let attempts = 0;

afterEach(() => fleet.stop());

async function startFleet(): Promise<void> {
  fleet = new GatewayFleet({
    gateways: GATEWAYS,
    engines: {
      ...defaultEngines(),
      [Service.Model]: [1, 2, 3, 4].map((number) => ({
        id: `model-${number}`,
        events: 4,
        work_ms: 5,
        crash_part: CRASH_PART,
      })),
    },
  });
  await fleet.start();
  await fleet.waitForMembers();
}

function models() {
  return fleet.engines.get(Service.Model) ?? [];
}

/** Sends one request; resolves to its status, 0 if the connection broke. */
async function call(
  gateway: RunningGateway | undefined,
  parts: string[],
  path = "/draft/x",
): Promise<number> {
  const own = (attempts++).toString(16);
  try {
    const response = await sendJsonRequest(gateway?.callers ?? "", path, {
      method: "POST",
      text: "body",
      headers: {
        host: "fleet.example",
        "x-attempt-id": `attempt-${own}`,
        "x-key": ApiKey.Docks,
        "x-deadline-ms": "2000",
        "x-pieces": "1,1",
        "x-piece-key": "cafe",
        "x-prompt-prefix": [...parts, own].map((id) => `${id}:40`).join(","),
      },
    });
    return response.status;
  } catch {
    return 0;
  }
}

function arrivals(part: string): number {
  return models().flatMap((engine) => engine.receivedRequests)
    .filter((request) =>
      request.headers["x-prompt-prefix"]?.includes(`${part}:`)
    ).length;
}

/** Sends requests with the part, and others, until it is refused everywhere. */
async function sendUntilRefused(parts: string[]): Promise<void> {
  for (let round = 0; round < 30; round++) {
    await Promise.all(fleet.gateways.map((each) => call(each, ["aa", "b1"])));
    await call(fleet.gateways[round % GATEWAYS], parts);
    await sleep(250);
  }
}

test("a prompt part that crashes endpoints stops reaching them, and requests that share its other parts are served", async () => {
  await startFleet();
  await sendUntilRefused(["aa", CRASH_PART, "b2"]);
  const arrived = arrivals(CRASH_PART);
  assert.ok(arrived <= MAX_ARRIVALS, `${arrived} requests arrived`);
  await sleep(400);
  for (const gateway of fleet.gateways) {
    const parts = ["aa", CRASH_PART, "b2"];
    assert.equal(await call(gateway, parts), HTTP_UNAVAILABLE);
    assert.equal(await call(gateway, parts, "/review/x"), HTTP_UNAVAILABLE);
    assert.equal(await call(gateway, ["aa", "b1"]), HTTP_OK);
    assert.equal(await call(gateway, ["aa", "b2"]), HTTP_OK);
  }
  assert.equal(arrivals(CRASH_PART), arrived);
  // The pieces of a refused request are not computed.
  assert.equal(
    fleet.engine(Service.Encode).pieceCalls.length +
      fleet.engine(Service.Encode, 1).pieceCalls.length,
    0,
  );
});

test("hosts that start later refuse the prompt part too, also after all have stopped", async () => {
  await startFleet();
  const parts = ["aa", CRASH_PART];
  await sendUntilRefused(parts);
  const arrived = arrivals(CRASH_PART);
  const late = await fleet.startGateway(GATEWAYS + 1);
  await waitUntil(() => late.logLines.some((l) => l.includes("state=ready")));
  await sleep(300);
  assert.equal(await call(late, parts), HTTP_UNAVAILABLE);
  for (const { gateway } of fleet.gateways) gateway.stop();
  const fresh = await fleet.startGateway(1);
  await waitUntil(() => fresh.logLines.some((l) => l.includes("state=ready")));
  await sleep(300);
  assert.equal(await call(fresh, parts), HTTP_UNAVAILABLE);
  assert.equal(await call(fresh, ["aa", "b1"]), HTTP_OK);
  assert.equal(arrivals(CRASH_PART), arrived);
});

test("hosts whose watches went silent learn of an entry from a peer", async () => {
  await startFleet();
  fleet.store.silenceOldestWatches(Infinity);
  const name = quarantineName([CRASH_PART]);
  fleet.store.put("quarantines", name, { parts: [CRASH_PART], probes: 0 });
  const late = await fleet.startGateway(GATEWAYS + 1);
  await waitUntil(() => late.logLines.some((l) => l.includes("state=ready")));
  // The hosts compare their revisions with a random peer's once a second.
  await sleep(8_000);
  for (const gateway of fleet.gateways) {
    assert.equal(await call(gateway, ["aa", CRASH_PART]), HTTP_UNAVAILABLE);
  }
  assert.equal(arrivals(CRASH_PART), 0);
});

test("crashes, resets and lost responses of endpoints put no prompt part in quarantine", async () => {
  await startFleet();
  for (let round = 0; round < 12; round++) {
    const running = fleet.gateways.flatMap((gateway) => [
      call(gateway, ["aa", `c${round % 2}`]),
      call(gateway, ["aa", "face"]),
    ]);
    await sleep(round % 4);
    models()[round % models().length]?.crash();
    await Promise.all(running);
    await sleep(120);
  }
  await sleep(400);
  for (const gateway of fleet.gateways) {
    for (const part of ["c0", "c1", "face"]) {
      assert.equal(await call(gateway, ["aa", part]), HTTP_OK);
    }
  }
});

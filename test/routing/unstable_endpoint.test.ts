/**
 * Guards against streams that are broken off again and again: an endpoint that
 * had just crashed had a clean record, and was the first choice of its prompt
 * prefixes at once.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  ApiKey,
  defaultEngines,
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";

const ROUNDS = 6;
const STREAMS_PER_ROUND = 6;
const STREAM_INTERVAL_MS = 50;
/** Crashes after which it is known that the endpoint fails again and again. */
const CRASHES_TO_NOTICE = 2;

test("streams leave an endpoint that crashes again and again", async (t) => {
  const ids = ["model-1", "model-2", "model-3", "model-4"];
  const fleet = new GatewayFleet({
    engines: {
      ...defaultEngines(),
      [Service.Model]: ids.map((id) => ({
        id,
        events: 8,
        work_ms: 30,
        restart_ms: 200,
      })),
    },
  });
  t.after(() => fleet.stop());
  await fleet.start();
  const callers = fleet.gateways[0]?.callers ?? "";
  let streams = 0;
  const stream = (): Promise<boolean> =>
    sendJsonRequest(callers, "/review/x", {
      method: "POST",
      text: "log",
      headers: {
        host: "fleet.example",
        "x-attempt-id": `attempt-${streams++}`,
        "x-key": ApiKey.Docks,
        "x-deadline-ms": "1800",
        "x-prompt-prefix": `aa:600,bb:200,${streams}c:10`,
      },
    }).then(({ status }) => status === 200, () => false);
  await stream();
  const failing = fleet.engines.get(Service.Model)
    ?.find(({ receivedRequests }) => receivedRequests.length > 0);
  assert.ok(failing !== undefined);
  const brokenOff: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const sending: Promise<boolean>[] = [];
    for (let n = 0; n < STREAMS_PER_ROUND; n++) {
      sending.push(stream());
      await sleep(STREAM_INTERVAL_MS);
    }
    failing.crash();
    const whole = await Promise.all(sending);
    brokenOff.push(whole.filter((isWhole) => !isWhole).length);
    await waitUntil(() =>
      fleet.gateways.every(({ logLines }) =>
        logLines.filter((line) =>
          line.includes(`endpoint=${failing.id} `) &&
          line.includes("event=endpoint ")
        ).length >= failing.crashes
      )
    );
  }
  const [first = 0] = brokenOff;
  assert.ok(first > 0, "the first crash breaks streams off");
  assert.deepEqual(
    brokenOff.slice(CRASHES_TO_NOTICE),
    Array(ROUNDS - CRASHES_TO_NOTICE).fill(0),
  );
});

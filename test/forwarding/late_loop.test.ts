/** Requests that a host reads only after their callers have left. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  GatewayFleet,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  RawCaller,
  rawRequest,
} from "../../stand_ins/deployment/raw_caller.ts";

const BLOCKED_MS = 700;

let fleet: GatewayFleet;

beforeEach(async () => {
  fleet = new GatewayFleet();
  await fleet.start();
});

afterEach(() => fleet.stop());

function countArrivals(): number {
  return [...fleet.engines.values()].flat()
    .reduce((sum, engine) => sum + engine.arrivals_ms.length, 0);
}

function blockLoop(): void {
  const end_ms = performance.now() + BLOCKED_MS;
  while (performance.now() < end_ms);
}

for (const path of ["/stamp/x", "/lookup/x", "/draft/x", "/review/x"]) {
  test(`${path}: a request isn't sent if its caller left while its host's loop was late`, async () => {
    const caller = await RawCaller.open(fleet.gateways[0]?.callers ?? "");
    await sleep(50);
    caller.write(rawRequest(path));
    caller.close();
    await new Promise((resolve) => setImmediate(resolve));
    blockLoop();
    await waitUntil(() =>
      fleet.gateways[0]?.logLines.some((line) =>
        line.includes("event=request ") && line.includes("outcome=caller_gone")
      ) ?? false
    );
    await sleep(50);
    assert.equal(countArrivals(), 0);
  });
}

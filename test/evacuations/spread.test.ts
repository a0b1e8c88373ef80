/** How fast requests leave a zone and come back to it. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import {
  type GatewayFleet,
  Service,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { call, KIND, startFleet, waitForLine } from "./evacuating_fleet.ts";

const ENGINES_PER_ZONE = 8;
const LEAVE_MS = 1_000;
const RETURN_MS = 2_000;
const CALLERS = 16;

/** Engines of both zones in turn; the even ones are in az-1. */
function createEngines() {
  const desks = Array.from(
    { length: 2 * ENGINES_PER_ZONE },
    // Long beside the noise of this process, as hosts prefer fast endpoints.
    (_, n) => ({ id: `desk-${n}`, work_ms: 15 }),
  );
  return {
    [Service.Desk]: desks,
    [Service.Model]: [],
    [Service.Encode]: [],
    [Service.Rank]: [],
  };
}

/** Sends requests through all hosts until the signal aborts. */
async function sendAll(fleet: GatewayFleet, signal: AbortSignal) {
  const callers = Array.from({ length: CALLERS }, async (_, n) => {
    while (!signal.aborted) {
      const gateway = fleet.gateways[n % fleet.gateways.length];
      assert.ok(gateway !== undefined);
      assert.equal((await call(gateway, "/stamp/1")).status, 200);
      await sleep(2);
    }
  });
  await Promise.all(callers);
}

/** The part of the requests in a time that came to engines of az-1. */
function shareIn(fleet: GatewayFleet, from_ms: number, to_ms: number): number {
  const engines = fleet.engines.get(Service.Desk) ?? [];
  const arrivals = engines.map(({ arrivals_ms }) =>
    arrivals_ms.filter((at_ms) => at_ms >= from_ms && at_ms < to_ms).length
  );
  const all = arrivals.reduce((sum, each) => sum + each, 0);
  const inZone = arrivals.filter((_, n) => n % 2 === 0)
    .reduce((sum, each) => sum + each, 0);
  return inZone / all;
}

test("requests leave a zone over a second and come back over two", async (t) => {
  const fleet = await startFleet(t, {
    gateways: 4,
    in_force_ms: 5_000,
    engines: createEngines(),
  });
  await fleet.waitForMembers();
  const stopping = new AbortController();
  const sent = sendAll(fleet, stopping.signal);
  await sleep(1_000);
  const begun_ms = performance.now();
  fleet.store.put(KIND, "az-1", {});
  await waitForLine(fleet, "event=evacuations_in_force zones=az-1");
  const left_ms = performance.now();
  await sleep(500);
  const ended_ms = performance.now();
  fleet.store.remove(KIND, "az-1");
  await sleep(RETURN_MS + 1_500);
  stopping.abort();
  await sent;
  assert.ok(left_ms - begun_ms >= LEAVE_MS);
  const shares = {
    before: shareIn(fleet, begun_ms - 900, begun_ms),
    early: shareIn(fleet, begun_ms, begun_ms + LEAVE_MS / 3),
    late: shareIn(fleet, begun_ms + LEAVE_MS * 2 / 3, begun_ms + LEAVE_MS),
    gone: shareIn(fleet, left_ms, ended_ms),
    returning: shareIn(fleet, ended_ms, ended_ms + RETURN_MS / 3),
    returned: shareIn(fleet, ended_ms + RETURN_MS, Infinity),
  };
  t.diagnostic(JSON.stringify(shares));
  // About half; some 300 requests have a standard deviation of 0.03.
  assert.ok(shares.before > 0.35);
  assert.ok(shares.early > 0.25, "the zone was not emptied at once");
  assert.ok(shares.late < 0.3);
  assert.equal(shares.gone, 0);
  assert.ok(shares.returning < 0.3, "the zone was not filled at once");
  // How much the zone gets then is for the choice by load and response times;
  // here each of its endpoints must be in use again.
  assert.ok(shares.returned > 2 * shares.returning);
  const unused = (fleet.engines.get(Service.Desk) ?? []).filter((engine) =>
    !engine.arrivals_ms.some((at_ms) => at_ms >= ended_ms + RETURN_MS)
  );
  assert.deepEqual(unused.map(({ id }) => id), []);
});

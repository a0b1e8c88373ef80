/** What hosts do while the object store is away for all of them. */
import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import {
  GatewayFleet,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { StoreFault } from "../../stand_ins/deployment/object_store.ts";

const GATEWAYS = 10;
const READERS = 3;
const FEEDS = 4;
/** Time in which hosts that read the store at their start follow others. */
const SETTLE_MS = 2_500;
const ABSENCE_MS = 2_000;
/** Longer than the test, so that store calls are caused by the absence. */
const WATCH_MS = 20_000;
/** Time within which a change must be active on every host. */
const MAX_PROPAGATION_MS = 2_000;
/**
 * A host finds each reader out once, and once more if a feed of that reader that
 * still stood spoke for it.
 */
const MAX_LINES_PER_HOST = 2 * READERS;
/** Pauses of 30 ms at least that double up to 400 ms: 9 calls in 2 s. */
const MAX_CALLS_PER_FEED = 9;
/** A host that follows others tries the store each second at most. */
const MAX_CALLS_PER_FOLLOWER = 2;

let fleet: GatewayFleet;

afterEach(() => fleet.stop());

function delay(delay_ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delay_ms));
}

function countLines(text: string): number[] {
  return fleet.gateways.map(({ logLines }) =>
    logLines.filter((line) => line.includes(text)).length
  );
}

test("an absence of the store causes few attempts, and changes arrive soon after it", async (context) => {
  fleet = new GatewayFleet({
    gateways: GATEWAYS,
    readers: READERS,
    watch_ms: WATCH_MS,
  });
  await fleet.start();
  await waitUntil(() =>
    countLines(`event=members count=${GATEWAYS}`).every((count) => count > 0)
  );
  await delay(SETTLE_MS);
  const events = ["event=reader_failed", "event=stream_closed"];
  const before = events.map(countLines);
  const callsBefore = fleet.store.calls;
  fleet.store.fault = StoreFault.Unavailable;
  fleet.store.restore(fleet.store.copy());
  await delay(ABSENCE_MS);
  const calls = fleet.store.calls - callsBefore;
  const lines = events.map((text, index) =>
    countLines(text).map((count, host) => count - (before[index]?.[host] ?? 0))
  );
  const sourcesLost = countLines("event=source_lost");
  fleet.store.fault = StoreFault.None;
  const start_ms = performance.now();
  fleet.publishManifest({});
  await waitUntil(
    () =>
      countLines("event=configuration version=2 ").every((count) => count > 0),
    MAX_PROPAGATION_MS,
  );
  const arrival_ms = Math.round(performance.now() - start_ms);
  context.diagnostic(
    `reader_failed ${lines[0]}, stream_closed ${lines[1]}, ${calls} calls, ` +
      `on all hosts after ${arrival_ms} ms`,
  );
  assert.ok(sourcesLost.every((count) => count > 0), `${sourcesLost}`);
  for (const [index, counts] of lines.entries()) {
    assert.ok(
      counts.every((count) => count <= MAX_LINES_PER_HOST),
      `${events[index]}: ${counts}`,
    );
  }
  const maxCalls = READERS * FEEDS * MAX_CALLS_PER_FEED +
    (GATEWAYS - READERS) * MAX_CALLS_PER_FOLLOWER;
  assert.ok(calls <= maxCalls, `${calls} calls, at most ${maxCalls}`);
});

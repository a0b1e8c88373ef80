/** The choice of the host that carries an exchange. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { KnownCarriers } from "../../src/reachability/known_carriers.ts";

const ENDPOINT = "desk-1@127.0.0.1:9000";
const NONE: ReadonlySet<string> = new Set();

function createCarriers(): KnownCarriers {
  return new KnownCarriers({
    zone: "az-1",
    zoneOf: () => "az-1",
    carriedInFlight: () => 0,
    random: () => 0,
  });
}

test("hosts that were all slow once still carry, rather than none", () => {
  const carriers = createCarriers();
  for (const address of ["host-2", "host-3"]) {
    carriers.recordAnswer(address, ENDPOINT, {
      reached_ms: 900,
      now_ms: 1_000,
    });
  }
  carriers.recordFailure("host-2", 1_500);
  assert.equal(
    carriers.choose(ENDPOINT, { avoid: NONE, now_ms: 1_600 }),
    "host-3",
  );
  carriers.recordFailure("host-3", 1_550);
  const chosen = carriers.choose(ENDPOINT, { avoid: NONE, now_ms: 1_600 });
  assert.ok(chosen !== undefined);
  const avoid = new Set([chosen]);
  const other = carriers.choose(ENDPOINT, { avoid, now_ms: 1_600 });
  assert.ok(other !== undefined && other !== chosen);
  assert.equal(carriers.carriersOf(ENDPOINT, 1_600).length, 2);
});

test("a host that doesn't reach the endpoint never carries", () => {
  const carriers = createCarriers();
  carriers.recordAnswer("host-2", ENDPOINT, {
    reached_ms: undefined,
    now_ms: 1_000,
  });
  carriers.recordFailure("host-2", 1_500);
  assert.deepEqual(carriers.carriersOf(ENDPOINT, 1_600), []);
});

/** Failures that were a host's own, and not the endpoint's. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ObservedEndpoint,
  ObservedOutcome,
} from "../../src/routing/observed_load.ts";

test("an endpoint whose failures are forgotten is used as before them", () => {
  const observed = new ObservedEndpoint();
  for (let now_ms = 0; now_ms < 4_000; now_ms += 500) {
    observed.recordOutcome(ObservedOutcome.ConnectionFailed, now_ms);
  }
  assert.ok(observed.isBackingOff(4_000));
  assert.ok(observed.isAvoided(4_000));
  observed.forgetFailures();
  assert.ok(!observed.isBackingOff(4_000));
  assert.ok(!observed.isAvoided(4_000));
  observed.recordOutcome(ObservedOutcome.ConnectionFailed, 4_000);
  assert.ok(observed.isBackingOff(4_200));
  assert.ok(!observed.isBackingOff(4_300));
});

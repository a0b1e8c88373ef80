/** How the end of a send counts for the ramp-up of its endpoint. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { PlaceOutcome } from "../../src/endpoint_places/types.ts";
import { placeOutcomeOf } from "../../src/forwarding/place_outcome.ts";
import { SendOutcome } from "../../src/forwarding/send_result.ts";
import { ObservedOutcome } from "../../src/routing/observed_load.ts";

const SENT = { sent_ms: 1_000, usual_ms: 100 };

function resultOf(
  observedOutcome: ObservedOutcome,
  { elapsed_ms = 100, reason = "" } = {},
) {
  return {
    outcome: SendOutcome.Answered,
    observedOutcome,
    first_byte_ms: SENT.sent_ms + elapsed_ms,
    reason,
  };
}

test("a server that is 2.5 times slower for a while is not late", () => {
  const slow = resultOf(ObservedOutcome.Success, { elapsed_ms: 250 });
  assert.equal(placeOutcomeOf(slow, SENT), PlaceOutcome.InTime);
  const late = resultOf(ObservedOutcome.Success, { elapsed_ms: 320 });
  assert.equal(placeOutcomeOf(late, SENT), PlaceOutcome.Late);
});

test("nothing is late before the pool's usual time is known", () => {
  const first = resultOf(ObservedOutcome.Success, { elapsed_ms: 9_000 });
  const unknown = { ...SENT, usual_ms: 0 };
  assert.equal(placeOutcomeOf(first, unknown), PlaceOutcome.InTime);
});

test("each outcome counts, unless it tells nothing of the endpoint", () => {
  const expected = {
    [ObservedOutcome.Full]: PlaceOutcome.Rejected,
    [ObservedOutcome.ConnectionFailed]: PlaceOutcome.Failed,
    [ObservedOutcome.Error]: PlaceOutcome.Failed,
    [ObservedOutcome.Silent]: PlaceOutcome.Failed,
    [ObservedOutcome.NotSent]: undefined,
    [ObservedOutcome.Unreachable]: undefined,
    [ObservedOutcome.Stopped]: undefined,
  };
  for (const [outcome, counted] of Object.entries(expected)) {
    const result = resultOf(outcome as ObservedOutcome);
    assert.equal(placeOutcomeOf(result, SENT), counted, outcome);
  }
});

test("a host without a free connection has not been rejected", () => {
  const reason = "no_connection";
  const result = resultOf(ObservedOutcome.Full, { reason });
  assert.equal(placeOutcomeOf(result, SENT), undefined);
});

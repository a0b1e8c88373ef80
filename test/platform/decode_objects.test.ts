/** Tests the first-event timeout of decoded routes. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeConfiguration } from "../../platform/decode_objects.ts";

function firstEventTimeoutMs(route: object): number | undefined {
  const configuration = decodeConfiguration("main", {
    version: 1,
    routes: [{
      name: "r",
      hostname: "h",
      path_prefix: "/r/",
      kind: "streaming",
      timeout_ms: 20_000,
      service: "s",
      ...route,
    }],
    services: [],
    limits: {
      max_header_bytes: 1,
      max_body_bytes: 1,
      header_timeout_ms: 1,
      idle_timeout_ms: 1,
    },
  });
  return configuration?.routes[0]?.first_event_within_ms;
}

test("the first-event timeout is the longest of a fixed time and two multiples of targets", () => {
  const timeoutMs = (target_latency_ms: number, target_gap_ms?: number) =>
    firstEventTimeoutMs({ target_latency_ms, target_gap_ms });
  assert.equal(timeoutMs(400), 2_000);
  assert.equal(timeoutMs(1_500, 300), 6_000);
  assert.equal(timeoutMs(800, 500), 4_000);
});

test("calls without a stream or a target latency have no first-event timeout", () => {
  const safe = { kind: "safe", target_latency_ms: 100 };
  assert.equal(firstEventTimeoutMs(safe), undefined);
  assert.equal(firstEventTimeoutMs({}), undefined);
});

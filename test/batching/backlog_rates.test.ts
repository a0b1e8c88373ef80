/** Rates of a queue, from which its waits in a burst are estimated. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { BacklogRates } from "../../src/batching/backlog_rates.ts";

const SECOND_MS = 1_000;

function assertNear(actual: number | undefined, expected: number): void {
  assert.ok(actual !== undefined);
  assert.ok(Math.abs(actual / expected - 1) < 0.2, `${actual}, ${expected}`);
}

test("arrivals are measured over the last seconds", () => {
  const rates = new BacklogRates(0);
  assert.equal(rates.arrivals_per_ms, 0);
  for (let now_ms = 0; now_ms < 10 * SECOND_MS; now_ms += 20) {
    rates.recordArrival(2, 0, now_ms);
  }
  assertNear(rates.arrivals_per_ms, 0.1);
  for (let now_ms = 10 * SECOND_MS; now_ms < 13 * SECOND_MS; now_ms += 20) {
    rates.recordArrival(6, 0, now_ms);
  }
  assertNear(rates.arrivals_per_ms, 0.3);
});

test("calls that memory keeps small are measured, not their configured size", () => {
  const rates = new BacklogRates(0);
  for (let now_ms = 0; now_ms < 5 * SECOND_MS; now_ms += 100) {
    rates.recordCall({ pieces: 1, waiting_pieces: 80, limited: true }, now_ms);
  }
  assertNear(rates.service_per_ms, 0.01);
});

test("calls that could have taken more don't tell how fast a backlog is worked off", () => {
  const rates = new BacklogRates(0);
  for (let now_ms = 0; now_ms < 5 * SECOND_MS; now_ms += 100) {
    rates.recordArrival(5, 0, now_ms);
    rates.recordCall(
      { pieces: 5, waiting_pieces: 9, limited: false },
      now_ms + 80,
    );
  }
  assert.equal(rates.service_per_ms, undefined);
});

test("time without a backlog does not lower the service rate", () => {
  const rates = new BacklogRates(0);
  assert.equal(rates.service_per_ms, undefined);
  for (let now_ms = 0; now_ms < 2 * SECOND_MS; now_ms += 100) {
    rates.recordCall({ pieces: 5, waiting_pieces: 10, limited: true }, now_ms);
  }
  rates.recordArrival(1, 0, 3 * SECOND_MS);
  assertNear(rates.service_per_ms, 0.05);
});

test("rates of a queue that records nothing are forgotten too", () => {
  const rates = new BacklogRates(0);
  for (let now_ms = 0; now_ms < 2 * SECOND_MS; now_ms += 100) {
    rates.recordArrival(5, 10, now_ms);
    rates.recordCall({ pieces: 1, waiting_pieces: 10, limited: true }, now_ms);
  }
  rates.advance(0, 30 * SECOND_MS);
  assert.equal(rates.service_per_ms, undefined);
  assert.ok(rates.arrivals_per_ms < 0.001);
});

test("an old backlog is forgotten", () => {
  const rates = new BacklogRates(0);
  for (let now_ms = 0; now_ms < 2 * SECOND_MS; now_ms += 100) {
    rates.recordCall({ pieces: 5, waiting_pieces: 10, limited: true }, now_ms);
  }
  rates.recordArrival(1, 0, 10 * SECOND_MS);
  assert.equal(rates.service_per_ms, undefined);
});

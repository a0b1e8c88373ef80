/** The in-flight limit of an endpoint in ramp-up. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RampBound, RampEnd } from "../../src/endpoint_places/ramp_bound.ts";
import { PlaceOutcome } from "../../src/endpoint_places/types.ts";

const SLOTS = 16;
const ROUND_TRIP_MS = 100;
const MAX_PAUSE_MS = 500;
const NO_DEMAND_MS = 10_000;
const LATENESS_COUNTS_MS = 15_000;

/** A bound whose limit all requests in flight reach, one round trip at a time. */
class Driver {
  now_ms = 1_000;
  readonly bound: RampBound;

  constructor({ isTakeover = false } = {}) {
    this.bound = new RampBound({ isTakeover, now_ms: this.now_ms });
  }

  /** All requests of a round trip end like this; returns the limit after it. */
  roundTrip(outcome: PlaceOutcome): number {
    const in_flight = this.bound.places(this.now_ms);
    const granted_ms = this.now_ms;
    this.bound.recordDemand(this.now_ms);
    this.now_ms += ROUND_TRIP_MS;
    for (let n = 0; n < in_flight; n++) {
      this.bound.record({ outcome, granted_ms, in_flight }, this.now_ms);
    }
    this.bound.settle(SLOTS, this.now_ms);
    return this.bound.limit;
  }

  roundTrips(count: number, outcome = PlaceOutcome.InTime): number[] {
    return Array.from({ length: count }, () => this.roundTrip(outcome));
  }
}

test("the limit begins at one and doubles with each round trip in time", () => {
  const driver = new Driver();
  assert.equal(driver.bound.limit, 1);
  assert.deepEqual(driver.roundTrips(4), [2, 4, 8, 16]);
});

test("it ends at the slots only once as many requests were in time there", () => {
  const driver = new Driver();
  driver.roundTrips(4);
  assert.equal(driver.bound.settle(SLOTS, driver.now_ms), undefined);
  driver.roundTrip(PlaceOutcome.InTime);
  assert.equal(driver.bound.settle(SLOTS, driver.now_ms), RampEnd.Full);
});

for (const outcome of [PlaceOutcome.Late, PlaceOutcome.Rejected]) {
  test(`a round trip of ${outcome} responses halves the limit once`, () => {
    const driver = new Driver();
    driver.roundTrips(3);
    assert.equal(driver.roundTrip(outcome), 4);
    assert.equal(driver.roundTrip(outcome), 2);
  });
}

test("responses to requests from before the limit fell don't lower it again", () => {
  const { bound } = new Driver();
  const late = { outcome: PlaceOutcome.Late, granted_ms: 1_000, in_flight: 1 };
  const inTime = { ...late, outcome: PlaceOutcome.InTime };
  for (let n = 1; n < 8; n++) bound.record({ ...inTime, in_flight: n }, 1_100);
  bound.record({ ...late, in_flight: 8 }, 1_200);
  bound.record({ ...late, in_flight: 7 }, 1_300);
  assert.equal(bound.limit, 4);
});

test("for a while after a trouble the limit grows slowly where it came", () => {
  const driver = new Driver();
  driver.roundTrips(3);
  driver.roundTrip(PlaceOutcome.Late);
  assert.deepEqual(driver.roundTrips(2), [4, 5]);
  driver.now_ms += 2_000;
  assert.ok(driver.roundTrip(PlaceOutcome.InTime) >= 10);
});

test("a failing endpoint gets a request after each pause, and no pause is long", () => {
  const driver = new Driver();
  const pauses_ms = Array.from({ length: 6 }, () => {
    driver.roundTrip(PlaceOutcome.Failed);
    assert.equal(driver.bound.places(driver.now_ms), 0);
    const pause_ms = driver.bound.pauseMs(driver.now_ms);
    driver.now_ms += pause_ms;
    assert.equal(driver.bound.places(driver.now_ms), 1);
    return pause_ms;
  });
  assert.deepEqual(pauses_ms.slice(0, 2), [250, 500]);
  assert.equal(Math.max(...pauses_ms), MAX_PAUSE_MS);
});

test("a failure among many good responses leaves the limit", () => {
  const driver = new Driver();
  driver.roundTrips(3);
  const { bound, now_ms } = driver;
  const request = { granted_ms: now_ms, in_flight: 8 };
  bound.record({ ...request, outcome: PlaceOutcome.Failed }, now_ms + 1);
  assert.equal(bound.limit, 4);
  const again = new Driver();
  again.roundTrips(4);
  const later = { granted_ms: again.now_ms, in_flight: 16 };
  again.bound.record({ ...later, outcome: PlaceOutcome.InTime }, again.now_ms);
  for (let n = 0; n < 8; n++) {
    again.bound.record(
      { ...later, outcome: PlaceOutcome.InTime },
      again.now_ms,
    );
  }
  again.bound.record({ ...later, outcome: PlaceOutcome.Failed }, again.now_ms);
  assert.ok(again.bound.limit >= SLOTS, `${again.bound.limit}`);
});

test("fewer requests in flight than half the limit don't raise it", () => {
  const driver = new Driver();
  driver.roundTrips(3);
  const request = {
    outcome: PlaceOutcome.InTime,
    granted_ms: driver.now_ms,
    in_flight: 3,
  };
  driver.bound.record(request, driver.now_ms);
  assert.equal(driver.bound.limit, 8);
});

test("it ends after a while without demand, not before", () => {
  const { bound, now_ms } = new Driver();
  const end_ms = now_ms + NO_DEMAND_MS;
  assert.equal(bound.settle(SLOTS, end_ms - 1), undefined);
  bound.recordDemand(end_ms - 1);
  assert.equal(bound.settle(SLOTS, end_ms), undefined);
  const later_ms = end_ms - 1 + NO_DEMAND_MS;
  assert.equal(bound.settle(SLOTS, later_ms), RampEnd.NoDemand);
});

test("an endpoint that is slow for good is not kept at one request for ever", () => {
  const driver = new Driver();
  driver.now_ms += LATENESS_COUNTS_MS;
  assert.deepEqual(driver.roundTrips(4, PlaceOutcome.Late), [2, 4, 8, 16]);
});

test("the next issuer begins at half of what is in flight, at least at one", () => {
  const busy = new Driver({ isTakeover: true });
  busy.bound.recordInFlight(9, busy.now_ms + 400);
  assert.equal(busy.bound.limit, 4);
  const idle = new Driver({ isTakeover: true });
  idle.bound.recordInFlight(0, idle.now_ms + 400);
  assert.equal(idle.bound.limit, 1);
  const late = new Driver({ isTakeover: true });
  late.bound.recordInFlight(9, late.now_ms + 700);
  assert.equal(late.bound.limit, 1);
  const first = new Driver();
  first.bound.recordInFlight(9, first.now_ms + 400);
  assert.equal(first.bound.limit, 1);
});

/** Places that an issuer of an earlier release grants during a ramp-up. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { EndpointPlaces } from "../../src/endpoint_places/endpoint_places.ts";
import { RampReason } from "../../src/endpoint_places/ramp_reason.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { endpointOf } from "./ramped_fleet.ts";

const ENDPOINT = endpointOf("e");
/** Longer than the time in which places that are given back share a report. */
const REPORTED_MS = 50;

test("a place that an issuer without ramp-ups grants is given back to it", async (t) => {
  const stopped = new AbortController();
  t.after(() => stopped.abort());
  const granted: number[] = [];
  const released: number[] = [];
  const places = new EndpointPlaces({
    self: "10.0.0.1:1",
    hosts: () => ["10.0.0.2:1"],
    peers: {
      requestPlace(_, { place }) {
        granted.push(place);
        const reply = { granted: true, ask_after_ms: 0, retry_after_ms: 0 };
        return Promise.resolve(reply);
      },
      reportPlaces(_, report) {
        released.push(...report.released.map(({ place }) => place));
        return Promise.resolve();
      },
    },
    ramps: {
      isOn: () => true,
      isAnyOn: () => true,
      allEndpoints: () => [ENDPOINT],
      tellHosts: () => {},
      askRamps: () => Promise.resolve([]),
      onChange: () => {},
      onRecovered: () => {},
      delay: () => Promise.resolve(),
      random: () => 0,
    },
    log: createLogger({ level: "error", host: "h", writeLine: () => {} }),
    now: () => performance.now(),
    signal: stopped.signal,
  });
  places.startRamp(ENDPOINT, RampReason.Start);
  const place = await places.take(ENDPOINT, { priority: 0, max_wait_ms: 0 });
  assert.ok(place !== undefined, "this host sends one request by itself");
  await sleep(REPORTED_MS);
  assert.equal(granted.length, 1);
  assert.deepEqual(released, granted);
  place.release(false);
});

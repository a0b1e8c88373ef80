/**
 * The time to the full use of an endpoint that starts or recovers, and the
 * requests that are late or fail because of it, with and without ramp-up.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  CAPACITY_PER_S,
  type EndpointModel,
  endpointOf,
  RampedFleet,
  type Service,
  SLOTS,
  WORK_MS,
} from "./ramped_fleet.ts";

const HOSTS = [8, 66, 360];
const OTHER = endpointOf("other");
const ENDPOINT = endpointOf("e", 2);
/** Time for which the endpoint is slow, silent or brittle. */
const TROUBLE_MS = 4_000;
const TIMEOUT_MS = 600;
const REFUSAL_MS = 5;
const RESTART_MS = 500;
const MEASURED_MS = 8_000;
/** Share of the slots in flight from which the endpoint is in full use. */
const FULL_SHARE = 0.9;
/** More than the endpoint serves, so that it can be in full use. */
const OFFERED_PER_S = 1.25 * CAPACITY_PER_S;
const SOUND: Service = { elapsed_ms: WORK_MS };

/** Each creates a model that is in trouble from `from_ms` on. */
const BEHAVIOURS: Record<string, (from_ms: number) => EndpointModel> = {
  "fast at once": () => ({ serve: () => SOUND }),
  slow: (from_ms) => ({
    serve: (now_ms) =>
      inTrouble(from_ms, now_ms) ? { elapsed_ms: 10 * WORK_MS } : SOUND,
  }),
  "slower with load": (from_ms) => ({
    serve: (now_ms, in_flight) =>
      inTrouble(from_ms, now_ms)
        ? { elapsed_ms: WORK_MS * Math.max(1, (in_flight + 1) / 2) }
        : SOUND,
  }),
  brittle: createBrittle,
  silent: (from_ms) => ({
    serve: (now_ms) =>
      inTrouble(from_ms, now_ms)
        ? { elapsed_ms: TIMEOUT_MS, failed: true }
        : SOUND,
  }),
};

function inTrouble(from_ms: number, now_ms: number): boolean {
  return now_ms >= from_ms && now_ms < from_ms + TROUBLE_MS;
}

/** Slower with load, and crashes with more than half its slots in flight. */
function createBrittle(from_ms: number): EndpointModel {
  let downUntil_ms = -Infinity;
  return {
    serve(now_ms, in_flight) {
      if (now_ms < downUntil_ms) {
        return { elapsed_ms: REFUSAL_MS, failed: true };
      }
      if (!inTrouble(from_ms, now_ms)) return SOUND;
      if (in_flight >= SLOTS / 2) {
        downUntil_ms = now_ms + RESTART_MS;
        return { elapsed_ms: REFUSAL_MS, failed: true };
      }
      return { elapsed_ms: WORK_MS * Math.max(1, (in_flight + 1) / 2) };
    },
  };
}

interface Figures {
  /** From the end of the trouble to full use; Infinity if it isn't reached. */
  full_ms: number;
  /** Requests that were late or failed. */
  troubled: number;
  /** Requests that the endpoint served in time. */
  served: number;
  messages: number;
}

/** Loads the endpoint from its start, or with `sound_ms` from before a trouble. */
async function measure(
  t: TestContext,
  { behaviour, hosts, isOn, sound_ms = 0 }: {
    behaviour: string;
    hosts: number;
    isOn: boolean;
    sound_ms?: number;
  },
): Promise<Figures> {
  const fleet = new RampedFleet(t, hosts, { isOn });
  const isStart = sound_ms === 0;
  fleet.feed(isStart ? [OTHER] : [OTHER, ENDPOINT]);
  await fleet.tick();
  fleet.feed([OTHER, ENDPOINT]);
  const from_ms = fleet.now_ms + sound_ms;
  const model = BEHAVIOURS[behaviour]?.(from_ms) as EndpointModel;
  const options = { per_s: OFFERED_PER_S, model };
  await fleet.load(ENDPOINT, { ...options, for_ms: sound_ms });
  const before = fleet.inFlightAt.length;
  assert.equal(fleet.changes.length, 0, "ramp-up of a sound endpoint");
  await fleet.load(ENDPOINT, { ...options, for_ms: MEASURED_MS });
  const sound = behaviour === "fast at once" ? before : before + TROUBLE_MS;
  const isFull = (in_flight: number, at: number) =>
    at >= sound && in_flight >= FULL_SHARE * SLOTS;
  const full = fleet.inFlightAt.findIndex(isFull);
  t.mock.timers.reset();
  const { outcomes, messages } = fleet.figures;
  return {
    full_ms: full < 0 ? Infinity : full - sound,
    troubled: outcomes.late + outcomes.failed,
    served: outcomes.in_time,
    messages,
  };
}

/** Bounds that hold for all numbers of hosts; the figures are in the page. */
const STARTS = [
  { behaviour: "fast at once", full_ms: 700, troubled: 0 },
  { behaviour: "slow", full_ms: 1_000, troubled: 6 },
  { behaviour: "slower with load", full_ms: 1_800, troubled: 40 },
  { behaviour: "brittle", full_ms: 1_800, troubled: 40 },
  { behaviour: "silent", full_ms: 1_800, troubled: 8 },
];
const RECOVERIES = [
  { behaviour: "slow", full_ms: 1_500, troubled: 300 },
  { behaviour: "brittle", full_ms: 1_800, troubled: 200 },
  { behaviour: "silent", full_ms: 1_800, troubled: 250 },
];

for (const hosts of HOSTS) {
  for (const { behaviour, full_ms, troubled } of STARTS) {
    test(`${hosts} hosts load an endpoint that starts and is ${behaviour} as fast as it responds well`, async (t) => {
      const on = await measure(t, { behaviour, hosts, isOn: true });
      const off = await measure(t, { behaviour, hosts, isOn: false });
      print(t, `start, ${behaviour}, ${hosts} hosts`, { on, off });
      assert.ok(on.full_ms <= full_ms, `${on.full_ms} ms to full use`);
      assert.ok(on.troubled <= troubled, `${on.troubled} late or failed`);
      assert.equal(off.messages, 0);
    });
  }
  for (const { behaviour, full_ms, troubled } of RECOVERIES) {
    test(`${hosts} hosts spare an endpoint that turns ${behaviour}, and use it again when it recovers`, async (t) => {
      const recovery = { behaviour, hosts, sound_ms: 4_000 };
      const on = await measure(t, { ...recovery, isOn: true });
      const off = await measure(t, { ...recovery, isOn: false });
      print(t, `recovery, ${behaviour}, ${hosts} hosts`, { on, off });
      assert.ok(on.full_ms <= full_ms, `${on.full_ms} ms to full use`);
      assert.ok(on.troubled <= troubled, `${on.troubled} late or failed`);
      assert.ok(on.troubled < off.troubled / 2);
    });
  }
}

test("streams of seconds raise the limit with their first bytes, not their ends", async (t) => {
  const fleet = new RampedFleet(t, 66);
  fleet.feed([OTHER]);
  await fleet.tick();
  fleet.feed([OTHER, ENDPOINT]);
  const stream = { elapsed_ms: 3_000, first_byte_ms: WORK_MS };
  const model = { serve: () => stream };
  await fleet.load(ENDPOINT, { per_s: 100, for_ms: 2_500, model });
  const full_ms = fleet.inFlightAt.findIndex((each) =>
    each >= FULL_SHARE * SLOTS
  );
  t.diagnostic(`streams of 3 s: full use after ${full_ms} ms`);
  assert.ok(full_ms > 0 && full_ms <= 1_000, `${full_ms} ms to full use`);
  assert.ok(fleet.figures.maxInFlight <= SLOTS);
});

function print(
  t: TestContext,
  title: string,
  { on, off }: { on: Figures; off: Figures },
): void {
  t.diagnostic(
    `${title}: full use after ${on.full_ms} ms, ${on.troubled} late or failed, ` +
      `${on.served} in time, ${on.messages} messages; without ramp-up ` +
      `${off.full_ms} ms, ${off.troubled} late or failed, ${off.served} in time`,
  );
}

/** The choice among endpoints of which some are in ramp-up. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Place } from "../../src/endpoint_places/endpoint_places.ts";
import type { RunContext } from "../../src/forwarding/run_context.ts";
import { takeEndpoint } from "../../src/forwarding/take_endpoint.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";
import {
  ObservedLoad,
  ObservedOutcome,
} from "../../src/routing/observed_load.ts";

const MAX_WAIT_MS = 200;
const NONE: ReadonlySet<string> = new Set();

function endpointOf(id: string): RouteEndpoint {
  return {
    id,
    pool: "desks",
    address: `10.1.0.1:${id.length}`,
    availability_zone: "az-1",
    slots: 8,
    state: RouteEndpointState.Ready,
    born_ms: 1,
  };
}

/** How the places at one endpoint in ramp-up are. */
interface FakeRamp {
  /** Time from the start of the test until it has a place; Infinity for none. */
  freeAt_ms: number;
  /** Time after a refusal until this host may ask again. */
  ask_after_ms?: number;
}

interface FakeHost {
  context: RunContext;
  /** The longest wait with which each endpoint was asked for a place. */
  asked: { id: string; max_wait_ms: number }[];
  load: ObservedLoad;
  elapsedMs: () => number;
}

/** A request among endpoints, those in `ramps` in ramp-up. */
function createRequest(
  ids: string[],
  ramps: Record<string, FakeRamp>,
  permits: Record<string, number> = {},
): FakeHost {
  const started_ms = performance.now();
  const elapsedMs = () => performance.now() - started_ms;
  const refusedUntil_ms = new Map<string, number>();
  const asked: FakeHost["asked"] = [];
  const place: Place = { begin() {}, release() {} };
  const load = new ObservedLoad();
  const places = {
    needsPlace: ({ id }: RouteEndpoint) => ramps[id] !== undefined,
    isRamping: ({ id }: RouteEndpoint) => ramps[id] !== undefined,
    isRampedTogether: ({ id }: RouteEndpoint) => ramps[id] !== undefined,
    hasIdle: () => false,
    waitMs: ({ id }: RouteEndpoint) =>
      Math.max(0, (refusedUntil_ms.get(id) ?? 0) - elapsedMs()),
    takeUnbounded: () => place,
    take({ id }: RouteEndpoint, { max_wait_ms }: { max_wait_ms: number }) {
      asked.push({ id, max_wait_ms });
      const { freeAt_ms, ask_after_ms = 20 } = ramps[id] as FakeRamp;
      if (elapsedMs() >= freeAt_ms) return Promise.resolve(place);
      refusedUntil_ms.set(id, elapsedMs() + ask_after_ms);
      return Promise.resolve(undefined);
    },
  };
  const context = {
    pool: "desks",
    admitted: {
      priority: 0,
      route: { target_latency_ms: 1_000 },
      metadata: { attempt_id: "a" },
    },
    inbound: {
      arrived_ms: started_ms,
      response: {},
      request: { socket: { destroyed: false, readableEnded: false } },
    },
    traits: {},
    signal: new AbortController().signal,
    stopReason: undefined,
    readyEndpoints: () => ids.map(endpointOf),
    releasePlace() {},
    holdPlace() {},
    dependencies: {
      places,
      load,
      now: () => performance.now(),
      random: () => 0,
      log: { info() {} },
      configuration: {},
      quarantine: { addressesToAvoid: () => new Set() },
      reports: { pauseMs: () => 0 },
      rateLimits: {
        isLimited: ({ id }: RouteEndpoint) => permits[id] !== undefined,
        waitMs: ({ id }: RouteEndpoint) => permits[id] === 0 ? 50 : 0,
        takePermit({ id }: RouteEndpoint) {
          const left = permits[id] ?? 0;
          permits[id] = Math.max(0, left - 1);
          const at_ms = performance.now();
          const permit = { at_ms, expires_ms: Infinity };
          return Promise.resolve(left > 0 ? permit : undefined);
        },
      },
    },
  } as unknown as RunContext;
  return { context, asked, load, elapsedMs };
}

test("a request goes elsewhere at once if an endpoint in ramp-up has no place", async () => {
  const ramps = { ramp: { freeAt_ms: Infinity } };
  const request = createRequest(["ramp", "sound"], ramps);
  const chosen = await takeEndpoint(request.context, NONE);
  assert.equal(chosen?.id, "sound");
  for (const { max_wait_ms } of request.asked) assert.ok(max_wait_ms <= 0);
  assert.ok(request.elapsedMs() < MAX_WAIT_MS / 2);
});

test("a request asks at two endpoints in ramp-up, then takes another", async () => {
  const ids = ["r", "ra", "ram", "ramp", "ramps", "sounder"];
  const ramps = Object.fromEntries(
    ids.slice(0, 5).map((id) => [id, { freeAt_ms: Infinity }]),
  );
  const request = createRequest(ids, ramps);
  const chosen = await takeEndpoint(request.context, NONE);
  assert.equal(chosen?.id, "sounder");
  assert.ok(request.asked.length <= 2, `${request.asked.length} asked`);
});

test("an endpoint that fails takes a request that a ramp-up would refuse", async () => {
  const ramps = { ramp: { freeAt_ms: Infinity } };
  const request = createRequest(["ramp", "failing"], ramps);
  const failing = request.load.forEndpoint(endpointOf("failing"));
  failing.recordOutcome(ObservedOutcome.ConnectionFailed, performance.now());
  const chosen = await takeEndpoint(request.context, NONE);
  assert.equal(chosen?.id, "failing");
});

test("if all are in ramp-up, a request waits until one has a place", async () => {
  const ramps = {
    one: { freeAt_ms: 90, ask_after_ms: 30 },
    other: { freeAt_ms: Infinity, ask_after_ms: 30 },
  };
  const request = createRequest(["one", "other"], ramps);
  const chosen = await takeEndpoint(request.context, NONE);
  assert.equal(chosen?.id, "one");
  assert.ok(request.asked.some(({ max_wait_ms }) => max_wait_ms > 0));
});

test("it waits no longer than for other places", async () => {
  const ramps = { one: { freeAt_ms: Infinity, ask_after_ms: 50 } };
  const request = createRequest(["one"], ramps);
  assert.equal(await takeEndpoint(request.context, NONE), undefined);
  const elapsed_ms = request.elapsedMs();
  assert.ok(elapsed_ms >= MAX_WAIT_MS - 60, `${elapsed_ms}`);
  assert.ok(elapsed_ms < 2 * MAX_WAIT_MS, `${elapsed_ms}`);
  assert.ok(request.asked.length <= 5, `${request.asked.length} asked`);
});

test("no permit is lost at an endpoint in ramp-up that has no place", async () => {
  const permits = { ramp: 1 };
  const ramps = { ramp: { freeAt_ms: Infinity } };
  const refused = createRequest(["ramp", "sound"], ramps, permits);
  assert.equal((await takeEndpoint(refused.context, NONE))?.id, "sound");
  assert.equal(permits.ramp, 1);
  const granted = createRequest(["ramp"], { ramp: { freeAt_ms: 0 } }, permits);
  assert.equal((await takeEndpoint(granted.context, NONE))?.id, "ramp");
  assert.equal(permits.ramp, 0);
});

test("a send that was reserved in a ramp-up needs its permit after it as well", async () => {
  const permits = { ramped: 1 };
  const request = createRequest(["ramped"], {}, permits);
  const { context } = request;
  const [endpoint] = context.readyEndpoints();
  assert.ok(endpoint !== undefined);
  const at_ms = performance.now();
  // The ramp-up ended while the stages of the request ran.
  const reserved = { endpoint, at_ms, expires_ms: Infinity, needsPermit: true };
  context.reservedSend = { ...reserved };
  assert.equal((await takeEndpoint(context, NONE))?.id, "ramped");
  assert.equal(permits.ramped, 0);
  context.reservedSend = { ...reserved };
  assert.equal(await takeEndpoint(context, NONE), undefined);
});

test("what this host alone has seen fail is asked for once all hosts ramp it up", async () => {
  const ramps = { ramp: { freeAt_ms: 0 } };
  const request = createRequest(["ramp", "sound"], ramps);
  const ramped = request.load.forEndpoint(endpointOf("ramp"));
  ramped.recordOutcome(ObservedOutcome.ConnectionFailed, performance.now());
  ramped.first_byte_ms = 5_000;
  request.load.forEndpoint(endpointOf("sound")).in_flight = 4;
  request.load.recordFirstByte(endpointOf("sound"), 100);
  const chosen = await takeEndpoint(request.context, NONE);
  assert.equal(chosen?.id, "ramp");
});

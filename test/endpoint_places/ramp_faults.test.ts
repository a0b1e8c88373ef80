/** Ramp-ups while hosts die, are cut off, differ in release or start late. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { RampEnd } from "../../src/endpoint_places/ramp_bound.ts";
import { RampReason } from "../../src/endpoint_places/ramp_reason.ts";
import {
  CAPACITY_PER_S,
  type EndpointModel,
  endpointOf,
  RampedFleet,
  SLOTS,
  WORK_MS,
} from "./ramped_fleet.ts";

const OTHER = endpointOf("other");
const ENDPOINT = endpointOf("e", 2);
const HOSTS = 24;
const SOUND: EndpointModel = { serve: () => ({ elapsed_ms: WORK_MS }) };
const SLOW: EndpointModel = { serve: () => ({ elapsed_ms: 10 * WORK_MS }) };
const DEMAND = { per_s: 1.25 * CAPACITY_PER_S, model: SOUND };

/** A fleet that has just learned that the endpoint has started. */
async function startFleet(
  t: TestContext,
  { hosts = HOSTS, old = [] as number[] } = {},
): Promise<RampedFleet> {
  const fleet = new RampedFleet(t, hosts);
  const ranked = fleet.ranked(ENDPOINT);
  for (const rank of old) fleet.faults.old.add(ranked[rank] ?? "");
  fleet.feed([OTHER]);
  await fleet.tick();
  fleet.feed([OTHER, ENDPOINT]);
  return fleet;
}

function hostsInRamp(fleet: RampedFleet): number {
  return fleet.hosts
    .filter((host) => fleet.host(host).isRamping(ENDPOINT)).length;
}

/** Most requests in flight over the last milliseconds. */
function maxInFlight(fleet: RampedFleet, last_ms: number): number {
  return Math.max(...fleet.inFlightAt.slice(-last_ms));
}

test("the endpoints that a fleet knows at its start are not in ramp-up", async (t) => {
  const fleet = new RampedFleet(t, HOSTS);
  fleet.feed([]);
  fleet.feed([OTHER, ENDPOINT]);
  fleet.feed([OTHER, ENDPOINT]);
  assert.equal(hostsInRamp(fleet), 0);
  await fleet.load(ENDPOINT, { ...DEMAND, for_ms: 300 });
  assert.equal(fleet.figures.messages, 0);
});

test("an endpoint that starts is in ramp-up once, also if its entry comes back", async (t) => {
  const fleet = await startFleet(t);
  assert.equal(hostsInRamp(fleet), HOSTS);
  await fleet.load(ENDPOINT, { ...DEMAND, for_ms: 1_500 });
  assert.deepEqual(fleet.changes.map(({ change }) => change.end), [
    undefined,
    RampEnd.Full,
  ]);
  assert.equal(hostsInRamp(fleet), 0);
  fleet.feed([OTHER]);
  fleet.feed([OTHER, ENDPOINT]);
  assert.equal(hostsInRamp(fleet), 0);
  fleet.feed([OTHER, endpointOf("e", 3)]);
  const [host = ""] = fleet.hosts;
  assert.ok(fleet.host(host).isRamping(endpointOf("e", 3)));
});

test("pools without cold start or speed reports cost no message", async (t) => {
  const fleet = new RampedFleet(t, HOSTS, { isOn: false });
  fleet.feed([OTHER]);
  fleet.feed([OTHER, ENDPOINT]);
  const failing = {
    serve: () => ({ elapsed_ms: 5, failed: true }),
  };
  await fleet.load(ENDPOINT, { ...DEMAND, model: failing, for_ms: 500 });
  assert.equal(fleet.figures.messages, 0);
});

test("if the issuer dies, the next one begins at half of what is in flight", async (t) => {
  const fleet = await startFleet(t);
  const [issuer = "", next = ""] = fleet.ranked(ENDPOINT);
  await fleet.load(ENDPOINT, { ...DEMAND, for_ms: 470 });
  const before = fleet.in_flight;
  assert.ok(before >= SLOTS / 4, `${before} in flight`);
  fleet.faults.lost.add(issuer);
  fleet.hosts = fleet.hosts.filter((host) => host !== issuer);
  await fleet.load(ENDPOINT, { ...DEMAND, for_ms: 1_500 });
  const taken = fleet.changes.find(({ host }) => host === next);
  assert.equal(taken?.change.bound.isTakeover, true);
  assert.ok(maxInFlight(fleet, 1_500) <= before + SLOTS);
  assert.equal(fleet.changes.at(-1)?.change.end, RampEnd.Full);
  const full = fleet.inFlightAt.slice(-300);
  assert.ok(Math.max(...full) >= 0.9 * SLOTS, "not in full use again");
});

test("hosts that don't know that the issuer has died go on with a substitute", async (t) => {
  const fleet = await startFleet(t);
  const [issuer = ""] = fleet.ranked(ENDPOINT);
  fleet.faults.lost.add(issuer);
  await fleet.load(ENDPOINT, { ...DEMAND, for_ms: 3_000 });
  const { in_time } = fleet.figures.outcomes;
  t.diagnostic(`${in_time} requests served in 3 s without the issuer`);
  assert.ok(in_time >= 20, `${in_time} served`);
  assert.ok(fleet.figures.maxInFlight <= HOSTS, "more than one a host");
});

test("two issuers together load a slow endpoint little more than one", async (t) => {
  const fleet = await startFleet(t);
  const [issuer = ""] = fleet.ranked(ENDPOINT);
  // Half of the hosts reach the issuer and half don't.
  const far = new Set(fleet.hosts.filter((_, n) => n % 2 === 0));
  far.delete(issuer);
  fleet.isCut = (from, to) => to === issuer && far.has(from);
  await fleet.load(ENDPOINT, { ...DEMAND, model: SLOW, for_ms: 1_000 });
  await fleet.load(ENDPOINT, { ...DEMAND, model: SLOW, for_ms: 4_000 });
  const { late } = fleet.figures.outcomes;
  t.diagnostic(
    `two issuers: ${late} late in 5 s, ${fleet.figures.maxInFlight} in flight at most`,
  );
  assert.ok(maxInFlight(fleet, 2_000) <= 3, `${maxInFlight(fleet, 2_000)}`);
  assert.ok(fleet.figures.maxInFlight <= far.size + 2);
});

test("a host that reaches no issuer sends one request at a time, and is used", async (t) => {
  const fleet = await startFleet(t);
  const alone = fleet.ranked(ENDPOINT).at(-1) ?? "";
  fleet.isCut = (from, to) => from === alone || to === alone;
  fleet.senders = [alone];
  await fleet.load(ENDPOINT, { ...DEMAND, for_ms: 3_000 });
  assert.equal(fleet.figures.maxInFlight, 1);
  const { in_time } = fleet.figures.outcomes;
  t.diagnostic(`a host without an issuer: ${in_time} served in 3 s`);
  assert.ok(in_time >= 15, `${in_time} served`);
});

test("a host of the earlier release sends as before, the others ramp up beside it", async (t) => {
  const fleet = await startFleet(t, { old: [HOSTS - 1, HOSTS - 2] });
  await fleet.load(ENDPOINT, { ...DEMAND, for_ms: 1_500 });
  assert.equal(fleet.changes.at(-1)?.change.end, RampEnd.Full);
  assert.ok(fleet.figures.maxInFlight <= 1.5 * SLOTS);
});

test("with an issuer of the earlier release each host sends one request at a time", async (t) => {
  const fleet = await startFleet(t, { old: [0] });
  await fleet.load(ENDPOINT, { ...DEMAND, for_ms: 2_000 });
  const { in_time } = fleet.figures.outcomes;
  t.diagnostic(`issuer of the earlier release: ${in_time} served in 2 s`);
  assert.ok(fleet.figures.maxInFlight <= 1.5 * SLOTS + HOSTS / 2);
  assert.ok(in_time >= 100, `${in_time} served`);
  assert.ok(fleet.host(fleet.hosts[0] ?? "").isRamping(ENDPOINT));
  await fleet.pass(30_000);
  assert.equal(hostsInRamp(fleet), 0);
});

test("a host that starts in a running fleet learns which endpoints are in ramp-up, and ramps no others", async (t) => {
  const fleet = await startFleet(t);
  await fleet.load(ENDPOINT, { ...DEMAND, model: SLOW, for_ms: 200 });
  const late = "10.9.0.1:1";
  fleet.addHost(late);
  fleet.host(late).observeEndpoints(fleet.endpoints);
  assert.ok(!fleet.host(late).isRamping(ENDPOINT));
  await fleet.load(ENDPOINT, { ...DEMAND, model: SLOW, for_ms: 600 });
  assert.ok(fleet.host(late).isRamping(ENDPOINT));
  assert.ok(!fleet.host(late).isRamping(OTHER));
});

test("a recovery is told to all hosts, which know its end when they ask", async (t) => {
  const fleet = new RampedFleet(t, HOSTS);
  fleet.feed([OTHER, ENDPOINT]);
  const [host = ""] = fleet.hosts;
  fleet.host(host).startRamp(ENDPOINT, RampReason.Recovery);
  await fleet.tick();
  assert.equal(hostsInRamp(fleet), HOSTS);
  const [issuer] = fleet.ranked(ENDPOINT);
  assert.deepEqual(fleet.changes.map((each) => each.host), [issuer]);
  await fleet.load(ENDPOINT, { ...DEMAND, for_ms: 1_500 });
  assert.equal(hostsInRamp(fleet), 0);
});

test("no more than a third of a pool recovers at a time", async (t) => {
  const fleet = new RampedFleet(t, HOSTS);
  const endpoints = Array.from({ length: 9 }, (_, n) => endpointOf(`e${n}`));
  fleet.feed(endpoints);
  const model = { serve: () => ({ elapsed_ms: 5, failed: true }) };
  for (const endpoint of endpoints) {
    await fleet.load(endpoint, { per_s: 100, for_ms: 300, model });
  }
  const [host = ""] = fleet.hosts;
  const recovering = endpoints
    .filter((endpoint) => fleet.host(host).isRamping(endpoint));
  assert.equal(recovering.length, 3);
});

test("a ramp-up without demand ends at the issuer, then at the hosts", async (t) => {
  const fleet = await startFleet(t);
  await fleet.load(ENDPOINT, { ...DEMAND, per_s: 20, for_ms: 400 });
  await fleet.pass(11_000);
  assert.equal(fleet.changes.at(-1)?.change.end, RampEnd.NoDemand);
  await fleet.pass(30_000);
  assert.equal(hostsInRamp(fleet), 0);
  assert.deepEqual(fleet.host(fleet.hosts[0] ?? "").rampNews(), []);
});

test("an endpoint that starts costs 360 hosts few messages, and fewer after it", async (t) => {
  const hosts = 360;
  const fleet = await startFleet(t, { hosts });
  const load = { ...DEMAND, per_s: 20, for_ms: 1_000 };
  const perSecond: number[] = [];
  for (let second = 0; second < 40; second++) {
    const before = fleet.figures.messages;
    await fleet.load(ENDPOINT, load);
    perSecond.push(fleet.figures.messages - before);
  }
  t.diagnostic(`360 hosts, 20 requests/s: ${perSecond.join(", ")} messages/s`);
  // An ask and a report for each request, and the reports of what is held.
  assert.ok(Math.max(...perSecond) <= 60, perSecond.join());
  assert.equal(fleet.changes.at(-1)?.change.end, RampEnd.NoDemand);
  assert.ok(perSecond.slice(-5).every((count) => count <= 10));
});

/** The service with real connections, through links that can be cut. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { deploymentAdapter } from "../../platform/adapter.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { ProbeOutcome } from "../../src/reachability/endpoint_reach.ts";
import { createProbeReach } from "../../src/reachability/probe_reach.ts";
import type { AskedEndpoint } from "../../src/reachability/reachable_endpoints.ts";
import { ReachabilityService } from "../../src/reachability/reachability_service.ts";
import { incarnationOf } from "../../src/routes/incarnation.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";
import { findFreePort } from "../../stand_ins/child_process.ts";
import { Engine } from "../../stand_ins/deployment/engine.ts";
import { waitUntil } from "../../stand_ins/deployment/gateway_fleet.ts";
import { Direction, TcpLink } from "../../stand_ins/tcp_link.ts";

const NONE: ReadonlySet<string> = new Set();
const NEAR = "10.0.0.2:1";

let stopping: AbortController;
let engines: Engine[];
let links: TcpLink[];
let endpoints: RouteEndpoint[];
/** Addresses of the links, by the endpoint's. */
let linked: Map<string, string>;
let logLines: string[];
let probes: ProbeOutcome[];
/** What the host says that is asked. */
let answer: (endpoints: AskedEndpoint[]) => Promise<unknown>;
let probeOf: ((address: string) => Promise<ProbeOutcome>) | undefined;
let mayProbe: boolean;
/** Whether an attempt may begin once it has its connection. */
let mayBegin: boolean;

beforeEach(async () => {
  stopping = new AbortController();
  engines = [];
  links = [];
  endpoints = [];
  linked = new Map();
  logLines = [];
  probes = [];
  probeOf = undefined;
  mayProbe = true;
  mayBegin = true;
  for (let n = 0; n < 3; n++) {
    const engine = new Engine({ id: `desk-${n}` });
    await engine.start();
    const link = new TcpLink(engine.address);
    linked.set(engine.address, await link.start());
    engines.push(engine);
    links.push(link);
    endpoints.push({
      id: engine.id,
      pool: "desk",
      address: engine.address,
      availability_zone: "az-1",
      slots: 8,
      state: RouteEndpointState.Ready,
      born_ms: engine.born_ms,
    });
  }
});
afterEach(() => {
  stopping.abort();
  for (const link of links) link.stop();
  for (const engine of engines) engine.stop();
});

const probe = createProbeReach(deploymentAdapter.codec);

/** Creates a host; a linked one reaches the endpoints through the links. */
function createService(isLinked: boolean): ReachabilityService {
  const service = new ReachabilityService({
    zone: "az-1",
    zoneOf: () => "az-1",
    otherHosts: () => isLinked ? [NEAR] : [],
    carriedInFlight: () => 0,
    readyIn: () => endpoints,
    endpointAt: (address) => endpoints.find((each) => each.address === address),
    peers: { askReached: (_address, asked) => answer(asked) },
    probe: (address, mayBegin) => {
      if (probeOf !== undefined) return probeOf(address);
      return probe(isLinked ? linked.get(address) ?? "" : address, mayBegin);
    },
    permitProbe: () => Promise.resolve(mayProbe ? () => mayBegin : undefined),
    onProbe: (outcome) => probes.push(outcome),
    onLost: () => {},
    log: createLogger({
      level: "info",
      host: "h",
      writeLine: (line) => logLines.push(line),
    }),
    now: () => performance.now(),
    random: Math.random,
    signal: stopping.signal,
  });
  void service.run();
  return service;
}

function endpoint(n: number): RouteEndpoint {
  const found = endpoints[n];
  assert.ok(found !== undefined);
  return found;
}

function isCarried(service: ReachabilityService): boolean {
  return endpoints.every((each) =>
    service.carrierFor(each, { avoid: NONE }) === NEAR
  );
}

test("exchanges without bytes end and go by way of a host that reaches them", async () => {
  const near = createService(false);
  answer = (asked) => near.answer(asked);
  const cut = createService(true);
  for (const link of links) link.cut(Direction.Both);
  const open = endpoints.map((each) => cut.begin(each));
  await waitUntil(() => isCarried(cut), 2_000);
  assert.ok(cut.isCutOff("desk"));
  assert.ok(open.some(({ lost }) => lost.aborted));
  assert.ok(!near.isCutOff("desk"));
  assert.ok(
    logLines.some((line) =>
      line.includes("event=endpoint_out_of_reach endpoint=desk-")
    ),
  );
  for (const link of links) link.heal();
  await waitUntil(() => cut.lostCount === 0, 3_000);
  assert.equal(cut.carrierFor(endpoint(0), { avoid: NONE }), undefined);
  assert.ok(logLines.some((line) => line.includes("endpoint_reached_again")));
});

test("a refused connection goes by way of another host at once", async () => {
  const near = createService(false);
  answer = (asked) => near.answer(asked);
  const cut = createService(true);
  for (const address of linked.keys()) {
    linked.set(address, `127.0.0.1:${await findFreePort()}`);
  }
  const exchange = cut.begin(endpoint(0));
  exchange.recordFailure("ECONNREFUSED");
  exchange.end();
  await waitUntil(() => cut.isOutOfReach(endpoint(0)), 500);
});

test("an attempt tells a closed port, a silent endpoint and a sound one apart", async () => {
  const { address } = endpoint(0);
  assert.equal(await probe(address), ProbeOutcome.Reached);
  const closed = `127.0.0.1:${await findFreePort()}`;
  assert.equal(await probe(closed), ProbeOutcome.Refused);
  links[0]?.cut(Direction.Both);
  assert.equal(await probe(linked.get(address) ?? ""), ProbeOutcome.Silent);
});

test("an endpoint that nobody reaches is not out of reach", async () => {
  const near = createService(false);
  answer = (asked) => near.answer(asked);
  const host = createService(true);
  for (const engine of engines) engine.stop();
  for (const each of endpoints) {
    const exchange = host.begin(each);
    exchange.recordFailure("ECONNRESET");
    exchange.end();
  }
  await sleep(1_500);
  assert.ok(probes.length > 0);
  assert.equal(host.lostCount, 0);
});

test("a host that stood still doesn't take its attempts for the endpoint's", async () => {
  answer = (asked) => Promise.resolve(asked.map(() => 0));
  const host = createService(true);
  await sleep(150);
  let attempts = 0;
  probeOf = async () => {
    attempts += 1;
    if (attempts > 1) return ProbeOutcome.Reached;
    await sleep(150);
    const end_ms = performance.now() + 800;
    while (performance.now() < end_ms);
    return ProbeOutcome.NoConnection;
  };
  const exchange = host.begin(endpoint(0));
  exchange.recordFailure("ECONNRESET");
  await waitUntil(() => attempts > 1, 2_000);
  assert.equal(host.lostCount, 0);
  assert.ok(!logLines.some((line) => line.includes("endpoint_out_of_reach")));
});

for (const pause_ms of [0, 800]) {
  const outcome = pause_ms > 0 ? "is asked" : "is passed over";
  test(`a carrier without a receipt after ${pause_ms} ms of stand-still ${outcome}`, async () => {
    let questions = 0;
    answer = (asked) => {
      questions += 1;
      return Promise.resolve(asked.map(() => null));
    };
    probeOf = () => Promise.resolve(ProbeOutcome.Refused);
    const host = createService(true);
    await sleep(150);
    setTimeout(() => host.recordCarrierFailure(NEAR), 400);
    const end_ms = performance.now() + pause_ms;
    while (performance.now() < end_ms);
    await sleep(600);
    const exchange = host.begin(endpoint(0));
    exchange.recordFailure("ECONNREFUSED");
    exchange.end();
    await sleep(500);
    assert.equal(questions > 0, pause_ms > 0, `${questions} questions`);
  });
}

test("an endpoint that may not be tried is not, and is tried when it may", async () => {
  answer = (asked) => Promise.resolve(asked.map(() => null));
  mayProbe = false;
  const host = createService(true);
  const exchange = host.begin(endpoint(0));
  exchange.recordFailure("ECONNRESET");
  exchange.end();
  const asked = { endpoint: incarnationOf(endpoint(1)), since_ago_ms: 0 };
  assert.deepEqual(await host.answer([asked]), [null]);
  await sleep(400);
  assert.deepEqual(probes, []);
  assert.equal(host.lostCount, 0);
  mayProbe = true;
  await waitUntil(() => probes.includes(ProbeOutcome.Reached), 2_000);
});

test("odd questions and answers do no harm", async () => {
  const odd = [null, "no", [-1], [{}], { ages: [] }];
  answer = () => Promise.resolve(odd.shift());
  const host = createService(true);
  const asked = { since_ago_ms: 1_000 };
  assert.deepEqual(
    await host.answer([
      { ...asked, endpoint: "unknown/1/127.0.0.1:1" },
      { ...asked, endpoint: "" },
      { ...asked, endpoint: `${incarnationOf(endpoint(0))}1` },
    ]),
    [null, null, null],
  );
  linked.set(endpoint(0).address, `127.0.0.1:${await findFreePort()}`);
  const exchange = host.begin(endpoint(0));
  exchange.recordFailure("ECONNREFUSED");
  await waitUntil(() =>
    logLines.some((line) => line.includes("reach_unanswered"))
  );
  assert.equal(host.lostCount, 0);
});

test("no attempt goes to an evacuated zone, neither for this host nor for others", async () => {
  mayProbe = false;
  const service = createService(false);
  for (const each of endpoints) {
    const exchange = service.begin(each);
    exchange.recordFailure("ECONNRESET");
    exchange.end();
  }
  const asked = endpoints.map((each) => ({
    endpoint: incarnationOf(each),
    since_ago_ms: 10,
  }));
  assert.deepEqual(await service.answer(asked), [null, null, null]);
  await sleep(500);
  assert.deepEqual(probes, []);
  assert.deepEqual(engines.map(({ connections }) => connections), [0, 0, 0]);
  // Attempts that were due are made after the evacuation.
  mayProbe = true;
  await waitUntil(() => probes.includes(ProbeOutcome.Reached), 2_000);
});

test("an attempt that connects as the zone is evacuated sends nothing and tells nothing", async () => {
  answer = (asked) => Promise.resolve(asked.map(() => 0));
  mayBegin = false;
  const host = createService(false);
  const exchange = host.begin(endpoint(0));
  exchange.recordFailure("ECONNRESET");
  exchange.end();
  const asked = { endpoint: incarnationOf(endpoint(1)), since_ago_ms: 0 };
  assert.deepEqual(await host.answer([asked]), [null]);
  await sleep(400);
  assert.deepEqual(probes, []);
  assert.equal(host.lostCount, 0);
  mayBegin = true;
  await waitUntil(() => probes.includes(ProbeOutcome.Reached), 2_000);
});

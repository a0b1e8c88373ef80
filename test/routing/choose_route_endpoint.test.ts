/** Choice of endpoints by gateway hosts. */
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";
import {
  chooseByPrefix,
  chooseOfTwo,
  sharedPrefix,
} from "../../src/routing/choose_route_endpoint.ts";
import {
  ObservedLoad,
  ObservedOutcome,
} from "../../src/routing/observed_load.ts";

let load: ObservedLoad;

beforeEach(() => {
  load = new ObservedLoad();
});

function endpoint(id: string): RouteEndpoint {
  return {
    id,
    pool: "model",
    address: `10.0.0.1:${id.length}`,
    availability_zone: "a",
    slots: 4,
    state: RouteEndpointState.Ready,
    born_ms: 1,
  };
}

const endpoints = ["v", "w", "x", "y", "z"].map(endpoint);
const subject = { id: "subject", tokens: 100, prompt_tokens: 300 };

function choice(candidates = endpoints, now_ms = 0) {
  let step = 0;
  const random = () => [0.1, 0.6, 0.3, 0.9][step++ % 4] ?? 0;
  return { candidates, load, now_ms, random };
}

test("the shared prefix excludes the request's own last part", () => {
  const prompt = (own: string) => [
    { id: "system", tokens: 10 },
    { id: "subject", tokens: 10 },
    { id: own, tokens: 10 },
  ];
  assert.deepEqual(sharedPrefix(prompt("one")), sharedPrefix(prompt("two")));
  assert.equal(sharedPrefix([]), undefined);
});

test("a prefix keeps its endpoint when others leave or candidates change order", () => {
  const first = chooseByPrefix(subject, choice());
  assert.ok(first !== undefined);
  assert.equal(
    chooseByPrefix(subject, choice([...endpoints].reverse())),
    first,
  );
  const others = endpoints.filter((each) => each !== first);
  const fewerOthers = others.slice(1);
  const remaining = [first, ...fewerOthers];
  assert.equal(chooseByPrefix(subject, choice(remaining)), first);
});

test("different prefixes spread over all endpoints", () => {
  const used = new Set(
    Array.from(
      { length: 60 },
      (_, n) =>
        chooseByPrefix({ ...subject, id: `subject-${n}` }, choice())?.id,
    ),
  );
  assert.equal(used.size, endpoints.length);
});

test("requests with the prefix of a full endpoint go to the next one", () => {
  const first = chooseByPrefix(subject, choice());
  assert.ok(first !== undefined);
  load.forEndpoint(first).in_flight = first.slots;
  assert.notEqual(chooseByPrefix(subject, choice()), first);
});

test("a prefix leaves an endpoint that starts again and again, and comes back later", () => {
  const first = chooseByPrefix(subject, choice());
  assert.ok(first !== undefined);
  const restarted = (born_ms: number) =>
    endpoints.map((each) => each === first ? { ...each, born_ms } : each);
  assert.equal(
    chooseByPrefix(subject, choice(restarted(2), 1_000))?.id,
    first.id,
  );
  const second = chooseByPrefix(subject, choice(restarted(3), 4_000));
  assert.notEqual(second?.id, first.id);
  assert.equal(
    chooseByPrefix(subject, choice(restarted(3), 31_000))?.id,
    first.id,
  );
});

test("the only endpoint is chosen although it starts again and again", () => {
  const [only] = endpoints as [RouteEndpoint];
  for (const born_ms of [1, 2, 3, 4]) {
    const candidates = [{ ...only, born_ms }];
    const chosen = chooseByPrefix(subject, choice(candidates, born_ms));
    assert.equal(chosen?.id, only.id);
  }
});

test("an endpoint backs off for a while after a connection failure", () => {
  const first = chooseByPrefix(subject, choice());
  assert.ok(first !== undefined);
  load.forEndpoint(first).recordOutcome(ObservedOutcome.ConnectionFailed, 0);
  assert.notEqual(chooseByPrefix(subject, choice(endpoints, 100)), first);
  assert.equal(chooseByPrefix(subject, choice(endpoints, 300)), first);
});

/** Lets an endpoint fail until it is avoided. */
function failOften(failing: RouteEndpoint, now_ms: number): void {
  for (let n = 0; n < 4; n++) {
    load.forEndpoint(failing).recordOutcome(ObservedOutcome.Error, now_ms);
  }
}

test("an endpoint that failed often is used again after a while, though others are healthy", () => {
  const first = chooseByPrefix(subject, choice());
  assert.ok(first !== undefined);
  failOften(first, 0);
  assert.notEqual(chooseByPrefix(subject, choice(endpoints, 1_000)), first);
  assert.equal(chooseByPrefix(subject, choice(endpoints, 5_000)), first);
});

test("an endpoint that goes on failing is tried less and less often", () => {
  const first = chooseByPrefix(subject, choice());
  assert.ok(first !== undefined);
  failOften(first, 0);
  const tries_ms: number[] = [];
  for (let now_ms = 0; now_ms < 60_000; now_ms += 100) {
    if (chooseByPrefix(subject, choice(endpoints, now_ms)) !== first) {
      continue;
    }
    tries_ms.push(now_ms);
    load.forEndpoint(first).recordOutcome(ObservedOutcome.Error, now_ms);
  }
  assert.deepEqual(tries_ms, [2_000, 6_000, 14_000, 30_000, 46_000]);
});

test("a failing endpoint is avoided while others are healthy", () => {
  const [bad, good] = endpoints as [RouteEndpoint, RouteEndpoint];
  for (let n = 0; n < 5; n++) {
    load.forEndpoint(bad).recordOutcome(ObservedOutcome.Error, 0);
  }
  for (let n = 0; n < 10; n++) {
    assert.equal(chooseOfTwo(choice([bad, good])), good);
  }
  for (let n = 0; n < 5; n++) {
    load.forEndpoint(good).recordOutcome(ObservedOutcome.Error, 0);
  }
  assert.ok(chooseOfTwo(choice([bad, good])) !== undefined);
});

test("the less loaded of two endpoints is chosen, and load reports decay", () => {
  const [busy, idle] = endpoints as [RouteEndpoint, RouteEndpoint];
  load.forEndpoint(busy).recordLoad({ running: 4, waiting: 3 }, 0);
  assert.equal(chooseOfTwo(choice([busy, idle])), idle);
  assert.ok(load.forEndpoint(busy).estimatedRequests(0) > 6);
  assert.ok(load.forEndpoint(busy).estimatedRequests(3_000) < 0.1);
});

test("a send that its host has ended tells nothing of its endpoint", () => {
  const observed = new ObservedLoad().forEndpoint(endpoint("a"));
  observed.recordOutcome(ObservedOutcome.ConnectionFailed, 0);
  const { failure_share } = observed;
  observed.recordOutcome(ObservedOutcome.Stopped, 100);
  assert.equal(observed.failure_share, failure_share);
  observed.recordOutcome(ObservedOutcome.ConnectionFailed, 300);
  assert.ok(observed.isBackingOff(750));
});

test("a prompt goes past a slow endpoint only if another processes all of it sooner", () => {
  const first = chooseByPrefix(subject, choice());
  assert.ok(first !== undefined);
  const report = { running: 0, waiting: 0, slowness: 2.5 };
  load.forEndpoint(first).recordLoad(report, 0);
  assert.notEqual(chooseByPrefix(subject, choice()), first);
  // 2.5 times the 100 tokens of its own take less than all 300.
  const mostlyShared = { ...subject, tokens: 200 };
  assert.equal(chooseByPrefix(mostlyShared, choice()), first);
});

test("an endpoint's reported slowness counts for less as it gets older", () => {
  const first = chooseByPrefix(subject, choice());
  assert.ok(first !== undefined);
  const report = { running: 0, waiting: 0, slowness: 2.5 };
  load.forEndpoint(first).recordLoad(report, 0);
  assert.equal(load.forEndpoint(first).slowness(0), 2.5);
  assert.equal(load.forEndpoint(first).slowness(300), 1.75);
  assert.equal(chooseByPrefix(subject, choice(endpoints, 600)), first);
});

test("of two endpoints with equal load the faster one is chosen", () => {
  const [slow, fast] = endpoints.slice(0, 2);
  assert.ok(slow !== undefined && fast !== undefined);
  const report = { running: 1, waiting: 0 };
  load.forEndpoint(slow).recordLoad({ ...report, slowness: 2.5 }, 0);
  load.forEndpoint(fast).recordLoad({ ...report, slowness: 1 }, 0);
  assert.equal(chooseOfTwo(choice([slow, fast])), fast);
});

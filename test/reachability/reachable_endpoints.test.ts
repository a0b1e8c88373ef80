/** How a host finds out which endpoints it can't reach, and when it can again. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ProbeOutcome } from "../../src/reachability/endpoint_reach.ts";
import { ReachableEndpoints } from "../../src/reachability/reachable_endpoints.ts";
import { incarnationOf } from "../../src/routes/incarnation.ts";
import {
  createEndpoint,
  Path,
  SimulatedFleet,
  type SimulatedHost,
} from "./simulated_hosts.ts";

/** Within this time of a cut, callers must be served well again. */
const CONTACT_MS = 3_000;
const NONE: ReadonlySet<string> = new Set();

function createFleet(hosts = 5): SimulatedFleet {
  return new SimulatedFleet(
    hosts,
    [1, 2, 3].map((n) => createEndpoint("desk", n))
      .concat([4, 5, 6].map((n) => createEndpoint("model", n))),
  );
}

/** Cuts the first hosts from all endpoints. */
function cutHosts(fleet: SimulatedFleet, count: number, path: Path): void {
  const cut = new Set(fleet.hosts.slice(0, count));
  fleet.path = (host) => cut.has(host) ? path : Path.Open;
}

function carriers(fleet: SimulatedFleet, host: SimulatedHost): Set<string> {
  const found = new Set<string>();
  for (const endpoint of fleet.endpoints) {
    for (let n = 0; n < 20; n++) {
      const carrier = host.state.carrierFor(endpoint, {
        avoid: NONE,
        now_ms: fleet.now_ms,
      });
      if (carrier !== undefined) found.add(carrier);
    }
  }
  return found;
}

for (const path of [Path.Hangs, Path.Swallows, Path.Refuses]) {
  test(`a cut host (${path}) sends by way of others within half of contact_ms`, () => {
    const fleet = createFleet();
    fleet.run(2_000, { per_s: 30 });
    cutHosts(fleet, 3, path);
    fleet.run(CONTACT_MS / 2, { per_s: 30 });
    for (const host of fleet.hosts.slice(0, 3)) {
      for (const endpoint of fleet.endpoints) {
        const carrier = host.state.carrierFor(endpoint, {
          avoid: NONE,
          now_ms: fleet.now_ms,
        });
        assert.ok(carrier !== undefined, `${host.address} ${endpoint.id}`);
        const address = fleet.hosts.slice(3).map((each) => each.address);
        assert.ok(address.includes(carrier));
      }
      assert.ok(fleet.isCutOff(host, "desk"));
      assert.ok(fleet.isCutOff(host, "model"));
    }
    for (const host of fleet.hosts.slice(3)) {
      assert.equal(host.state.lostCount, 0);
      assert.ok(!fleet.isCutOff(host, "desk"));
    }
  });

  test(`a host with little traffic (${path}) finds its cut within contact_ms`, () => {
    const fleet = createFleet();
    fleet.run(2_000, { per_s: 3 });
    cutHosts(fleet, 3, path);
    fleet.run(CONTACT_MS, { per_s: 3 });
    for (const host of fleet.hosts.slice(0, 3)) {
      assert.ok(host.state.lostCount > 0);
    }
  });

  test(`only the pool out of reach (${path}) goes by way of others`, () => {
    const fleet = createFleet();
    fleet.run(2_000, { per_s: 30 });
    fleet.path = (host, { pool }) =>
      host === fleet.host(0) && pool === "desk" ? path : Path.Open;
    fleet.run(CONTACT_MS - 500, { per_s: 30 });
    const { state } = fleet.host(0);
    assert.ok(fleet.isCutOff(fleet.host(0), "desk"));
    assert.ok(!fleet.isCutOff(fleet.host(0), "model"));
    for (const endpoint of fleet.endpoints) {
      assert.equal(
        state.isOutOfReach(endpoint, fleet.now_ms),
        endpoint.pool === "desk",
        endpoint.id,
      );
    }
  });

  test(`a single endpoint out of reach (${path}) goes by way of others`, () => {
    const fleet = createFleet();
    fleet.run(2_000, { per_s: 30 });
    fleet.path = (host, { id }) =>
      host === fleet.host(0) && id === "desk-2" ? path : Path.Open;
    fleet.run(CONTACT_MS - 500, { per_s: 30 });
    const { state, losses } = fleet.host(0);
    assert.deepEqual([...losses.keys()], ["desk-2"]);
    assert.equal(state.lostCount, 1);
    assert.ok(!fleet.isCutOff(fleet.host(0), "desk"));
  });

  test(`after the cut (${path}) all goes directly again within 3 s`, () => {
    const fleet = createFleet();
    fleet.run(2_000, { per_s: 30 });
    cutHosts(fleet, 3, path);
    fleet.run(8_000, { per_s: 30 });
    fleet.path = () => Path.Open;
    fleet.run(3_000, { per_s: 30 });
    for (const host of fleet.hosts) {
      assert.equal(host.state.lostCount, 0);
      assert.equal(carriers(fleet, host).size, 0);
    }
  });

  test(`attempts during a cut (${path}) are bounded`, () => {
    const fleet = createFleet();
    fleet.run(2_000, { per_s: 30 });
    cutHosts(fleet, 3, path);
    fleet.run(CONTACT_MS, { per_s: 30 });
    const before = fleet.hosts.map(({ probes }) => probes);
    fleet.run(10_000, { per_s: 30 });
    fleet.hosts.slice(0, 3).forEach(({ probes }, n) => {
      // One at a time, each 250 ms at the most.
      assert.ok(probes - (before[n] ?? 0) <= 40, `${probes}`);
    });
  });
}

test("exchanges that this host ends for want of bytes show the cut as well", () => {
  const fleet = createFleet();
  fleet.run(2_000, { per_s: 30 });
  cutHosts(fleet, 1, Path.Swallows);
  fleet.patience_ms = 200;
  fleet.run(CONTACT_MS / 2, { per_s: 10, hosts: [fleet.host(0)] });
  assert.ok(fleet.host(0).state.lostCount >= 2);
});

test("a host without traffic learns of its cut as another one asks it", () => {
  const fleet = createFleet(3);
  fleet.run(2_000, { per_s: 30 });
  cutHosts(fleet, 2, Path.Hangs);
  fleet.run(CONTACT_MS / 2, { per_s: 30, hosts: [fleet.host(0)] });
  assert.ok(fleet.host(0).state.lostCount >= 2);
  assert.ok(fleet.host(1).state.lostCount >= 2);
});

test("a question about an endpoint that is down doesn't go on and on", () => {
  const fleet = createFleet(20);
  fleet.run(2_000, { per_s: 30 });
  fleet.path = (_, { id }) => id === "desk-1" ? Path.Hangs : Path.Open;
  fleet.run(1_000, { per_s: 30, hosts: [fleet.host(0)] });
  fleet.run(10_000, { per_s: 0 });
  const before = fleet.hosts.map(({ questions }) => questions);
  fleet.run(10_000, { per_s: 0 });
  const asked = fleet.hosts.map(({ questions }, n) =>
    questions - (before[n] ?? 0)
  );
  // Each host without traffic is asked about it once in 5 s, and asks three.
  assert.ok(asked.every((each) => each <= 2 * 2 * 3 + 15), `${asked}`);
});

test("with one endpoint refused, the others are found out before they are used", () => {
  const fleet = createFleet();
  fleet.run(2_000, { per_s: 30 });
  cutHosts(fleet, 1, Path.Refuses);
  const host = fleet.host(0);
  while (host.state.lostCount === 0) {
    fleet.run(10, { per_s: 5, hosts: [host], pool: "desk" });
  }
  fleet.run(300, { per_s: 0 });
  assert.equal(host.state.lostCount, fleet.endpoints.length);
});

test("a large pool out of reach goes by way of others within contact_ms", () => {
  const fleet = new SimulatedFleet(
    5,
    Array.from(
      { length: 40 },
      (_, n) => createEndpoint(n < 30 ? "desk" : "model", n),
    ),
  );
  fleet.run(2_000, { per_s: 60 });
  fleet.path = (host, { pool }) =>
    host === fleet.host(0) && pool === "desk" ? Path.Hangs : Path.Open;
  fleet.run(CONTACT_MS, { per_s: 60 });
  for (const endpoint of fleet.endpoints) {
    assert.equal(
      fleet.host(0).state.isOutOfReach(endpoint, fleet.now_ms),
      endpoint.pool === "desk",
      endpoint.id,
    );
  }
});

test("an endpoint that is down for all hosts is not out of reach", () => {
  for (const path of [Path.Hangs, Path.Swallows, Path.Refuses]) {
    const fleet = createFleet();
    fleet.run(2_000, { per_s: 30 });
    fleet.path = (_, { id }) => id === "desk-1" ? path : Path.Open;
    fleet.run(10_000, { per_s: 30 });
    for (const host of fleet.hosts) {
      assert.deepEqual([...host.losses.keys()], [], path);
      assert.equal(carriers(fleet, host).size, 0);
    }
  }
});

test("endpoints that are silent for a second are not out of reach", () => {
  const fleet = createFleet();
  fleet.run(2_000, { per_s: 30 });
  for (let n = 0; n < 20; n++) {
    fleet.answers = ({ id }) => id !== `desk-${1 + n % 3}`;
    fleet.run(1_000 + 10 * n, { per_s: 30 });
    fleet.answers = () => true;
    fleet.run(500 + 70 * n, { per_s: 30 });
  }
  fleet.answers = () => false;
  fleet.run(1_200, { per_s: 30 });
  fleet.answers = () => true;
  fleet.run(2_000, { per_s: 30 });
  for (const host of fleet.hosts) {
    assert.deepEqual([...host.losses.keys()], []);
  }
});

test("endpoints that take long for their answers are tried seldom", () => {
  const fleet = createFleet();
  fleet.work_ms = 1_500;
  fleet.run(20_000, { per_s: 5 });
  for (const host of fleet.hosts) {
    assert.deepEqual([...host.losses.keys()], []);
    // Each endpoint once in 2 s at the most.
    assert.ok(host.probes <= 6 * 10, `${host.probes}`);
  }
});

test("a way that comes and goes doesn't swing", () => {
  const fleet = createFleet();
  fleet.run(2_000, { per_s: 30 });
  const [host] = fleet.hosts;
  fleet.path = (each) =>
    each === host && fleet.now_ms % 1_500 < 1_200 ? Path.Hangs : Path.Open;
  fleet.run(30_000, { per_s: 30 });
  for (const [id, losses] of host?.losses ?? []) {
    assert.ok(losses.length <= 9, `${id} was lost ${losses.length} times`);
  }
});

test("a cut of 60 of 360 hosts costs few messages", () => {
  const fleet = new SimulatedFleet(
    360,
    Array.from({ length: 60 }, (_, n) => createEndpoint(`pool-${n % 6}`, n)),
  );
  const inZone = fleet.hosts.filter(({ zone }) => zone === "az-0").slice(0, 60);
  fleet.run(1_000, { per_s: 10 });
  const cut = new Set(inZone);
  fleet.path = (host) => cut.has(host) ? Path.Hangs : Path.Open;
  fleet.run(CONTACT_MS, { per_s: 10 });
  const used = new Set<string>();
  for (const host of inZone) {
    for (const endpoint of fleet.endpoints) {
      const carrier = host.state.carrierFor(endpoint, {
        avoid: NONE,
        now_ms: fleet.now_ms,
      });
      assert.ok(carrier !== undefined);
      used.add(carrier);
    }
  }
  assert.ok(used.size >= 60, `${used.size} carriers are used`);
  fleet.run(7_000, { per_s: 10 });
  for (const { question_bytes, probes } of inZone) {
    assert.ok(question_bytes / 10 <= 2_000, `${question_bytes / 10} B/s`);
    // One for each endpoint, then one each 250 ms.
    assert.ok(probes <= 60 + 4 * 10, `${probes} attempts`);
  }
  const idle = fleet.hosts.filter((host) => !cut.has(host));
  const asked = idle.reduce((sum, { questions }) => sum + questions, 0);
  assert.ok(
    asked <= idle.length,
    `${asked} questions of hosts that aren't cut`,
  );
});

/** A host with one endpoint, whose attempts the test answers. */
class SingleEndpoint {
  readonly endpoint = createEndpoint("desk", 1);
  readonly state: ReachableEndpoints;
  now_ms = 1_000;

  constructor() {
    this.state = new ReachableEndpoints({
      zone: "az-1",
      zoneOf: () => "az-1",
      carriedInFlight: () => 0,
      isInService: () => true,
      onLost: () => {},
      onReturn: () => {},
      random: () => 0.5,
    });
  }

  /** Lets an exchange fail, and the attempt after it end without bytes. */
  failAttempt(outcome: ProbeOutcome, duration_ms: number): void {
    const exchange = this.state.begin(this.endpoint, {
      now_ms: this.now_ms,
      onLost: () => {},
    });
    this.state.recordFailure(exchange, "ECONNRESET", this.now_ms);
    this.state.end(exchange, this.now_ms);
    this.nextAttempt(10_000);
    this.now_ms += duration_ms;
    this.state.recordProbe(this.endpoint, outcome, this.now_ms);
  }

  /** Refuses the next attempt, which must follow at once. */
  refuseNextAttempt(): void {
    this.nextAttempt(50);
    const { endpoint, now_ms } = this;
    this.state.recordProbe(endpoint, ProbeOutcome.Refused, now_ms);
  }

  /** Has another host say that bytes came to it some time ago. */
  hearOthers(age_ms: number, address = "10.0.0.2:1"): void {
    const endpoints = [
      { endpoint: incarnationOf(this.endpoint), since_ago_ms: 1_000 },
    ];
    const { now_ms } = this;
    this.state.recordAnswer(address, {
      endpoints,
      ages: [age_ms],
      now_ms,
    });
  }

  /** Loses the endpoint, which these hosts reach. */
  lose(reachedBy: readonly string[]): void {
    this.failAttempt(ProbeOutcome.Silent, 800);
    for (const address of reachedBy) this.hearOthers(500, address);
    assert.equal(this.state.lostCount, 1);
  }

  /** The host that an exchange goes through; undefined if none is known. */
  carrier(avoid: ReadonlySet<string> = NONE): string | undefined {
    const { endpoint, now_ms } = this;
    return this.state.carrierFor(endpoint, { avoid, now_ms });
  }

  /** Waits for a question; returns whom it asks and how long that took. */
  nextQuestion(hosts: readonly string[], max_ms: number) {
    const from_ms = this.now_ms;
    for (; this.now_ms - from_ms <= max_ms; this.now_ms += 10) {
      const question = this.state.takeQuestion(() => hosts, this.now_ms);
      if (question === undefined) continue;
      return { ...question, waited_ms: this.now_ms - from_ms };
    }
    return undefined;
  }

  /** Waits for the next attempt; returns how long that took. */
  nextAttempt(max_ms: number): number {
    const from_ms = this.now_ms;
    while (this.state.takeProbes(this.now_ms).length === 0) {
      assert.ok(this.now_ms - from_ms < max_ms, "no attempt is made");
      this.now_ms += 10;
    }
    return this.now_ms - from_ms;
  }
}

test("bytes that came to others as a silent attempt ended prove no loss", () => {
  const sound = new SingleEndpoint();
  sound.failAttempt(ProbeOutcome.Silent, 800);
  sound.hearOthers(50);
  assert.equal(sound.state.lostCount, 0);
  const lost = new SingleEndpoint();
  lost.failAttempt(ProbeOutcome.Silent, 800);
  lost.hearOthers(500);
  assert.equal(lost.state.lostCount, 1);
});

test("an endpoint that crashed and is back is not out of reach", () => {
  const back = new SingleEndpoint();
  back.failAttempt(ProbeOutcome.Refused, 10);
  back.now_ms += 700;
  back.hearOthers(0);
  assert.equal(back.state.lostCount, 0);
  back.nextAttempt(50);
  back.state.recordProbe(back.endpoint, ProbeOutcome.Reached, back.now_ms);
  assert.equal(back.state.lostCount, 0);
  const lost = new SingleEndpoint();
  lost.failAttempt(ProbeOutcome.Refused, 10);
  lost.hearOthers(0);
  lost.refuseNextAttempt();
  assert.equal(lost.state.lostCount, 1);
});

test("each loss soon after a return doubles the time until the next one", () => {
  const host = new SingleEndpoint();
  const waits_ms: number[] = [];
  for (let n = 0; n < 5; n++) {
    host.failAttempt(ProbeOutcome.Refused, 10);
    host.hearOthers(0);
    host.refuseNextAttempt();
    assert.equal(host.state.lostCount, 1);
    waits_ms.push(host.nextAttempt(20_000));
    host.state.recordProbe(host.endpoint, ProbeOutcome.Reached, host.now_ms);
    assert.equal(host.state.lostCount, 0);
  }
  assert.deepEqual(waits_ms, [1_000, 2_000, 4_000, 8_000, 8_000]);
});

const KNOWN = ["10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"];
const OTHERS = ["10.0.0.5:1", "10.0.0.6:1", "10.0.0.7:1", "10.0.0.8:1"];

test("a cut host whose carriers all fail looks for others at once", () => {
  const host = new SingleEndpoint();
  host.lose(KNOWN);
  for (const address of KNOWN) {
    host.state.carriers.recordFailure(address, host.now_ms);
  }
  assert.equal(host.carrier(new Set(KNOWN)), undefined);
  const question = host.nextQuestion([...KNOWN, ...OTHERS], 250);
  assert.ok(question !== undefined, "no host is asked");
  assert.ok(question.addresses.every((each) => OTHERS.includes(each)));
  for (const address of question.addresses) host.hearOthers(0, address);
  assert.ok(OTHERS.includes(host.carrier() ?? ""));
});

test("a cut host whose carriers don't reach the endpoint looks for others at once", () => {
  const host = new SingleEndpoint();
  host.lose(KNOWN);
  for (const address of KNOWN) {
    host.state.carriers.recordUnreached(address, incarnationOf(host.endpoint));
  }
  assert.equal(host.carrier(), undefined);
  assert.ok(host.nextQuestion(OTHERS, 250) !== undefined, "no host is asked");
});

test("a cut host asks again once the word of its carriers is old", () => {
  const host = new SingleEndpoint();
  host.lose(KNOWN);
  assert.equal(host.nextQuestion(OTHERS, 5_000), undefined);
  assert.ok(host.nextQuestion(OTHERS, 6_000) !== undefined);
});

test("without any carrier, an endpoint is asked about at bounded intervals", () => {
  const host = new SingleEndpoint();
  host.lose(KNOWN);
  for (const address of KNOWN) {
    host.state.carriers.recordUnreached(address, incarnationOf(host.endpoint));
  }
  let questions = 0;
  for (const until_ms = host.now_ms + 10_000; host.now_ms < until_ms;) {
    host.carrier();
    if (host.nextQuestion(OTHERS, 0) !== undefined) questions += 1;
    host.now_ms += 10;
  }
  // One in 250 ms.
  assert.ok(questions <= 40, `${questions}`);
});

/** Time for which two endpoints in use may be silent before one is tried. */
function silenceBeforeAttempt(host: SingleEndpoint): number {
  const { state } = host;
  const endpoints = [host.endpoint, createEndpoint("desk", 2)];
  const begin = () =>
    endpoints.map((endpoint) =>
      state.begin(endpoint, { now_ms: host.now_ms, onLost: () => {} })
    );
  const end = (exchange: ReturnType<typeof begin>[number]) => {
    state.recordBytes(exchange, host.now_ms);
    state.end(exchange, host.now_ms);
  };
  for (const exchange of begin()) end(exchange);
  host.now_ms += 3_000;
  for (const exchange of begin()) end(exchange);
  const waiting = begin();
  const silence_ms = host.nextAttempt(2_000);
  host.now_ms += 300;
  for (const endpoint of endpoints) {
    state.recordProbe(endpoint, ProbeOutcome.Reached, host.now_ms);
  }
  for (const exchange of waiting) end(exchange);
  return silence_ms;
}

test("an attempt before any bytes came says nothing of silences", () => {
  const host = new SingleEndpoint();
  host.failAttempt(ProbeOutcome.Reached, 10);
  assert.equal(silenceBeforeAttempt(host), 300);
});

test("an attempt while no exchange waits says nothing of silences", () => {
  const host = new SingleEndpoint();
  host.failAttempt(ProbeOutcome.Reached, 10);
  host.now_ms += 30_000;
  host.failAttempt(ProbeOutcome.Reached, 10);
  assert.equal(silenceBeforeAttempt(host), 300);
});

test("silences that proved sound are allowed again, but not for ever", () => {
  const host = new SingleEndpoint();
  assert.equal(silenceBeforeAttempt(host), 300);
  assert.equal(silenceBeforeAttempt(host), 900);
  host.now_ms += 10_000;
  assert.equal(silenceBeforeAttempt(host), 300);
});

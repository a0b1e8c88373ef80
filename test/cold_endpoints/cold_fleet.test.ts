/**
 * All hosts together keep within the bound of a cold endpoint, whichever of them
 * die, are cut off or know different hosts.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandom } from "../../stand_ins/seeded_random.ts";
import { ColdEndpoints } from "../../src/cold_endpoints/cold_endpoints.ts";
import type { RouteEndpoint } from "../../src/routes/types.ts";
import {
  addressOf,
  ColdFleet,
  createEndpoint,
  MOST,
  PER_S,
} from "./cold_fleet.ts";

/** Time until the hosts know each other and act on their places. */
const SETTLING_MS = 5_000;
/** More than for which a host acts on a list that nobody confirms. */
const OUTDATED_MS = 46_000;
/** More than after which a host counts as known without an answer. */
const CERTAIN_MS = 93_000;

function createFleet(count: number, seed = 1): ColdFleet {
  return new ColdFleet(count, createRandom(seed));
}

function assertWithin(fleet: ColdFleet, endpoint: RouteEndpoint): void {
  const most = fleet.most(endpoint);
  assert.ok(most <= MOST, `${most} in a second`);
}

function firstOf(fleet: ColdFleet, endpoint: RouteEndpoint): string {
  return fleet.ranking(endpoint)[0] ?? "";
}

/** An address that no host has, whose host would be the first in the ranking. */
function addressAbove(fleet: ColdFleet, endpoint: RouteEndpoint): string {
  const taken = new Set(fleet.hosts.keys());
  for (let number = 400; number < 20_000; number++) {
    const address = addressOf(number);
    const probe = createFleet(0);
    for (const each of [...taken, address]) probe.start(each);
    if (firstOf(probe, endpoint) === address) return address;
  }
  throw new Error("No such address");
}

for (const count of [1, 8, 66, 360]) {
  test(`${count} hosts under more demand keep within the bound and use the rate`, async () => {
    const fleet = createFleet(count);
    const endpoints = [createEndpoint(1), createEndpoint(2)];
    const demand = Math.min(1, 20 / count);
    await fleet.run(SETTLING_MS, endpoints, { demand });
    await fleet.run(10_000, endpoints, { demand });
    for (const endpoint of endpoints) {
      assertWithin(fleet, endpoint);
      const rate = fleet.ratePerS(endpoint, SETTLING_MS);
      assert.ok(rate >= 0.9 * PER_S, `only ${rate} a second`);
      assert.ok(rate <= 1.05 * PER_S, `${rate} a second`);
    }
  });

  test(`${count} hosts that start together keep within the bound`, async () => {
    const fleet = createFleet(0);
    const endpoint = createEndpoint();
    for (let n = 1; n <= count; n++) {
      fleet.start(addressOf(n));
      if (n % 10 === 0) await fleet.run(50, [endpoint], { demand: 0.3 });
    }
    await fleet.run(6_000, [endpoint], { demand: 0.3 });
    assertWithin(fleet, endpoint);
    const from_ms = fleet.now_ms - 2_000;
    assert.ok(fleet.ratePerS(endpoint, from_ms) >= 0.8 * PER_S);
  });
}

for (const count of [8, 66]) {
  test(`the issuer of ${count} hosts dies: the bound holds, and others send less`, async () => {
    const fleet = createFleet(count);
    const endpoint = createEndpoint();
    await fleet.run(SETTLING_MS, [endpoint], { demand: 0.3 });
    fleet.kill(firstOf(fleet, endpoint));
    const killed_ms = fleet.now_ms;
    await fleet.run(5_000, [endpoint], { demand: 0.3 });
    assertWithin(fleet, endpoint);
    assert.ok(fleet.ratePerS(endpoint, killed_ms) >= 2);
  });

  test(`the issuer of ${count} hosts starts again at once: it doesn't grant twice`, async () => {
    const fleet = createFleet(count);
    const endpoint = createEndpoint();
    await fleet.run(SETTLING_MS, [endpoint], { demand: 0.3 });
    const first = firstOf(fleet, endpoint);
    for (let round = 0; round < 4; round++) {
      fleet.kill(first);
      fleet.start(first);
      await fleet.run(700, [endpoint], { demand: 0.3 });
    }
    await fleet.run(5_000, [endpoint], { demand: 0.3 });
    assertWithin(fleet, endpoint);
    const from_ms = fleet.now_ms - 1_500;
    assert.ok(fleet.ratePerS(endpoint, from_ms) >= 0.8 * PER_S);
  });

  test(`the issuer of ${count} hosts leaves: the next one takes the whole rate`, async () => {
    const fleet = createFleet(count);
    const endpoint = createEndpoint();
    await fleet.run(SETTLING_MS, [endpoint], { demand: 0.3 });
    fleet.leave(firstOf(fleet, endpoint));
    await fleet.run(8_000, [endpoint], { demand: 0.3 });
    assertWithin(fleet, endpoint);
    const from_ms = fleet.now_ms - 3_000;
    assert.ok(fleet.ratePerS(endpoint, from_ms) >= 0.9 * PER_S);
  });

  test(`the issuer of ${count} hosts is frozen for a while`, async () => {
    const fleet = createFleet(count);
    const endpoint = createEndpoint();
    await fleet.run(SETTLING_MS, [endpoint], { demand: 0.3 });
    const first = firstOf(fleet, endpoint);
    for (const frozen_ms of [300, 1_100, 4_000]) {
      fleet.frozen.add(first);
      await fleet.run(frozen_ms, [endpoint], { demand: 0.3 });
      fleet.frozen.delete(first);
      await fleet.run(2_000, [endpoint], { demand: 0.3 });
    }
    assertWithin(fleet, endpoint);
  });

  test(`the issuer of ${count} hosts is cut from half of them, and from the store`, async () => {
    const fleet = createFleet(count);
    const endpoint = createEndpoint();
    await fleet.run(SETTLING_MS, [endpoint], { demand: 0.3 });
    const first = firstOf(fleet, endpoint);
    const half = new Set([...fleet.hosts.keys()].slice(0, count / 2));
    fleet.reaches = (from, to) =>
      to !== first || half.has(from) === half.has(to);
    await fleet.run(4_000, [endpoint], { demand: 0.3 });
    fleet.cutFromStore.add(first);
    await fleet.run(4_000, [endpoint], { demand: 0.3 });
    assertWithin(fleet, endpoint);
  });

  test(`${count} hosts, each cut off from all others`, async () => {
    const fleet = createFleet(count);
    const endpoint = createEndpoint();
    await fleet.run(SETTLING_MS, [endpoint], { demand: 0.3 });
    fleet.reaches = () => false;
    for (const address of fleet.hosts.keys()) fleet.cutFromStore.add(address);
    await fleet.run(5_000, [endpoint], { demand: 0.3 });
    assertWithin(fleet, endpoint);
  });
}

test("a host that is cut off from all others sends its own part in a small fleet", async () => {
  const fleet = createFleet(8);
  const endpoint = createEndpoint();
  await fleet.run(SETTLING_MS, [endpoint]);
  const last = fleet.ranking(endpoint).at(-1);
  fleet.reaches = (from, to) => from !== last && to !== last;
  if (last !== undefined) fleet.cutFromStore.add(last);
  for (const address of fleet.hosts.keys()) {
    if (address !== last) fleet.frozen.add(address);
  }
  const from_ms = fleet.now_ms;
  await fleet.run(10_000, [endpoint]);
  assert.ok(fleet.ratePerS(endpoint, from_ms) >= 0.8);
  assertWithin(fleet, endpoint);
});

test("two hosts that each believe to be the issuer don't grant the whole rate both", async () => {
  const fleet = createFleet(8);
  const endpoint = createEndpoint();
  await fleet.run(SETTLING_MS, [endpoint]);
  const old = firstOf(fleet, endpoint);
  // The old issuer doesn't learn of a new one above it, nor is it reached by it.
  fleet.cutFromStore.add(old);
  const next = addressAbove(fleet, endpoint);
  const half = new Set([...fleet.hosts.keys()].slice(0, 4));
  half.add(old);
  fleet.reaches = (from, to) => half.has(from) === half.has(to);
  for (const address of half) fleet.cutFromStore.add(address);
  fleet.start(next);
  for (const for_ms of [10_000, OUTDATED_MS, CERTAIN_MS]) {
    await fleet.run(for_ms, [endpoint], { demand: 0.05 });
    assertWithin(fleet, endpoint);
  }
  const from_ms = fleet.now_ms;
  await fleet.run(5_000, [endpoint], { demand: 0.3 });
  const rate = fleet.ratePerS(endpoint, from_ms);
  assert.ok(rate >= 0.8 * PER_S, `the new issuer grants only ${rate}`);
  fleet.reaches = () => true;
  fleet.cutFromStore.clear();
  await fleet.run(6_000, [endpoint], { demand: 0.3 });
  assertWithin(fleet, endpoint);
});

test("hosts that know nobody but themselves send nothing until they are registered", async () => {
  const fleet = createFleet(0);
  const endpoint = createEndpoint();
  for (let n = 1; n <= 66; n++) {
    fleet.start(addressOf(n));
    fleet.cutFromStore.add(addressOf(n));
  }
  await fleet.run(5_000, [endpoint]);
  assert.equal(fleet.most(endpoint), 0);
});

test("hosts of an earlier release at the head of the ranking are passed over", async () => {
  const fleet = createFleet(8);
  const endpoint = createEndpoint();
  const [first = ""] = fleet.ranking(endpoint);
  fleet.kill(first);
  fleet.start(first, { isOld: true });
  await fleet.run(SETTLING_MS + 5_000, [endpoint], { demand: 0.3 });
  assertWithin(fleet, endpoint);
  const rate = fleet.ratePerS(endpoint, SETTLING_MS);
  assert.ok(rate >= 2 && rate < PER_S, `${rate} a second`);
});

for (let seed = 1; seed <= 12; seed++) {
  test(`hosts that start, die, freeze, leave and are cut at random, seed ${seed}`, async () => {
    const random = createRandom(seed);
    const fleet = new ColdFleet(4 + Math.floor(random() * 8), random);
    const endpoints = [createEndpoint(1), createEndpoint(2)];
    const pick = () => {
      const all = [...fleet.hosts.keys()];
      return all[Math.floor(random() * all.length)] ?? "";
    };
    const faults = [
      () => fleet.kill(pick()),
      () => fleet.leave(pick()),
      () => fleet.start(addressOf(Math.floor(random() * 40))),
      () => fleet.start(pick() || addressOf(1)),
      () => fleet.frozen.add(pick()),
      () => fleet.frozen.clear(),
      () => fleet.cutFromStore.add(pick()),
      () => fleet.cutFromStore.clear(),
      () => {
        const half = new Set(
          [...fleet.hosts.keys()].filter(() => random() < 0.5),
        );
        fleet.reaches = (from, to) => half.has(from) === half.has(to);
      },
      () => fleet.reaches = () => true,
    ];
    for (let round = 0; round < 60; round++) {
      faults[Math.floor(random() * faults.length)]?.();
      const isLong = random() < 0.05;
      await fleet.run(isLong ? OUTDATED_MS : random() * 3_000, endpoints, {
        demand: isLong ? 0.02 : 0.3,
      });
      fleet.now_ms = Math.ceil(fleet.now_ms / 10) * 10;
    }
    for (const endpoint of endpoints) assertWithin(fleet, endpoint);
  });
}

test("hosts that know different incarnations of an endpoint share one bound", async () => {
  const fleet = createFleet(8);
  const old = createEndpoint();
  const next = { ...old, born_ms: 2 };
  await fleet.run(SETTLING_MS, [old, next], { demand: 0.5 });
  await fleet.run(5_000, [old, next], { demand: 0.5 });
  assertWithin(fleet, old);
});

/** The coldness that each host knows of, by its reports. */
class KnownColdness {
  readonly #byHost = new Map<string, ColdEndpoints>();

  constructor(fleet: ColdFleet) {
    for (const host of fleet.hosts.keys()) {
      this.#byHost.set(
        host,
        new ColdEndpoints({
          limitsOf: () => ({ start_ms: 4_000, per_s: PER_S }),
        }),
      );
    }
    fleet.limitPerS = (host, endpoint) =>
      this.#byHost.get(host)?.limitPerS(endpoint, fleet.now_ms);
  }

  tellAll(tell: (cold: ColdEndpoints) => void): void {
    for (const cold of this.#byHost.values()) tell(cold);
  }
}

for (const count of [8, 66]) {
  test(`${count} hosts, a zone's endpoints are back at once, cold, under a burst`, async () => {
    const fleet = createFleet(count);
    await fleet.run(SETTLING_MS, []);
    const known = new KnownColdness(fleet);
    const endpoints = [1, 2, 3, 4, 5, 6].map(createEndpoint);
    const back_ms = fleet.now_ms;
    const warm_ms = back_ms + 3_500;
    known.tellAll((cold) => cold.presume("az-1", back_ms));
    // Their entries come within 1.2 s of each other, and say how long it lasts.
    for (let step = 0; step < 12; step++) {
      for (const [index, endpoint] of endpoints.entries()) {
        if (step % 6 !== index) continue;
        const cold_remaining_ms = warm_ms - fleet.now_ms;
        known.tellAll((cold) =>
          cold.observeEntry({ ...endpoint, cold_remaining_ms }, fleet.now_ms)
        );
      }
      await fleet.run(200, endpoints, { demand: 0.5 });
    }
    await fleet.run(1_100, endpoints, { demand: 0.5 });
    for (const endpoint of endpoints) {
      const most = fleet.most(endpoint, { until_ms: warm_ms });
      assert.ok(most <= MOST, `${most} in a second`);
      const rate = fleet.ratePerS(endpoint, back_ms);
      assert.ok(rate >= 0.8 * PER_S, `only ${rate} a second`);
    }
  });

  test(`${count} hosts, an endpoint is cold longer than it said, again and again`, async () => {
    const fleet = createFleet(count);
    await fleet.run(SETTLING_MS, []);
    const known = new KnownColdness(fleet);
    const endpoint = createEndpoint();
    const tell = (cold_remaining_ms: number) =>
      known.tellAll((cold) =>
        cold.observeEntry({ ...endpoint, cold_remaining_ms }, fleet.now_ms)
      );
    for (let spell = 0; spell < 3; spell++) {
      const from_ms = fleet.now_ms;
      // Each entry says that it is nearly over, and the next one that it is not.
      for (const remaining_ms of [1_300, 1_300, 4_000, 2_800, 1_600]) {
        tell(remaining_ms);
        await fleet.run(1_200, [endpoint], { demand: 0.5 });
      }
      const until_ms = fleet.now_ms;
      const most = fleet.most(endpoint, { from_ms, until_ms });
      assert.ok(most <= MOST, `${most} in a second`);
      tell(0);
      await fleet.run(500, [endpoint], { demand: 0.1 });
      const warm = fleet.most(endpoint, { from_ms: until_ms });
      assert.ok(warm > MOST, `${warm} while it is warm`);
      // What was sent while it was warm doesn't count.
      await fleet.run(1_100, [], {});
    }
  });

  test(`${count} hosts, entry and answer contradict each other`, async () => {
    const fleet = createFleet(count);
    await fleet.run(SETTLING_MS, []);
    const known = new KnownColdness(fleet);
    const endpoint = createEndpoint();
    const from_ms = fleet.now_ms;
    known.tellAll((cold) => cold.observeAnswer(endpoint, 5_000, fleet.now_ms));
    for (let step = 0; step < 4; step++) {
      known.tellAll((cold) => {
        const warm = { ...endpoint, cold_remaining_ms: 0 };
        cold.observeEntry(warm, fleet.now_ms);
        cold.observeAnswer(endpoint, 0, fleet.now_ms);
      });
      await fleet.run(1_200, [endpoint], { demand: 0.5 });
    }
    const most = fleet.most(endpoint, { from_ms });
    assert.ok(most <= MOST, `${most} in a second`);
  });
}

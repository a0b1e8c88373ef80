import assert from "node:assert/strict";
import { setImmediate as settled } from "node:timers/promises";
import { test } from "node:test";
import { createLogger } from "../../src/logging/logger.ts";
import type { GatewayMember } from "../../src/membership/gateway_members.ts";
import { OwnEntry } from "../../src/membership/own_entry.ts";

const NAME = "gateway-1";
/** Longer than every delay here, retries included. */
const LONG_MS = 60_000;
const STEP_MS = 100;

function member(started_ms = 100): GatewayMember {
  return {
    address: "10.0.0.1:1",
    availability_zone: "a",
    cores: 1,
    started_ms,
  };
}

function item(value: GatewayMember | undefined = member()) {
  return { name: NAME, value };
}

/** A store that holds one entry; calls fail while it is away. */
class Store {
  entry: GatewayMember | undefined;
  away = false;
  calls: string[] = [];

  #call(name: string, entry: GatewayMember | undefined): Promise<void> {
    this.calls.push(name);
    if (this.away) return Promise.reject(new Error("away"));
    this.entry = entry;
    return Promise.resolve();
  }

  createEntry(clock: Clock, { random = 0.5, hosts = 1 } = {}): OwnEntry {
    return new OwnEntry({
      name: NAME,
      member: member(),
      announce: (_, announced) => this.#call("write", announced),
      withdraw: () => this.#call("remove", undefined),
      hostCount: () => hosts,
      log: createLogger({ level: "error", host: "h", writeLine: () => {} }),
      random: () => random,
      delay: clock.delay,
      signal: new AbortController().signal,
    });
  }
}

/** Delays that end when the test lets time pass. */
class Clock {
  #now_ms = 0;
  #delays: { end_ms: number; resolve: () => void }[] = [];

  delay = (delay_ms: number): Promise<void> =>
    new Promise((resolve) =>
      this.#delays.push({ end_ms: this.#now_ms + delay_ms, resolve })
    );

  /** Advances in small steps, so that what follows a delay runs in time. */
  async pass(duration_ms: number): Promise<void> {
    for (let passed_ms = 0; passed_ms < duration_ms; passed_ms += STEP_MS) {
      this.#now_ms += STEP_MS;
      for (const { end_ms, resolve } of this.#delays) {
        if (end_ms <= this.#now_ms) resolve();
      }
      this.#delays = this.#delays.filter(({ end_ms }) => end_ms > this.#now_ms);
      await settled();
    }
  }
}

function setUp() {
  const store = new Store();
  const clock = new Clock();
  return { store, clock, entry: store.createEntry(clock) };
}

test("a host writes its entry again when the store lists no such entry", async () => {
  const { store, clock, entry } = setUp();
  await entry.announce();
  store.entry = undefined;
  entry.handleList([]);
  await clock.pass(LONG_MS);
  assert.deepEqual(store.entry, member());
  assert.deepEqual(store.calls, ["write", "write"]);
});

test("a host writes its entry again when the store has that of an earlier start", async () => {
  const { store, clock, entry } = setUp();
  await entry.announce();
  entry.handleList([item(member(50))]);
  await clock.pass(LONG_MS);
  assert.deepEqual(store.calls, ["write", "write"]);
});

test("a host writes its entry again when another removed it", async () => {
  const { store, clock, entry } = setUp();
  await entry.announce();
  entry.handleList([item()]);
  entry.handleChanges([{ ...item(), deleted: true }]);
  await clock.pass(LONG_MS);
  assert.deepEqual(store.calls, ["write", "write"]);
});

test("a host leaves the entry of a later process of its name alone", async () => {
  const { store, clock, entry } = setUp();
  await entry.announce();
  entry.handleList([item(member(900))]);
  await entry.withdraw();
  entry.handleList([item(member(900))]);
  await clock.pass(LONG_MS);
  assert.deepEqual(store.calls, ["write"]);
});

test("a list that is older than a host's first write costs no second write", async () => {
  const { store, clock, entry } = setUp();
  const announced = entry.announce();
  entry.handleList([]);
  await announced;
  await clock.pass(1_000);
  entry.handleChanges([{ ...item(), deleted: false }]);
  await clock.pass(LONG_MS);
  assert.deepEqual(store.calls, ["write"]);
});

test("a host that has withdrawn never writes its entry again", async () => {
  const { store, clock, entry } = setUp();
  await entry.announce();
  entry.handleList([]);
  await entry.withdraw();
  entry.handleList([]);
  await clock.pass(LONG_MS);
  assert.deepEqual(store.calls, ["write", "remove"]);
});

test("a host withdraws again when its entry comes back", async () => {
  const { store, clock, entry } = setUp();
  await entry.announce();
  entry.handleList([item()]);
  await entry.withdraw();
  store.entry = member();
  entry.handleList([item()]);
  await clock.pass(LONG_MS);
  assert.equal(store.entry, undefined);
  assert.deepEqual(store.calls, ["write", "remove", "remove"]);
});

test("a host that withdraws while its first write fails ends without an entry", async () => {
  const { store, clock, entry } = setUp();
  store.away = true;
  void entry.announce();
  await clock.pass(300);
  void entry.withdraw();
  await clock.pass(3_000);
  store.away = false;
  await clock.pass(LONG_MS);
  assert.equal(store.entry, undefined);
  assert.equal(store.calls.at(-1), "remove");
  const firstRemoval = store.calls.indexOf("remove");
  assert.ok(!store.calls.slice(firstRemoval).includes("write"));
});

test("360 hosts that lost their entries together write less than 50 times a second", async () => {
  const clock = new Clock();
  const hosts = 360;
  const stores = Array.from({ length: hosts }, () => new Store());
  for (const [n, store] of stores.entries()) {
    store.createEntry(clock, { random: n / hosts, hosts }).handleList([]);
  }
  const writes = () => stores.flatMap(({ calls }) => calls).length;
  let before = 0;
  for (let second = 0; second < 20; second++) {
    await clock.pass(1_000);
    assert.ok(writes() - before <= 50, `${writes() - before} in a second`);
    before = writes();
  }
  assert.equal(before, hosts);
});

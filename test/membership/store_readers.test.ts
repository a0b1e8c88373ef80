/** Selection of the hosts that read the store for the others. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreReaders } from "../../src/membership/store_readers.ts";

const HOSTS = Array.from({ length: 81 }, (_, n) => `host-${n}`);

const LARGE_HOSTS = ["host-7", "host-33", "host-58"];

function readersAt(self: string, hosts = HOSTS, clock = { now_ms: 0 }) {
  return new StoreReaders({
    self,
    hosts: () => hosts,
    cores: () => new Map(LARGE_HOSTS.map((host) => [host, 2])),
    readerCount: 8,
    now: () => clock.now_ms,
  });
}

test("the configured number of hosts read the store", () => {
  const reading = HOSTS.filter((host) => readersAt(host).selfIsReader);
  assert.equal(reading.length, 8);
});

test("the largest hosts read the store, as each sends configurations to many others", () => {
  assert.ok(LARGE_HOSTS.every((host) => readersAt(host).selfIsReader));
});

test("in a small fleet every host reads the store", () => {
  const few = HOSTS.slice(0, 8);
  assert.ok(few.every((host) => readersAt(host, few).selfIsReader));
  assert.equal(readersAt("host-1", few).mayHaveFollowers, false);
});

test("followers are spread over the readers, two readers per follower", () => {
  const followers = HOSTS.filter((host) => !readersAt(host).selfIsReader);
  const followed = followers.flatMap((host) =>
    readersAt(host).readersToFollow()
  );
  assert.equal(followed.length, 2 * followers.length);
  const loads = [...Map.groupBy(followed, (host) => host).values()]
    .map((each) => each.length);
  assert.equal(loads.length, 8);
  assert.ok(Math.max(...loads) < 2 * followed.length / 8);
});

test("a failed reader is excluded for a while, then used again", () => {
  const clock = { now_ms: 0 };
  const follower = HOSTS.find((host) => !readersAt(host).selfIsReader) ?? "";
  const readers = readersAt(follower, HOSTS, clock);
  const failed = readers.readersToFollow()[0] ?? "";
  readers.markFailed(failed);
  assert.equal(readers.readersToFollow().includes(failed), false);
  assert.equal(readers.readersToFollow().length, 2);
  clock.now_ms = 3_001;
  assert.equal(readers.readersToFollow()[0], failed);
});

test("a host whose readers all fail reads the store itself", () => {
  const readers = readersAt("host-1");
  for (const host of HOSTS) readers.markFailed(host);
  assert.equal(readers.selfIsReader, true);
});

test("a reader that has lost the store is passed over, but not replaced", () => {
  const clock = { now_ms: 0 };
  const follower = HOSTS.find((host) => !readersAt(host).selfIsReader) ?? "";
  const readers = readersAt(follower, HOSTS, clock);
  const reading = HOSTS.filter((host) => readersAt(host).selfIsReader);
  const [first = "", ...others] = reading;
  assert.equal(readers.markSourceLost(first), true);
  assert.equal(readers.markSourceLost(first), false);
  assert.equal(readers.readersToFollow().includes(first), false);
  assert.equal(readers.takeStoreAttempt(), false);
  for (const host of others) readers.markSourceLost(host);
  assert.deepEqual(readers.readersToFollow(), []);
  assert.equal(readers.selfIsReader, false);
  clock.now_ms = 1_001;
  assert.equal(readers.readersToFollow().length, 2);
  assert.ok(readers.readersToFollow().every((host) => reading.includes(host)));
});

test("a host whose readers have all lost the store tries it with growing pauses", () => {
  const clock = { now_ms: 0 };
  const follower = HOSTS.find((host) => !readersAt(host).selfIsReader) ?? "";
  const readers = readersAt(follower, HOSTS, clock);
  const reading = HOSTS.filter((host) => readersAt(host).selfIsReader);
  const attempts_ms: number[] = [];
  for (; clock.now_ms < 12_000; clock.now_ms += 100) {
    for (const host of reading) readers.markSourceLost(host);
    if (!readers.takeStoreAttempt()) continue;
    attempts_ms.push(clock.now_ms);
    readers.markSourceLost(follower);
  }
  assert.deepEqual(attempts_ms, [500, 1_500, 3_500, 7_500, 11_500]);
  for (const host of reading) readers.markSourceLost(host);
  readers.markResponsive(follower);
  assert.equal(readers.selfIsReader, true);
  readers.markSourceLost(follower);
  assert.equal(readers.selfIsReader, false);
  readers.markResponsive(reading[0] ?? "");
  assert.deepEqual(readers.readersToFollow(), [reading[0]]);
});

test("readers that have all lost the store go on to read it", () => {
  const reading = HOSTS.filter((host) => readersAt(host).selfIsReader);
  const readers = readersAt(reading[0] ?? "");
  for (const host of reading.slice(0, 2)) readers.markSourceLost(host);
  assert.equal(readers.selfIsReader, false);
  for (const host of reading) readers.markSourceLost(host);
  assert.equal(readers.selfIsReader, true);
});

test("a reader that alone has lost the store tries it again after 3 s, then 6 s", () => {
  const clock = { now_ms: 0 };
  const self = HOSTS.find((host) => readersAt(host).selfIsReader) ?? "";
  const readers = readersAt(self, HOSTS, clock);
  const tries_ms: number[] = [];
  for (; clock.now_ms < 20_000; clock.now_ms += 100) {
    if (!readers.selfIsReader) continue;
    tries_ms.push(clock.now_ms);
    readers.markSourceLost(self);
  }
  assert.deepEqual(tries_ms, [0, 3_000, 9_000, 15_000]);
});

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

test("a reader that has lost the store is passed over, and no other host takes its place", () => {
  const clock = { now_ms: 0 };
  const reading = HOSTS.filter((host) => readersAt(host).selfIsReader);
  const follower = HOSTS.find((host) => !reading.includes(host)) ?? "";
  const readers = readersAt(follower, HOSTS, clock);
  const followed = readers.readersToFollow();
  const tried = new Set<string>();
  while (!readers.allLostSource) {
    for (const address of readers.readersToFollow()) {
      assert.equal(readers.markSourceLost(address), true);
      assert.equal(readers.markSourceLost(address), false);
      tried.add(address);
    }
  }
  assert.deepEqual([...tried].sort(), [...reading].sort());
  assert.deepEqual(readers.readersToFollow(), followed);
  assert.equal(readers.selfIsReader, false);
  clock.now_ms = 3_001;
  assert.equal(readers.allLostSource, false);
});

test("a host whose readers have all lost the store tries it with growing pauses", () => {
  const clock = { now_ms: 0 };
  const readers = readersAt("host-1", HOSTS, clock);
  const markAllLost = () => {
    while (!readers.allLostSource) {
      readers.readersToFollow().forEach((each) => readers.markSourceLost(each));
    }
  };
  const attempts_ms: number[] = [];
  for (; clock.now_ms < 20_000; clock.now_ms += 100) {
    markAllLost();
    if (!readers.claimStoreAttempt()) continue;
    attempts_ms.push(clock.now_ms);
    readers.markSourceLost("host-1");
  }
  assert.deepEqual(attempts_ms, [1_000, 3_000, 7_000, 11_000, 15_000, 19_000]);
  clock.now_ms = 30_000;
  markAllLost();
  assert.equal(readers.claimStoreAttempt(), true);
  readers.markResponsive("host-1");
  assert.equal(readers.selfIsReader, true);
  readers.markSourceLost("host-1");
  assert.equal(readers.selfIsReader, false);
});

test("a reader goes on to try the store if all readers have lost it", () => {
  const reader = HOSTS.find((host) => readersAt(host).selfIsReader) ?? "";
  const readers = readersAt(reader);
  readers.markSourceLost(reader);
  assert.equal(readers.selfIsReader, false);
  assert.equal(readers.selfAwaitsSource, true);
  while (!readers.allLostSource) {
    readers.readersToFollow().forEach((each) => readers.markSourceLost(each));
  }
  assert.equal(readers.selfIsReader, true);
});

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

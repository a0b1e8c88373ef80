/** Which hosts read the store for the others. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FeedReaders } from "../../src/membership/feed_readers.ts";

const HOSTS = Array.from({ length: 81 }, (_, n) => `host-${n}`);

function readersAt(self: string, hosts = HOSTS, clock = { now_ms: 0 }) {
  return new FeedReaders({
    self,
    hosts: () => hosts,
    readers: 8,
    now: () => clock.now_ms,
  });
}

test("as many hosts read the store as are meant to, of any number", () => {
  const reading = HOSTS.filter((host) => readersAt(host).selfReads);
  assert.equal(reading.length, 8);
});

test("in a small fleet every host reads the store", () => {
  const few = HOSTS.slice(0, 8);
  assert.ok(few.every((host) => readersAt(host, few).selfReads));
  assert.equal(readersAt("host-1", few).served, false);
});

test("a follower asks the readers in turn", () => {
  const follower = HOSTS.find((host) => !readersAt(host).selfReads);
  const readers = readersAt(follower ?? "");
  const asked = new Set(Array.from({ length: 8 }, () => readers.next()));
  assert.equal(asked.size, 8);
});

test("a reader that fails is passed over, and comes back", () => {
  const clock = { now_ms: 0 };
  const follower = HOSTS.find((host) => !readersAt(host).selfReads) ?? "";
  const readers = readersAt(follower, HOSTS, clock);
  const failed = readers.next() ?? "";
  readers.failed(failed);
  const asked = () => new Set(Array.from({ length: 8 }, () => readers.next()));
  assert.equal(asked().has(failed), false);
  assert.equal(asked().size, 8);
  clock.now_ms = 3_001;
  assert.equal(asked().has(failed), true);
});

test("a host whose readers all fail reads the store itself", () => {
  const readers = readersAt("host-1");
  for (const host of HOSTS) readers.failed(host);
  assert.equal(readers.selfReads, true);
});

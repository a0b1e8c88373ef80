/** Reading a feed from the store or from the hosts that read it. */
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import {
  type FeedResult,
  FeedResultKind,
  type ObjectFeed,
} from "../../src/store_sync/object_feed.ts";
import {
  createRelayedFeed,
  type PeerFeed,
} from "../../src/store_sync/relayed_feed.ts";
import { at } from "./at_position.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { StoreReaders } from "../../src/membership/store_readers.ts";

const HOSTS = Array.from({ length: 20 }, (_, n) => `host-${n}`);
const READERS = 3;
const log = createLogger({ level: "error", host: "h", writeLine: () => {} });
const signal = new AbortController().signal;

let calls: string[];
let respond: (address: string) => FeedResult<number>;

beforeEach(() => {
  calls = [];
  respond = () => changed(5);
});

function changed(revision: number): FeedResult<number> {
  return { kind: FeedResultKind.Changed, changes: [], revision };
}

function listed(revision: number): FeedResult<number> {
  return { kind: FeedResultKind.Listed, items: [], revision };
}

const UNAVAILABLE: FeedResult<number> = {
  kind: FeedResultKind.Unavailable,
  reason: "silent",
};

function readersAt(self: string): StoreReaders {
  return new StoreReaders({
    self,
    hosts: () => HOSTS,
    cores: () => new Map(),
    readerCount: READERS,
    now: () => 0,
  });
}

function feedAt(self: string): ObjectFeed<number> {
  const call = (address: string) => {
    calls.push(address);
    return Promise.resolve(respond(address));
  };
  const peers: PeerFeed<number> = {
    watch: call,
    list(address, { revision }) {
      calls.push(`list ${address} from ${revision}`);
      return Promise.resolve(listed(9));
    },
  };
  const store = { list: () => call("store"), watch: () => call("store") };
  const readers = readersAt(self);
  return createRelayedFeed({
    name: "f",
    store,
    peers,
    readers,
    self,
    max_store_watch_ms: 1_500,
    onSilence: () => {},
    log,
  });
}

const reader = HOSTS.find((host) => readersAt(host).selfIsReader) ?? "";
const follower = HOSTS.find((host) => !readersAt(host).selfIsReader) ?? "";

test("a reader reads the store, a follower reads from readers", async () => {
  await feedAt(reader).watch(at(1), 100, signal);
  assert.deepEqual(calls, ["store"]);
  calls = [];
  await feedAt(follower).watch(at(1), 100, signal);
  assert.equal(calls.length, 2);
  assert.ok(calls.every((address) => readersAt(address).selfIsReader));
});

test("a follower whose readers fail tries the next ones, then the store", async () => {
  respond = (address) => address === "store" ? changed(5) : UNAVAILABLE;
  const feed = feedAt(follower);
  for (let read = 0; read < HOSTS.length; read++) {
    await feed.watch(at(1), 100, signal);
  }
  const first = calls.indexOf("store");
  assert.ok(first >= READERS);
  assert.equal(new Set(calls.slice(0, first)).size, first);
  assert.ok(calls.slice(first).every((source) => source === "store"));
});

test("a reader that is cut off from the store follows other readers", async () => {
  respond = (address) => address === "store" ? UNAVAILABLE : changed(5);
  const read = await feedAt(reader).watch(at(1), 100, signal);
  assert.equal(read.kind, FeedResultKind.Changed);
  assert.deepEqual(calls.length, 3);
});

test("the second reader covers for one that fails", async () => {
  let first = "";
  const update = changed(7);
  respond = (address) => {
    first ||= address;
    return address === first ? UNAVAILABLE : update;
  };
  assert.equal(await feedAt(follower).watch(at(1), 100, signal), update);
});

test("a follower that is too far behind gets the full list at once", async () => {
  const feed = feedAt(follower);
  await feed.watch(at(1), 100, signal);
  respond = () => ({ kind: FeedResultKind.RevisionTooOld });
  const read = await feed.watch(at(5), 100, signal);
  assert.equal(read.kind, FeedResultKind.Listed);
  assert.match(calls.at(-1) ?? "", /^list host-\d+ from 5$/);
});

test("the feed is unavailable if no source answers", async () => {
  respond = () => UNAVAILABLE;
  const read = await feedAt(follower).watch(at(1), 100, signal);
  assert.equal(read.kind, FeedResultKind.Unavailable);
});

/** A feed whose watches at the store wait until they are aborted. */
function waitingFeed(self: string, hosts: string[]) {
  const readers = new StoreReaders({
    self,
    hosts: () => hosts,
    cores: () => new Map(),
    readerCount: READERS,
    now: () => 0,
  });
  const watchUntilAborted = (signal: AbortSignal) =>
    new Promise<FeedResult<number>>((resolve) =>
      signal.addEventListener("abort", () => resolve(UNAVAILABLE))
    );
  const feed = createRelayedFeed<number>({
    name: "f",
    store: {
      list: () => Promise.resolve(listed(5)),
      watch: (_position, _wait_ms, signal) => watchUntilAborted(signal),
    },
    peers: {
      list: () => Promise.resolve(listed(9)),
      watch: () => Promise.resolve(changed(9)),
    },
    readers,
    self,
    max_store_watch_ms: 1_500,
    onSilence: () => {},
    log,
  });
  return { feed, readers };
}

test("a watch that began before the fleet was known ends once it is", async () => {
  const hosts = [follower];
  const { feed, readers } = waitingFeed(follower, hosts);
  readers.hostsChanged();
  await feed.list(signal);
  const watch = feed.watch(at(5), 8_000, signal);
  hosts.splice(0, 1, ...HOSTS);
  readers.hostsChanged();
  assert.deepEqual(await watch, changed(5));
  // From then on it follows the readers.
  assert.deepEqual(await feed.watch(at(5), 8_000, signal), changed(9));
});

test("a watch of a reader ends once a change of the hosts makes it a follower", async () => {
  const followers = HOSTS.filter((host) => !readersAt(host).selfIsReader);
  const hosts = followers.slice(0, READERS + 1);
  const firstReader =
    hosts.find((host) => waitingFeed(host, hosts).readers.selfIsReader) ?? "";
  const { feed, readers } = waitingFeed(firstReader, hosts);
  readers.hostsChanged();
  assert.ok(readers.mayHaveFollowers);
  await feed.list(signal);
  const watch = feed.watch(at(5), 8_000, signal);
  hosts.splice(0, hosts.length, ...HOSTS);
  readers.hostsChanged();
  assert.deepEqual(await watch, changed(5));
  assert.deepEqual(await feed.watch(at(5), 8_000, signal), changed(9));
});

test("a reader is not passed over because the other one answered sooner", async () => {
  const readers = readersAt(follower);
  const [first, second] = readers.readersToFollow();
  const revisions = new Map([[first, 9], [second, 7]]);
  const feed = createRelayedFeed<number>({
    name: "f",
    store: {
      list: () => Promise.resolve(UNAVAILABLE),
      watch: () => Promise.resolve(UNAVAILABLE),
    },
    peers: {
      list: (address, { revision }) => {
        const read = revisions.get(address) ?? 0;
        return Promise.resolve(read < revision ? UNAVAILABLE : listed(read));
      },
      async watch(address) {
        if (address === second) await answered;
        return { kind: FeedResultKind.RevisionTooOld };
      },
    },
    readers,
    self: follower,
    max_store_watch_ms: 1_500,
    onSilence: () => {},
    log,
  });
  const { promise: answered, resolve } = Promise.withResolvers<void>();
  assert.deepEqual(await feed.watch(at(5), 100, signal), listed(9));
  resolve();
  await new Promise((resolve) => setTimeout(resolve, 10));
  assert.deepEqual(readers.readersToFollow(), [first, second]);
});

test("a follower whose readers all stand behind it asks the store", async () => {
  const behind: FeedResult<number> = { ...UNAVAILABLE, isBehind: true };
  respond = (address) => address === "store" ? listed(3) : behind;
  const read = await feedAt(follower).watch(at(300), 100, signal);
  assert.deepEqual(read, listed(3));
  respond = () => UNAVAILABLE;
  const away = await feedAt(follower).watch(at(300), 100, signal);
  assert.equal(away.kind, FeedResultKind.Unavailable);
});

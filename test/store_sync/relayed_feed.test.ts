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
import { createLogger } from "../../src/logging/logger.ts";
import { StoreReaders } from "../../src/membership/store_readers.ts";

const HOSTS = Array.from({ length: 20 }, (_, n) => `host-${n}`);
const READERS = 3;
const log = createLogger({ level: "error", host: "h", writeLine: () => {} });
const signal = new AbortController().signal;

let asked: string[];
let answers: (address: string) => FeedResult<number>;

beforeEach(() => {
  asked = [];
  answers = () => changed(5);
});

function changed(revision: number): FeedResult<number> {
  return { kind: FeedResultKind.Changed, changes: [], revision };
}

function listed(revision: number): FeedResult<number> {
  return { kind: FeedResultKind.Listed, items: [], revision };
}

const SILENT: FeedResult<number> = {
  kind: FeedResultKind.Unavailable,
  reason: "silent",
};

function readersAt(self: string): StoreReaders {
  return new StoreReaders({
    self,
    hosts: () => HOSTS,
    readerCount: READERS,
    now: () => 0,
  });
}

function feedAt(self: string): ObjectFeed<number> {
  const ask = (address: string) => {
    asked.push(address);
    return Promise.resolve(answers(address));
  };
  const peers: PeerFeed<number> = {
    watch: ask,
    list(address, least_revision) {
      asked.push(`all of ${address} from ${least_revision}`);
      return Promise.resolve(listed(9));
    },
  };
  const store = { list: () => ask("store"), watch: () => ask("store") };
  const readers = readersAt(self);
  return createRelayedFeed({ name: "f", store, peers, readers, self, log });
}

const reader = HOSTS.find((host) => readersAt(host).selfIsReader) ?? "";
const follower = HOSTS.find((host) => !readersAt(host).selfIsReader) ?? "";

test("a reader asks the store, a follower asks readers", async () => {
  await feedAt(reader).watch(1, 100, signal);
  assert.deepEqual(asked, ["store"]);
  asked = [];
  await feedAt(follower).watch(1, 100, signal);
  assert.equal(asked.length, 2);
  assert.ok(asked.every((address) => readersAt(address).selfIsReader));
});

test("a follower whose readers are silent goes to the next, then the store", async () => {
  answers = (address) => address === "store" ? changed(5) : SILENT;
  const feed = feedAt(follower);
  for (let read = 0; read < HOSTS.length; read++) {
    await feed.watch(1, 100, signal);
  }
  const first = asked.indexOf("store");
  assert.ok(first >= READERS);
  assert.equal(new Set(asked.slice(0, first)).size, first);
  assert.ok(asked.slice(first).every((source) => source === "store"));
});

test("a reader that is cut from the store follows the others", async () => {
  answers = (address) => address === "store" ? SILENT : changed(5);
  const read = await feedAt(reader).watch(1, 100, signal);
  assert.equal(read.kind, FeedResultKind.Changed);
  assert.deepEqual(asked.length, 3);
});

test("a reader that hears of nothing is made up for by the other", async () => {
  let first = "";
  const news = changed(7);
  answers = (address) => {
    first ||= address;
    return address === first ? SILENT : news;
  };
  assert.equal(await feedAt(follower).watch(1, 100, signal), news);
});

test("a follower that is too far behind gets the whole list at once", async () => {
  const feed = feedAt(follower);
  await feed.watch(1, 100, signal);
  answers = () => ({ kind: FeedResultKind.RevisionTooOld });
  const read = await feed.watch(5, 100, signal);
  assert.equal(read.kind, FeedResultKind.Listed);
  assert.match(asked.at(-1) ?? "", /^all of host-\d+ from 5$/);
});

test("nobody answers: the feed says so", async () => {
  answers = () => SILENT;
  const read = await feedAt(follower).watch(1, 100, signal);
  assert.equal(read.kind, FeedResultKind.Unavailable);
});

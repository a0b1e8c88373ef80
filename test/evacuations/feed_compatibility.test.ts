/** The feed of evacuations beside hosts of the previous release, both ways. */
import assert from "node:assert/strict";
import { once } from "node:events";
import {
  createServer,
  get,
  type IncomingMessage,
  type RequestListener,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import type { Evacuation } from "../../src/evacuations/types.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { StoreReaders } from "../../src/membership/store_readers.ts";
import { maxWatchMs } from "../../src/peers/create_relayed_feeds.ts";
import { createRelayedFeeds } from "../../src/peers/create_relayed_feeds.ts";
import {
  decodeOptionalFeeds,
  FeedName,
  serveFeedStream,
  STREAM_HEARTBEAT_INTERVAL_MS,
  type WatchCaches,
} from "../../src/peers/feed_stream.ts";
import { FeedStreamClients } from "../../src/peers/feed_stream_client.ts";
import {
  type FeedResult,
  FeedResultKind,
  type ObjectFeed,
} from "../../src/store_sync/object_feed.ts";
import {
  createRelayedFeed,
  type PeerFeed,
} from "../../src/store_sync/relayed_feed.ts";
import { createChangeRevisions } from "../../src/store_sync/state_snapshot.ts";
import { WatchCache } from "../../src/store_sync/watch_cache.ts";
import { at } from "../store_sync/at_position.ts";

const log = createLogger({ level: "error", host: "h", writeLine: () => {} });
const now = () => performance.now();
const { signal } = new AbortController();

/** What a host of the previous release streams at first, as recorded. */
const RECORDED_STREAM = [
  '{"feed":"configuration","read":{"kind":"listed","items":[],"revision":10,"unsettled_ms":0}}',
  '{"feed":"endpoints","read":{"kind":"listed","items":[],"revision":10,"unsettled_ms":0}}',
  '{"feed":"gateways","read":{"kind":"listed","items":[],"revision":10,"unsettled_ms":0}}',
  '{"feed":"quarantined","read":{"kind":"listed","items":[],"revision":10,"unsettled_ms":0}}',
  '{"revisions":{"configuration":10,"endpoints":10,"gateways":10,"quarantined":10},"epochs":{}}',
];

async function listen(t: TestContext, serve: RequestListener): Promise<string> {
  const server = createServer(serve);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function createCaches({ evacuations = true } = {}): WatchCaches {
  const caches: WatchCaches = {
    configuration: new WatchCache(),
    endpoints: new WatchCache(),
    gateways: new WatchCache(),
    quarantined: new WatchCache(),
    ...(evacuations && { evacuations: new WatchCache<Evacuation>() }),
  };
  for (const cache of Object.values(caches)) cache.replaceAll([], at(10));
  return caches;
}

function startReader(t: TestContext, caches: WatchCaches): Promise<string> {
  return listen(t, (request, response) => {
    serveFeedStream(response, {
      caches,
      selfIsReader: () => true,
      optionalFeeds: decodeOptionalFeeds(request),
      log,
      now,
    });
  });
}

function createClients(t: TestContext): FeedStreamClients {
  const clients = new FeedStreamClients({
    optionalFeeds: [FeedName.Evacuations],
    log,
    now,
  });
  t.after(() => clients.close());
  return clients;
}

function begun(zone: string) {
  return { name: zone, value: { zone }, deleted: false };
}

test("a follower that asks for evacuations gets their list and their changes", async (t) => {
  const caches = createCaches();
  const address = await startReader(t, caches);
  const feed = createClients(t).feed<Evacuation>(FeedName.Evacuations);
  const list = await feed.list(address, at(0));
  assert.equal(list.kind, FeedResultKind.Listed);
  const update = feed.watch(address, at(10), 5_000);
  caches.evacuations?.applyChanges([begun("a")], at(12));
  const read = await update;
  assert.deepEqual("changes" in read && read.changes, [begun("a")]);
});

test("a value that is no evacuation is not taken from a peer", async (t) => {
  const caches = createCaches();
  const value = { zone: "a\nb" };
  caches.evacuations?.replaceAll([{ name: "a", value }], at(12));
  const address = await startReader(t, caches);
  const feed = createClients(t).feed<Evacuation>(FeedName.Evacuations);
  const read = await feed.list(address, at(0));
  assert.deepEqual("items" in read && read.items, [
    { name: "a", value: undefined },
  ]);
});

test("a follower of the previous release, which does not ask, gets nothing that it doesn't know", async (t) => {
  const caches = createCaches();
  const address = await startReader(t, caches);
  const request = get(`http://${address}/feeds`);
  const [response] = await once(request, "response") as [IncomingMessage];
  let text = "";
  response.setEncoding("utf8").on("data", (chunk) => text += chunk);
  caches.evacuations?.applyChanges([begun("a")], at(12));
  await sleep(STREAM_HEARTBEAT_INTERVAL_MS + 300);
  request.destroy();
  assert.ok(text.includes('"revisions"'), text);
  assert.ok(!text.includes("evacuations"), text);
  assert.equal(response.headers["x-optional-feeds"], undefined);
});

for (const reader of ["of the previous release", "without the setting"]) {
  test(`a follower learns at once that a reader ${reader} has no evacuations, and gets its other feeds`, async (t) => {
    const address = reader === "without the setting"
      ? await startReader(t, createCaches({ evacuations: false }))
      : await listen(t, (_, response) => {
        response.writeHead(200, { "content-type": "application/x-ndjson" });
        response.write(RECORDED_STREAM.join("\n") + "\n");
      });
    const clients = createClients(t);
    const started_ms = now();
    const read = await clients.feed(FeedName.Evacuations).list(address, at(0));
    assert.ok(read.kind === FeedResultKind.Unavailable);
    assert.equal(read.isUnknown, true);
    assert.ok(now() - started_ms < 500);
    const endpoints = await clients.feed(FeedName.Endpoints)
      .list(address, at(0));
    assert.equal(endpoints.kind, FeedResultKind.Listed);
  });
}

const HOSTS = Array.from({ length: 20 }, (_, n) => `host-${n}`);
const UNKNOWN: FeedResult<number> = {
  kind: FeedResultKind.Unavailable,
  reason: "not known there",
  isUnknown: true,
};

/** A feed of a follower, and the calls that it makes. */
function createFollower(
  answer: (reader: string) => FeedResult<number>,
  mustAskStore = () => false,
) {
  const readersAt = (self: string) =>
    new StoreReaders({
      self,
      hosts: () => HOSTS,
      cores: () => new Map(),
      readerCount: 4,
      now: () => 0,
    });
  const self = HOSTS.find((host) => !readersAt(host).selfIsReader) ?? "";
  const readers = readersAt(self);
  const followed = readers.readersToFollow();
  const calls: string[] = [];
  const call = (address: string) => {
    calls.push(address);
    return Promise.resolve(answer(address));
  };
  const peers: PeerFeed<number> = { list: call, watch: call };
  const store: ObjectFeed<number> = {
    list() {
      calls.push("store list");
      return Promise.resolve({
        kind: FeedResultKind.Listed,
        items: [],
        revision: 7,
      });
    },
    watch() {
      calls.push("store watch");
      return Promise.resolve({
        kind: FeedResultKind.Changed,
        changes: [],
        revision: 8,
      });
    },
  };
  const feed = createRelayedFeed({
    name: "numbers",
    store,
    peers,
    readers,
    self,
    max_store_watch_ms: 1_000,
    mustAskStore,
    onSilence: () => {},
    log,
  });
  return { feed, calls, readers, followed };
}

test("a follower whose readers don't know the feed reads the store, and blames no reader", async () => {
  const { feed, calls, readers, followed } = createFollower(() => UNKNOWN);
  await feed.list(signal);
  await feed.watch({ revision: 7 }, 500, signal);
  assert.deepEqual(calls, [
    ...followed,
    "store list",
    ...followed,
    "store watch",
  ]);
  assert.deepEqual(readers.readersToFollow(), followed);
});

test("a follower with one reader that knows the feed does not read the store", async () => {
  const { feed, calls, readers, followed } = createFollower((reader) =>
    reader === followed[0]
      ? { kind: FeedResultKind.Listed, items: [], revision: 9 }
      : UNKNOWN
  );
  const read = await feed.list(signal);
  assert.equal("revision" in read && read.revision, 9);
  assert.deepEqual(calls, followed);
  assert.deepEqual(readers.readersToFollow(), followed);
});

test("a follower that must ask the store does not take a reader's list", async () => {
  let mustAskStore = true;
  const { feed, calls, followed } = createFollower(
    () => ({ kind: FeedResultKind.Listed, items: [], revision: 9 }),
    () => mustAskStore,
  );
  await feed.list(signal);
  assert.deepEqual(calls, ["store list"]);
  mustAskStore = false;
  await feed.list(signal);
  assert.deepEqual(calls, ["store list", ...followed]);
});

test("a watch of evacuations ends early enough to make good a silent connection", async () => {
  const waits_ms: number[] = [];
  const feed: ObjectFeed<never> = {
    list: () =>
      Promise.resolve({ kind: FeedResultKind.Listed, items: [], revision: 1 }),
    watch(position, wait_ms) {
      waits_ms.push(wait_ms);
      return Promise.resolve({
        kind: FeedResultKind.Changed,
        changes: [],
        ...position,
      });
    },
  };
  const feeds = createRelayedFeeds({
    configuration: feed,
    endpoints: feed,
    gateways: feed,
    quarantined: feed,
    evacuations: feed,
  }, {
    feedClients: new FeedStreamClients({ log, now }),
    readers: new StoreReaders({
      self: "h",
      hosts: () => ["h"],
      cores: () => new Map(),
      readerCount: 1,
      now,
    }),
    self: "h",
    silence_ms: 60_000,
    in_force_ms: 5_000,
    onSilence: () => {},
    log,
  });
  await feeds.evacuations?.list(signal);
  await feeds.evacuations?.watch({ revision: 1 }, 60_000, signal);
  assert.deepEqual(waits_ms, [maxWatchMs(3_500)]);
  assert.ok(waits_ms.every((wait_ms) => wait_ms <= 2_000));
});

test("hosts without the setting tell peers nothing of evacuations", () => {
  const read = { lastChange: at(3) };
  const feeds = { configuration: read, endpoints: read, quarantined: read };
  const without = createChangeRevisions(feeds, 1);
  assert.ok(!JSON.stringify(without).includes("evacuations"));
  const evacuations = { lastChange: at(5, 2) };
  const revisions = createChangeRevisions({ ...feeds, evacuations }, 1);
  assert.equal(revisions.evacuations, 5);
  assert.equal(revisions.epochs?.evacuations, 2);
});

test("a reader that can't read evacuations streams its other feeds, and those again later", async (t) => {
  const caches = createCaches();
  caches.evacuations?.markSourceUnavailable();
  const address = await startReader(t, caches);
  const clients = createClients(t);
  const feed = clients.feed<Evacuation>(FeedName.Evacuations);
  const read = await feed.list(address, at(0));
  assert.ok(read.kind === FeedResultKind.Unavailable);
  assert.equal(read.isUnknown, true);
  const update = clients.feed(FeedName.Endpoints).watch(address, at(10), 3_000);
  caches.evacuations?.replaceAll([begun("a")], at(12));
  await sleep(400);
  const again = await feed.list(address, at(0));
  assert.ok("items" in again && again.items.length === 1);
  caches.endpoints.applyChanges([
    { name: "e", value: undefined, deleted: true },
  ], at(14));
  assert.equal((await update).kind, FeedResultKind.Changed);
});

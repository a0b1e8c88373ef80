/** The feed stream between two hosts. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, request, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { WatchCache } from "../../src/store_sync/watch_cache.ts";
import { FeedResultKind } from "../../src/store_sync/object_feed.ts";
import { at } from "../store_sync/at_position.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { FeedStreamClients } from "../../src/peers/feed_stream_client.ts";
import {
  FeedName,
  serveFeedStream,
  type WatchCaches,
} from "../../src/peers/feed_stream.ts";
import {
  type RouteConfiguration,
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";

const log = createLogger({ level: "error", host: "h", writeLine: () => {} });
const now = () => performance.now();

let server: Server;
let address: string;
let caches: WatchCaches;
let clients: FeedStreamClients;
let isReader: boolean;
let unresponsive: boolean;

beforeEach(async () => {
  isReader = true;
  unresponsive = false;
  caches = {
    configuration: new WatchCache(),
    endpoints: new WatchCache(),
    gateways: new WatchCache(),
    quarantined: new WatchCache(),
  };
  for (const cache of Object.values(caches)) cache.replaceAll([], at(10));
  server = createServer((_, response) => {
    if (!unresponsive) {
      serveFeedStream(response, {
        caches,
        selfIsReader: () => isReader,
        log,
        now,
      });
    }
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  clients = new FeedStreamClients({ log, now });
});

afterEach(() => {
  clients.close();
  server.close();
  server.closeAllConnections();
});

function endpoint(id: string): RouteEndpoint {
  return {
    id,
    pool: "p",
    address: "127.0.0.1:80",
    availability_zone: "a",
    slots: 1,
    state: RouteEndpointState.Ready,
    born_ms: 1,
  };
}

test("a follower receives a change at once, over one connection", async () => {
  let connections = 0;
  server.on("connection", () => connections += 1);
  const feed = clients.feed<RouteEndpoint>(FeedName.Endpoints);
  const list = await feed.list(address, at(0));
  assert.equal(list.kind, FeedResultKind.Listed);
  const update = feed.watch(address, at(10), 5_000);
  const change = { name: "e", value: endpoint("e"), deleted: false };
  caches.endpoints.applyChanges([change], at(12));
  const start_ms = now();
  const read = await update;
  assert.ok(now() - start_ms < 500);
  assert.deepEqual("changes" in read && read.changes, [change]);
  assert.equal(connections, 1);
});

test("a streamed configuration has the same pools as the sent one", async () => {
  const value = {
    version: 3,
    pools: new Map([["p", { name: "p" }]]),
  } as unknown as RouteConfiguration;
  caches.configuration.replaceAll([{ name: "main", value }], at(20));
  const feed = clients.feed<RouteConfiguration>(FeedName.Configuration);
  const read = await feed.list(address, at(20));
  assert.equal(
    "items" in read && read.items[0]?.value?.pools.get("p")?.name,
    "p",
  );
});

test("a host that does not read the store, or stops reading it, is unavailable", async () => {
  isReader = false;
  const feed = clients.feed<RouteEndpoint>(FeedName.Endpoints);
  assert.equal(
    (await feed.list(address, at(0))).kind,
    FeedResultKind.Unavailable,
  );
  isReader = true;
  assert.equal((await feed.list(address, at(0))).kind, FeedResultKind.Listed);
  const update = feed.watch(address, at(10), 5_000);
  caches.endpoints.markSourceUnavailable();
  assert.equal((await update).kind, FeedResultKind.Unavailable);
});

test("an unresponsive host is detected by its missing heartbeats", async () => {
  unresponsive = true;
  const feed = clients.feed<RouteEndpoint>(FeedName.Endpoints);
  const start_ms = now();
  assert.equal(
    (await feed.list(address, at(0))).kind,
    FeedResultKind.Unavailable,
  );
  const read = await feed.watch(address, at(10), 10_000);
  assert.equal(read.kind, FeedResultKind.Unavailable);
  assert.ok(now() - start_ms < 3_000);
});

test("a follower receives revisions at which nothing changed", async () => {
  const feed = clients.feed<RouteEndpoint>(FeedName.Endpoints);
  await feed.list(address, at(0));
  caches.endpoints.applyChanges([], at(30));
  await new Promise((resolve) => setTimeout(resolve, 1_300));
  assert.equal((await feed.list(address, at(30))).kind, FeedResultKind.Listed);
});

test("a follower gets the whole list when its reader learns a new epoch", async () => {
  caches.endpoints.replaceAll([], at(300, 1));
  const feed = clients.feed<RouteEndpoint>(FeedName.Endpoints);
  await feed.list(address, at(0));
  const update = feed.watch(address, at(300, 1), 5_000);
  const value = endpoint("e");
  caches.endpoints.replaceAll([{ name: "e", value }], at(12, 2));
  assert.equal((await update).kind, FeedResultKind.RevisionTooOld);
  const read = await feed.list(address, at(300, 1));
  assert.ok(read.kind === FeedResultKind.Listed);
  assert.equal(read.epoch, 2);
  assert.equal(read.revision, 12);
  assert.equal(read.items.length, 1);
});

const LINES_OF_AN_EARLIER_RELEASE = [
  '{"feed":"endpoints","read":{"kind":"listed","items":[],"revision":20}}',
  '{"feed":"endpoints","read":{"kind":"changed","changes":[],"revision":22}}',
  '{"revisions":{"configuration":0,"endpoints":25,"gateways":0,"quarantined":0}}',
];

test("lines of an earlier release, which name no epoch, are followed", async () => {
  server.removeAllListeners("request");
  server.on(
    "request",
    (_, response) =>
      void response.write(LINES_OF_AN_EARLIER_RELEASE.join("\n") + "\n"),
  );
  const feed = clients.feed<RouteEndpoint>(FeedName.Endpoints);
  const read = await feed.list(address, at(25, 3));
  assert.ok(read.kind === FeedResultKind.Listed);
  assert.equal(read.revision, 25);
  assert.equal(read.epoch, undefined);
});

test("a line whose epoch is no number counts as of an unknown epoch", async () => {
  server.removeAllListeners("request");
  const line =
    '{"feed":"endpoints","read":{"kind":"listed","items":[],"revision":20,"epoch":"x"}}';
  server.on("request", (_, response) => void response.write(`${line}\n`));
  const feed = clients.feed<RouteEndpoint>(FeedName.Endpoints);
  const read = await feed.list(address, at(20, 3));
  assert.equal(read.kind, FeedResultKind.Listed);
  assert.equal("epoch" in read, false);
});

const MALFORMED_LINES = [
  "not json",
  "null",
  "1",
  '"text"',
  "[]",
  "{}",
  '{"revisions":null}',
  '{"feed":"endpoints"}',
  '{"feed":"endpoints","read":null}',
  '{"feed":"unknown","read":{"kind":"listed","items":[],"revision":1}}',
  '{"feed":"endpoints","read":{"kind":"listed","items":5,"revision":1}}',
  '{"feed":"configuration","read":{"kind":"listed","items":[{"value":1}]}}',
  '{"feed":"endpoints","read":{"kind":"listed","items":[],"revision":1e308}}',
  '{"feed":"endpoints","read":{"kind":"listed","items":[],"revision":-1}}',
];

for (const line of MALFORMED_LINES) {
  test(`the line ${line} ends a stream and nothing else`, async () => {
    server.removeAllListeners("request");
    server.on("request", (_, response) => void response.write(`${line}\n`));
    const feed = clients.feed<RouteEndpoint>(FeedName.Endpoints);
    const read = await feed.list(address, at(0));
    assert.equal(read.kind, FeedResultKind.Unavailable);
  });
}

test("a feed that can't be written ends the stream, so that followers don't wait", async () => {
  const unwritable = 1n as unknown as number;
  const endpoint = { slots: unwritable } as RouteEndpoint;
  caches.endpoints.replaceAll([{ name: "odd", value: endpoint }], at(11));
  const following = request(`http://${address}/feeds`).end();
  following.on("error", () => {});
  following.on("response", (response) => {
    response.on("error", () => {});
    response.resume();
  });
  await new Promise((resolve) => following.once("close", resolve));
});

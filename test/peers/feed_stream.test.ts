/** A host's feeds, followed over a connection by another host. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { WatchCache } from "../../src/store_sync/watch_cache.ts";
import { FeedResultKind } from "../../src/store_sync/object_feed.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { FeedStreamClients } from "../../src/peers/feed_stream_client.ts";
import {
  FeedName,
  serveFeedStream,
  type WatchCaches,
} from "../../src/peers/feed_stream.ts";
import type {
  RouteConfiguration,
  RouteEndpoint,
} from "../../src/routes/types.ts";

const log = createLogger({ level: "error", host: "h", writeLine: () => {} });
const now = () => performance.now();

let server: Server;
let address: string;
let histories: WatchCaches;
let mirrors: FeedStreamClients;
let reads: boolean;
let mute: boolean;

beforeEach(async () => {
  reads = true;
  mute = false;
  histories = {
    configuration: new WatchCache(),
    endpoints: new WatchCache(),
    gateways: new WatchCache(),
  };
  for (const history of Object.values(histories)) history.replaceAll([], 10);
  server = createServer((_, response) => {
    if (!mute) {
      serveFeedStream(response, {
        caches: histories,
        selfIsReader: () => reads,
        now,
      });
    }
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  mirrors = new FeedStreamClients({ log, now });
});

afterEach(() => {
  mirrors.close();
  server.close();
  server.closeAllConnections();
});

function endpoint(id: string): RouteEndpoint {
  return { id, pool: "p" } as RouteEndpoint;
}

test("a follower hears of a change at once, over one connection", async () => {
  let connections = 0;
  server.on("connection", () => connections += 1);
  const feed = mirrors.feed<RouteEndpoint>(FeedName.Endpoints);
  const list = await feed.list(address, 0);
  assert.equal(list.kind, FeedResultKind.Listed);
  const news = feed.watch(address, 10, 5_000);
  const change = { name: "e", value: endpoint("e"), deleted: false };
  histories.endpoints.applyChanges([change], 12);
  const began_ms = now();
  const read = await news;
  assert.ok(now() - began_ms < 500);
  assert.deepEqual("changes" in read && read.changes, [change]);
  assert.equal(connections, 1);
});

test("a configuration keeps its pools on the way", async () => {
  const value = {
    version: 3,
    pools: new Map([["p", { name: "p" }]]),
  } as unknown as RouteConfiguration;
  histories.configuration.replaceAll([{ name: "main", value }], 20);
  const feed = mirrors.feed<RouteConfiguration>(FeedName.Configuration);
  const read = await feed.list(address, 20);
  assert.equal(
    "items" in read && read.items[0]?.value?.pools.get("p")?.name,
    "p",
  );
});

test("a host that does not read the store, or stops reading, says so", async () => {
  reads = false;
  const feed = mirrors.feed<RouteEndpoint>(FeedName.Endpoints);
  assert.equal((await feed.list(address, 0)).kind, FeedResultKind.Unavailable);
  reads = true;
  assert.equal((await feed.list(address, 0)).kind, FeedResultKind.Listed);
  const news = feed.watch(address, 10, 5_000);
  histories.endpoints.markSourceUnavailable();
  assert.equal((await news).kind, FeedResultKind.Unavailable);
});

test("a host that falls silent is found out by its missing heartbeats", async () => {
  mute = true;
  const feed = mirrors.feed<RouteEndpoint>(FeedName.Endpoints);
  const began_ms = now();
  assert.equal((await feed.list(address, 0)).kind, FeedResultKind.Unavailable);
  const read = await feed.watch(address, 10, 10_000);
  assert.equal(read.kind, FeedResultKind.Unavailable);
  assert.ok(now() - began_ms < 3_000);
});

test("a follower is told of revisions at which nothing changed", async () => {
  const feed = mirrors.feed<RouteEndpoint>(FeedName.Endpoints);
  await feed.list(address, 0);
  histories.endpoints.applyChanges([], 30);
  await new Promise((resolve) => setTimeout(resolve, 1_300));
  assert.equal((await feed.list(address, 30)).kind, FeedResultKind.Listed);
});

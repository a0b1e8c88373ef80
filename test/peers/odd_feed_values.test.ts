/** Odd values in the feeds of another host, and odd addresses of hosts. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createLogger } from "../../src/logging/logger.ts";
import {
  FeedName,
  serveFeedStream,
  STREAM_HEARTBEAT_INTERVAL_MS,
  type WatchCaches,
} from "../../src/peers/feed_stream.ts";
import { FeedStreamClients } from "../../src/peers/feed_stream_client.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";
import { START_POSITION } from "../../src/store_sync/feed_position.ts";
import { FeedResultKind } from "../../src/store_sync/object_feed.ts";
import { WatchCache } from "../../src/store_sync/watch_cache.ts";

const log = createLogger({ level: "error", host: "h", writeLine: () => {} });
const now = () => performance.now();

let server: Server;
let address: string;
let caches: WatchCaches;
let clients: FeedStreamClients;

beforeEach(async () => {
  caches = {
    configuration: new WatchCache(),
    endpoints: new WatchCache(),
    gateways: new WatchCache(),
    quarantined: new WatchCache(),
  };
  for (const cache of Object.values(caches)) {
    cache.replaceAll([], { epoch: 1, revision: 10 });
  }
  server = createServer((_, response) =>
    serveFeedStream(response, { caches, selfIsReader: () => true, log, now })
  );
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

const SOUND: RouteEndpoint = {
  id: "sound",
  pool: "desk",
  address: "127.0.0.1:80",
  availability_zone: "az-1",
  slots: 8,
  state: RouteEndpointState.Ready,
  born_ms: 1,
};

test("an odd endpoint from a host of an earlier release is not used", async () => {
  const odd = { ...SOUND, id: "odd", address: "127.0.0.1:99999" };
  caches.endpoints.replaceAll([
    { name: "odd", value: odd },
    { name: "huge", value: { ...SOUND, id: "huge", slots: 1e308 } },
    { name: "sound", value: SOUND },
  ], { epoch: 1, revision: 12 });
  const list = await clients.feed<RouteEndpoint>(FeedName.Endpoints)
    .list(address, START_POSITION);
  assert.ok(list.kind === FeedResultKind.Listed);
  assert.deepEqual(
    list.items.map(({ name, value }) => [name, value]),
    [["odd", undefined], ["huge", undefined], ["sound", SOUND]],
  );
});

test("an odd host from a host of an earlier release is not used", async () => {
  const host = { availability_zone: "a", cores: 1, started_ms: 1 };
  caches.gateways.replaceAll([
    { name: "odd", value: { ...host, address: "host:1" } },
    { name: "sound", value: { ...host, address: "127.0.0.1:80" } },
  ], { epoch: 1, revision: 12 });
  const list = await clients.feed(FeedName.Gateways).list(
    address,
    START_POSITION,
  );
  assert.ok(list.kind === FeedResultKind.Listed);
  assert.deepEqual(
    list.items.map(({ value }) => value !== undefined),
    [false, true],
  );
});

test("a host at an impossible address is unavailable and throws nothing later", async () => {
  await assert.rejects(
    clients.feed(FeedName.Endpoints).list("127.0.0.1:99999", START_POSITION),
  );
  // Longer than a silent stream is kept.
  await sleep(2 * STREAM_HEARTBEAT_INTERVAL_MS + 500);
});

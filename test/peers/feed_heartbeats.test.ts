/** What the heartbeats of a feed stream claim. */
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { createLogger } from "../../src/logging/logger.ts";
import {
  type FeedLine,
  FeedName,
  serveFeedStream,
  STREAM_HEARTBEAT_INTERVAL_MS,
} from "../../src/peers/feed_stream.ts";
import type { GatewayMember } from "../../src/membership/gateway_members.ts";
import type { QuarantinedParts } from "../../src/quarantine/types.ts";
import type {
  RouteConfiguration,
  RouteEndpoint,
} from "../../src/routes/types.ts";
import { WatchCache } from "../../src/store_sync/watch_cache.ts";
import { at } from "../store_sync/at_position.ts";

class RecordingResponse extends EventEmitter {
  destroyed = false;
  writableEnded = false;
  lines: FeedLine[] = [];
  writeHead(): void {}
  write(text: string): void {
    this.lines.push(JSON.parse(text));
  }
  end(): void {
    this.writableEnded = true;
  }
}

test("a heartbeat claims no more than the lines before it, while a list is due", async (t) => {
  t.mock.timers.enable({ apis: ["setInterval"] });
  const caches = {
    configuration: new WatchCache<RouteConfiguration>(),
    endpoints: new WatchCache<RouteEndpoint>(),
    gateways: new WatchCache<GatewayMember>(),
    quarantined: new WatchCache<QuarantinedParts>(),
  };
  for (const cache of Object.values(caches)) cache.replaceAll([], at(10));
  const response = new RecordingResponse();
  serveFeedStream(response as unknown as ServerResponse, {
    caches,
    selfIsReader: () => true,
    log: createLogger({ level: "error", host: "h", writeLine: () => {} }),
    now: () => performance.now(),
  });
  await sleep(0);
  caches.endpoints.replaceAll([], at(60));
  await new Promise((resolve) => setImmediate(resolve));
  t.mock.timers.tick(STREAM_HEARTBEAT_INTERVAL_MS);
  while (response.lines.length < Object.keys(caches).length + 2) await sleep(5);
  t.mock.timers.tick(STREAM_HEARTBEAT_INTERVAL_MS);
  response.emit("close");
  response.destroyed = true;
  let streamed = 0;
  const claimed: number[] = [];
  for (const line of response.lines) {
    if ("revisions" in line) {
      const { endpoints } = line.revisions;
      assert.ok(endpoints <= streamed, `${endpoints} before ${streamed}`);
      claimed.push(endpoints);
    } else if (line.feed === FeedName.Endpoints && "revision" in line.read) {
      streamed = line.read.revision;
    }
  }
  assert.equal(claimed.length, 2);
  assert.equal(claimed.at(-1), 60);
});

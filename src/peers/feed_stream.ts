/**
 * Streams the store's feeds to other hosts: an HTTP response that stays open,
 * with one JSON line per result. At least one line is sent per heartbeat interval,
 * so that a follower detects a host that has stopped responding.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import {
  createPosition,
  type FeedPosition,
  START_POSITION,
} from "../store_sync/feed_position.ts";
import type { Logger } from "../logging/logger.ts";
import type { WatchCache } from "../store_sync/watch_cache.ts";
import {
  type FeedItem,
  type FeedResult,
  FeedResultKind,
} from "../store_sync/object_feed.ts";
import { serialiseConfiguration } from "../store_sync/state_snapshot.ts";
import type { GatewayMember } from "../membership/gateway_members.ts";
import type { QuarantinedParts } from "../quarantine/types.ts";
import type { RouteConfiguration, RouteEndpoint } from "../routes/types.ts";

/** HTTP path of the stream. */
export const FEEDS_PATH = "/feeds";

/** Names of the feeds. */
export enum FeedName {
  Configuration = "configuration",
  Endpoints = "endpoints",
  Gateways = "gateways",
  Quarantined = "quarantined",
}

/** The watch cache of each feed. */
export interface WatchCaches {
  configuration: WatchCache<RouteConfiguration>;
  endpoints: WatchCache<RouteEndpoint>;
  gateways: WatchCache<GatewayMember>;
  quarantined: WatchCache<QuarantinedParts>;
}

/** One line of the stream. */
export type FeedLine =
  | { feed: FeedName; read: FeedResult<unknown> }
  /** Heartbeat: how far the host has read each feed. */
  | FeedPositions;

/** The positions up to which a host has read each feed. */
export interface FeedPositions {
  revisions: Record<FeedName, number>;
  /** As far as they are known. Missing from hosts of an older release. */
  epochs?: Partial<Record<FeedName, number>>;
}

/**
 * The last streamed position of each feed whose whole list is still to be sent:
 * a heartbeat must not claim what the follower has not been sent.
 */
type HeldPositions = Map<FeedName, FeedPosition>;

/** Options of {@linkcode serveFeedStream}. */
export interface FeedStreamOptions {
  caches: WatchCaches;
  /** Whether this host reads the store itself. */
  selfIsReader: () => boolean;
  log: Logger;
  now: () => number;
}

/** Interval between the heartbeat lines of a stream, in milliseconds. */
export const STREAM_HEARTBEAT_INTERVAL_MS = 1_000;

/** Pause before a follower is sent a whole list again. */
const RELIST_PAUSE_MS = 20;

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Whether a request is for the feed stream. */
export function isFeedStreamRequest(request: IncomingMessage): boolean {
  return request.url === FEEDS_PATH;
}

/**
 * Serves one follower until it disconnects or this host stops reading the store.
 * Responds with status 503 if this host does not read the store.
 */
export function serveFeedStream(
  response: ServerResponse,
  options: FeedStreamOptions,
): void {
  if (!options.selfIsReader()) {
    response.writeHead(HTTP_UNAVAILABLE, { "content-length": 0 });
    response.end();
    return;
  }
  response.writeHead(HTTP_OK, { "content-type": "application/x-ndjson" });
  const held: HeldPositions = new Map();
  const heartbeat = setInterval(
    () => writeLine(response, positionsOf(options.caches, held)),
    STREAM_HEARTBEAT_INTERVAL_MS,
  );
  response.once("close", () => clearInterval(heartbeat));
  for (const feed of Object.values(FeedName)) {
    // Without the feed, heartbeats alone would keep its followers waiting.
    streamFeed(feed, response, { ...options, held }).catch((error: Error) => {
      options.log.error({ event: "fault", source: feed, error: error.stack });
      response.destroy();
    });
  }
}

async function streamFeed(
  feed: FeedName,
  response: ServerResponse,
  { caches, selfIsReader, now, held }: FeedStreamOptions & {
    held: HeldPositions;
  },
): Promise<void> {
  const cache: WatchCache<unknown> = caches[feed];
  let position: FeedPosition | undefined;
  while (!response.destroyed && !response.writableEnded) {
    const result = position === undefined
      ? cache.list(START_POSITION, now())
      : cache.changesSince(position, now());
    switch (result.kind) {
      case FeedResultKind.Unavailable:
        return void response.end();
      case FeedResultKind.RevisionTooOld:
        if (position !== undefined) held.set(feed, position);
        position = undefined;
        await delay(RELIST_PAUSE_MS);
        continue;
      default:
        if (
          position === undefined || result.revision > position.revision
        ) {
          const serialised = mapConfigurations(
            feed,
            result,
            serialiseConfiguration,
          );
          writeLine(response, { feed, read: serialised });
        }
        held.delete(feed);
        position = createPosition(result.epoch, result.revision);
    }
    await cache.waitForChanges(position, STREAM_HEARTBEAT_INTERVAL_MS);
    if (!selfIsReader()) return void response.end();
  }
}

function positionsOf(caches: WatchCaches, held: HeldPositions): FeedPositions {
  const of = (feed: FeedName) => held.get(feed) ?? caches[feed].position;
  const configuration = of(FeedName.Configuration);
  const endpoints = of(FeedName.Endpoints);
  const gateways = of(FeedName.Gateways);
  const quarantined = of(FeedName.Quarantined);
  return {
    revisions: {
      configuration: configuration.revision,
      endpoints: endpoints.revision,
      gateways: gateways.revision,
      quarantined: quarantined.revision,
    },
    epochs: {
      configuration: configuration.epoch,
      endpoints: endpoints.epoch,
      gateways: gateways.epoch,
      quarantined: quarantined.epoch,
    },
  };
}

function writeLine(response: ServerResponse, line: FeedLine): void {
  if (response.destroyed || response.writableEnded) return;
  response.write(JSON.stringify(line) + "\n");
}

/** Converts the configurations in a result; other feeds are left unchanged. */
export function mapConfigurations<From, To>(
  feed: FeedName,
  result: FeedResult<unknown>,
  map: (configuration: From) => To,
): FeedResult<unknown> {
  if (feed !== FeedName.Configuration) return result;
  return mapValues(result, (value) => map(value as From));
}

/** Converts the values in a result that are not undefined. */
export function mapValues(
  result: FeedResult<unknown>,
  map: (value: unknown) => unknown,
): FeedResult<unknown> {
  const mapItem = <Item extends FeedItem<unknown>>(item: Item) => ({
    ...item,
    value: item.value === undefined ? undefined : map(item.value),
  });
  switch (result.kind) {
    case FeedResultKind.Listed:
      return { ...result, items: result.items.map(mapItem) };
    case FeedResultKind.Changed:
      return { ...result, changes: result.changes.map(mapItem) };
    default:
      return result;
  }
}

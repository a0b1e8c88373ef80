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
import type { Evacuation } from "../evacuations/types.ts";
import type { GatewayMember } from "../membership/gateway_members.ts";
import type { QuarantinedParts } from "../quarantine/types.ts";
import type { RouteConfiguration, RouteEndpoint } from "../routes/types.ts";

/** HTTP path of the stream. */
export const FEEDS_PATH = "/feeds";
/**
 * Header in which a follower asks for the feeds that hosts of an earlier release
 * don't know, and in which the answer names those that it has.
 */
export const OPTIONAL_FEEDS_HEADER = "x-optional-feeds";

/** Names of the feeds. */
export enum FeedName {
  Configuration = "configuration",
  Endpoints = "endpoints",
  Gateways = "gateways",
  Quarantined = "quarantined",
  /** Read only by hosts that are set to. */
  Evacuations = "evacuations",
}

/** Feeds that a host may lack. */
export type OptionalFeedName = FeedName.Evacuations;

/** The watch cache of each feed. */
export interface WatchCaches {
  configuration: WatchCache<RouteConfiguration>;
  endpoints: WatchCache<RouteEndpoint>;
  gateways: WatchCache<GatewayMember>;
  quarantined: WatchCache<QuarantinedParts>;
  /** Undefined if this host doesn't read evacuations. */
  evacuations?: WatchCache<Evacuation>;
}

/** One line of the stream. */
export type FeedLine =
  | { feed: FeedName; read: FeedResult<unknown> }
  /** Heartbeat: how far the host has read each feed. */
  | FeedPositions;

/** The positions up to which a host has read each feed. */
export interface FeedPositions {
  revisions:
    & Record<Exclude<FeedName, OptionalFeedName>, number>
    & Partial<Record<OptionalFeedName, number>>;
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

/** Interval at which a feed that its host can't read is looked at again. */
const UNAVAILABLE_CHECK_MS = 100;

/** Pause before a follower is sent a whole list again. */
const RELIST_PAUSE_MS = 20;

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Whether a request is for the feed stream. */
export function isFeedStreamRequest(request: IncomingMessage): boolean {
  return request.url === FEEDS_PATH;
}

/** The header with which a follower asks for optional feeds, if it wants any. */
export function encodeOptionalFeeds(
  feeds: readonly FeedName[],
): Record<string, string> {
  return feeds.length === 0 ? {} : { [OPTIONAL_FEEDS_HEADER]: feeds.join(",") };
}

/** The optional feeds that a header of a request or of its answer names. */
export function decodeOptionalFeeds(
  { headers }: Pick<IncomingMessage, "headers">,
): FeedName[] {
  const names = String(headers[OPTIONAL_FEEDS_HEADER] ?? "").split(",");
  return OPTIONAL_FEEDS.filter((feed) => names.includes(feed));
}

const OPTIONAL_FEEDS: readonly FeedName[] = [FeedName.Evacuations];

/** The caches of the feeds that a follower gets. */
function cachesFor(
  { evacuations, ...caches }: WatchCaches,
  asked: readonly FeedName[],
): WatchCaches {
  return evacuations !== undefined && asked.includes(FeedName.Evacuations)
    ? { ...caches, evacuations }
    : caches;
}

/**
 * Serves one follower until it disconnects or this host stops reading the store.
 * Responds with status 503 if this host does not read the store.
 */
export function serveFeedStream(
  response: ServerResponse,
  { caches: all, ...options }: FeedStreamOptions & {
    /** Optional feeds that the follower asks for. */
    optionalFeeds?: readonly FeedName[];
  },
): void {
  if (!options.selfIsReader()) {
    response.writeHead(HTTP_UNAVAILABLE, { "content-length": 0 });
    response.end();
    return;
  }
  const caches = cachesFor(all, options.optionalFeeds ?? []);
  const feeds = Object.values(FeedName).filter((feed) => feed in caches);
  response.writeHead(HTTP_OK, {
    "content-type": "application/x-ndjson",
    ...encodeOptionalFeeds(feeds.filter(isOptional)),
  });
  const held: HeldPositions = new Map();
  const heartbeat = setInterval(
    () => writeLine(response, positionsOf(caches, held)),
    STREAM_HEARTBEAT_INTERVAL_MS,
  );
  response.once("close", () => clearInterval(heartbeat));
  for (const feed of feeds) {
    // Without the feed, heartbeats alone would keep its followers waiting.
    streamFeed(feed, response, { ...options, caches, held }).catch(
      (error: Error) => {
        options.log.error({ event: "fault", source: feed, error: error.stack });
        response.destroy();
      },
    );
  }
}

async function streamFeed(
  feed: FeedName,
  response: ServerResponse,
  { caches, selfIsReader, now, held }: FeedStreamOptions & {
    held: HeldPositions;
  },
): Promise<void> {
  const cache: WatchCache<unknown> | undefined = caches[feed];
  if (cache === undefined) return;
  let position: FeedPosition | undefined;
  while (!response.destroyed && !response.writableEnded) {
    const result = position === undefined
      ? cache.list(START_POSITION, now())
      : cache.changesSince(position, now());
    switch (result.kind) {
      case FeedResultKind.Unavailable:
        if (!isOptional(feed)) return void response.end();
        // The others go on; the follower asks elsewhere for this one.
        writeLine(response, { feed, read: result });
        position = undefined;
        await waitWhileUnavailable(cache, response);
        continue;
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
  const of = (feed: Exclude<FeedName, OptionalFeedName>) =>
    held.get(feed) ?? caches[feed].position;
  const evacuations = caches.evacuations &&
    (held.get(FeedName.Evacuations) ?? caches.evacuations.position);
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
      ...(evacuations && { evacuations: evacuations.revision }),
    },
    epochs: {
      configuration: configuration.epoch,
      endpoints: endpoints.epoch,
      gateways: gateways.epoch,
      quarantined: quarantined.epoch,
      ...(evacuations?.epoch !== undefined &&
        { evacuations: evacuations.epoch }),
    },
  };
}

function isOptional(feed: FeedName): boolean {
  return OPTIONAL_FEEDS.includes(feed);
}

function writeLine(response: ServerResponse, line: FeedLine): void {
  if (response.destroyed || response.writableEnded) return;
  response.write(JSON.stringify(line) + "\n");
}

/** Waits until a feed can be listed again, or its follower has left. */
async function waitWhileUnavailable(
  cache: WatchCache<unknown>,
  response: ServerResponse,
): Promise<void> {
  while (!cache.isAvailable && !response.destroyed) {
    await delay(UNAVAILABLE_CHECK_MS, undefined, { ref: false });
  }
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

/**
 * Tells other hosts what this host reads of the store's feeds: one response
 * that does not end, a JSON line for each reading. Lines come at least once a
 * heartbeat, so that a follower notices a silent host.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { WatchCache } from "../store_sync/watch_cache.ts";
import {
  type FeedItem,
  type FeedResult,
  FeedResultKind,
} from "../store_sync/object_feed.ts";
import { serialiseConfiguration } from "../store_sync/state_snapshot.ts";
import type { GatewayMember } from "../membership/gateway_members.ts";
import type { RouteConfiguration, RouteEndpoint } from "../routes/types.ts";

/** Where a host can be followed. */
export const FEEDS_PATH = "/feeds";

/** Names of the feeds. */
export enum FeedName {
  Configuration = "configuration",
  Endpoints = "endpoints",
  Gateways = "gateways",
}

/** What a host has read of each feed. */
export interface WatchCaches {
  configuration: WatchCache<RouteConfiguration>;
  endpoints: WatchCache<RouteEndpoint>;
  gateways: WatchCache<GatewayMember>;
}

/** One line of the stream. */
export type FeedLine =
  | { feed: FeedName; read: FeedResult<unknown> }
  /** Revisions up to which the host has read; nothing else is new. */
  | { revisions: Record<FeedName, number> };

/** What the stream needs. */
export interface FeedStreamOptions {
  caches: WatchCaches;
  /** Whether this host reads the store itself. */
  selfIsReader: () => boolean;
  now: () => number;
}

/** How often a line comes, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Whether a request asks for the stream. */
export function isFeedStreamRequest(request: IncomingMessage): boolean {
  return request.url === FEEDS_PATH;
}

/** Serves one follower until it leaves, or there is nothing to tell it. */
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
  const heartbeat = setInterval(
    () => writeLine(response, { revisions: revisionsOf(options.caches) }),
    HEARTBEAT_INTERVAL_MS,
  );
  response.once("close", () => clearInterval(heartbeat));
  for (const feed of Object.values(FeedName)) {
    void tellFeed(feed, response, options);
  }
}

async function tellFeed(
  feed: FeedName,
  response: ServerResponse,
  { caches: histories, selfIsReader: reads, now }: FeedStreamOptions,
): Promise<void> {
  const history: WatchCache<unknown> = histories[feed];
  let revision: number | undefined;
  while (!response.destroyed && !response.writableEnded) {
    const read = revision === undefined
      ? history.list(0, now())
      : history.changesSince(revision, now());
    switch (read.kind) {
      case FeedResultKind.Unavailable:
        return void response.end();
      case FeedResultKind.RevisionTooOld:
        revision = undefined;
        continue;
      default:
        if (revision === undefined || read.revision > revision) {
          const told = mapConfigurations(feed, read, serialiseConfiguration);
          writeLine(response, { feed, read: told });
        }
        revision = read.revision;
    }
    await history.waitForChanges(revision, HEARTBEAT_INTERVAL_MS);
    if (!reads()) return void response.end();
  }
}

function revisionsOf(histories: WatchCaches): Record<FeedName, number> {
  return {
    configuration: histories.configuration.revision,
    endpoints: histories.endpoints.revision,
    gateways: histories.gateways.revision,
  };
}

function writeLine(response: ServerResponse, line: FeedLine): void {
  if (response.destroyed || response.writableEnded) return;
  response.write(JSON.stringify(line) + "\n");
}

/** Converts the configurations in a reading; other feeds stay as they are. */
export function mapConfigurations<From, To>(
  feed: FeedName,
  read: FeedResult<unknown>,
  map: (configuration: From) => To,
): FeedResult<unknown> {
  if (feed !== FeedName.Configuration) return read;
  return mapValues(read, (value) => map(value as From));
}

function mapValues(
  read: FeedResult<unknown>,
  map: (value: unknown) => unknown,
): FeedResult<unknown> {
  const mapItem = <Item extends FeedItem<unknown>>(item: Item) => ({
    ...item,
    value: item.value === undefined ? undefined : map(item.value),
  });
  switch (read.kind) {
    case FeedResultKind.Listed:
      return { ...read, items: read.items.map(mapItem) };
    case FeedResultKind.Changed:
      return { ...read, changes: read.changes.map(mapItem) };
    default:
      return read;
  }
}

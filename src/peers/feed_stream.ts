/**
 * Tells other hosts what this host reads of the store's feeds: one response
 * that does not end, a JSON line for each reading. Lines come at least once a
 * heartbeat, so that a follower notices a silent host.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { FeedHistory } from "../beliefs/feed_history.ts";
import {
  type FeedItem,
  type FeedRead,
  FeedReadKind,
} from "../beliefs/object_feed.ts";
import { shareConfiguration } from "../beliefs/shared_beliefs.ts";
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
export interface FeedHistories {
  configuration: FeedHistory<RouteConfiguration>;
  endpoints: FeedHistory<RouteEndpoint>;
  gateways: FeedHistory<GatewayMember>;
}

/** One line of the stream. */
export type FeedLine =
  | { feed: FeedName; read: FeedRead<unknown> }
  /** Revisions up to which the host has read; nothing else is new. */
  | { revisions: Record<FeedName, number> };

/** What the stream needs. */
export interface FeedStreamOptions {
  histories: FeedHistories;
  /** Whether this host reads the store itself. */
  reads: () => boolean;
  now: () => number;
}

/** How often a line comes, in milliseconds. */
export const HEARTBEAT_MS = 1_000;

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Whether a request asks for the stream. */
export function isFeedRequest(request: IncomingMessage): boolean {
  return request.url === FEEDS_PATH;
}

/** Serves one follower until it leaves, or there is nothing to tell it. */
export function serveFeeds(
  response: ServerResponse,
  options: FeedStreamOptions,
): void {
  if (!options.reads()) {
    response.writeHead(HTTP_UNAVAILABLE, { "content-length": 0 });
    response.end();
    return;
  }
  response.writeHead(HTTP_OK, { "content-type": "application/x-ndjson" });
  const heartbeat = setInterval(
    () => writeLine(response, { revisions: revisionsOf(options.histories) }),
    HEARTBEAT_MS,
  );
  response.once("close", () => clearInterval(heartbeat));
  for (const feed of Object.values(FeedName)) {
    void tellFeed(feed, response, options);
  }
}

async function tellFeed(
  feed: FeedName,
  response: ServerResponse,
  { histories, reads, now }: FeedStreamOptions,
): Promise<void> {
  const history: FeedHistory<unknown> = histories[feed];
  let revision: number | undefined;
  while (!response.destroyed && !response.writableEnded) {
    const read = revision === undefined
      ? history.list(0, now())
      : history.since(revision, now());
    switch (read.kind) {
      case FeedReadKind.Unavailable:
        return void response.end();
      case FeedReadKind.HistoryLost:
        revision = undefined;
        continue;
      default:
        if (revision === undefined || read.revision > revision) {
          const told = mapConfigurations(feed, read, shareConfiguration);
          writeLine(response, { feed, read: told });
        }
        revision = read.revision;
    }
    await history.waitForNews(revision, HEARTBEAT_MS);
    if (!reads()) return void response.end();
  }
}

function revisionsOf(histories: FeedHistories): Record<FeedName, number> {
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
  read: FeedRead<unknown>,
  map: (configuration: From) => To,
): FeedRead<unknown> {
  if (feed !== FeedName.Configuration) return read;
  return mapValues(read, (value) => map(value as From));
}

function mapValues(
  read: FeedRead<unknown>,
  map: (value: unknown) => unknown,
): FeedRead<unknown> {
  const mapItem = <Item extends FeedItem<unknown>>(item: Item) => ({
    ...item,
    value: item.value === undefined ? undefined : map(item.value),
  });
  switch (read.kind) {
    case FeedReadKind.Listed:
      return { ...read, items: read.items.map(mapItem) };
    case FeedReadKind.Changed:
      return { ...read, changes: read.changes.map(mapItem) };
    default:
      return read;
  }
}

/** The feeds that gateway hosts follow from one another. */
import type { FeedHistory } from "../beliefs/feed_history.ts";
import {
  type FeedItem,
  type FeedRead,
  FeedReadKind,
} from "../beliefs/object_feed.ts";
import {
  readSharedConfiguration,
  shareConfiguration,
  type SharedConfiguration,
} from "../beliefs/shared_beliefs.ts";
import type { GatewayMember } from "../membership/gateway_members.ts";
import type { RouteConfiguration, RouteEndpoint } from "../routes/types.ts";

/** Names of the feeds. */
export enum FeedName {
  Configuration = "configuration",
  Endpoints = "endpoints",
  Gateways = "gateways",
}

/** How long a host waits for news before it answers, in milliseconds. */
export const PEER_WATCH_MS = 1_000;

/** What a host has read of each feed. */
export interface FeedHistories {
  configuration: FeedHistory<RouteConfiguration>;
  endpoints: FeedHistory<RouteEndpoint>;
  gateways: FeedHistory<GatewayMember>;
}

/** What a follower wants to know. */
export interface FeedQuestion {
  feed: FeedName;
  /** Revision up to which the follower has read. */
  revision: number;
  /** Whether it wants everything, not what changed. */
  whole: boolean;
}

/** Answers a follower; the answer can be carried as JSON. */
export async function answerFollower(
  { feed, revision, whole }: FeedQuestion,
  { histories, reads, now }: {
    histories: FeedHistories;
    /** Whether this host reads the store itself. */
    reads: () => boolean;
    now: () => number;
  },
): Promise<FeedRead<unknown>> {
  const history: FeedHistory<unknown> = histories[feed];
  if (!whole && reads()) await history.waitForNews(revision, PEER_WATCH_MS);
  if (!reads()) {
    return { kind: FeedReadKind.Unavailable, reason: "not a reader" };
  }
  const read = whole
    ? history.list(revision, now())
    : history.since(revision, now());
  return feed === FeedName.Configuration
    ? mapValues(
      read,
      (value) => shareConfiguration(value as RouteConfiguration),
    )
    : read;
}

/** Reads an answer about the configuration. */
export function readConfigurationAnswer(
  read: FeedRead<SharedConfiguration>,
): FeedRead<RouteConfiguration> {
  return mapValues(read, readSharedConfiguration);
}

function mapValues<From, To>(
  read: FeedRead<From>,
  map: (value: From) => To,
): FeedRead<To> {
  const mapItem = <Item extends FeedItem<From>>(item: Item) => ({
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

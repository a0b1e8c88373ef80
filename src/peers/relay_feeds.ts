/** The store's feeds, read from the store or from the hosts that read it. */
import type { Feeds } from "../beliefs/follow_beliefs.ts";
import type { ObjectFeed } from "../beliefs/object_feed.ts";
import { createRelayedFeed } from "../beliefs/relayed_feed.ts";
import type { Logger } from "../logging/logger.ts";
import type { FeedReaders } from "../membership/feed_readers.ts";
import type { FeedMirrors } from "./feed_mirrors.ts";
import { FeedName } from "./feed_stream.ts";

/** What reading from other hosts needs. */
export interface RelayFeedsOptions {
  mirrors: FeedMirrors;
  readers: FeedReaders;
  /** This host's address for peers. */
  self: string;
  log: Logger;
}

/** Creates all feeds over those of the store. */
export function relayFeeds(
  store: Feeds,
  { mirrors, ...options }: RelayFeedsOptions,
): Feeds {
  const relay = <T>(name: FeedName, feed: ObjectFeed<T>) =>
    createRelayedFeed({
      ...options,
      name,
      store: feed,
      peers: mirrors.feed<T>(name),
    });
  return {
    configuration: relay(FeedName.Configuration, store.configuration),
    endpoints: relay(FeedName.Endpoints, store.endpoints),
    gateways: relay(FeedName.Gateways, store.gateways),
  };
}

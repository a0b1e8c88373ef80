/** The store's feeds, read from the store or from the hosts that read it. */
import type { StoreFeeds } from "../store_sync/store_sync.ts";
import type { ObjectFeed } from "../store_sync/object_feed.ts";
import { createRelayedFeed } from "../store_sync/relayed_feed.ts";
import type { Logger } from "../logging/logger.ts";
import type { StoreReaders } from "../membership/store_readers.ts";
import type { FeedStreamClients } from "./feed_stream_client.ts";
import { FeedName } from "./feed_stream.ts";

/** Dependencies of the relayed feeds. */
export interface CreateRelayedFeedsOptions {
  feedClients: FeedStreamClients;
  readers: StoreReaders;
  /** This host's address for peers. */
  self: string;
  log: Logger;
}

/**
 * Longest watches at the store of a host that may have followers. Changes of
 * configuration and endpoints must reach them within two seconds even if the
 * watches of all readers fall silent; members only steer load, and hosts tell each other
 * of quarantined parts.
 */
const MAX_STORE_WATCH_MS: Record<FeedName, number> = {
  [FeedName.Configuration]: 1_500,
  [FeedName.Endpoints]: 1_500,
  [FeedName.Gateways]: 20_000,
  [FeedName.Quarantined]: 20_000,
};

/** Wraps each feed of the store in a relayed feed. */
export function createRelayedFeeds(
  store: StoreFeeds,
  { feedClients, ...options }: CreateRelayedFeedsOptions,
): StoreFeeds {
  const relay = <T>(name: FeedName, feed: ObjectFeed<T>) =>
    createRelayedFeed({
      ...options,
      name,
      max_store_watch_ms: MAX_STORE_WATCH_MS[name],
      store: feed,
      peers: feedClients.feed<T>(name),
    });
  return {
    configuration: relay(FeedName.Configuration, store.configuration),
    endpoints: relay(FeedName.Endpoints, store.endpoints),
    gateways: relay(FeedName.Gateways, store.gateways),
    quarantined: relay(FeedName.Quarantined, store.quarantined),
  };
}

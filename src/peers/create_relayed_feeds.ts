/** The store's feeds, read from the store or from the hosts that read it. */
import type { StoreFeeds } from "../store_sync/store_sync.ts";
import type { ObjectFeed } from "../store_sync/object_feed.ts";
import { createRelayedFeed } from "../store_sync/relayed_feed.ts";
import type { Logger } from "../logging/logger.ts";
import {
  createProbedFeed,
  type StoreProbe,
} from "../store_sync/store_probe.ts";
import type { StoreReaders } from "../membership/store_readers.ts";
import type { FeedStreamClients } from "./feed_stream_client.ts";
import { FeedName } from "./feed_stream.ts";

/** Dependencies of the relayed feeds. */
export interface CreateRelayedFeedsOptions {
  feedClients: FeedStreamClients;
  readers: StoreReaders;
  /** This host's address for peers. */
  self: string;
  /** Probes the store while watches of this host wait there. */
  probe: StoreProbe;
  log: Logger;
}

/**
 * Longest watches at the store of a host that may have followers. Changes of
 * configuration and endpoints have to reach them even if a connection to the
 * store falls silent.
 */
const MAX_STORE_WATCH_MS: Record<FeedName, number> = {
  [FeedName.Configuration]: 4_000,
  [FeedName.Endpoints]: 4_000,
  [FeedName.Gateways]: 20_000,
};

/** Wraps each feed of the store in a relayed feed. */
export function createRelayedFeeds(
  store: StoreFeeds,
  { feedClients, probe, ...options }: CreateRelayedFeedsOptions,
): StoreFeeds {
  const relay = <T>(name: FeedName, feed: ObjectFeed<T>) =>
    createRelayedFeed({
      ...options,
      name,
      max_store_watch_ms: MAX_STORE_WATCH_MS[name],
      store: createProbedFeed(feed, probe),
      peers: feedClients.feed<T>(name),
    });
  return {
    configuration: relay(FeedName.Configuration, store.configuration),
    endpoints: relay(FeedName.Endpoints, store.endpoints),
    gateways: relay(FeedName.Gateways, store.gateways),
  };
}

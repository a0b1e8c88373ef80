/** The store's feeds, read from the store or from the hosts that read it. */
import type { StoreFeeds } from "../store_sync/store_sync.ts";
import type { ObjectFeed } from "../store_sync/object_feed.ts";
import {
  createRelayedFeed,
  type RelayedFeedOptions,
} from "../store_sync/relayed_feed.ts";
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
  /** Time in which the silence of a connection to the store must be made good. */
  silence_ms: number;
  /** Time in which the evacuation of a zone must be in force, if it is read. */
  in_force_ms?: number | undefined;
  /** Whether only the store itself tells which zones are evacuated now. */
  mustListEvacuations?: () => boolean;
  /** Called when a watch of a feed found its connection to the store silent. */
  onSilence: (name: FeedName) => void;
  log: Logger;
}

/**
 * Time from the end of a watch to the list that follows its silence: the time-out
 * of the watch's answer, that of the list, and a pause between the two.
 */
const RECOVERY_FROM_SILENCE_MS = 1_500;
const MIN_STORE_WATCH_MS = 200;
/**
 * Part of the time in which an evacuation must be in force that a silent
 * connection may take; the rest is for the way to followers and for requests.
 */
const SILENCE_SHARE = 0.7;

/**
 * Longest watch of a feed whose changes must be known `silence_ms` after its
 * connection fell silent.
 */
export function maxWatchMs(silence_ms: number): number {
  return Math.max(MIN_STORE_WATCH_MS, silence_ms - RECOVERY_FROM_SILENCE_MS);
}

/** Wraps each feed of the store in a relayed feed. */
export function createRelayedFeeds(
  store: StoreFeeds,
  {
    feedClients,
    silence_ms,
    in_force_ms = Infinity,
    mustListEvacuations,
    onSilence,
    ...options
  }: CreateRelayedFeedsOptions,
): StoreFeeds {
  const watch_ms = maxWatchMs(silence_ms);
  // Members only steer load, and hosts tell each other of quarantined parts.
  const maxStoreWatchMs: Record<FeedName, number> = {
    [FeedName.Configuration]: watch_ms,
    [FeedName.Endpoints]: watch_ms,
    [FeedName.Gateways]: Infinity,
    [FeedName.Quarantined]: Infinity,
    [FeedName.Evacuations]: maxWatchMs(in_force_ms * SILENCE_SHARE),
  };
  const relay = <T>(
    name: FeedName,
    feed: ObjectFeed<T>,
    extra: Partial<RelayedFeedOptions<T>> = {},
  ) =>
    createRelayedFeed({
      ...options,
      ...extra,
      name,
      max_store_watch_ms: maxStoreWatchMs[name],
      onSilence: () => onSilence(name),
      store: feed,
      peers: feedClients.feed<T>(name),
    });
  return {
    configuration: relay(FeedName.Configuration, store.configuration),
    endpoints: relay(FeedName.Endpoints, store.endpoints),
    gateways: relay(FeedName.Gateways, store.gateways),
    quarantined: relay(FeedName.Quarantined, store.quarantined),
    ...(store.evacuations && {
      evacuations: relay(FeedName.Evacuations, store.evacuations, {
        isOptional: true,
        ...(mustListEvacuations && { mustAskStore: mustListEvacuations }),
      }),
    }),
  };
}

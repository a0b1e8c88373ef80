/**
 * Keeps this host's configuration, endpoints and gateway members in sync with
 * the object store, or with peers while the store does not answer.
 */
import type { Logger } from "../logging/logger.ts";
import type { GatewayMembers } from "../membership/gateway_members.ts";
import type { OwnEntry } from "../membership/own_entry.ts";
import type { GatewayClients } from "../peers/gateway_clients.ts";
import type { RouteTable } from "../routes/route_table.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { EvacuationService } from "../evacuations/evacuation_service.ts";
import type { Evacuation } from "../evacuations/types.ts";
import type { ActiveConfiguration } from "./active_configuration.ts";
import { changedEndpoints, logEndpoint } from "./endpoint_changes.ts";
import { ConfigurationCatchUp } from "./configuration_catch_up.ts";
import {
  type EndpointRegistry,
  RETURNED_ENTRY_HOLD_MS,
} from "./endpoint_registry.ts";
import type { StoreReaders } from "../membership/store_readers.ts";
import type { GatewayMember } from "../membership/gateway_members.ts";
import type {
  FeedName,
  OptionalFeedName,
  WatchCaches,
} from "../peers/feed_stream.ts";
import type { QuarantineService } from "../quarantine/quarantine_service.ts";
import type { QuarantinedParts } from "../quarantine/types.ts";
import type { RouteConfiguration, RouteEndpoint } from "../routes/types.ts";
import type { FeedProgress } from "./feed_progress.ts";
import { syncFeed } from "./sync_feed.ts";
import { createMemberListener, KEEP_MISSING_MS } from "./member_listener.ts";
import type { FeedChange, FeedItem, ObjectFeed } from "./object_feed.ts";
import { compareWithPeers, pollPeers } from "./peer_state.ts";

/** The feeds of the object store, read directly or through other hosts. */
export interface StoreFeeds {
  configuration: ObjectFeed<RouteConfiguration>;
  endpoints: ObjectFeed<RouteEndpoint>;
  /** The registered gateway hosts. */
  gateways: ObjectFeed<GatewayMember>;
  quarantined: ObjectFeed<QuarantinedParts>;
  /** Undefined if this host doesn't read evacuations. */
  evacuations?: ObjectFeed<Evacuation>;
}

/** Called when endpoints may have changed, with the changes if they are known. */
export type EndpointListener = (
  changes?: readonly FeedChange<RouteEndpoint>[],
) => void;

/** The local state to update and the sources to update it from. */
export interface StoreSyncOptions {
  feeds: StoreFeeds;
  watchCaches: WatchCaches;
  readers: StoreReaders;
  peers: GatewayClients;
  configuration: ActiveConfiguration;
  endpoints: EndpointRegistry;
  members: GatewayMembers;
  ownEntry: OwnEntry;
  quarantine: QuarantineService;
  /** Undefined if this host doesn't read evacuations. */
  evacuations?: EvacuationService;
  /** Peer addresses, as `ip:port`, to contact before any members are known. */
  seeds: string[];
  configurationListeners: ((table: RouteTable) => void)[];
  endpointListeners: EndpointListener[];
  /** Timeout of one watch, in milliseconds. */
  watch_ms: number;
  progress:
    & Record<Exclude<`${FeedName}`, `${OptionalFeedName}`>, FeedProgress>
    & Partial<Record<`${OptionalFeedName}`, FeedProgress>>;
  log: Logger;
  now: () => number;
  random: () => number;
  signal: AbortSignal;
}

/** Long, because members change seldom and a stale list costs little. */
const MEMBER_WATCH_TIMEOUT_MS = 20_000;
/** Long, because hosts also tell each other of quarantined parts. */
const QUARANTINE_WATCH_TIMEOUT_MS = 20_000;
/**
 * Endpoints often change together. Short beside the time in which a leaving
 * endpoint must stop getting requests.
 */
const ENDPOINT_COALESCE_MS = 250;
/** Many hosts start and stop together, so their changes are coalesced. */
const MEMBER_COALESCE_MS = 1_000;

/** Syncs every feed until the signal aborts. */
export async function runStoreSync(options: StoreSyncOptions): Promise<void> {
  const catchUp = new ConfigurationCatchUp({
    ...options,
    fetchSnapshot: (peer) => options.peers.snapshot(peer),
  });
  const state = {
    configurationUnavailable: false,
    pollingPeers: false,
    catchUp,
  };
  void pollPeers(options, state);
  await Promise.all([
    syncConfiguration(options, state),
    syncEndpoints(options, state),
    syncMembers(options),
    syncQuarantined(options),
    syncEvacuations(options, state),
    compareWithPeers(options, catchUp),
  ]);
}

/** What the feeds and the loop that polls peers tell each other. */
export interface SyncState {
  configurationUnavailable: boolean;
  /** Whether the loop that polls peers is running. */
  pollingPeers: boolean;
  catchUp: ConfigurationCatchUp;
}

function syncConfiguration(
  options: StoreSyncOptions,
  state: SyncState,
): Promise<void> {
  const { feeds, configuration, log } = options;
  const acceptAll = (
    items: FeedItem<Parameters<typeof configuration.applyIfNewer>[0]>[],
  ) => {
    for (const { name, value } of items) {
      if (value !== undefined) configuration.applyIfNewer(value, "store");
      else log.warn({ event: "unreadable", source: "configuration", name });
    }
  };
  return syncFeed(feeds.configuration, {
    onList: acceptAll,
    onChanges: acceptAll,
    onSourceUnavailable() {
      state.configurationUnavailable = true;
      void pollPeers(options, state);
    },
    onSourceAvailable: () => state.configurationUnavailable = false,
    onSourceRestored: () => state.catchUp.restart(),
  }, {
    ...feedOptions("configuration", options),
  });
}

function syncEndpoints(
  options: StoreSyncOptions,
  state: SyncState,
): Promise<void> {
  const { feeds, endpoints, endpointListeners, log, now } = options;
  const notifyListeners: EndpointListener = (changes) => {
    for (const listener of endpointListeners) listener(changes);
  };
  return syncFeed(feeds.endpoints, {
    onList(listed) {
      const items = endpoints.withoutForeign(listed);
      const before = endpoints.all(now());
      endpoints.replaceAll(items, now());
      log.info({ event: "endpoints", count: items.length });
      for (const each of changedEndpoints(before, endpoints.all(now()))) {
        logEndpoint(log, each);
      }
      notifyListeners();
    },
    onChanges(changed) {
      const changes = endpoints.withoutForeign(changed);
      endpoints.applyChanges(changes, now());
      for (const { name, value, deleted } of changes) {
        const state = deleted ? "removed" : value?.state ?? "unreadable";
        logEndpoint(log, { id: name, pool: value?.pool, state });
      }
      notifyListeners(changes);
    },
    onSourceUnavailable() {
      endpoints.dropExpired(now());
      endpoints.markSourceUnavailable();
      void pollPeers(options, state);
    },
    onSourceAvailable: () => endpoints.markSourceAvailable(now()),
    onSourceRestored() {
      endpoints.markSourceRestored(now());
      void abortableDelay(RETURNED_ENTRY_HOLD_MS, options.signal)
        .then(() => notifyListeners());
    },
    onGracePeriod(unsettled_ms) {
      endpoints.dropExpired(now());
      endpoints.extendGracePeriod(now() + unsettled_ms);
    },
  }, {
    ...feedOptions("endpoints", options),
    coalesce_ms: ENDPOINT_COALESCE_MS,
  });
}

function syncMembers(options: StoreSyncOptions): Promise<void> {
  const { feeds, members, readers, log } = options;
  const listener = createMemberListener({
    ...options,
    onChange() {
      readers.hostsChanged();
      log.info({ event: "members", count: members.count });
    },
  });
  const onSourceRestored = () => {
    listener.onSourceRestored();
    void abortableDelay(KEEP_MISSING_MS + 1, options.signal)
      .then(listener.dropMissing);
  };
  return syncFeed(feeds.gateways, { ...listener, onSourceRestored }, {
    ...feedOptions("gateways", options),
    wait_ms: MEMBER_WATCH_TIMEOUT_MS,
    coalesce_ms: MEMBER_COALESCE_MS,
  });
}

function syncQuarantined(options: StoreSyncOptions): Promise<void> {
  const { feeds, quarantine } = options;
  return syncFeed(feeds.quarantined, {
    onList: (items) =>
      quarantine.replaceStored(
        items.map(({ value }) => value).filter((value) => value !== undefined),
      ),
    onChanges: (changes) => quarantine.applyStoredChanges(changes),
    onSourceRestored: () => quarantine.markRestored(),
  }, {
    ...feedOptions("quarantined", options),
    wait_ms: QUARANTINE_WATCH_TIMEOUT_MS,
  });
}

async function syncEvacuations(
  options: StoreSyncOptions,
  state: SyncState,
): Promise<void> {
  const { feeds, evacuations, progress, watchCaches } = options;
  const { evacuations: feedProgress } = progress;
  const { evacuations: cache } = watchCaches;
  if (feeds.evacuations === undefined || evacuations === undefined) return;
  if (feedProgress === undefined || cache === undefined) return;
  await syncFeed(feeds.evacuations, {
    onList: (items) => evacuations.applyList(items, feedProgress.position),
    onChanges: (changes) =>
      evacuations.applyChanges(changes, feedProgress.position),
    onSourceUnavailable() {
      evacuations.markSourceUnavailable();
      void pollPeers(options, state);
    },
    onSourceAvailable: () => evacuations.markSourceAvailable(),
  }, {
    ...sharedFeedOptions("evacuations", options),
    progress: feedProgress,
    cache,
  });
}

function feedOptions<
  Name extends Exclude<`${FeedName}`, `${OptionalFeedName}`>,
>(
  name: Name,
  options: StoreSyncOptions,
) {
  return {
    ...sharedFeedOptions(name, options),
    progress: options.progress[name],
    cache: options.watchCaches[name],
  };
}

/** The options of a feed that hold for all of them. */
function sharedFeedOptions(
  name: `${FeedName}`,
  { watch_ms, progress, log, now, random, signal }: StoreSyncOptions,
) {
  return {
    name,
    wait_ms: watch_ms,
    coalesce_ms: 0,
    onEpoch: (epoch: number) => listAllAgain(progress, epoch),
    log,
    now,
    random,
    signal,
  };
}

/** Makes every feed that is still in an older epoch list again. */
function listAllAgain(
  progress: StoreSyncOptions["progress"],
  epoch: number,
): void {
  for (const feed of Object.values(progress)) {
    feed.abortStaleWatch({ epoch, revision: 0 });
  }
}

/**
 * Keeps this host's beliefs fresh: from the object store, and from peers while
 * the store does not answer.
 */
import type { Logger } from "../logging/logger.ts";
import type { GatewayMembers } from "../membership/gateway_members.ts";
import type { GatewayClients } from "../peers/gateway_clients.ts";
import type { RouteTable } from "../routes/route_table.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { ActiveConfiguration } from "./active_configuration.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { StoreReaders } from "../membership/store_readers.ts";
import type { GatewayMember } from "../membership/gateway_members.ts";
import type { FeedName, WatchCaches } from "../peers/feed_stream.ts";
import type { RouteConfiguration, RouteEndpoint } from "../routes/types.ts";
import { FeedProgress, syncFeed } from "./sync_feed.ts";
import type { FeedItem, ObjectFeed } from "./object_feed.ts";
import { deserialiseConfiguration } from "./state_snapshot.ts";

/** The feeds, wherever they are read from. */
export interface StoreFeeds {
  configuration: ObjectFeed<RouteConfiguration>;
  endpoints: ObjectFeed<RouteEndpoint>;
  gateways: ObjectFeed<GatewayMember>;
}

/** Beliefs and where they come from. */
export interface StoreSyncOptions {
  feeds: StoreFeeds;
  watchCaches: WatchCaches;
  readers: StoreReaders;
  peers: GatewayClients;
  configuration: ActiveConfiguration;
  endpoints: EndpointRegistry;
  members: GatewayMembers;
  /** Hosts to ask before any others are known. */
  seeds: string[];
  configurationListeners: ((table: RouteTable) => void)[];
  endpointListeners: (() => void)[];
  /** How long one watch waits, in milliseconds. */
  watch_ms: number;
  progress: { configuration: FeedProgress; endpoints: FeedProgress };
  log: Logger;
  now: () => number;
  random: () => number;
  signal: AbortSignal;
}

/** How often a peer is asked how far it has read. */
const COMPARE_MS = 1_000;
/** How often a host that follows others looks whether it still does. */
const FOLLOWER_LOOK_MS = 5_000;
/** How often a peer is asked what it believes while the store is silent. */
const PEER_POLL_MS = 400;
/** Gateway hosts change seldom, and a stale list costs little. */
const MEMBER_WATCH_MS = 20_000;
/** Hosts start and stop many at a time. */
const MEMBER_GATHER_MS = 1_000;

/** Follows every source until the process stops. */
export async function runStoreSync(sources: StoreSyncOptions): Promise<void> {
  const state = { configurationLost: false, asking: false };
  void askPeers(sources, state);
  await Promise.all([
    followConfiguration(sources, state),
    followEndpoints(sources, state),
    followMembers(sources),
    compareWithPeers(sources),
  ]);
}

interface SourceState {
  configurationLost: boolean;
  /** Whether peers are being asked. */
  asking: boolean;
}

function followConfiguration(
  sources: StoreSyncOptions,
  state: SourceState,
): Promise<void> {
  const { feeds, configuration, log } = sources;
  const take = (
    items: FeedItem<Parameters<typeof configuration.accept>[0]>[],
  ) => {
    for (const { name, value } of items) {
      if (value !== undefined) configuration.accept(value, "store");
      else log.warn({ event: "unreadable", source: "configuration", name });
    }
  };
  return syncFeed(feeds.configuration, {
    onList: take,
    onChanges: take,
    onSourceUnavailable() {
      state.configurationLost = true;
      void askPeers(sources, state);
    },
    onSourceAvailable: () => state.configurationLost = false,
  }, {
    ...optionsFor("configuration", sources),
    progress: sources.progress.configuration,
  });
}

function followEndpoints(
  sources: StoreSyncOptions,
  state: SourceState,
): Promise<void> {
  const { feeds, endpoints, endpointListeners: onEndpoints, log, now } =
    sources;
  const changed = () => {
    for (const each of onEndpoints) each();
  };
  return syncFeed(feeds.endpoints, {
    onList(items) {
      endpoints.replaceAll(items, now());
      log.info({ event: "endpoints", count: items.length });
      changed();
    },
    onChanges(changes) {
      endpoints.applyChanges(changes, now());
      for (const { name, value, deleted } of changes) {
        log.info({
          event: "endpoint",
          endpoint: name,
          pool: value?.pool,
          state: deleted ? "removed" : value?.state ?? "unreadable",
        });
      }
      changed();
    },
    onSourceUnavailable() {
      endpoints.markSourceUnavailable();
      void askPeers(sources, state);
    },
    onSourceAvailable: () => endpoints.markSourceAvailable(now()),
    onGracePeriod: (unsettled_ms) =>
      endpoints.extendGracePeriod(now() + unsettled_ms),
  }, {
    ...optionsFor("endpoints", sources),
    progress: sources.progress.endpoints,
  });
}

function followMembers(sources: StoreSyncOptions): Promise<void> {
  const { feeds, members, log } = sources;
  const tell = () => log.info({ event: "members", count: members.count });
  return syncFeed(feeds.gateways, {
    onList(items) {
      members.replaceAll(items);
      tell();
    },
    onChanges(changes) {
      members.applyChanges(changes);
      tell();
    },
  }, {
    ...optionsFor("gateways", sources),
    wait_ms: MEMBER_WATCH_MS,
    coalesce_ms: MEMBER_GATHER_MS,
  });
}

function optionsFor<Name extends `${FeedName}`>(
  name: Name,
  { watch_ms, watchCaches, log, now, random, signal }: StoreSyncOptions,
) {
  return {
    name,
    wait_ms: watch_ms,
    coalesce_ms: 0,
    progress: new FeedProgress(),
    cache: watchCaches[name],
    log,
    now,
    random,
    signal,
  };
}

/** Asks peers at random for as long as a source does not answer. */
async function askPeers(
  sources: StoreSyncOptions,
  state: SourceState,
): Promise<void> {
  const { configuration, endpoints, signal } = sources;
  if (state.asking) return;
  state.asking = true;
  const needed = () =>
    state.configurationLost || !endpoints.sourceAvailable ||
    configuration.routeTable === undefined;
  while (needed()) {
    await abortableDelay(PEER_POLL_MS, signal);
    if (signal.aborted) return;
    if (needed()) await askOnePeer(sources);
  }
  state.asking = false;
}

/** Finds out from a peer at random that a watch of this host is silent. */
async function compareWithPeers(sources: StoreSyncOptions): Promise<void> {
  const { progress, peers, readers, log, random, signal } = sources;
  while (!signal.aborted) {
    const every_ms = readers.selfIsReader ? COMPARE_MS : FOLLOWER_LOOK_MS;
    await abortableDelay(every_ms * (0.5 + random()), signal);
    if (!readers.selfIsReader) continue;
    const peer = anyPeer(sources);
    if (peer === undefined || signal.aborted) continue;
    try {
      const theirs = await peers.changeRevisions(peer);
      progress.configuration.abortStaleWatch(theirs.configuration);
      progress.endpoints.abortStaleWatch(theirs.endpoints);
    } catch (error) {
      log.debug({
        event: "peer_silent",
        peer,
        error: (error as Error).message,
      });
    }
  }
}

function anyPeer(
  { members, seeds, random }: StoreSyncOptions,
): string | undefined {
  const others = members.otherAddresses();
  const known = others.length > 0 ? others : seeds;
  return known[Math.floor(random() * known.length)];
}

async function askOnePeer(sources: StoreSyncOptions): Promise<void> {
  const { peers, configuration, endpoints } = sources;
  const peer = anyPeer(sources);
  if (peer === undefined) return;
  try {
    const shared = await peers.snapshot(peer);
    if (shared.configuration !== undefined) {
      const read = deserialiseConfiguration(shared.configuration);
      configuration.accept(read, peer);
    }
    const better = shared.endpoints_fresh || endpoints.isEmpty;
    if (endpoints.sourceAvailable || !better) return;
    const items = shared.endpoints.map((endpoint) => ({
      name: endpoint.id,
      value: endpoint,
    }));
    endpoints.replaceFromPeer(items);
    for (const each of sources.endpointListeners) each();
  } catch (error) {
    const { message } = error as Error;
    sources.log.info({ event: "peer_silent", peer, error: message });
  }
}

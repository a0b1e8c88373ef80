/**
 * Keeps this host's beliefs fresh: from the object store, and from peers while
 * the store does not answer.
 */
import type { Logger } from "../logging/logger.ts";
import type { GatewayMembers } from "../membership/gateway_members.ts";
import type { GatewayClients } from "../peers/gateway_clients.ts";
import type { RouteTable } from "../routes/route_table.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { ConfigurationBelief } from "./configuration_belief.ts";
import type { EndpointBelief } from "./endpoint_belief.ts";
import type { FeedReaders } from "../membership/feed_readers.ts";
import type { GatewayMember } from "../membership/gateway_members.ts";
import type { FeedHistories, FeedName } from "../peers/feed_stream.ts";
import type { RouteConfiguration, RouteEndpoint } from "../routes/types.ts";
import { FeedProgress, followFeed } from "./follow_feed.ts";
import type { FeedItem, ObjectFeed } from "./object_feed.ts";
import { readSharedConfiguration } from "./shared_beliefs.ts";

/** The feeds, wherever they are read from. */
export interface Feeds {
  configuration: ObjectFeed<RouteConfiguration>;
  endpoints: ObjectFeed<RouteEndpoint>;
  gateways: ObjectFeed<GatewayMember>;
}

/** Beliefs and where they come from. */
export interface Sources {
  feeds: Feeds;
  histories: FeedHistories;
  readers: FeedReaders;
  peers: GatewayClients;
  configuration: ConfigurationBelief;
  endpoints: EndpointBelief;
  members: GatewayMembers;
  /** Hosts to ask before any others are known. */
  seeds: string[];
  onConfigured: ((table: RouteTable) => void)[];
  onEndpoints: (() => void)[];
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
export async function followBeliefs(sources: Sources): Promise<void> {
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
  sources: Sources,
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
  return followFeed(feeds.configuration, {
    onList: take,
    onChanges: take,
    onLost() {
      state.configurationLost = true;
      void askPeers(sources, state);
    },
    onBack: () => state.configurationLost = false,
  }, {
    ...optionsFor("configuration", sources),
    progress: sources.progress.configuration,
  });
}

function followEndpoints(
  sources: Sources,
  state: SourceState,
): Promise<void> {
  const { feeds, endpoints, onEndpoints, log, now } = sources;
  const changed = () => {
    for (const each of onEndpoints) each();
  };
  return followFeed(feeds.endpoints, {
    onList(items) {
      endpoints.replaceAll(items, now());
      log.info({ event: "endpoints", count: items.length });
      changed();
    },
    onChanges(changes) {
      endpoints.apply(changes, now());
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
    onLost() {
      endpoints.sourceLost();
      void askPeers(sources, state);
    },
    onBack: () => endpoints.sourceBack(now()),
    onUnsettled: (unsettled_ms) => endpoints.unsettled(now() + unsettled_ms),
  }, {
    ...optionsFor("endpoints", sources),
    progress: sources.progress.endpoints,
  });
}

function followMembers(sources: Sources): Promise<void> {
  const { feeds, members, log } = sources;
  const tell = () => log.info({ event: "members", count: members.count });
  return followFeed(feeds.gateways, {
    onList(items) {
      members.replaceAll(items);
      tell();
    },
    onChanges(changes) {
      members.apply(changes);
      tell();
    },
  }, {
    ...optionsFor("gateways", sources),
    wait_ms: MEMBER_WATCH_MS,
    gather_ms: MEMBER_GATHER_MS,
  });
}

function optionsFor<Name extends `${FeedName}`>(
  name: Name,
  { watch_ms, histories, log, now, random, signal }: Sources,
) {
  return {
    name,
    wait_ms: watch_ms,
    gather_ms: 0,
    progress: new FeedProgress(),
    history: histories[name],
    log,
    now,
    random,
    signal,
  };
}

/** Asks peers at random for as long as a source does not answer. */
async function askPeers(sources: Sources, state: SourceState): Promise<void> {
  const { configuration, endpoints, signal } = sources;
  if (state.asking) return;
  state.asking = true;
  const needed = () =>
    state.configurationLost || !endpoints.sourceIsWell ||
    configuration.table === undefined;
  while (needed()) {
    await abortableDelay(PEER_POLL_MS, signal);
    if (signal.aborted) return;
    if (needed()) await askOnePeer(sources);
  }
  state.asking = false;
}

/** Finds out from a peer at random that a watch of this host is silent. */
async function compareWithPeers(sources: Sources): Promise<void> {
  const { progress, peers, readers, log, random, signal } = sources;
  while (!signal.aborted) {
    const every_ms = readers.selfReads ? COMPARE_MS : FOLLOWER_LOOK_MS;
    await abortableDelay(every_ms * (0.5 + random()), signal);
    if (!readers.selfReads) continue;
    const peer = anyPeer(sources);
    if (peer === undefined || signal.aborted) continue;
    try {
      const theirs = await peers.progress(peer);
      progress.configuration.compare(theirs.configuration);
      progress.endpoints.compare(theirs.endpoints);
    } catch (error) {
      log.debug({
        event: "peer_silent",
        peer,
        error: (error as Error).message,
      });
    }
  }
}

function anyPeer({ members, seeds, random }: Sources): string | undefined {
  const others = members.others();
  const known = others.length > 0 ? others : seeds;
  return known[Math.floor(random() * known.length)];
}

async function askOnePeer(sources: Sources): Promise<void> {
  const { peers, configuration, endpoints } = sources;
  const peer = anyPeer(sources);
  if (peer === undefined) return;
  try {
    const shared = await peers.beliefs(peer);
    if (shared.configuration !== undefined) {
      const read = readSharedConfiguration(shared.configuration);
      configuration.accept(read, peer);
    }
    const better = shared.endpoints_fresh || endpoints.empty;
    if (endpoints.sourceIsWell || !better) return;
    const items = shared.endpoints.map((endpoint) => ({
      name: endpoint.id,
      value: endpoint,
    }));
    endpoints.replaceFromPeer(items);
    for (const each of sources.onEndpoints) each();
  } catch (error) {
    const { message } = error as Error;
    sources.log.info({ event: "peer_silent", peer, error: message });
  }
}

/** The components of a gateway host that most others need. */
import {
  BODY_MEMORY_SHARE,
  BodyKind,
  BodyMemory,
} from "../bodies/body_memory.ts";
import { ChunkPacer } from "../bodies/chunk_pacer.ts";
import type { BodyLimits } from "../bodies/read_bytes.ts";
import { ActiveConfiguration } from "../store_sync/active_configuration.ts";
import { EndpointRegistry } from "../store_sync/endpoint_registry.ts";
import { FeedProgress } from "../store_sync/feed_progress.ts";
import { WatchCache } from "../store_sync/watch_cache.ts";
import type { StoreFeeds, StoreSyncOptions } from "../store_sync/store_sync.ts";
import { EndpointPlaces } from "../endpoint_places/endpoint_places.ts";
import { EndpointReports } from "../endpoint_reports/endpoint_reports.ts";
import { EndpointAgents } from "../endpoints/endpoint_agents.ts";
import type { GatewayAdapter, GatewayStore } from "../forwarding/adapter.ts";
import { DrainWindow } from "../lifecycle/drain_window.ts";
import {
  HostLifecycle,
  HostLifecycleEvent,
} from "../lifecycle/host_lifecycle.ts";
import {
  createLogger,
  LineRateLimiter,
  type WriteLine,
} from "../logging/logger.ts";
import { StoreReaders } from "../membership/store_readers.ts";
import { GatewayMembers } from "../membership/gateway_members.ts";
import { OwnEntry } from "../membership/own_entry.ts";
import { checkListener, ListenerCheck } from "../quarantine/probe_endpoint.ts";
import { createRefusalCheck } from "../quarantine/refusal_check.ts";
import { QuarantineService } from "../quarantine/quarantine_service.ts";
import { ForwardMetrics } from "../metrics/forward_metrics.ts";
import { GatewayClients } from "../peers/gateway_clients.ts";
import { FeedName } from "../peers/feed_stream.ts";
import { FeedStreamClients } from "../peers/feed_stream_client.ts";
import { createRelayedFeeds } from "../peers/create_relayed_feeds.ts";
import { RateLimitService } from "../rate_limits/rate_limit_service.ts";
import { ObservedLoad } from "../routing/observed_load.ts";
import { PoolRetryBudgets } from "../routing/repeat_budget.ts";
import type { GatewaySettings } from "../settings/gateway_settings.ts";
import { formatAddress } from "../settings/settings.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { Evacuation } from "../evacuations/types.ts";
import { createRampOptions } from "./ramp_components.ts";
import { createColdComponents } from "./cold_components.ts";
import { createEvacuations } from "./evacuation_components.ts";
import { createReachability } from "./reachability_components.ts";
import { createStreamOrigins } from "./stream_origin_components.ts";

/** External dependencies of a gateway host. */
export interface GatewayHostEnvironment {
  adapter: GatewayAdapter;
  /** Monotonic clock, in milliseconds. */
  now: () => number;
  random: () => number;
  writeLine: WriteLine;
  /**
   * Address at which this host connects to an endpoint, where that isn't the one
   * that the endpoint announces.
   */
  translateAddress?: (address: string) => string;
}

/** The components that the others of a gateway host are built from. */
export type HostContext = ReturnType<typeof createHostContext>;

/** Creates them; nothing runs yet. */
export function createHostContext(
  settings: GatewaySettings,
  environment: GatewayHostEnvironment,
) {
  const { adapter, now, random, writeLine, translateAddress } = environment;
  const { host, listen } = settings;
  const self = formatAddress(listen.peers);
  const member = {
    address: self,
    availability_zone: host.availability_zone,
    cores: host.cores,
    started_ms: Date.now(),
  };
  const stopping = new AbortController();
  const log = createLogger({
    level: settings.log.level,
    host: host.name,
    writeLine,
    rateLimiter: new LineRateLimiter(settings.log.lines_per_s, now),
  });
  const lifecycle = new HostLifecycle((state) =>
    log.info({ event: "lifecycle", state })
  );
  const metrics = new ForwardMetrics(() => quarantine.entries.all().length);
  const configurationListeners: StoreSyncOptions["configurationListeners"] = [];
  const endpointListeners: StoreSyncOptions["endpointListeners"] = [];
  const configuration = new ActiveConfiguration((table, source) => {
    const { version } = table.configuration;
    log.info({ event: "configuration", version, source });
    metrics.configurationVersion.set(version);
    for (const listener of configurationListeners) listener(table);
    lifecycle.handle(HostLifecycleEvent.Configured);
  });
  const evacuationListeners: (() => void)[] = [];
  const evacuations = createEvacuations({
    bound: settings.evacuations,
    endpoints: () => endpoints,
    onChange() {
      for (const listener of evacuationListeners) listener();
    },
    // Called before the zone's endpoints are used again.
    onEnded: (zone) => cold?.coldEndpoints.presume(zone, now()),
    onDoubt: () => syncOptions.progress.evacuations?.doubtConnection(),
    log,
    now,
  });
  const endpoints: EndpointRegistry = new EndpointRegistry(
    evacuations && { zones: evacuations.zones, host: host.name },
  );
  endpointListeners.push(() => evacuations?.endpointsChanged());
  const members = new GatewayMembers(member);
  const peers = new GatewayClients();
  const store: GatewayStore = adapter.openStore(
    settings.object_store.address,
    (call) => metrics.storeCalls.inc({ ...call }),
  );
  const signal = stopping.signal;
  const ownEntry = new OwnEntry({
    name: host.name,
    member,
    announce: store.announce,
    withdraw: store.withdraw,
    hostCount: () => members.count,
    log,
    random,
    delay: abortableDelay,
    signal,
  });
  const checkEndpoint = (address: string) => {
    const endpoint = endpoints.findByAddress(address);
    // A way that swallows bytes may accept connections all the same.
    return endpoint !== undefined && reachability.routes.isOutOfReach(endpoint)
      ? Promise.resolve(ListenerCheck.Unknown)
      : checkListener(translateAddress?.(address) ?? address);
  };
  const quarantine = new QuarantineService({
    self,
    hosts: () => members.addresses(),
    peers,
    store,
    isRefused: createRefusalCheck({
      self,
      hosts: () => members.addresses(),
      carrierFor(address) {
        const endpoint = endpoints.findByAddress(address);
        return endpoint === undefined
          ? undefined
          : reachability.routes.carrierFor(endpoint, { avoid: new Set() });
      },
      checkHere: checkEndpoint,
      checkAt: (host, address) => peers.checkListener(host, address),
      random,
    }),
    isOverloaded: (endpoint) => places.hasRejectedLately(endpoint),
    onCrash: () => metrics.endpointCrashes.inc(),
    log,
    now,
    random,
    signal,
  });
  const load = new ObservedLoad();
  const cold = createColdComponents({
    bound: settings.cold_endpoints,
    // Requests that wait for a connection have no permits.
    onCold: (address) => agents.failQueued(address),
    member,
    members,
    configuration,
    endpoints,
    peers,
    metrics,
    log,
    now,
    signal,
  });
  if (cold !== undefined) {
    // First, as the others may send to endpoints.
    endpointListeners.unshift(cold.observeEndpoints);
  }
  const rateLimits = new RateLimitService({
    self,
    hosts: () => members.addresses(),
    peers,
    cold: cold?.coldSends,
    log,
    now,
  });
  const places = new EndpointPlaces({
    self,
    hosts: () => members.addresses(),
    peers,
    ramps: settings.ramp_up.enabled
      ? createRampOptions({
        configuration,
        endpoints,
        load,
        peers,
        metrics,
        reportRamp: (endpoint, reason) => reports.reportRamp(endpoint, reason),
        now,
        random,
      })
      : undefined,
    log,
    now,
    signal,
  });
  metrics.exportRamps(places);
  endpointListeners.push((changes) =>
    places.observeEndpoints(
      changes?.map(({ value }) => value).filter((each) => each !== undefined),
    )
  );
  const createLimits = (kind: BodyKind): BodyLimits => ({
    memory: new BodyMemory({
      kind,
      max_bytes: host.memory_bytes * BODY_MEMORY_SHARE,
      onDrop: () => metrics.bodiesDropped.inc({ kind }),
      log,
    }),
    pacer: new ChunkPacer(),
  });
  const requestLimits = createLimits(BodyKind.Request);
  const responseLimits = createLimits(BodyKind.Response);
  const agents = new EndpointAgents(() => members.count, translateAddress);
  const reachability = createReachability({
    zone: host.availability_zone,
    codec: adapter.codec,
    translateAddress,
    members,
    endpoints,
    evacuations,
    peers,
    load,
    metrics,
    rateLimits,
    log,
    now,
    random,
    signal,
  });
  const reports = new EndpointReports({
    self,
    hosts: () => members.addresses(),
    peers,
    load,
    rateLimits,
    places,
    endpoints,
    coldEndpoints: cold?.coldEndpoints,
    onPause(address) {
      metrics.endpointPauses.inc();
      agents.failQueued(address);
    },
    onLeaving(address, source) {
      metrics.leavingEndpoints.inc({ source });
      agents.failQueued(address);
      for (const listener of endpointListeners) listener();
    },
    log,
    now,
    signal,
  });
  const feedClients = new FeedStreamClients({
    optionalFeeds: evacuations === undefined ? [] : [FeedName.Evacuations],
    log,
    now,
  });
  const readers = new StoreReaders({
    self,
    hosts: () => members.addresses(),
    cores: () => members.cores(),
    readerCount: settings.object_store.readers,
    now,
  });
  const feeds = createRelayedFeeds(feedsOf(store, settings), {
    feedClients,
    readers,
    self,
    silence_ms: settings.object_store.silence_ms,
    in_force_ms: settings.evacuations?.in_force_ms,
    mustListEvacuations: () => evacuations?.mustAskStore === true,
    onSilence(silent) {
      for (const feed of Object.values(FeedName)) {
        if (feed !== silent) syncOptions.progress[feed]?.doubtConnection();
      }
    },
    log,
  });
  const syncOptions: StoreSyncOptions = {
    feeds: {
      ...feeds,
      gateways: cold?.confirmHosts(feeds.gateways, readers) ?? feeds.gateways,
    },
    watchCaches: {
      configuration: new WatchCache(),
      endpoints: new WatchCache(),
      gateways: new WatchCache(),
      quarantined: new WatchCache(),
      ...(evacuations && { evacuations: new WatchCache<Evacuation>() }),
    },
    readers,
    peers,
    configuration,
    endpoints,
    members,
    ownEntry,
    quarantine,
    ...(evacuations && { evacuations }),
    seeds: settings.seeds.filter((seed) => seed !== self),
    configurationListeners,
    endpointListeners,
    watch_ms: settings.object_store.watch_ms,
    progress: {
      configuration: new FeedProgress(),
      endpoints: new FeedProgress(),
      gateways: new FeedProgress(),
      quarantined: new FeedProgress(),
      ...(evacuations && { evacuations: new FeedProgress() }),
    },
    log,
    now,
    random,
    signal,
  };
  const streamOrigins = createStreamOrigins({
    host: host.name,
    self,
    store,
    configuration,
    endpoints,
    members,
    peers,
    readers,
    position: () => syncOptions.progress.endpoints.position,
    log,
    now,
    random,
    signal,
  });
  endpointListeners.push(streamOrigins.observeEndpoints);
  metrics.exportHeldBodies({
    [BodyKind.Request]: requestLimits.memory,
    [BodyKind.Response]: responseLimits.memory,
  });
  metrics.exportFeedPositions(() => syncOptions.progress);
  return {
    settings: { ...settings },
    adapter,
    self,
    stopping,
    drain: new DrainWindow(now),
    signal,
    log,
    lifecycle,
    metrics,
    configuration,
    endpoints,
    members,
    ownEntry,
    peers,
    feedClients,
    store,
    quarantine,
    rateLimits,
    cold,
    places,
    load,
    requestLimits,
    responseLimits,
    reports,
    ...reachability,
    checkEndpoint,
    ...streamOrigins,
    syncOptions,
    configurationListeners,
    endpointListeners,
    evacuations,
    /** Called when the endpoints that may be used have changed with a zone. */
    evacuationListeners,
    agents,
    retryBudget: new PoolRetryBudgets(settings.repeats, () => members.count),
    now,
    random,
  };
}

/** The feeds that a host reads; without the setting, no evacuations. */
function feedsOf(
  { configuration, endpoints, gateways, quarantined, evacuations }:
    GatewayStore,
  settings: GatewaySettings,
): StoreFeeds {
  return {
    configuration,
    endpoints,
    gateways,
    quarantined,
    ...(settings.evacuations && { evacuations }),
  };
}

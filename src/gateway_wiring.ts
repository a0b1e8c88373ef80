/** Creates the components of a gateway host and connects them. */
import type { Server } from "node:http";
import { Batcher } from "./batching/batcher.ts";
import { JobRouter } from "./batching/job_router.ts";
import { listShards } from "./batching/pool_shards.ts";
import { PoolWaits } from "./batching/pool_waits.ts";
import { estimateStageTime } from "./batching/expected_wait.ts";
import { createCrashRecorder } from "./batching/crash_recorder.ts";
import { createPieceClient } from "./batching/piece_client.ts";
import { ActiveConfiguration } from "./store_sync/active_configuration.ts";
import { EndpointRegistry } from "./store_sync/endpoint_registry.ts";
import { FeedProgress } from "./store_sync/feed_progress.ts";
import { WatchCache } from "./store_sync/watch_cache.ts";
import {
  runStoreSync,
  type StoreSyncOptions,
} from "./store_sync/store_sync.ts";
import {
  createChangeRevisions,
  createStateSnapshot,
} from "./store_sync/state_snapshot.ts";
import { type CheckResult, formatFindings } from "./findings/finding.ts";
import { EndpointReports } from "./endpoint_reports/endpoint_reports.ts";
import { EndpointAgents } from "./endpoints/endpoint_agents.ts";
import type { GatewayAdapter, GatewayStore } from "./forwarding/adapter.ts";
import {
  createReadinessServer,
  GatewayServer,
} from "./forwarding/gateway_server.ts";
import type { ForwardingDependencies } from "./forwarding/dependencies.ts";
import { DrainWindow } from "./lifecycle/drain_window.ts";
import { drainGateway } from "./lifecycle/drain_gateway.ts";
import {
  HostLifecycle,
  HostLifecycleEvent,
  HostLifecycleState,
} from "./lifecycle/host_lifecycle.ts";
import {
  createLogger,
  LineRateLimiter,
  type Logger,
  type WriteLine,
} from "./logging/logger.ts";
import { StoreReaders } from "./membership/store_readers.ts";
import { GatewayMembers } from "./membership/gateway_members.ts";
import { OwnEntry } from "./membership/own_entry.ts";
import { isConnectionRefused } from "./quarantine/probe_endpoint.ts";
import { QuarantineService } from "./quarantine/quarantine_service.ts";
import { ForwardMetrics } from "./metrics/forward_metrics.ts";
import { measureLoopLag } from "./metrics/loop_lag.ts";
import { createMetricsServer } from "./metrics/metrics_server.ts";
import { GatewayClients } from "./peers/gateway_clients.ts";
import { createGatewayPeerServer } from "./peers/gateway_peer_server.ts";
import { FeedStreamClients } from "./peers/feed_stream_client.ts";
import { createRelayedFeeds } from "./peers/create_relayed_feeds.ts";
import type { RoutePool } from "./routes/types.ts";
import { RateLimitService } from "./rate_limits/rate_limit_service.ts";
import { ObservedLoad } from "./routing/observed_load.ts";
import { ServiceTimes } from "./routing/service_times.ts";
import { PoolRetryBudgets } from "./routing/repeat_budget.ts";
import type { GatewaySettings } from "./settings/gateway_settings.ts";
import { type Address, formatAddress } from "./settings/settings.ts";
import { abortableDelay } from "./utils/delay.ts";

/** External dependencies of a gateway host. */
export interface GatewayHostEnvironment {
  adapter: GatewayAdapter;
  /** Monotonic clock, in milliseconds. */
  now: () => number;
  random: () => number;
  writeLine: WriteLine;
}

/** A running gateway host. */
export interface GatewayHost {
  log: Logger;
  start(): Promise<void>;
  /** Finishes running requests, then stops. */
  drain(): void;
  /** Stops immediately. */
  stop(): void;
  /**
   * Applies the reloaded settings that can change while the host runs; logs the
   * findings and changes nothing if the settings are invalid.
   */
  reload(checked: CheckResult<GatewaySettings>): void;
  /** Resolves when the host has stopped. */
  stopped: Promise<void>;
}

/** Creates a gateway host; it serves once started. */
export function createGatewayHost(
  settings: GatewaySettings,
  environment: GatewayHostEnvironment,
): GatewayHost {
  const context = createHostContext(settings, environment);
  const batching = createBatching(context);
  const gatewayServer = new GatewayServer(
    createForwardingDependencies(context, batching),
  );
  context.configurationListeners.push((table) =>
    gatewayServer.applyLimits(table.configuration.limits)
  );
  const { endpoints, agents, now } = context;
  context.endpointListeners.push(
    () => agents.failQueuedExcept(endpoints.readyAddresses(now())),
    () => batching.batcher.endpointsChanged(),
  );
  const servers = createServers(context, batching);
  const { promise: stopped, resolve } = Promise.withResolvers<void>();

  function stop(): void {
    context.lifecycle.handle(HostLifecycleEvent.Stop);
    context.stopping.abort();
    gatewayServer.close();
    for (const [server] of servers) {
      server.close();
      server.closeAllConnections();
    }
    context.agents.close();
    context.peers.close();
    context.feedClients.close();
    context.store.close();
    resolve();
  }

  function drain(): void {
    if (!context.lifecycle.handle(HostLifecycleEvent.Drain)) return;
    batching.batcher.drain();
    void drainGateway({
      lifecycle: context.lifecycle,
      server: gatewayServer,
      runningJobs: () => batching.batcher.activeJobs,
      window: context.drain,
      withdrawEntry: () => context.ownEntry.withdraw(),
      timeout_ms: context.settings.drain.timeout_ms,
      log: context.log,
      now: context.now,
      signal: context.signal,
    }).then(stop);
  }

  function reload(checked: CheckResult<GatewaySettings>): void {
    if (!checked.ok) {
      const findings = formatFindings(checked.findings);
      context.log.error({ event: "reload", outcome: "rejected", findings });
      return;
    }
    const { repeats, drain, log } = checked.value;
    context.settings.drain = drain;
    context.retryBudget.setBound(repeats);
    context.log.info({ event: "reload", outcome: "applied", level: log.level });
    context.log.level = log.level;
  }

  async function start(): Promise<void> {
    for (const [server, address] of servers) await listenOn(server, address);
    await listenOn(gatewayServer.server, settings.listen.callers);
    context.log.info({
      event: "start",
      callers: formatAddress(settings.listen.callers),
      peers: context.self,
      availability_zone: settings.host.availability_zone,
    });
    const { metrics, log, now, signal } = context;
    const onLag = (lag_ms: number) => metrics.loopLag.observe(lag_ms);
    measureLoopLag({ onLag, log, now, signal });
    void runStoreSync(context.syncOptions);
    void context.ownEntry.announce();
  }

  return { log: context.log, stopped, stop, drain, reload, start };
}

type HostContext = ReturnType<typeof createHostContext>;

function createHostContext(
  settings: GatewaySettings,
  environment: GatewayHostEnvironment,
) {
  const { adapter, now, random, writeLine } = environment;
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
  const endpoints = new EndpointRegistry();
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
  const quarantine = new QuarantineService({
    self,
    hosts: () => members.addresses(),
    peers,
    store,
    isRefused: isConnectionRefused,
    onCrash: () => metrics.endpointCrashes.inc(),
    log,
    now,
    random,
    signal,
  });
  const rateLimits = new RateLimitService({
    self,
    hosts: () => members.addresses(),
    peers,
    log,
    now,
  });
  const load = new ObservedLoad();
  const agents = new EndpointAgents(() => members.count);
  const reports = new EndpointReports({
    self,
    hosts: () => members.addresses(),
    peers,
    load,
    rateLimits,
    endpoints,
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
  const feedClients = new FeedStreamClients({ log, now });
  const readers = new StoreReaders({
    self,
    hosts: () => members.addresses(),
    cores: () => members.cores(),
    readerCount: settings.object_store.readers,
    now,
  });
  const syncOptions: StoreSyncOptions = {
    feeds: createRelayedFeeds(store, {
      feedClients,
      readers,
      self,
      log,
    }),
    watchCaches: {
      configuration: new WatchCache(),
      endpoints: new WatchCache(),
      gateways: new WatchCache(),
      quarantined: new WatchCache(),
    },
    readers,
    peers,
    configuration,
    endpoints,
    members,
    ownEntry,
    quarantine,
    seeds: settings.seeds.filter((seed) => seed !== self),
    configurationListeners,
    endpointListeners,
    watch_ms: settings.object_store.watch_ms,
    progress: {
      configuration: new FeedProgress(),
      endpoints: new FeedProgress(),
      gateways: new FeedProgress(),
      quarantined: new FeedProgress(),
    },
    log,
    now,
    random,
    signal,
  };
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
    load,
    reports,
    syncOptions,
    configurationListeners,
    endpointListeners,
    agents,
    retryBudget: new PoolRetryBudgets(settings.repeats, () => members.count),
    now,
    random,
  };
}

/** Components that form batches and route jobs to the hosts that do. */
interface BatchingComponents {
  batcher: Batcher;
  jobRouter: JobRouter;
  /** Finds a pool by name; undefined if it is not configured. */
  pool: (name: string) => RoutePool | undefined;
}

function createBatching(context: HostContext): BatchingComponents {
  const { configuration, endpoints, members, peers, log, now } = context;
  const pool = (name: string) =>
    configuration.routeTable?.configuration.pools.get(name);
  const batcher: Batcher = new Batcher({
    pool,
    endpoints: (name) => endpoints.inPool(name, now()),
    pauseMs: (endpoint) => context.reports.pauseMs(endpoint),
    client: createPieceClient({
      codec: context.adapter.codec,
      agents: context.agents,
      pool,
      endpointAt: (address) => endpoints.findByAddress(address),
      reports: context.reports,
      log,
      now,
    }),
    freeAtBatcher: (freed) => jobRouter.free(freed),
    ...createCrashRecorder(context.quarantine),
    onUnwantedCall: (unwanted_ms) =>
      context.metrics.workAfterCallerLeft.observe(
        { work: "stage_call" },
        unwanted_ms,
      ),
    log,
    now,
  });
  const waits = new PoolWaits();
  const jobRouter: JobRouter = new JobRouter({
    self: context.self,
    batchers: () => members.batchers(context.lifecycle.isShuttingDown),
    local: batcher,
    peers,
    waits,
    zone: context.settings.host.availability_zone,
    shards: (name) => listShards(endpoints.inPool(name, now())),
    zoneAt: (address) => endpoints.findByAddress(address)?.availability_zone,
    log,
    now,
    signal: context.signal,
  });
  return { batcher, jobRouter, pool };
}

function createForwardingDependencies(
  context: HostContext,
  { jobRouter, pool }: BatchingComponents,
): ForwardingDependencies {
  const { lifecycle } = context;
  return {
    codec: context.adapter.codec,
    configuration: context.configuration,
    endpoints: context.endpoints,
    agents: context.agents,
    load: context.load,
    retryBudget: context.retryBudget,
    quarantine: context.quarantine,
    rateLimits: context.rateLimits,
    reports: context.reports,
    stageGraph: {
      run: (job, signal) => jobRouter.run(job, signal),
      free: (freed) => jobRouter.free(freed),
      stageTime: (stage) =>
        estimateStageTime(
          pool(stage.pool)?.batch,
          jobRouter.expectedWaitMs(stage),
        ),
      now: context.now,
    },
    metrics: context.metrics,
    drain: context.drain,
    serviceTimes: new ServiceTimes(),
    acceptsRequests: () => lifecycle.state !== HostLifecycleState.Draining,
    isShuttingDown: () => lifecycle.isShuttingDown,
    log: context.log,
    now: context.now,
    random: context.random,
  };
}

/** Creates the servers for peers, readiness and metrics, with their addresses. */
function createServers(
  context: HostContext,
  { batcher }: BatchingComponents,
): [Server, Address][] {
  const { lifecycle, settings, adapter, syncOptions } = context;
  const peerServer = createGatewayPeerServer({
    isBatching: () => lifecycle.state === HostLifecycleState.Ready,
    run: (job, signal) => batcher.runForPeer(job, signal),
    free(freedResults) {
      for (const freed of freedResults) batcher.free(freed);
    },
    snapshot: () => createStateSnapshot(syncOptions),
    handlePermitRequest: (request) => context.rateLimits.handleRequest(request),
    handleEndpointReport: (notice) => context.reports.handleReport(notice),
    handleEndpointNotice: (notice, targets) =>
      context.reports.handleNotice(notice, targets),
    handleCrashReport: (report) => context.quarantine.handleReport(report),
    handleAnsweredParts: (parts) => context.quarantine.handleAnswered(parts),
    handleNotice: (notice, route) =>
      context.quarantine.handleNotice(notice, route),
    changeRevisions: () =>
      createChangeRevisions(
        syncOptions.progress,
        context.configuration.version,
      ),
    feeds: {
      caches: syncOptions.watchCaches,
      selfIsReader: () => syncOptions.readers.selfIsReader,
      log: context.log,
      now: context.now,
    },
    log: context.log,
  });
  const readiness = createReadinessServer(
    adapter.codec.readinessPath,
    () =>
      lifecycle.state === HostLifecycleState.Ready &&
      !context.endpoints.isEmpty,
  );
  const servers: [Server, Address][] = [
    [peerServer, settings.listen.peers],
    [readiness, settings.listen.readiness],
  ];
  if (settings.listen.metrics !== undefined) {
    const server = createMetricsServer(context.metrics.registry);
    servers.push([server, settings.listen.metrics]);
  }
  return servers;
}

function listenOn(server: Server, { ip, port }: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, resolve);
  });
}

/** Builds the parts of a gateway host and joins them. */
import type { Server } from "node:http";
import { Batcher } from "./batching/batcher.ts";
import { JobRouter } from "./batching/job_router.ts";
import { listShards } from "./batching/pool_shards.ts";
import { PoolWaits } from "./batching/pool_waits.ts";
import { estimateStageTime } from "./batching/expected_wait.ts";
import { createPieceClient } from "./batching/piece_client.ts";
import { ConfigurationBelief } from "./beliefs/configuration_belief.ts";
import { EndpointBelief } from "./beliefs/endpoint_belief.ts";
import { FeedProgress } from "./beliefs/follow_feed.ts";
import { FeedHistory } from "./beliefs/feed_history.ts";
import { followBeliefs, type Sources } from "./beliefs/follow_beliefs.ts";
import { shareBeliefs } from "./beliefs/shared_beliefs.ts";
import { type CheckResult, formatFindings } from "./findings/finding.ts";
import { EndpointAgents } from "./endpoints/endpoint_agents.ts";
import type { GatewayAdapter, GatewayStore } from "./forwarding/adapter.ts";
import {
  createReadinessServer,
  GatewayServer,
} from "./forwarding/gateway_server.ts";
import type { ForwardingDependencies } from "./forwarding/dependencies.ts";
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
import { FeedReaders } from "./membership/feed_readers.ts";
import { GatewayMembers } from "./membership/gateway_members.ts";
import { announceSelf } from "./membership/announce_self.ts";
import { ForwardMetrics } from "./metrics/forward_metrics.ts";
import { createMetricsServer } from "./metrics/metrics_server.ts";
import { GatewayClients } from "./peers/gateway_clients.ts";
import { createGatewayPeerServer } from "./peers/gateway_peer_server.ts";
import { FeedMirrors } from "./peers/feed_mirrors.ts";
import { relayFeeds } from "./peers/relay_feeds.ts";
import type { RoutePool } from "./routes/types.ts";
import { ObservedLoad } from "./routing/observed_load.ts";
import { RepeatBudget } from "./routing/repeat_budget.ts";
import type { GatewaySettings } from "./settings/gateway_settings.ts";
import { type Address, formatAddress } from "./settings/settings.ts";

/** What the outside world gives a gateway host. */
export interface GatewayEnvironment {
  adapter: GatewayAdapter;
  /** Milliseconds of the steady clock. */
  now: () => number;
  random: () => number;
  writeLine: WriteLine;
}

/** A running gateway host. */
export interface Gateway {
  log: Logger;
  start(): Promise<void>;
  /** Finishes running requests, then stops. */
  drain(): void;
  /** Stops at once. */
  stop(): void;
  /** Applies settings that were read again, as far as a running host can. */
  reload(checked: CheckResult<GatewaySettings>): void;
  /** Resolves when the host has stopped. */
  stopped: Promise<void>;
}

/** Builds a gateway host. */
export function createGateway(
  settings: GatewaySettings,
  environment: GatewayEnvironment,
): Gateway {
  const base = createBase(settings, environment);
  const batching = createBatching(base);
  const front = new GatewayServer(createForwardParts(base, batching));
  base.onConfigured.push((table) =>
    front.applyLimits(table.configuration.limits)
  );
  base.onEndpoints.push(() => batching.batcher.endpointsChanged());
  const servers = createServers(base, batching);
  const { promise: stopped, resolve } = Promise.withResolvers<void>();

  function stop(): void {
    base.lifecycle.handle(HostLifecycleEvent.Stop);
    base.stopping.abort();
    front.close();
    for (const [server] of servers) {
      server.close();
      server.closeAllConnections();
    }
    base.agents.close();
    base.peers.close();
    base.mirrors.close();
    base.store.close();
    resolve();
  }

  function drain(): void {
    if (!base.lifecycle.handle(HostLifecycleEvent.Drain)) return;
    batching.batcher.drain();
    void drainGateway({
      lifecycle: base.lifecycle,
      server: front,
      runningJobs: () => batching.batcher.activeJobs,
      withdrawEntry: () => base.store.withdraw(settings.host.name),
      timeout_ms: base.settings.drain.timeout_ms,
      log: base.log,
      now: base.now,
      signal: base.signal,
    }).then(stop);
  }

  function reload(checked: CheckResult<GatewaySettings>): void {
    if (!checked.ok) {
      const findings = formatFindings(checked.findings);
      base.log.error({ event: "reload", outcome: "rejected", findings });
      return;
    }
    const { repeats, drain, log } = checked.value;
    base.settings.drain = drain;
    base.budget.setBound(repeats);
    base.log.info({ event: "reload", outcome: "applied", level: log.level });
    base.log.level = log.level;
  }

  async function start(): Promise<void> {
    for (const [server, address] of servers) await listenOn(server, address);
    await listenOn(front.server, settings.listen.callers);
    base.log.info({
      event: "start",
      callers: formatAddress(settings.listen.callers),
      peers: base.self,
      availability_zone: settings.host.availability_zone,
    });
    void followBeliefs(base.sources);
    void announceSelf({
      ...base,
      name: settings.host.name,
      announce: base.store.announce,
    });
  }

  return { log: base.log, stopped, stop, drain, reload, start };
}

type Base = ReturnType<typeof createBase>;

function createBase(
  settings: GatewaySettings,
  environment: GatewayEnvironment,
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
  const metrics = new ForwardMetrics();
  const onConfigured: Sources["onConfigured"] = [];
  const onEndpoints: Sources["onEndpoints"] = [];
  const configuration = new ConfigurationBelief((table, source) => {
    const { version } = table.configuration;
    log.info({ event: "configuration", version, source });
    metrics.configurationVersion.set(version);
    for (const each of onConfigured) each(table);
    lifecycle.handle(HostLifecycleEvent.Configured);
  });
  const endpoints = new EndpointBelief();
  const members = new GatewayMembers(member);
  const peers = new GatewayClients();
  const store: GatewayStore = adapter.openStore(settings.object_store.address);
  const signal = stopping.signal;
  const mirrors = new FeedMirrors({ log, now });
  const readers = new FeedReaders({
    self,
    hosts: () => members.addresses(),
    readers: settings.object_store.readers,
    now,
  });
  const sources: Sources = {
    feeds: relayFeeds(store, { mirrors, readers, self, log }),
    histories: {
      configuration: new FeedHistory(),
      endpoints: new FeedHistory(),
      gateways: new FeedHistory(),
    },
    readers,
    peers,
    configuration,
    endpoints,
    members,
    seeds: settings.seeds.filter((seed) => seed !== self),
    onConfigured,
    onEndpoints,
    watch_ms: settings.object_store.watch_ms,
    progress: {
      configuration: new FeedProgress(),
      endpoints: new FeedProgress(),
    },
    log,
    now,
    random,
    signal,
  };
  return {
    settings: { ...settings },
    adapter,
    self,
    member,
    stopping,
    signal,
    log,
    lifecycle,
    metrics,
    configuration,
    endpoints,
    members,
    peers,
    mirrors,
    store,
    sources,
    onConfigured,
    onEndpoints,
    agents: new EndpointAgents(() => members.count),
    budget: new RepeatBudget(settings.repeats, () => members.count),
    now,
    random,
  };
}

interface Batching {
  batcher: Batcher;
  jobs: JobRouter;
  pool: (name: string) => RoutePool | undefined;
}

function createBatching(base: Base): Batching {
  const { configuration, endpoints, members, peers, log, now } = base;
  const pool = (name: string) =>
    configuration.table?.configuration.pools.get(name);
  const batcher: Batcher = new Batcher({
    pool,
    endpoints: (name) => endpoints.ofPool(name, now()),
    client: createPieceClient({
      codec: base.adapter.codec,
      agents: base.agents,
      pool,
      poolAt: (address) => pool(endpoints.at(address)?.pool ?? ""),
      log,
    }),
    freeAtBatcher: (freed) => jobs.free(freed),
    log,
    now,
  });
  const waits = new PoolWaits();
  const jobs: JobRouter = new JobRouter({
    self: base.self,
    batchers: () => members.batchers(base.lifecycle.isShuttingDown),
    local: batcher,
    peers,
    waits,
    zone: base.settings.host.availability_zone,
    shards: (name) => listShards(endpoints.ofPool(name, now())),
    zoneAt: (address) => endpoints.at(address)?.availability_zone,
    log,
    now,
    signal: base.signal,
  });
  return { batcher, jobs, pool };
}

function createForwardParts(
  base: Base,
  { jobs, pool }: Batching,
): ForwardingDependencies {
  const { lifecycle } = base;
  return {
    codec: base.adapter.codec,
    configuration: base.configuration,
    endpoints: base.endpoints,
    agents: base.agents,
    load: new ObservedLoad(),
    retryBudget: base.budget,
    stageGraph: {
      run: (job, signal) => jobs.run(job, signal),
      free: (freed) => jobs.free(freed),
      stageTime: (stage) =>
        estimateStageTime(pool(stage.pool)?.batch, jobs.expectedWaitMs(stage)),
      now: base.now,
    },
    metrics: base.metrics,
    acceptsRequests: () => lifecycle.state !== HostLifecycleState.Draining,
    isShuttingDown: () => lifecycle.isShuttingDown,
    log: base.log,
    now: base.now,
    random: base.random,
  };
}

function createServers(
  base: Base,
  { batcher }: Batching,
): [Server, Address][] {
  const { lifecycle, settings, adapter, sources } = base;
  const peerServer = createGatewayPeerServer({
    batches: () => lifecycle.state === HostLifecycleState.Ready,
    run: (job, signal) => batcher.runForPeer(job, signal),
    free(all) {
      for (const freed of all) batcher.free(freed);
    },
    beliefs: () => shareBeliefs(sources),
    progress: () => ({
      configuration: sources.progress.configuration.changed,
      endpoints: sources.progress.endpoints.changed,
    }),
    feeds: {
      histories: sources.histories,
      reads: () => sources.readers.selfReads,
      now: base.now,
    },
    log: base.log,
  });
  const readiness = createReadinessServer(
    adapter.codec.readinessPath,
    () => lifecycle.state === HostLifecycleState.Ready && !base.endpoints.empty,
  );
  const servers: [Server, Address][] = [
    [peerServer, settings.listen.peers],
    [readiness, settings.listen.readiness],
  ];
  if (settings.listen.metrics !== undefined) {
    const server = createMetricsServer(base.metrics.registry);
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

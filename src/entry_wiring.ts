/** Creates the components of an entry host and connects them. */
import { randomBytes } from "node:crypto";
import type { Server } from "node:http";
import { AdmissionController } from "./admission/admission_controller.ts";
import { Allowances } from "./admission/allowances.ts";
import { PoolLimiters } from "./admission/pool_limiters.ts";
import { KeyClaims } from "./claims/claims.ts";
import { Journal } from "./claims/journal.ts";
import { runJournalCleaner } from "./claims/journal_cleaner.ts";
import { MintedKeys } from "./claims/minted_keys.ts";
import type { ClaimReply } from "./claims/types.ts";
import { ShardClaims } from "./claims/shard_claims.ts";
import { ConfigurationState } from "./configuration/configuration_state.ts";
import { watchConfiguration } from "./configuration/configuration_watch.ts";
import { runPublisher } from "./configuration/publisher.ts";
import { createEndpointClient } from "./endpoints/endpoint_client.ts";
import { EndpointConnections } from "./endpoints/endpoint_connections.ts";
import { CallerApi } from "./http_api/caller_api.ts";
import { createCallerServer } from "./http_api/caller_server.ts";
import { createForwardToMinter } from "./http_api/forward_to_minter.ts";
import { RunningRequests } from "./http_api/running_requests.ts";
import { drainHost } from "./lifecycle/drain_host.ts";
import {
  HostLifecycle,
  HostLifecycleEvent,
  HostLifecycleState,
} from "./lifecycle/host_lifecycle.ts";
import { createLogger, type Logger, type WriteLine } from "./logging/logger.ts";
import { MemberTable } from "./membership/member_table.ts";
import { rankCandidates } from "./membership/rendezvous_hash.ts";
import type { Heartbeat } from "./membership/types.ts";
import { createMetrics, MetricName, type Metrics } from "./metrics/metrics.ts";
import {
  type HeartbeatOptions,
  notifyLiveMembers,
  pollHostList,
  receiveHeartbeat,
  runHeartbeats,
} from "./peers/heartbeats.ts";
import { PeerClients } from "./peers/peer_client.ts";
import { createPeerRpcRouter } from "./peers/peer_rpc_router.ts";
import { createPeerServer } from "./peers/peer_server.ts";
import { readHostStatus } from "./peers/read_host_status.ts";
import type { PipelineDependencies } from "./pipelines/pipeline_dependencies.ts";
import { createPipelineObserver } from "./pipelines/pipeline_observer.ts";
import { runPipeline } from "./pipelines/pipeline_run.ts";
import { runPlacement } from "./placement/placement_loop.ts";
import { createPlatformClient } from "./object_api/platform_client.ts";
import type { Platform } from "./object_api/types.ts";
import { formatIdentity } from "./records/types.ts";
import { EndpointRouter } from "./routing/endpoint_router.ts";
import { EndpointStates } from "./routing/endpoint_state.ts";
import {
  type Address,
  formatAddress,
  type Settings,
} from "./settings/settings.ts";
import { HttpClient } from "./utils/http_client.ts";
import { abortableDelay } from "./utils/delay.ts";

/** Clock, randomness and log output of an entry host. */
export interface EntryHostEnvironment {
  /** Milliseconds since the Unix epoch, as in version 7 UUIDs. */
  now: () => number;
  random: () => number;
  writeLine: WriteLine;
}

/** An entry host, which takes requests from callers. */
export interface EntryHost {
  log: Logger;
  /** Starts listening; rejects if an address cannot be bound. */
  start(): Promise<void>;
  /** Finishes running requests, then stops. */
  drain(): void;
  /** Stops immediately; running requests are aborted. */
  stop(): void;
  /** Resolves when the host has stopped. */
  stopped: Promise<void>;
}

const INCARNATION_BYTES = 8;
/** Number of hosts that watch and publish the records. */
const PUBLISHER_COUNT = 2;
/** How long this host remembers the idempotency keys that it has minted. */
const MINTED_KEY_RETENTION_MS = 3_600_000;
const MIN_JOURNAL_INTERVAL_MS = 500;
/** Journal interval per serving host: together they write at most once in it. */
const JOURNAL_INTERVAL_PER_HOST_MS = 15;

/** Creates an entry host; it does nothing until it is started. */
export function createEntryHost(
  settings: Settings,
  environment: EntryHostEnvironment,
): EntryHost {
  const context = createHostContext(settings, environment);
  const claimComponents = createClaimComponents(context);
  const requestComponents = createRequestComponents(context, claimComponents);
  const peerComponents = createPeerComponents(context, {
    claimComponents,
    requestComponents,
    drain: () => drain(),
  });
  const servers = [requestComponents.callerServer, peerComponents.peerServer];
  const { promise: stopped, resolve } = Promise.withResolvers<void>();

  function stop(): void {
    context.lifecycle.handle(HostLifecycleEvent.Stop);
    context.stopping.abort();
    for (const server of servers) {
      server.close();
      server.closeAllConnections();
    }
    context.closeConnections();
    resolve();
  }

  function drain(): void {
    if (!context.lifecycle.handle(HostLifecycleEvent.Drain)) return;
    notifyLiveMembers(
      context,
      (peer) => peer.heartbeat.mutate(peerComponents.describeHost()),
    );
    void drainHost({
      lifecycle: context.lifecycle,
      running: requestComponents.running,
      flushClaims: () => waitForClaimWrites(claimComponents, context.signal),
      ...settings.drain,
      signal: context.signal,
    }).then(stop);
  }

  async function start(): Promise<void> {
    await listenOn(peerComponents.peerServer, settings.listen.peers);
    await listenOn(requestComponents.callerServer, settings.listen.callers);
    context.log.info({
      event: "start",
      incarnation: context.incarnation,
      callers: formatAddress(settings.listen.callers),
      peers: context.self,
      availability_zone: settings.host.availability_zone,
    });
    startBackgroundTasks(context, { claimComponents, peerComponents });
  }

  return { log: context.log, stopped, stop, drain, start };
}

/** Settings, state and clients that the components of a host share. */
interface HostContext extends EntryHostEnvironment {
  settings: Settings;
  /** Address under which other hosts reach this one, as `ip:port`. */
  self: string;
  /** Random identifier of this process, new with every start. */
  incarnation: string;
  stopping: AbortController;
  signal: AbortSignal;
  log: Logger;
  metrics: Metrics;
  lifecycle: HostLifecycle;
  configuration: ConfigurationState;
  states: EndpointStates;
  platform: Platform;
  members: MemberTable;
  peers: PeerClients;
  connections: EndpointConnections;
  /** Number of hosts that take new requests. */
  servingHosts: () => number;
  /** Peer addresses of the live hosts, including this one. */
  liveHosts: () => string[];
  closeConnections: () => void;
}

function createHostContext(
  settings: Settings,
  environment: EntryHostEnvironment,
): HostContext {
  const { now, writeLine } = environment;
  const { host, advertise } = settings;
  const self = advertise.peers;
  const stopping = new AbortController();
  const log = createLogger({
    level: settings.log.level,
    host: host.name,
    writeLine,
  });
  const metrics = createMetrics(settings.statsd, host.name);
  const lifecycle = new HostLifecycle((state) =>
    log.info({ event: "lifecycle", state })
  );
  const states = new EndpointStates();
  const configuration = new ConfigurationState((generation, source) => {
    log.info({ event: "configuration", generation, source });
    metrics.gauge(MetricName.ConfigurationGeneration, generation);
    states.sync(configuration.records.endpoints.values());
    lifecycle.handle(HostLifecycleEvent.Configured);
  });
  const http = new HttpClient(settings.platform.address);
  const platform = createPlatformClient({ http, ...settings.platform, now });
  const bootstrap = settings.peers.bootstrap.filter((address) =>
    address !== self
  );
  const members = new MemberTable({
    self,
    suspect_after_ms: settings.peers.suspect_after_ms,
  }, bootstrap);
  const peers = new PeerClients(settings.peers);
  const connections = new EndpointConnections();
  return {
    ...environment,
    settings,
    self,
    incarnation: randomBytes(INCARNATION_BYTES).toString("hex"),
    stopping,
    signal: stopping.signal,
    log,
    metrics,
    lifecycle,
    configuration,
    states,
    platform,
    members,
    peers,
    connections,
    servingHosts: () => members.countServing(now()),
    liveHosts: () => [
      self,
      ...members.live(now()).map((member) => member.address),
    ],
    closeConnections() {
      connections.close();
      peers.close();
      http.close();
      metrics.close();
    },
  };
}

/** Components that run each request with an idempotency key at most once. */
interface ClaimComponents {
  journal: Journal;
  shards: ShardClaims;
  claims: KeyClaims;
}

function createClaimComponents(context: HostContext): ClaimComponents {
  const { platform, incarnation, peers, metrics, now, signal } = context;
  const { shards: shard_count, ...claimSettings } = context.settings.claims;
  const journal = new Journal({
    platform,
    incarnation,
    interval_ms: () =>
      Math.max(
        MIN_JOURNAL_INTERVAL_MS,
        context.servingHosts() * JOURNAL_INTERVAL_PER_HOST_MS,
      ),
    now,
    signal,
  });
  const shards = new ShardClaims({
    platform,
    self: context.self,
    hosts: context.liveHosts,
    peer: {
      claim: async (address, request) =>
        await peers.clientFor(address).claim.mutate(request) as ClaimReply,
      recordOutcome: (address, outcome) =>
        peers.clientFor(address).recordOutcome.mutate(outcome),
    },
    ...claimSettings,
    now,
    onCommit: () => metrics.count(MetricName.ClaimCommits),
    signal,
  });
  const claims = new KeyClaims({
    minted: new MintedKeys(incarnation, MINTED_KEY_RETENTION_MS),
    journal,
    shards,
    platform,
    shard_count,
    bucket_ms: claimSettings.bucket_ms,
    now,
  });
  return { journal, shards, claims };
}

/** Components that serve the requests of callers. */
interface RequestComponents {
  allowances: Allowances;
  running: RunningRequests;
  callerServer: Server;
}

function createRequestComponents(
  context: HostContext,
  { claims }: ClaimComponents,
): RequestComponents {
  const { settings, configuration, lifecycle, members, log, now } = context;
  const running = new RunningRequests();
  const allowances = createAllowances(context);
  const { policy } = settings.admission;
  const dependencies: PipelineDependencies = {
    admission: new AdmissionController({
      configuration,
      limiters: new PoolLimiters({ now, policy }),
      policy,
      allowances,
      acceptsRequests: () => lifecycle.acceptsRequests,
      servingHosts: context.servingHosts,
      log,
      now,
    }),
    router: createRouter(context),
    claims,
    observer: createPipelineObserver(log, context.metrics, now),
    now,
  };
  const api = new CallerApi({
    configuration,
    claims,
    running,
    run: (request) => runPipeline(request, dependencies),
    acceptsRequests: () => lifecycle.acceptsRequests,
    isReady: () => lifecycle.state === HostLifecycleState.Ready,
    forwardToMinter: createForwardToMinter({
      members,
      running,
      incarnation: context.incarnation,
      host: settings.host.name,
      log,
    }),
    limits: settings.limits,
    log,
    now,
  });
  const callerServer = createCallerServer(api, settings.limits);
  return { allowances, running, callerServer };
}

function createAllowances(
  { members, servingHosts, now }: HostContext,
): Allowances {
  return new Allowances({
    servingHosts,
    otherDemand: (organisation) =>
      members.live(now())
        .flatMap((member) => member.demand)
        .filter((demand) => demand.organisation === organisation)
        .reduce((sum, demand) => sum + demand.requests_per_second, 0),
  });
}

function createRouter(context: HostContext): EndpointRouter {
  const { settings, configuration, states, log, now, random } = context;
  return new EndpointRouter({
    configuration,
    states,
    call: createEndpointClient(context.connections, now),
    policy: settings.routing.policy,
    availability_zone: settings.host.availability_zone,
    servingHosts: context.servingHosts,
    onLeaving: ({ fleet, name }) =>
      notifyLiveMembers(
        context,
        (peer) => peer.endpointLeaving.mutate({ fleet, name }),
      ),
    log,
    now,
    random,
  });
}

/** Components that serve other hosts and operators. */
interface PeerComponents {
  describeHost: () => Heartbeat;
  heartbeatOptions: HeartbeatOptions;
  peerServer: Server;
}

function createPeerComponents(
  context: HostContext,
  { claimComponents, requestComponents, drain }: {
    claimComponents: ClaimComponents;
    requestComponents: RequestComponents;
    drain: () => void;
  },
): PeerComponents {
  const { settings, configuration, states, members, lifecycle, now } = context;
  const { shards } = claimComponents;
  const { running, allowances } = requestComponents;
  const describeHost = (): Heartbeat => ({
    address: context.self,
    callers_address: settings.advertise.callers,
    incarnation: context.incarnation,
    generation: configuration.generation,
    draining: lifecycle.isShuttingDown,
    demand: allowances.demand(now()),
    known: members.sampleForGossip(now(), context.random),
  });
  const { heartbeat_ms } = settings.peers;
  const heartbeatOptions = {
    ...context,
    createHeartbeat: describeHost,
    heartbeat_ms,
  };
  const router = createPeerRpcRouter({
    heartbeat: (heartbeat) => receiveHeartbeat(heartbeat, heartbeatOptions),
    configuration: () => configuration.accepted,
    endpointLeaving: (identity) => {
      const { endpoints } = configuration.records;
      const endpoint = endpoints.get(formatIdentity(identity));
      if (endpoint !== undefined) states.markLeaving(endpoint);
    },
    claim: (request) => shards.commit(request),
    recordOutcome: (outcome) => shards.storeOutcome(outcome),
    status: () =>
      readHostStatus({
        host: settings.host.name,
        state: lifecycle.state,
        configuration,
        running,
        members,
        endpointStates: states,
        now_ms: now(),
      }),
    drain,
  });
  const peerServer = createPeerServer(router, {
    peers: settings.peers.secret,
    operators: settings.operators.secret,
  });
  return { describeHost, heartbeatOptions, peerServer };
}

function startBackgroundTasks(
  context: HostContext,
  { claimComponents, peerComponents }: {
    claimComponents: ClaimComponents;
    peerComponents: PeerComponents;
  },
): void {
  const { self, liveHosts, configuration, platform } = context;
  const { watch_ms } = context.settings.platform;
  const isSelectedHost = (key: string, count: number) =>
    rankCandidates(key, liveHosts()).slice(0, count).includes(self);
  const watchOptions = { ...context, state: configuration, watch_ms };
  void watchConfiguration(watchOptions);
  void runPublisher({
    ...watchOptions,
    shouldPublish: () => isSelectedHost("publisher", PUBLISHER_COUNT),
  });
  void runPlacement({
    ...context,
    isResponsibleFor: (pool) => isSelectedHost(`placement/${pool}`, 1),
  });
  void runHeartbeats(peerComponents.heartbeatOptions);
  void pollHostList(platform, context);
  void claimComponents.journal.run();
  void runJournalCleaner({
    ...context,
    isCleaner: () => isSelectedHost("journal cleaner", 1),
  });
}

const CLAIM_WRITES_POLL_INTERVAL_MS = 20;
const CLAIM_WRITES_TIMEOUT_MS = 2_000;

/** Waits until outcomes are stored, at most CLAIM_WRITES_TIMEOUT_MS. */
async function waitForClaimWrites(
  { shards, journal }: ClaimComponents,
  signal: AbortSignal,
): Promise<void> {
  await journal.close();
  const end_ms = performance.now() + CLAIM_WRITES_TIMEOUT_MS;
  while (!shards.idle && performance.now() < end_ms && !signal.aborted) {
    await abortableDelay(CLAIM_WRITES_POLL_INTERVAL_MS, signal);
  }
}

function listenOn(server: Server, { ip, port }: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, resolve);
  });
}

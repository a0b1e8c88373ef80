/** Builds the parts of an entry host and joins them. */
import { randomBytes } from "node:crypto";
import type { Server } from "node:http";
import { AdmissionController } from "./admission/admission_controller.ts";
import { Allowances } from "./admission/allowances.ts";
import { PoolGates } from "./admission/pool_gates.ts";
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
import { createPassOn } from "./http_api/pass_on.ts";
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
import type { PipelineParts } from "./pipelines/pipeline_parts.ts";
import { createObserver } from "./pipelines/observer.ts";
import { runPipeline } from "./pipelines/pipeline_run.ts";
import { runPlacement } from "./placement/placement_loop.ts";
import { createPlatformClient } from "./object_api/platform_client.ts";
import type { Platform } from "./object_api/types.ts";
import { identityText } from "./records/types.ts";
import { EndpointRouter } from "./routing/endpoint_router.ts";
import { EndpointStates } from "./routing/endpoint_state.ts";
import {
  type Address,
  formatAddress,
  type Settings,
} from "./settings/settings.ts";
import { HttpClient } from "./utils/http_client.ts";
import { pause } from "./utils/loop.ts";

/** What the outside world gives an entry host. */
export interface EntryEnvironment {
  /** Milliseconds on a clock that agrees with UUIDs of version 7. */
  now: () => number;
  random: () => number;
  writeLine: WriteLine;
}

/** A running entry host. */
export interface Entry {
  log: Logger;
  start(): Promise<void>;
  /** Finishes running requests, then stops. */
  drain(): void;
  /** Stops at once. */
  stop(): void;
  /** Resolves when the host has stopped. */
  stopped: Promise<void>;
}

const INCARNATION_BYTES = 8;
const PUBLISHERS = 2;
const MINTED_RETENTION_MS = 3_600_000;
const LEAST_JOURNAL_INTERVAL_MS = 500;
/** Journal writes of all hosts stay under one in this time. */
const JOURNAL_SPACING_MS = 15;

/** Builds an entry host. */
export function createEntry(
  settings: Settings,
  environment: EntryEnvironment,
): Entry {
  const base = createBase(settings, environment);
  const claimParts = createClaimParts(base);
  const requestPath = createRequestPath(base, claimParts);
  const peerSide = createPeerSide(base, {
    claimParts,
    requestPath,
    drain: () => drain(),
  });
  const servers = [requestPath.callerServer, peerSide.peerServer];
  const { promise: stopped, resolve } = Promise.withResolvers<void>();

  function stop(): void {
    base.lifecycle.handle(HostLifecycleEvent.Stop);
    base.stopping.abort();
    for (const server of servers) {
      server.close();
      server.closeAllConnections();
    }
    base.closeConnections();
    resolve();
  }

  function drain(): void {
    if (!base.lifecycle.handle(HostLifecycleEvent.Drain)) return;
    notifyLiveMembers(
      base,
      (peer) => peer.heartbeat.mutate(peerSide.describe()),
    );
    void drainHost({
      lifecycle: base.lifecycle,
      running: requestPath.running,
      settle: () => settleClaims(claimParts, base.signal),
      ...settings.drain,
      signal: base.signal,
    }).then(stop);
  }

  async function start(): Promise<void> {
    await listenOn(peerSide.peerServer, settings.listen.peers);
    await listenOn(requestPath.callerServer, settings.listen.callers);
    base.log.info({
      event: "start",
      incarnation: base.incarnation,
      callers: formatAddress(settings.listen.callers),
      peers: base.self,
      availability_zone: settings.host.availability_zone,
    });
    startLoops(base, { claimParts, peerSide });
  }

  return { log: base.log, stopped, stop, drain, start };
}

/** What every other part is built on. */
interface Base extends EntryEnvironment {
  settings: Settings;
  /** This host's address as other hosts see it. */
  self: string;
  /** Changes with every start of the process. */
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
  /** Number of hosts that take new work. */
  servingHosts: () => number;
  /** Addresses of the live hosts, this one included. */
  liveHosts: () => string[];
  closeConnections: () => void;
}

function createBase(settings: Settings, environment: EntryEnvironment): Base {
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
    metrics.gauge(MetricName.Generation, generation);
    states.follow(configuration.records.endpoints.values());
    lifecycle.handle(HostLifecycleEvent.Configured);
  });
  const http = new HttpClient(settings.platform.address);
  const platform = createPlatformClient({ http, ...settings.platform, now });
  const bootstrap = settings.peers.bootstrap.filter((each) => each !== self);
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

/** The parts that make keyed requests run at most once. */
interface ClaimParts {
  journal: Journal;
  shards: ShardClaims;
  claims: KeyClaims;
}

function createClaimParts(base: Base): ClaimParts {
  const { platform, incarnation, peers, metrics, now, signal } = base;
  const { shards: shard_count, ...claimSettings } = base.settings.claims;
  const journal = new Journal({
    platform,
    incarnation,
    interval_ms: () =>
      Math.max(
        LEAST_JOURNAL_INTERVAL_MS,
        base.servingHosts() * JOURNAL_SPACING_MS,
      ),
    now,
    signal,
  });
  const shards = new ShardClaims({
    platform,
    self: base.self,
    hosts: base.liveHosts,
    peer: {
      claim: async (address, entry) =>
        await peers.clientFor(address).claim.mutate(entry) as ClaimReply,
      recordOutcome: (address, note) =>
        peers.clientFor(address).recordOutcome.mutate(note),
    },
    ...claimSettings,
    now,
    onCommit: () => metrics.count(MetricName.ClaimCommits),
    signal,
  });
  const claims = new KeyClaims({
    minted: new MintedKeys(incarnation, MINTED_RETENTION_MS),
    journal,
    shards,
    platform,
    shard_count,
    bucket_ms: claimSettings.bucket_ms,
    now,
  });
  return { journal, shards, claims };
}

/** The parts between a caller's socket and the endpoints. */
interface RequestPath {
  allowances: Allowances;
  running: RunningRequests;
  callerServer: Server;
}

function createRequestPath(
  base: Base,
  { claims }: ClaimParts,
): RequestPath {
  const { settings, configuration, lifecycle, members, log, now } = base;
  const running = new RunningRequests();
  const allowances = createAllowances(base);
  const { policy } = settings.admission;
  const parts: PipelineParts = {
    admission: new AdmissionController({
      configuration,
      gates: new PoolGates({ now, policy }),
      policy,
      allowances,
      accepts: () => lifecycle.accepts,
      servingHosts: base.servingHosts,
      log,
      now,
    }),
    router: createRouter(base),
    claims,
    observer: createObserver(log, base.metrics, now),
    now,
  };
  const api = new CallerApi({
    configuration,
    claims,
    running,
    run: (request) => runPipeline(request, parts),
    accepts: () => lifecycle.accepts,
    ready: () => lifecycle.state === HostLifecycleState.Ready,
    passOn: createPassOn({
      members,
      running,
      incarnation: base.incarnation,
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

function createAllowances({ members, servingHosts, now }: Base): Allowances {
  return new Allowances({
    servingHosts,
    otherDemand: (organisation) =>
      members.live(now())
        .flatMap((member) => member.demand)
        .filter((demand) => demand.organisation === organisation)
        .reduce((sum, demand) => sum + demand.requests_per_second, 0),
  });
}

function createRouter(base: Base): EndpointRouter {
  const { settings, configuration, states, log, now, random } = base;
  return new EndpointRouter({
    configuration,
    states,
    call: createEndpointClient(base.connections, now),
    policy: settings.routing.policy,
    availability_zone: settings.host.availability_zone,
    servingHosts: base.servingHosts,
    onLeaving: ({ fleet, name }) =>
      notifyLiveMembers(
        base,
        (peer) => peer.endpointLeaving.mutate({ fleet, name }),
      ),
    log,
    now,
    random,
  });
}

/** The parts that other hosts and operators talk to. */
interface PeerSide {
  describe: () => Heartbeat;
  heartbeatOptions: HeartbeatOptions;
  peerServer: Server;
}

function createPeerSide(
  base: Base,
  { claimParts, requestPath, drain }: {
    claimParts: ClaimParts;
    requestPath: RequestPath;
    drain: () => void;
  },
): PeerSide {
  const { settings, configuration, states, members, lifecycle, now } = base;
  const { shards } = claimParts;
  const { running, allowances } = requestPath;
  const describe = (): Heartbeat => ({
    address: base.self,
    callers_address: settings.advertise.callers,
    incarnation: base.incarnation,
    generation: configuration.generation,
    draining: lifecycle.going,
    demand: allowances.demand(now()),
    known: members.sampleForGossip(now(), base.random),
  });
  const { heartbeat_ms } = settings.peers;
  const heartbeatOptions = {
    ...base,
    createHeartbeat: describe,
    heartbeat_ms,
  };
  const router = createPeerRpcRouter({
    heartbeat: (heartbeat) => receiveHeartbeat(heartbeat, heartbeatOptions),
    configuration: () => configuration.accepted,
    endpointLeaving: (identity) => {
      const { endpoints } = configuration.records;
      const endpoint = endpoints.get(identityText(identity));
      if (endpoint !== undefined) states.markLeaving(endpoint);
    },
    claim: (entry) => shards.commit(entry),
    recordOutcome: (note) => shards.store(note),
    status: () =>
      readHostStatus({
        host: settings.host.name,
        state: lifecycle.state,
        configuration,
        running,
        members,
        states,
        now_ms: now(),
      }),
    drain,
  });
  const peerServer = createPeerServer(router, {
    peers: settings.peers.secret,
    operators: settings.operators.secret,
  });
  return { describe, heartbeatOptions, peerServer };
}

function startLoops(
  base: Base,
  { claimParts, peerSide }: { claimParts: ClaimParts; peerSide: PeerSide },
): void {
  const { self, liveHosts, configuration, platform } = base;
  const { watch_ms } = base.settings.platform;
  const ranksBefore = (key: string, count: number) =>
    rankCandidates(key, liveHosts()).slice(0, count).includes(self);
  const follow = { ...base, state: configuration, watch_ms };
  void watchConfiguration(follow);
  void runPublisher({
    ...follow,
    isPublisher: () => ranksBefore("publisher", PUBLISHERS),
  });
  void runPlacement({
    ...base,
    looksAfter: (pool) => ranksBefore(`placement/${pool}`, 1),
  });
  void runHeartbeats(peerSide.heartbeatOptions);
  void pollHostList(platform, base);
  void claimParts.journal.run();
  void runJournalCleaner({
    ...base,
    isCleaner: () => ranksBefore("journal cleaner", 1),
  });
}

const SETTLE_POLL_MS = 20;
const SETTLE_LIMIT_MS = 2_000;

/** Waits for outcomes to be stored, for a bounded time. */
async function settleClaims(
  { shards, journal }: ClaimParts,
  signal: AbortSignal,
): Promise<void> {
  await journal.close();
  const end_ms = performance.now() + SETTLE_LIMIT_MS;
  while (!shards.idle && performance.now() < end_ms && !signal.aborted) {
    await pause(SETTLE_POLL_MS, signal);
  }
}

function listenOn(server: Server, { ip, port }: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, resolve);
  });
}

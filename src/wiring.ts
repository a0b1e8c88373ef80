/** Builds the parts of an entry host and joins them. */
import { randomBytes } from "node:crypto";
import type { Server } from "node:http";
import { AdmissionController } from "./admission/admission_controller.ts";
import { Allowances } from "./admission/allowances.ts";
import { PoolGates } from "./admission/pool_gates.ts";
import { KeyClaims } from "./claims/claims.ts";
import { Journal } from "./claims/journal.ts";
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
import { RunningRequests } from "./http_api/running_requests.ts";
import { drainHost } from "./lifecycle/drain_host.ts";
import {
  HostLifecycle,
  HostLifecycleEvent,
  HostLifecycleState,
} from "./lifecycle/host_lifecycle.ts";
import { createLogger, type Logger, type WriteLine } from "./logging/logger.ts";
import { MemberTable } from "./membership/member_table.ts";
import { rankCandidates } from "./membership/rendezvous.ts";
import type { Heartbeat } from "./membership/types.ts";
import { createMetrics, MetricName } from "./metrics/metrics.ts";
import {
  followHostList,
  type HeartbeatOptions,
  receiveHeartbeat,
  runHeartbeats,
  tellAll,
} from "./peers/heartbeats.ts";
import { PeerClients } from "./peers/peer_client.ts";
import { createPeerRouter } from "./peers/peer_router.ts";
import { createPeerServer } from "./peers/peer_server.ts";
import { readHostStatus } from "./peers/read_host_status.ts";
import { createObserver } from "./pipelines/observer.ts";
import { runPipeline } from "./pipelines/pipeline_run.ts";
import { runPlacement } from "./placement/placement_loop.ts";
import { createPlatformClient } from "./platform/platform_client.ts";
import { EndpointRouter } from "./routing/endpoint_router.ts";
import { EndpointStates } from "./routing/endpoint_state.ts";
import {
  type Address,
  formatAddress,
  type Settings,
} from "./settings/settings.ts";
import { HttpClient } from "./utils/http_client.ts";

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
  const { now, random, writeLine } = environment;
  const { host, listen, advertise } = settings;
  const self = advertise.peers;
  const incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
  const stopping = new AbortController();
  const { signal } = stopping;
  const log = createLogger({
    level: settings.log.level,
    host: host.name,
    writeLine,
  });
  const metrics = createMetrics(settings.statsd, host.name);

  const lifecycle = new HostLifecycle((state) =>
    log.info({ event: "lifecycle", state })
  );
  const configuration = new ConfigurationState((generation, source) => {
    log.info({ event: "configuration", generation, source });
    metrics.gauge(MetricName.Generation, generation);
    lifecycle.handle(HostLifecycleEvent.Configured);
  });

  const platformHttp = new HttpClient(settings.platform.address);
  const platform = createPlatformClient({
    http: platformHttp,
    ...settings.platform,
    now,
  });
  const members = new MemberTable({
    self,
    suspect_after_ms: settings.peers.suspect_after_ms,
  }, settings.peers.bootstrap.filter((address) => address !== self));
  const peers = new PeerClients(settings.peers);
  const servingHosts = () => members.serving(now());
  const liveHosts = () => [
    self,
    ...members.live(now()).map((member) => member.address),
  ];

  const allowances = new Allowances({
    servingHosts,
    otherDemand: (organisation) =>
      members.live(now())
        .flatMap((member) => member.demand)
        .filter((demand) => demand.organisation === organisation)
        .reduce((sum, demand) => sum + demand.requests_per_second, 0),
  });
  const admission = new AdmissionController({
    configuration,
    gates: new PoolGates({ now, policy: settings.admission.policy }),
    policy: settings.admission.policy,
    allowances,
    accepts: () => lifecycle.accepts,
    servingHosts,
    log,
    now,
  });

  const connections = new EndpointConnections();
  const states = new EndpointStates();
  const router = new EndpointRouter({
    configuration,
    states,
    call: createEndpointClient(connections, now),
    policy: settings.routing.policy,
    availability_zone: host.availability_zone,
    servingHosts,
    onLeaving: ({ fleet, name }) =>
      tellAll(
        { members, peers, now },
        (peer) => peer.endpointLeaving.mutate({ fleet, name }),
      ),
    log,
    now,
    random,
  });

  const journal = new Journal({
    platform,
    incarnation,
    interval_ms: () =>
      Math.max(LEAST_JOURNAL_INTERVAL_MS, servingHosts() * JOURNAL_SPACING_MS),
    signal,
  });
  const shards = new ShardClaims({
    platform,
    self,
    hosts: liveHosts,
    peer: {
      claim: async (address, entry) =>
        await peers.to(address).claim.mutate(entry) as ClaimReply,
      recordOutcome: (address, note) =>
        peers.to(address).recordOutcome.mutate(note),
    },
    buckets: settings.claims.buckets,
    commit_interval_ms: settings.claims.commit_interval_ms,
    now,
    onCommit: () => metrics.count(MetricName.ClaimCommits),
    signal,
  });
  const claims = new KeyClaims({
    minted: new MintedKeys(incarnation, MINTED_RETENTION_MS),
    journal,
    shards,
    platform,
    shard_count: settings.claims.shards,
    bucket_ms: settings.claims.bucket_ms,
    now,
  });

  const running = new RunningRequests();
  const parts = {
    admission,
    router,
    claims,
    observer: createObserver(log, metrics, now),
    now,
  };
  const api = new CallerApi({
    configuration,
    claims,
    members,
    running,
    run: (request) => runPipeline(request, parts),
    accepts: () => lifecycle.accepts,
    ready: () => lifecycle.state === HostLifecycleState.Ready,
    incarnation,
    host: host.name,
    limits: settings.limits,
    log,
    now,
  });
  const callerServer = createCallerServer(api, settings.limits);

  const describe = (): Heartbeat => ({
    address: self,
    callers_address: advertise.callers,
    incarnation,
    generation: configuration.generation,
    draining: lifecycle.going,
    demand: allowances.demand(now()),
    known: members.sample(now(), random),
  });
  const heartbeatOptions: HeartbeatOptions = {
    members,
    peers,
    configuration,
    log,
    describe,
    heartbeat_ms: settings.peers.heartbeat_ms,
    now,
    random,
    signal,
  };
  const peerServer = createPeerServer(
    createPeerRouter({
      heartbeat: (heartbeat) => receiveHeartbeat(heartbeat, heartbeatOptions),
      configuration: () => configuration.accepted,
      endpointLeaving: ({ fleet, name }) => {
        const endpoint = configuration.records.endpoints.get(
          `${fleet}/${name}`,
        );
        if (endpoint !== undefined) states.markLeaving(endpoint);
      },
      claim: (entry) => shards.commit(entry),
      recordOutcome: (note) => shards.store(note),
      status: () =>
        readHostStatus({
          host: host.name,
          state: lifecycle.state,
          configuration,
          running,
          members,
          states,
          now_ms: now(),
        }),
      drain: () => drain(),
    }),
    { peers: settings.peers.secret, operators: settings.operators.secret },
  );

  const { promise: stopped, resolve: resolveStopped } = Promise
    .withResolvers<void>();

  function stop(): void {
    lifecycle.handle(HostLifecycleEvent.Stop);
    stopping.abort();
    for (const server of [callerServer, peerServer]) {
      server.close();
      server.closeAllConnections();
    }
    connections.close();
    peers.close();
    platformHttp.close();
    metrics.close();
    resolveStopped();
  }

  function drain(): void {
    if (!lifecycle.handle(HostLifecycleEvent.Drain)) return;
    tellAll(
      { members, peers, now },
      (peer) => peer.heartbeat.mutate(describe()),
    );
    void drainHost({
      lifecycle,
      running,
      callerServer,
      settle: () => settleClaims({ shards, journal, signal }),
      ...settings.drain,
      signal,
    }).then(stop);
  }

  return {
    log,
    stopped,
    stop,
    drain,
    async start() {
      await listenOn(peerServer, listen.peers);
      await listenOn(callerServer, listen.callers);
      log.info({
        event: "start",
        incarnation,
        callers: formatAddress(listen.callers),
        peers: self,
        availability_zone: host.availability_zone,
      });
      void watchConfiguration({
        platform,
        state: configuration,
        watch_ms: settings.platform.watch_ms,
        random,
        signal,
      });
      void runPublisher({
        platform,
        state: configuration,
        log,
        watch_ms: settings.platform.watch_ms,
        isPublisher: () =>
          rankCandidates("publisher", liveHosts()).slice(0, PUBLISHERS)
            .includes(self),
        random,
        signal,
      });
      void runHeartbeats(heartbeatOptions);
      void followHostList(platform, { members, now, signal });
      void journal.run();
      void runPlacement({
        configuration,
        platform,
        looksAfter: (pool) =>
          rankCandidates(`placement/${pool}`, liveHosts())[0] === self,
        log,
        signal,
      });
    },
  };
}

const SETTLE_POLL_MS = 20;
const SETTLE_LIMIT_MS = 2_000;

/** Waits for outcomes to be stored, for a bounded time. */
async function settleClaims(
  { shards, journal, signal }: {
    shards: ShardClaims;
    journal: Journal;
    signal: AbortSignal;
  },
): Promise<void> {
  await journal.close();
  const end_ms = performance.now() + SETTLE_LIMIT_MS;
  while (!shards.idle && performance.now() < end_ms && !signal.aborted) {
    await new Promise((resolve) => setTimeout(resolve, SETTLE_POLL_MS));
  }
}

function listenOn(server: Server, { ip, port }: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, resolve);
  });
}

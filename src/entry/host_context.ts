/** Settings, state and clients that the components of an entry host share. */
import { applyEvacuations } from "../evacuations/apply_evacuations.ts";
import { Evacuations } from "../evacuations/evacuations.ts";
import { randomBytes } from "node:crypto";
import { ConfigurationState } from "../configuration/configuration_state.ts";
import { EndpointConnections } from "../endpoints/endpoint_connections.ts";
import {
  HostLifecycle,
  HostLifecycleEvent,
  HostLifecycleState,
} from "../lifecycle/host_lifecycle.ts";
import {
  createLogger,
  type Logger,
  type WriteLine,
} from "../logging/logger.ts";
import { MemberTable } from "../membership/member_table.ts";
import { createMetrics, MetricName, type Metrics } from "../metrics/metrics.ts";
import { createPlatformClient } from "../object_api/platform_client.ts";
import type { Platform } from "../object_api/types.ts";
import { PeerClients } from "../peers/peer_client.ts";
import { EndpointStates } from "../routing/endpoint_state.ts";
import type { Settings } from "../settings/settings.ts";
import { HttpClient } from "../utils/http_client.ts";

const INCARNATION_BYTES = 8;

/** Clock, randomness and log output of an entry host. */
export interface EntryHostEnvironment {
  /** Milliseconds since the Unix epoch, as in version 7 UUIDs. */
  now: () => number;
  random: () => number;
  writeLine: WriteLine;
}

/** Settings, state and clients that the components of a host share. */
export interface HostContext extends EntryHostEnvironment {
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
  /** The evacuated zones of the active configuration. */
  zones: Evacuations;
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

/** Time over which requests leave a zone. */
const ZONE_LEAVE_MS = 1_000;

/** Creates what the components share; nothing is started. */
export function createHostContext(
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
  const zones = new Evacuations({ leave_ms: ZONE_LEAVE_MS });
  const configuration = new ConfigurationState((generation, source) => {
    log.info({ event: "configuration", generation, source });
    metrics.gauge(MetricName.ConfigurationGeneration, generation);
    states.sync(configuration.records.endpoints.values());
    applyEvacuations(zones, configuration.records, {
      source,
      isFirst: lifecycle.state === HostLifecycleState.Starting,
      log,
      now_ms: performance.now(),
    });
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
    zones,
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

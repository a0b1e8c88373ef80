/** Dependencies of request forwarding, built once for each gateway host. */
import type { EndpointRegistry } from "../store_sync/endpoint_registry.ts";
import type { ActiveConfiguration } from "../store_sync/active_configuration.ts";
import type { BodyLimits } from "../bodies/read_bytes.ts";
import type { GraphOptions } from "../batching/stage_graph.ts";
import type { EndpointAgents } from "../endpoints/endpoint_agents.ts";
import type { EndpointPlaces } from "../endpoint_places/endpoint_places.ts";
import type { EndpointReports } from "../endpoint_reports/endpoint_reports.ts";
import type { Logger } from "../logging/logger.ts";
import type { DrainWindow } from "../lifecycle/drain_window.ts";
import type { ForwardMetrics } from "../metrics/forward_metrics.ts";
import type { ObservedLoad } from "../routing/observed_load.ts";
import type { QuarantineService } from "../quarantine/quarantine_service.ts";
import type { RateLimitService } from "../rate_limits/rate_limit_service.ts";
import type { CheckStart } from "../stream_origins/start_check.ts";
import type { StreamOriginService } from "../stream_origins/stream_origin_service.ts";
import type { EndpointRoutes } from "../reachability/types.ts";
import type { SendToEndpoint } from "../relaying/endpoint_sender.ts";
import type { ServiceTimes } from "../routing/service_times.ts";
import type { PoolRetryBudgets } from "../routing/repeat_budget.ts";
import type { ProtocolCodec } from "./protocol_codec.ts";

/** Services and settings shared by all requests of a gateway host. */
export interface ForwardingDependencies {
  codec: ProtocolCodec;
  configuration: ActiveConfiguration;
  endpoints: EndpointRegistry;
  agents: EndpointAgents;
  /** Sends a request to an endpoint, directly or through another host. */
  send: SendToEndpoint;
  routes: EndpointRoutes;
  load: ObservedLoad;
  retryBudget: PoolRetryBudgets;
  quarantine: QuarantineService;
  rateLimits: RateLimitService;
  places: EndpointPlaces;
  reports: EndpointReports;
  stageGraph: GraphOptions;
  streamOrigins: StreamOriginService;
  checkStart: CheckStart;
  metrics: ForwardMetrics;
  /** Limits of all bodies of callers' requests that this host holds. */
  requestLimits: BodyLimits;
  /** Limits of all responses of endpoints that this host holds. */
  responseLimits: BodyLimits;
  drain: DrainWindow;
  serviceTimes: ServiceTimes;
  /** Whether new requests are accepted. */
  acceptsRequests: () => boolean;
  /**
   * Whether this host is shutting down; responses then close their connections.
   */
  isShuttingDown: () => boolean;
  log: Logger;
  /** Monotonic clock, in milliseconds. */
  now: () => number;
  /** Uniform in [0, 1). */
  random: () => number;
}

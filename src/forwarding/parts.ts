/** What forwarding a request needs; built in one place. */
import type { EndpointRegistry } from "../store_sync/endpoint_registry.ts";
import type { ActiveConfiguration } from "../store_sync/active_configuration.ts";
import type { GraphParts } from "../batching/stage_graph.ts";
import type { EndpointAgents } from "../endpoints/endpoint_agents.ts";
import type { Logger } from "../logging/logger.ts";
import type { ForwardMetrics } from "../metrics/forward_metrics.ts";
import type { ObservedLoad } from "../routing/observed_load.ts";
import type { RepeatBudget } from "../routing/repeat_budget.ts";
import type { Dialect } from "./dialect.ts";

/** See the module's comment. */
export interface ForwardParts {
  dialect: Dialect;
  configuration: ActiveConfiguration;
  endpoints: EndpointRegistry;
  agents: EndpointAgents;
  load: ObservedLoad;
  budget: RepeatBudget;
  stages: GraphParts;
  metrics: ForwardMetrics;
  /** Whether new requests are served. */
  accepts: () => boolean;
  /** Whether callers should use another connection for what follows. */
  leaving: () => boolean;
  log: Logger;
  /** Milliseconds of the steady clock. */
  now: () => number;
  random: () => number;
}

/** What the forwarding of requests needs of a gateway host. */
import { estimateStageTime } from "../batching/expected_wait.ts";
import type { ForwardingDependencies } from "../forwarding/dependencies.ts";
import { HostLifecycleState } from "../lifecycle/host_lifecycle.ts";
import { ServiceTimes } from "../routing/service_times.ts";
import { createStartCheck } from "../stream_origins/start_check.ts";
import type { BatchingComponents } from "./batching_components.ts";
import type { HostContext } from "./host_context.ts";

/** Creates what the forwarding of requests needs. */
export function createForwardingDependencies(
  context: HostContext,
  { jobRouter, pool }: BatchingComponents,
): ForwardingDependencies {
  const { lifecycle } = context;
  return {
    codec: context.adapter.codec,
    configuration: context.configuration,
    endpoints: context.endpoints,
    agents: context.agents,
    send: context.send,
    routes: context.routes,
    load: context.load,
    retryBudget: context.retryBudget,
    quarantine: context.quarantine,
    rateLimits: context.rateLimits,
    places: context.places,
    reports: context.reports,
    streamOrigins: context.streamOrigins,
    checkStart: createStartCheck({
      ...context,
      codec: context.adapter.codec,
      pool,
      onReport(endpoint, { cold_ms }) {
        if (cold_ms !== undefined) {
          context.reports.recordCold(endpoint, cold_ms);
        }
      },
    }),
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
    requestLimits: context.requestLimits,
    responseLimits: context.responseLimits,
    drain: context.drain,
    serviceTimes: new ServiceTimes(),
    acceptsRequests: () => lifecycle.state !== HostLifecycleState.Draining,
    isShuttingDown: () => lifecycle.isShuttingDown,
    log: context.log,
    now: context.now,
    random: context.random,
  };
}

/** Logs and counts what happens to requests. */
import { AttemptEnd } from "../endpoints/attempt.ts";
import type { Logger } from "../logging/logger.ts";
import { MetricName, type Metrics } from "../metrics/metrics.ts";
import { formatIdentity } from "../records/types.ts";
import { OutcomeKind } from "./outcome.ts";
import type { PipelineObserver } from "./pipeline_parts.ts";
import type { PipelineRequest } from "./pipeline_request.ts";

/** Creates the observer for logs and metrics. */
export function createObserver(
  log: Logger,
  metrics: Metrics,
  now: () => number,
): PipelineObserver {
  return {
    onGranted(request, { stage, waited_ms }) {
      if (!metrics.enabled) return;
      const tags = tagsOf(request, { stage });
      metrics.timing(MetricName.StageWait, waited_ms, tags);
    },
    onAttempt(request, { stage, endpoint, attempt, result }) {
      const level = result.end === AttemptEnd.Done ? "debug" : "info";
      if (!metrics.enabled && !log.isLevelEnabled(level)) return;
      const tags = tagsOf(request, { stage, end: result.end });
      metrics.count(MetricName.Attempts, tags);
      metrics.timing(MetricName.StageTime, result.elapsed_ms, tags);
      metrics.timing(MetricName.StageCost, result.cost, tags);
      log[level]({
        event: "attempt",
        ...subjectOf(request),
        stage,
        endpoint: endpoint.name,
        attempt,
        end: result.end,
        sent: result.sent,
        elapsed_ms: Math.round(result.elapsed_ms),
        cost: result.cost,
        detail: result.message === "" ? undefined : result.message,
      });
    },
    onOutcome(request, outcome) {
      const tags = tagsOf(request, { outcome: outcome.kind });
      const elapsed_ms = now() - request.arrived_ms;
      metrics.count(MetricName.Requests, tags);
      metrics.timing(MetricName.RequestTime, elapsed_ms, tags);
      const completed = outcome.kind === OutcomeKind.Completed;
      log.info({
        event: "outcome",
        ...subjectOf(request),
        outcome: outcome.kind,
        reason: completed ? undefined : outcome.reason,
        detail: completed ? undefined : outcome.message,
        stages: outcome.stages.length,
        elapsed_ms: Math.round(elapsed_ms),
      });
    },
  };
}

function subjectOf(request: PipelineRequest) {
  return {
    request_id: request.request_id,
    organisation: formatIdentity(request.organisation),
    pipeline: formatIdentity(request.pipeline),
    rank: request.rank.name,
  };
}

function tagsOf(request: PipelineRequest, more: Record<string, string>) {
  return {
    rank: request.rank.name,
    organisation: formatIdentity(request.organisation),
    ...more,
  };
}

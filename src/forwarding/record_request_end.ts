/** Records how each request ended, in the log and in the metrics. */
import type { ForwardingDependencies } from "./dependencies.ts";
import { endOf, RequestEnd } from "./request_progress.ts";
import type { InboundRequest } from "./run_context.ts";

/** Records the end of a request whose response has closed. */
export function recordRequestEnd(
  { response, progress, arrived_ms }: InboundRequest,
  { log, metrics, now }: ForwardingDependencies,
): void {
  const end = endOf(progress, response);
  metrics.requestEnds.inc({ end });
  if (end !== RequestEnd.Cut && end !== RequestEnd.NoOutcome) return;
  const line = {
    event: "request_cut",
    end,
    attempt: progress.attempt_id,
    route: progress.route,
    stage: progress.stage,
    sends: progress.sends,
    cause: progress.cutCause,
    elapsed_ms: Math.round(now() - arrived_ms),
  };
  if (end === RequestEnd.NoOutcome) log.error(line);
  else log.warn(line);
}

/**
 * Serves one caller's request: admission by its headers, reading its body, and
 * sending it to endpoints. What it comes to is returned; finish_request.ts
 * carries it out.
 */
import { admit, type AdmittedRequest } from "./admit.ts";
import type { ForwardingDependencies } from "./dependencies.ts";
import { BodyReadOutcome, readBody } from "./read_body.ts";
import { QuarantineDecision } from "../quarantine/quarantine_service.ts";
import { sharedParts } from "../quarantine/request_traits.ts";
import {
  HOST_STOPPING,
  NO_MEMORY,
  QUARANTINED,
  type Rejection,
  RejectionReason,
} from "./rejection.ts";
import {
  OutcomeKind,
  refused,
  type RequestOutcome,
} from "./request_outcome.ts";
import { RequestStage } from "./request_progress.ts";
import { type InboundRequest, RunContext } from "./run_context.ts";
import { serveAdmittedRequest } from "./serve_admitted.ts";

/**
 * Handles one request; the response of an endpoint is relayed meanwhile.
 */
export async function forwardRequest(
  inbound: InboundRequest,
  dependencies: ForwardingDependencies,
): Promise<RequestOutcome> {
  const { request, progress } = inbound;
  const head = { url: request.url ?? "/", headers: request.rawHeaders };
  if (!dependencies.acceptsRequests()) {
    return refused(HOST_STOPPING, true);
  }
  const admission = admit(
    head,
    dependencies.configuration.routeTable,
    dependencies.codec,
  );
  if (!admission.ok) {
    logRejection(dependencies, inbound, admission.rejection);
    return refused(admission.rejection);
  }
  const { admitted } = admission;
  progress.attempt_id = admitted.metadata.attempt_id;
  progress.route = admitted.route.name;
  const parts = sharedParts(admitted.metadata.prompt);
  const byParts = dependencies.quarantine.admit(parts);
  if (byParts === QuarantineDecision.Reject) {
    return refuseQuarantined(inbound, admitted, dependencies);
  }
  progress.stage = RequestStage.ReadingBody;
  const read = await readBody(request, {
    max_bytes: admitted.max_body_bytes,
    limits: dependencies.requestLimits,
    signal: dependencies.drain.signal,
  });
  if (read.kind === BodyReadOutcome.Aborted) {
    return { kind: OutcomeKind.CallerGone };
  }
  if (read.kind === BodyReadOutcome.Interrupted) {
    return refused(HOST_STOPPING, true);
  }
  if (read.kind === BodyReadOutcome.TooLarge) {
    const rejection = {
      reason: RejectionReason.BodyTooLarge,
      message: "Send less",
    };
    return refused(rejection, true);
  }
  if (read.kind === BodyReadOutcome.NoMemory) {
    logRejection(dependencies, inbound, NO_MEMORY);
    return refused(NO_MEMORY, true);
  }
  inbound.response.once("close", () => read.held?.release());
  if (inbound.response.closed) read.held?.release();
  const context = new RunContext(inbound, admitted, {
    body: read.body,
    dependencies,
  });
  const decision = byParts === QuarantineDecision.AdmitAsProbe
    ? byParts
    : admitWhole(context);
  if (decision === QuarantineDecision.Reject) {
    return refuseQuarantined(inbound, admitted, dependencies);
  }
  context.isProbe = decision === QuarantineDecision.AdmitAsProbe;
  return await serveAdmittedRequest(context);
}

/** Decides by all traits of a request, once its body has been read. */
function admitWhole({ traits, dependencies }: RunContext): QuarantineDecision {
  const { quarantine } = dependencies;
  return quarantine.entries.isEmpty
    ? QuarantineDecision.Admit
    : quarantine.admit(traits.all);
}

function refuseQuarantined(
  inbound: InboundRequest,
  { route }: AdmittedRequest,
  dependencies: ForwardingDependencies,
): RequestOutcome {
  logRejection(dependencies, inbound, QUARANTINED);
  const { reason } = QUARANTINED;
  dependencies.metrics.requests.inc({ kind: route.kind, outcome: reason });
  return refused(QUARANTINED);
}

function logRejection(
  { log, configuration }: ForwardingDependencies,
  { request }: InboundRequest,
  { reason: denial, message }: Rejection,
): void {
  log.info({
    event: "denied",
    outcome: denial,
    reason: message,
    configuration: configuration.version,
    host_header: request.headers.host,
  });
}

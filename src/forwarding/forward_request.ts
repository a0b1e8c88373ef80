/**
 * Brings one request through: admission from its head, its body, then its run.
 * Whatever happens, the caller gets one whole answer, a refusal that is true,
 * or a connection that visibly broke.
 */
import { admit } from "./admit.ts";
import type { ForwardingDependencies } from "./dependencies.ts";
import { BodyReadOutcome, readBody } from "./read_body.ts";
import { type Rejection, RejectionReason, sendRejection } from "./rejection.ts";
import { type InboundRequest, RequestContext } from "./request_context.ts";
import { serveAdmitted } from "./serve_admitted.ts";

/** What a host says that stops before a new request could end. */
const HOST_STOPPING: Rejection = {
  reason: RejectionReason.NotReady,
  message: "This host is stopping",
  retry_after_ms: 20,
};

/** Serves one request to its end. */
export async function forwardRequest(
  inbound: InboundRequest,
  parts: ForwardingDependencies,
): Promise<void> {
  const { request, response } = inbound;
  const head = { url: request.url ?? "/", headers: request.rawHeaders };
  if (!parts.acceptsRequests()) {
    sendRejection(response, HOST_STOPPING, false);
    return;
  }
  const admission = admit(head, parts.configuration.table, parts.codec);
  if (!admission.ok) {
    logRejection(parts, inbound, admission.rejection);
    sendRejection(response, admission.rejection, !parts.isLeaving());
    return;
  }
  const { admitted } = admission;
  const read = await readBody(request, admitted.max_body_bytes);
  if (read.kind === BodyReadOutcome.Aborted) return;
  if (read.kind === BodyReadOutcome.TooLarge) {
    const rejection = {
      reason: RejectionReason.BodyTooLarge,
      message: "Send less",
    };
    sendRejection(response, rejection, false);
    return;
  }
  await serveAdmitted(
    new RequestContext(inbound, admitted, { body: read.body, parts }),
  );
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

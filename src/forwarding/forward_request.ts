/**
 * Brings one request through: admission from its head, its body, then its run.
 * Whatever happens, the caller gets one whole answer, a refusal that is true,
 * or a connection that visibly broke.
 */
import { admit } from "./admit.ts";
import type { ForwardParts } from "./parts.ts";
import { BodyReadEnd, readBody } from "./read_body.ts";
import { answerDenied, Denial, type Denied } from "./refusal.ts";
import { type Inbound, RunContext } from "./run_context.ts";
import { serveRun } from "./serve_run.ts";

/** What a host says that stops before a new request could end. */
const LEAVING: Denied = {
  denial: Denial.NotReady,
  message: "This host is stopping",
  retry_after_ms: 20,
};

/** Serves one request to its end. */
export async function forwardRequest(
  inbound: Inbound,
  parts: ForwardParts,
): Promise<void> {
  const { request, response } = inbound;
  const head = { url: request.url ?? "/", headers: request.rawHeaders };
  if (!parts.accepts()) {
    answerDenied(response, LEAVING, false);
    return;
  }
  const admission = admit(head, parts.configuration.routeTable, parts.dialect);
  if (!admission.ok) {
    logDenied(parts, inbound, admission.denied);
    answerDenied(response, admission.denied, !parts.leaving());
    return;
  }
  const { admitted } = admission;
  const read = await readBody(request, admitted.body_limit_bytes);
  if (read.kind === BodyReadEnd.Cut) return;
  if (read.kind === BodyReadEnd.TooLarge) {
    const denied = { denial: Denial.BodyTooLarge, message: "Send less" };
    answerDenied(response, denied, false);
    return;
  }
  await serveRun(new RunContext(inbound, admitted, { body: read.body, parts }));
}

function logDenied(
  { log, configuration }: ForwardParts,
  { request }: Inbound,
  { denial, message }: Denied,
): void {
  log.info({
    event: "denied",
    outcome: denial,
    reason: message,
    configuration: configuration.version,
    host_header: request.headers.host,
  });
}

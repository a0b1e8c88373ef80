/**
 * Ends requests: the only place that refuses them, passes withheld errors on, or
 * closes a connection whose request has not been answered.
 */
import type { ForwardingDependencies } from "./dependencies.ts";
import {
  FAULT_AFTER_SEND,
  FAULT_BEFORE_SEND,
  sendRejection,
} from "./rejection.ts";
import { sendBufferedResponse } from "./relay.ts";
import {
  OutcomeKind,
  refused,
  type RequestOutcome,
} from "./request_outcome.ts";
import type { RequestProgress } from "./request_progress.ts";
import type { InboundRequest } from "./run_context.ts";

/**
 * Handles a request and carries out its outcome. Never rejects: an error thrown
 * while the request is handled counts as an outcome as well.
 */
export async function finishRequest(
  inbound: InboundRequest,
  dependencies: ForwardingDependencies,
  handle: () => Promise<RequestOutcome>,
): Promise<void> {
  const { log } = dependencies;
  const { response, progress } = inbound;
  response.on("error", (error) =>
    log.info({
      event: "response_error",
      attempt: progress.attempt_id,
      error: error.message,
    }));
  try {
    carryOut(inbound, await handle(), dependencies);
  } catch (error) {
    logFault(error as Error, inbound, dependencies);
  }
  try {
    if (isOpen(inbound)) {
      carryOut(inbound, outcomeAfterFault(inbound), dependencies);
    }
  } catch (error) {
    logFault(error as Error, inbound, dependencies);
    progress.cut(response, `fault: ${(error as Error).message}`);
  }
}

function carryOut(
  inbound: InboundRequest,
  outcome: RequestOutcome,
  { isShuttingDown }: ForwardingDependencies,
): void {
  const { response, progress } = inbound;
  if (!isOpen(inbound)) return;
  switch (outcome.kind) {
    case OutcomeKind.Refused:
      return sendRejection(
        inbound,
        outcome.rejection,
        !outcome.closeConnection && !isShuttingDown(),
      );
    case OutcomeKind.ErrorPassedOn:
      return sendBufferedResponse(
        response,
        outcome.buffered,
        isShuttingDown(),
      );
    case OutcomeKind.Cut:
      return progress.cut(response, outcome.cause);
    case OutcomeKind.Relayed:
    case OutcomeKind.CallerGone:
      return;
  }
}

/** Whether the caller still waits for the response or for the rest of it. */
function isOpen({ response }: InboundRequest): boolean {
  return !response.writableEnded && !response.destroyed;
}

/** The outcome of a request whose handling threw or left its response open. */
function outcomeAfterFault(
  { response, progress }: InboundRequest,
): RequestOutcome {
  if (response.headersSent) {
    return { kind: OutcomeKind.Cut, cause: "fault" };
  }
  return refused(rejectionAfterFault(progress));
}

function rejectionAfterFault(progress: RequestProgress) {
  return progress.mayHaveRun ? FAULT_AFTER_SEND : FAULT_BEFORE_SEND;
}

function logFault(
  error: Error,
  { progress }: InboundRequest,
  { log }: ForwardingDependencies,
): void {
  log.error({
    event: "fault",
    attempt: progress.attempt_id,
    stage: progress.stage,
    error: error.stack,
  });
}

/**
 * Serves an admitted request: runs its stages, then sends it until it is
 * answered.
 */
import { type GraphOutcome, runStages } from "../batching/stage_graph.ts";
import { JobOutcomeKind } from "../batching/types.ts";
import { HOST_STOPPING, QUARANTINED, RejectionReason } from "./rejection.ts";
import { sendBufferedResponse } from "./relay.ts";
import { RequestStage } from "./request_progress.ts";
import { type RunContext, StopReason } from "./run_context.ts";
import { SendOutcome, type StageInputs } from "./complete_exchange.ts";
import { sendOnce } from "./send_once.ts";
import {
  chooseEndpoint,
  limitWaitMs,
  reserveIfLimited,
  takeEndpoint,
} from "./take_endpoint.ts";

/**
 * Maximum number of sends of one request, counting those that did not run it.
 */
const MAX_SENDS = 6;
/** Retry delay for callers when no endpoint can take the request. */
const NO_ENDPOINT_RETRY_AFTER_MS = 250;
/** Maximum number of times the stages run when their results are lost. */
const MAX_STAGE_RUNS = 2;

const NO_INPUTS: StageInputs = { results: [], freeResults: () => {} };

/**
 * Serves an admitted request until the caller has a response or has
 * disconnected.
 */
export async function serveAdmittedRequest(context: RunContext): Promise<void> {
  const { response } = context.inbound;
  const timer = setTimeout(
    () => context.stop(StopReason.DeadlinePassed),
    context.remainingMs(),
  );
  response.once("close", () => {
    if (!response.writableFinished) context.stop(StopReason.CallerDisconnected);
  });
  const { endOfDrain } = context.dependencies;
  const onEndOfDrain = () => context.stop(StopReason.HostStopping);
  endOfDrain.addEventListener("abort", onEndOfDrain);
  context.dependencies.retryBudget.recordRequest(
    context.pool,
    context.dependencies.now(),
  );
  try {
    if (!needsStages(context)) await sendUntilAnswered(context, NO_INPUTS);
    else if (await reserveIfLimited(context)) await serveWithStages(context);
    else endUnanswered(context);
  } finally {
    clearTimeout(timer);
    endOfDrain.removeEventListener("abort", onEndOfDrain);
  }
}

function needsStages({ admitted }: RunContext): boolean {
  const { route, metadata } = admitted;
  return route.stages.some((_, index) => (metadata.pieces[index] ?? 0) > 0);
}

async function serveWithStages(context: RunContext): Promise<void> {
  for (let round = 1; round <= MAX_STAGE_RUNS; round++) {
    const outcome = await runInputStages(context);
    if (outcome.kind === JobOutcomeKind.InputsGone) continue;
    if (outcome.kind !== JobOutcomeKind.Completed) {
      return rejectFailedStages(context, outcome);
    }
    const inputsLost = await sendUntilAnswered(context, outcome);
    outcome.freeResults();
    if (!inputsLost) return;
  }
  context.reject({
    reason: RejectionReason.NoEndpoint,
    message: "Results of its stages were lost",
    retry_after_ms: NO_ENDPOINT_RETRY_AFTER_MS,
  });
}

async function runInputStages(context: RunContext): Promise<GraphOutcome> {
  context.inbound.progress.stage = RequestStage.Stages;
  const { route, metadata, priority } = context.admitted;
  const { stageGraph, metrics, load, now, log } = context.dependencies;
  const started_ms = now();
  // The zone of the endpoint that would serve the request now.
  const home_zone = context.sharedPromptPrefix === undefined
    ? undefined
    : chooseEndpoint(context, new Set())?.availability_zone;
  const outcome = await runStages({
    attempt_id: metadata.attempt_id,
    route,
    priority,
    pieces: metadata.pieces,
    piece_key: metadata.piece_key,
    home_zone,
    due_ms: context.inbound.arrived_ms + route.target_latency_ms -
      load.firstByteMs(context.pool),
    expires_ms: context.first_byte_by_ms,
    signal: context.signal,
  }, stageGraph);
  const elapsed_ms = now() - started_ms;
  metrics.allStagesTime.observe({ outcome: outcome.kind }, elapsed_ms);
  log.info({
    event: "stages",
    attempt: metadata.attempt_id,
    route: route.name,
    pieces: metadata.pieces.join(","),
    home_zone,
    zones: zonesOf(outcome),
    elapsed_ms: Math.round(elapsed_ms),
    outcome: outcome.kind,
    reason: outcome.kind === JobOutcomeKind.Failed ? outcome.reason : undefined,
    retry_after_ms: outcome.kind === JobOutcomeKind.Refused
      ? Math.round(outcome.retry_after_ms)
      : undefined,
  });
  return outcome;
}

function zonesOf(outcome: GraphOutcome): string | undefined {
  if (outcome.kind !== JobOutcomeKind.Completed) return undefined;
  const zones = outcome.results.map((result) => result.availability_zone);
  return [...new Set(zones)].join(",");
}

/** Rejects a request, as not run, whose stages failed. */
function rejectFailedStages(
  context: RunContext,
  outcome: Extract<
    GraphOutcome,
    { kind: JobOutcomeKind.Refused | JobOutcomeKind.Failed }
  >,
): void {
  if (outcome.kind === JobOutcomeKind.Refused) {
    return context.reject({
      reason: RejectionReason.StagesTooSlow,
      message: "Its stages can't be made in time",
      retry_after_ms: outcome.retry_after_ms,
    });
  }
  if (context.stopReason === StopReason.HostStopping) {
    return context.reject(HOST_STOPPING);
  }
  const expired = context.stopReason === StopReason.DeadlinePassed ||
    outcome.reason === "expired";
  context.reject({
    reason: expired ? RejectionReason.TooLate : RejectionReason.NoEndpoint,
    message: "Its stages could not be made",
    retry_after_ms: expired ? undefined : NO_ENDPOINT_RETRY_AFTER_MS,
  });
}

/**
 * Sends the request until it is answered; true if its stage results were lost.
 */
async function sendUntilAnswered(
  context: RunContext,
  inputs: StageInputs,
): Promise<boolean> {
  const tried = new Set<string>();
  let failures = 0;
  const { progress } = context.inbound;
  while (progress.sends < MAX_SENDS && context.stopReason === undefined) {
    progress.stage = RequestStage.ChoosingEndpoint;
    const endpoint = await takeEndpoint(context, tried);
    if (context.isQuarantined) return rejectQuarantined(context);
    if (endpoint === undefined || !tryTakeSend(context)) break;
    progress.sends += 1;
    progress.stage = RequestStage.Sending;
    const outcome = await sendOnce(context, endpoint, inputs);
    if (outcome === SendOutcome.Answered) return false;
    if (outcome === SendOutcome.InputsLost) return true;
    tried.add(endpoint.id);
    if (outcome === SendOutcome.NotRun) continue;
    context.mayHaveRun = true;
    failures += 1;
    const { max_attempts } = context.admitted.route;
    if (!context.idempotent || failures >= max_attempts) break;
    if (await context.crashSuspicion) break;
  }
  endUnanswered(context);
  return false;
}

/** Ends a request on whose prompt endpoints crash; false: no input was lost. */
function rejectQuarantined(context: RunContext): boolean {
  if (context.mayHaveRun) endUnanswered(context);
  else context.reject(QUARANTINED);
  return false;
}

/**
 * Takes a retry from the retry budget, unless this is the first send; false if
 * the budget is exhausted.
 */
function tryTakeSend(
  { sendCount, dependencies, pool }: RunContext,
): boolean {
  return sendCount === 0 ||
    dependencies.retryBudget.tryTake(pool, dependencies.now());
}

/**
 * Ends a request that no endpoint answered. The rejection claims that the
 * request has not run only if that is certain.
 */
function endUnanswered(context: RunContext): void {
  const { response, progress } = context.inbound;
  if (response.writableEnded || response.destroyed) return;
  if (response.headersSent) {
    return progress.cut(response, context.stopReason ?? "not_resumed");
  }
  if (context.bufferedError !== undefined) {
    context.recordOutcome("error_passed_on");
    return sendBufferedResponse(
      response,
      context.bufferedError,
      context.dependencies.isShuttingDown(),
    );
  }
  if (context.stopReason === StopReason.DeadlinePassed) {
    const reason = context.sendCount > 0
      ? RejectionReason.TimedOut
      : RejectionReason.TooLate;
    return context.reject({ reason, message: "Its time ran out" });
  }
  if (context.mayHaveRun) {
    return context.reject({
      reason: RejectionReason.EndpointLost,
      message: "The endpoint gave no whole answer",
    });
  }
  if (context.stopReason === StopReason.HostStopping) {
    return context.reject(HOST_STOPPING);
  }
  context.reject({
    reason: RejectionReason.NoEndpoint,
    message: "No endpoint can take it now",
    retry_after_ms: Math.max(NO_ENDPOINT_RETRY_AFTER_MS, limitWaitMs(context)),
  });
}

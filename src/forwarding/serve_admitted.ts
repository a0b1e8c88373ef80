/**
 * Serves an admitted request: runs its stages, then sends it until it is
 * answered.
 */
import { type GraphOutcome, runStages } from "../batching/stage_graph.ts";
import { ENDPOINTS_CRASH, JobOutcomeKind } from "../batching/types.ts";
import { setTimeout as delay } from "node:timers/promises";
import { fitsDrain } from "./fits_drain.ts";
import {
  HOST_STOPPING,
  QUARANTINED,
  RejectionReason,
  VERSION_UNKNOWN,
  ZONES_EVACUATED,
} from "./rejection.ts";
import {
  OutcomeKind,
  refused,
  type RequestOutcome,
} from "./request_outcome.ts";
import { RequestStage } from "./request_progress.ts";
import { type RunContext, StopReason } from "./run_context.ts";
import { isRejection, SendOutcome, type StageInputs } from "./send_result.ts";
import { sendOnce } from "./send_once.ts";
import {
  confirmStreamOrigin,
  isAtStreamVersion,
  resolveStreamOrigin,
} from "./stream_origin.ts";
import { stopIfCallerLeft } from "./stop_if_caller_left.ts";
import {
  chooseEndpoint,
  earliestSendMs,
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
 * Time after a request was stopped in which its handling must end, in
 * milliseconds.
 */
const END_AFTER_STOP_MS = 150;

/** Serves an admitted request, and records what it has come to. */
export async function serveAdmittedRequest(
  context: RunContext,
): Promise<RequestOutcome> {
  const { response } = context.inbound;
  const timer = setTimeout(
    () => context.stop(StopReason.DeadlinePassed),
    context.remainingMs(),
  );
  response.once("close", () => {
    if (response.writableFinished) return;
    const { cutCause } = context.inbound.progress;
    context.stop(
      cutCause === undefined
        ? StopReason.CallerDisconnected
        : StopReason.ResponseCut,
    );
  });
  const endOfDrain = context.dependencies.drain.signal;
  const onEndOfDrain = () => context.stop(StopReason.HostStopping);
  endOfDrain.addEventListener("abort", onEndOfDrain);
  context.dependencies.retryBudget.recordRequest(
    context.pool,
    context.dependencies.now(),
  );
  try {
    const outcome = asCallerSaw(
      context,
      await Promise.race([serveInStages(context), outcomeAfterStop(context)]),
    );
    context.recordOutcome(labelOf(outcome));
    return outcome;
  } catch (error) {
    context.stop(StopReason.Faulted);
    context.recordOutcome(StopReason.Faulted);
    throw error;
  } finally {
    clearTimeout(timer);
    endOfDrain.removeEventListener("abort", onEndOfDrain);
  }
}

/**
 * The outcome of a request whose handling does not end although the request was
 * stopped; pending for any other.
 */
async function outcomeAfterStop(context: RunContext): Promise<RequestOutcome> {
  await context.stopped;
  await delay(END_AFTER_STOP_MS, undefined, { ref: false });
  return unansweredOutcome(context);
}

/**
 * What an outcome came to: whatever was decided, a caller that has left did not
 * get it, and one whose response was cut did not get it whole.
 */
function asCallerSaw(
  { stopReason, inbound }: RunContext,
  outcome: RequestOutcome,
): RequestOutcome {
  const { cutCause } = inbound.progress;
  if (cutCause !== undefined) {
    return { kind: OutcomeKind.Cut, cause: cutCause };
  }
  return stopReason === StopReason.CallerDisconnected
    ? { kind: OutcomeKind.CallerGone }
    : outcome;
}

function labelOf(outcome: RequestOutcome): string {
  switch (outcome.kind) {
    case OutcomeKind.Relayed:
      return outcome.label;
    case OutcomeKind.Refused:
      return outcome.rejection.reason;
    default:
      return outcome.kind;
  }
}

async function serveInStages(context: RunContext): Promise<RequestOutcome> {
  if (!fitsDrain(context)) return refused(HOST_STOPPING);
  const rejection = await resolveStreamOrigin(context);
  if (rejection !== VERSION_UNKNOWN && context.isEvacuated) {
    return refused(ZONES_EVACUATED);
  }
  if (rejection !== undefined) return refused(rejection);
  if (needsStages(context)) await stopIfCallerLeft(context);
  if (needsStages(context)) {
    return await reserveIfLimited(context)
      ? await serveWithStages(context)
      : unansweredOutcome(context);
  }
  return await sendUntilAnswered(context, NO_INPUTS) ??
    unansweredOutcome(context);
}

function needsStages({ admitted }: RunContext): boolean {
  const { route, metadata } = admitted;
  return route.stages.some((_, index) => (metadata.pieces[index] ?? 0) > 0);
}

async function serveWithStages(
  context: RunContext,
): Promise<RequestOutcome> {
  for (let round = 1; round <= MAX_STAGE_RUNS; round++) {
    const outcome = await runInputStages(context);
    if (outcome.kind === JobOutcomeKind.InputsGone) continue;
    if (outcome.kind !== JobOutcomeKind.Completed) {
      return outcomeAfterFailedStages(context, outcome);
    }
    const sent = await sendUntilAnswered(context, outcome);
    outcome.freeResults();
    if (sent !== undefined) return sent;
  }
  if (context.mayHaveRun) return unansweredOutcome(context);
  return refused({
    reason: RejectionReason.NoEndpoint,
    message: "Results of its stages were lost",
    retry_after_ms: NO_ENDPOINT_RETRY_AFTER_MS,
  });
}

async function runInputStages(context: RunContext): Promise<GraphOutcome> {
  context.inbound.progress.stage = RequestStage.Stages;
  const { route, metadata, stage_priority } = context.admitted;
  const { stageGraph, metrics, load, now, log } = context.dependencies;
  const started_ms = now();
  // The zone of the endpoint that would serve the request now.
  const home_zone = context.sharedPromptPrefix === undefined
    ? undefined
    : chooseEndpoint(context, new Set())?.availability_zone;
  const outcome = await runStages({
    attempt_id: metadata.attempt_id,
    fingerprint: context.traits.fingerprint,
    route,
    priority: stage_priority,
    pieces: metadata.pieces,
    piece_key: metadata.piece_key,
    home_zone,
    has_begun: context.streamVersion !== undefined,
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

/** The outcome of a request whose stages failed; it may have run before. */
function outcomeAfterFailedStages(
  context: RunContext,
  outcome: Extract<
    GraphOutcome,
    { kind: JobOutcomeKind.Refused | JobOutcomeKind.Failed }
  >,
): RequestOutcome {
  if (context.mayHaveRun) return unansweredOutcome(context);
  if (outcome.kind === JobOutcomeKind.Refused) {
    return refused({
      reason: RejectionReason.StagesTooSlow,
      message: "Its stages can't be made in time",
      retry_after_ms: outcome.retry_after_ms,
    });
  }
  if (context.stopReason === StopReason.HostStopping) {
    return refused(HOST_STOPPING);
  }
  if (outcome.reason === ENDPOINTS_CRASH) return refused(QUARANTINED);
  const expired = context.stopReason === StopReason.DeadlinePassed ||
    outcome.reason === "expired";
  return refused({
    reason: expired ? RejectionReason.TooLate : RejectionReason.NoEndpoint,
    message: "Its stages could not be made",
    retry_after_ms: expired ? undefined : NO_ENDPOINT_RETRY_AFTER_MS,
  });
}

/**
 * Sends the request until it is answered; undefined if its stage results were
 * lost.
 */
async function sendUntilAnswered(
  context: RunContext,
  inputs: StageInputs,
): Promise<RequestOutcome | undefined> {
  try {
    return await sendRepeatedly(context, inputs);
  } finally {
    context.releasePlace(false);
  }
}

async function sendRepeatedly(
  context: RunContext,
  inputs: StageInputs,
): Promise<RequestOutcome | undefined> {
  const tried = new Set<string>();
  let failures = 0;
  const { progress } = context.inbound;
  while (progress.sends < MAX_SENDS && context.stopReason === undefined) {
    progress.stage = RequestStage.ChoosingEndpoint;
    await stopIfCallerLeft(context);
    const endpoint = await takeEndpoint(context, tried);
    if (context.isQuarantined) return quarantinedOutcome(context);
    if (!fitsDrain(context)) context.stop(StopReason.HostStopping);
    if (context.stopReason !== undefined) break;
    if (endpoint === undefined) break;
    if (!await isAtStreamVersion(context, endpoint)) {
      tried.add(endpoint.id);
      continue;
    }
    if (!tryTakeSend(context)) break;
    progress.sends += 1;
    progress.stage = RequestStage.Sending;
    const result = await sendOnce(context, endpoint, inputs);
    context.releasePlace(isRejection(result), result.place_outcome);
    const { outcome, observedOutcome } = result;
    if (outcome === SendOutcome.Answered) {
      // Its caller may have left and resume it elsewhere.
      if (context.mayBeResumed) void confirmStreamOrigin(context);
      return { kind: OutcomeKind.Relayed, label: observedOutcome };
    }
    if (outcome === SendOutcome.InputsLost) {
      return undefined;
    }
    tried.add(endpoint.id);
    if (outcome !== SendOutcome.MayHaveRun) continue;
    await confirmStreamOrigin(context);
    failures += 1;
    const { max_attempts } = context.admitted.route;
    if (!context.idempotent || failures >= max_attempts) break;
    if (await context.crashSuspicion) break;
  }
  return unansweredOutcome(context);
}

/** The outcome of a request on whose prompt endpoints crash. */
function quarantinedOutcome(context: RunContext): RequestOutcome {
  return context.mayHaveRun ? unansweredOutcome(context) : refused(QUARANTINED);
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
 * The outcome of a request that no endpoint answered. A rejection claims that
 * the request has not run only if that is certain.
 */
function unansweredOutcome(context: RunContext): RequestOutcome {
  const { response } = context.inbound;
  const { stopReason, bufferedError } = context;
  if (response.headersSent) {
    return { kind: OutcomeKind.Cut, cause: stopReason ?? "not_resumed" };
  }
  if (bufferedError !== undefined) {
    return { kind: OutcomeKind.ErrorPassedOn, buffered: bufferedError };
  }
  if (stopReason === StopReason.DeadlinePassed) {
    const reason = context.mayHaveRun
      ? RejectionReason.TimedOut
      : RejectionReason.TooLate;
    return refused({ reason, message: "Its time ran out" });
  }
  if (context.mayHaveRun) {
    return refused({
      reason: RejectionReason.EndpointLost,
      message: "The endpoint gave no whole answer",
    });
  }
  if (stopReason === StopReason.HostStopping) return refused(HOST_STOPPING);
  if (context.isEvacuated) return refused(ZONES_EVACUATED);
  return refused({
    reason: RejectionReason.NoEndpoint,
    message: "No endpoint can take it now",
    retry_after_ms: Math.max(
      NO_ENDPOINT_RETRY_AFTER_MS,
      earliestSendMs(context),
    ),
  });
}

/** The steps of one admitted request: its stages, then sends until an answer. */
import { type GraphOutcome, runStages } from "../batching/stage_graph.ts";
import { JobEnd } from "../batching/types.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import {
  chooseByPrefix,
  chooseOfTwo,
} from "../routing/choose_route_endpoint.ts";
import { RejectionReason } from "./rejection.ts";
import { sendBufferedResponse } from "./relay.ts";
import { type RequestContext, StopReason } from "./request_context.ts";
import { sendOnce, SendOutcome, type StageInputs } from "./send_once.ts";

/** How often a request that surely has not run may be tried elsewhere. */
const MAX_SENDS = 6;
/** When to come back if every endpoint is full, in milliseconds. */
const NO_ENDPOINT_RETRY_AFTER_MS = 250;
/** Stages are run again if their results got lost, but not for ever. */
const MAX_STAGE_RUNS = 2;

const NO_INPUTS: StageInputs = { results: [], giveUp: () => {} };

/** Serves an admitted request to its end. */
export async function serveAdmitted(run: RequestContext): Promise<void> {
  const { response } = run.inbound;
  const timer = setTimeout(
    () => run.stop(StopReason.DeadlinePassed),
    run.remainingMs(),
  );
  response.once("close", () => {
    if (!response.writableFinished) run.stop(StopReason.CallerDisconnected);
  });
  run.dependencies.retryBudget.fresh(run.pool, run.dependencies.now());
  try {
    if (needsStages(run)) await serveWithStages(run);
    else await sendUntilAnswered(run, NO_INPUTS);
  } finally {
    clearTimeout(timer);
  }
}

function needsStages({ admitted }: RequestContext): boolean {
  const { route, metadata: marks } = admitted;
  return route.stages.some((_, index) => (marks.pieces[index] ?? 0) > 0);
}

async function serveWithStages(run: RequestContext): Promise<void> {
  for (let round = 1; round <= MAX_STAGE_RUNS; round++) {
    const outcome = await runInputStages(run);
    if (outcome.kind === JobEnd.InputsGone) continue;
    if (outcome.kind !== JobEnd.Made) return rejectFailedStages(run, outcome);
    const inputsLost = await sendUntilAnswered(run, outcome);
    outcome.giveUp();
    if (!inputsLost) return;
  }
  run.reject({
    reason: RejectionReason.NoEndpoint,
    message: "Results of its stages were lost",
    retry_after_ms: NO_ENDPOINT_RETRY_AFTER_MS,
  });
}

async function runInputStages(run: RequestContext): Promise<GraphOutcome> {
  const { route, metadata: marks, priority } = run.admitted;
  const { stageGraph: stages, metrics, load, now, log } = run.dependencies;
  const started_ms = now();
  // Where the request will go, as of now.
  const home_zone = run.sharedPromptPrefix === undefined
    ? undefined
    : chooseEndpoint(run, new Set())?.availability_zone;
  const outcome = await runStages({
    attempt_id: marks.attempt_id,
    route,
    priority,
    pieces: marks.pieces,
    piece_key: marks.piece_key,
    home_zone,
    due_ms: run.inbound.arrived_ms + route.target_latency_ms -
      load.typicalMs(run.pool),
    expires_ms: run.first_byte_by_ms,
    signal: run.signal,
  }, stages);
  const elapsed_ms = now() - started_ms;
  metrics.stagesTime.observe({ outcome: outcome.kind }, elapsed_ms);
  log.info({
    event: "stages",
    attempt: marks.attempt_id,
    route: route.name,
    pieces: marks.pieces.join(","),
    home_zone,
    zones: zonesOf(outcome),
    elapsed_ms: Math.round(elapsed_ms),
    outcome: outcome.kind,
    reason: outcome.kind === JobEnd.Failed ? outcome.reason : undefined,
    retry_after_ms: outcome.kind === JobEnd.Refused
      ? Math.round(outcome.retry_after_ms)
      : undefined,
  });
  return outcome;
}

function zonesOf(outcome: GraphOutcome): string | undefined {
  if (outcome.kind !== JobEnd.Made) return undefined;
  const zones = outcome.results.map((result) => result.availability_zone);
  return [...new Set(zones)].join(",");
}

/** Says that the request has not run, since its stages could not be made. */
function rejectFailedStages(
  run: RequestContext,
  outcome: Extract<GraphOutcome, { kind: JobEnd.Refused | JobEnd.Failed }>,
): void {
  if (outcome.kind === JobEnd.Refused) {
    return run.reject({
      reason: RejectionReason.NoRoom,
      message: "Its stages can't be made in time",
      retry_after_ms: outcome.retry_after_ms,
    });
  }
  const expired = run.stopReason === StopReason.DeadlinePassed ||
    outcome.reason === "expired";
  run.reject({
    reason: expired ? RejectionReason.TooLate : RejectionReason.NoEndpoint,
    message: "Its stages could not be made",
    retry_after_ms: expired ? undefined : NO_ENDPOINT_RETRY_AFTER_MS,
  });
}

/** Sends until there is an answer; true if the inputs are gone. */
async function sendUntilAnswered(
  run: RequestContext,
  inputs: StageInputs,
): Promise<boolean> {
  const tried = new Set<string>();
  let failures = 0;
  while (run.sendCount < MAX_SENDS && run.stopReason === undefined) {
    const endpoint = chooseEndpoint(run, tried);
    if (endpoint === undefined || !takeSendPermit(run)) break;
    run.sendCount += 1;
    const outcome = await sendOnce(run, endpoint, inputs);
    if (outcome === SendOutcome.Answered) return false;
    if (outcome === SendOutcome.InputsLost) return true;
    tried.add(endpoint.id);
    if (outcome === SendOutcome.NotRun) continue;
    run.mayHaveRun = true;
    failures += 1;
    const { max_attempts } = run.admitted.route;
    if (!run.idempotent || failures >= max_attempts) break;
  }
  endUnanswered(run);
  return false;
}

/** A first send is free; repeats draw on the budget. */
function takeSendPermit(
  { sendCount: sends, dependencies: parts, pool }: RequestContext,
): boolean {
  return sends === 0 || parts.retryBudget.take(pool, parts.now());
}

function chooseEndpoint(
  run: RequestContext,
  tried: ReadonlySet<string>,
): RouteEndpoint | undefined {
  const { endpoints, configuration, load, now, random } = run.dependencies;
  const now_ms = now();
  const candidates = endpoints.readyOf(run.pool, now_ms)
    .filter((endpoint) => !tried.has(endpoint.id));
  if (candidates.length === 0) return undefined;
  const selection = { candidates, load, now_ms, random };
  const pool = configuration.table?.configuration.pools.get(run.pool);
  return pool?.model_engine === true && run.sharedPromptPrefix !== undefined
    ? chooseByPrefix(run.sharedPromptPrefix, selection)
    : chooseOfTwo(selection);
}

/** Ends a request that no endpoint answered; true to what may have run. */
function endUnanswered(run: RequestContext): void {
  const { response } = run.inbound;
  if (response.writableEnded || response.destroyed) return;
  if (response.headersSent) return void response.destroy();
  if (run.bufferedError !== undefined) {
    run.recordOutcome("error_passed_on");
    return sendBufferedResponse(
      response,
      run.bufferedError,
      run.dependencies.isLeaving(),
    );
  }
  if (run.stopReason === StopReason.DeadlinePassed) {
    const denial = run.sendCount > 0
      ? RejectionReason.TimedOut
      : RejectionReason.TooLate;
    return run.reject({ reason: denial, message: "Its time ran out" });
  }
  if (run.mayHaveRun) {
    return run.reject({
      reason: RejectionReason.EndpointLost,
      message: "The endpoint gave no whole answer",
    });
  }
  run.reject({
    reason: RejectionReason.NoEndpoint,
    message: "No endpoint can take it now",
    retry_after_ms: NO_ENDPOINT_RETRY_AFTER_MS,
  });
}

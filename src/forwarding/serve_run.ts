/** The steps of one admitted request: its stages, then sends until an answer. */
import { type GraphOutcome, runStages } from "../batching/stage_graph.ts";
import { JobEnd } from "../batching/types.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import {
  chooseByPrefix,
  chooseOfTwo,
} from "../routing/choose_route_endpoint.ts";
import { Denial } from "./refusal.ts";
import { answerWhole } from "./relay.ts";
import { type RunContext, Stop } from "./run_context.ts";
import { Next, type RunInputs, sendOnce } from "./send_once.ts";

/** How often a request that surely has not run may be tried elsewhere. */
const MOST_SENDS = 6;
/** When to come back if every endpoint is full, in milliseconds. */
const FULL_RETRY_MS = 250;
/** Stages are run again if their results got lost, but not for ever. */
const MOST_STAGE_RUNS = 2;

const NO_INPUTS: RunInputs = { results: [], giveUp: () => {} };

/** Serves an admitted request to its end. */
export async function serveRun(run: RunContext): Promise<void> {
  const { response } = run.inbound;
  const timer = setTimeout(() => run.end(Stop.TimedOut), run.left());
  response.once("close", () => {
    if (!response.writableFinished) run.end(Stop.CallerGone);
  });
  run.parts.budget.fresh(run.pool, run.parts.now());
  try {
    if (needsStages(run)) await serveStaged(run);
    else await sendUntilAnswered(run, NO_INPUTS);
  } finally {
    clearTimeout(timer);
  }
}

function needsStages({ admitted }: RunContext): boolean {
  const { route, marks } = admitted;
  return route.stages.some((_, index) => (marks.pieces[index] ?? 0) > 0);
}

async function serveStaged(run: RunContext): Promise<void> {
  for (let round = 1; round <= MOST_STAGE_RUNS; round++) {
    const outcome = await makeInputs(run);
    if (outcome.kind === JobEnd.InputsGone) continue;
    if (outcome.kind !== JobEnd.Made) return denyUnmade(run, outcome);
    const gone = await sendUntilAnswered(run, outcome);
    outcome.giveUp();
    if (!gone) return;
  }
  run.deny({
    denial: Denial.NoEndpoint,
    message: "Results of its stages were lost",
    retry_after_ms: FULL_RETRY_MS,
  });
}

async function makeInputs(run: RunContext): Promise<GraphOutcome> {
  const { route, marks, priority } = run.admitted;
  const { stages, metrics, load, now, log } = run.parts;
  const began_ms = now();
  // Where the request will go, as of now.
  const home_zone = run.prefix === undefined
    ? undefined
    : choose(run, new Set())?.availability_zone;
  const outcome = await runStages({
    attempt_id: marks.attempt_id,
    route,
    priority,
    pieces: marks.pieces,
    piece_key: marks.piece_key,
    home_zone,
    due_ms: run.inbound.arrived_ms + route.target_latency_ms -
      load.typicalMs(run.pool),
    expires_ms: run.first_by_ms,
    signal: run.signal,
  }, stages);
  const elapsed_ms = now() - began_ms;
  metrics.allStagesTime.observe({ outcome: outcome.kind }, elapsed_ms);
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
function denyUnmade(
  run: RunContext,
  outcome: Extract<GraphOutcome, { kind: JobEnd.Refused | JobEnd.Failed }>,
): void {
  if (outcome.kind === JobEnd.Refused) {
    return run.deny({
      denial: Denial.NoRoom,
      message: "Its stages can't be made in time",
      retry_after_ms: outcome.retry_after_ms,
    });
  }
  const expired = run.stop === Stop.TimedOut || outcome.reason === "expired";
  run.deny({
    denial: expired ? Denial.TooLate : Denial.NoEndpoint,
    message: "Its stages could not be made",
    retry_after_ms: expired ? undefined : FULL_RETRY_MS,
  });
}

/** Sends until there is an answer; true if the inputs are gone. */
async function sendUntilAnswered(
  run: RunContext,
  inputs: RunInputs,
): Promise<boolean> {
  const tried = new Set<string>();
  let failures = 0;
  while (run.sends < MOST_SENDS && run.stop === undefined) {
    const endpoint = choose(run, tried);
    if (endpoint === undefined || !maySend(run)) break;
    run.sends += 1;
    const next = await sendOnce(run, endpoint, inputs);
    if (next === Next.Done) return false;
    if (next === Next.InputsGone) return true;
    tried.add(endpoint.id);
    if (next === Next.Elsewhere) continue;
    run.mayHaveRun = true;
    failures += 1;
    const { max_attempts } = run.admitted.route;
    if (!run.idempotent || failures >= max_attempts) break;
  }
  denyUnanswered(run);
  return false;
}

/** A first send is free; repeats draw on the budget. */
function maySend({ sends, parts, pool }: RunContext): boolean {
  return sends === 0 || parts.budget.take(pool, parts.now());
}

function choose(
  run: RunContext,
  tried: ReadonlySet<string>,
): RouteEndpoint | undefined {
  const { endpoints, configuration, load, now, random } = run.parts;
  const now_ms = now();
  const candidates = endpoints.readyInPool(run.pool, now_ms)
    .filter((endpoint) => !tried.has(endpoint.id));
  if (candidates.length === 0) return undefined;
  const choice = { candidates, load, now_ms, random };
  const pool = configuration.routeTable?.configuration.pools.get(run.pool);
  return pool?.model_engine === true && run.prefix !== undefined
    ? chooseByPrefix(run.prefix, choice)
    : chooseOfTwo(choice);
}

/** Ends a request that no endpoint answered; true to what may have run. */
function denyUnanswered(run: RunContext): void {
  const { response } = run.inbound;
  if (response.writableEnded || response.destroyed) return;
  if (response.headersSent) return void response.destroy();
  if (run.held !== undefined) {
    run.logEnd("error_passed_on");
    return answerWhole(response, run.held, run.parts.leaving());
  }
  if (run.stop === Stop.TimedOut) {
    const denial = run.sends > 0 ? Denial.TimedOut : Denial.TooLate;
    return run.deny({ denial, message: "Its time ran out" });
  }
  if (run.mayHaveRun) {
    return run.deny({
      denial: Denial.EndpointLost,
      message: "The endpoint gave no whole answer",
    });
  }
  run.deny({
    denial: Denial.NoEndpoint,
    message: "No endpoint can take it now",
    retry_after_ms: FULL_RETRY_MS,
  });
}

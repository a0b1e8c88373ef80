/**
 * Chooses the endpoint for one attempt of a pipeline stage, on an entry host.
 * For requests that a gateway host forwards, see choose_route_endpoint.ts. Time
 * and randomness are passed in, so that equal inputs give equal choices.
 */
import type { Endpoint } from "../records/types.ts";
import { isUsable, startProbeIfEjected } from "./endpoint_health.ts";
import type { EndpointState } from "./endpoint_state.ts";
import { RoutingPolicy } from "./types.ts";

/** An endpoint that may be chosen for the attempt. */
export interface Candidate {
  endpoint: Endpoint;
  state: EndpointState;
  /** Maximum calls that this host may have in flight there. */
  slots: number;
}

/** Why an endpoint was chosen. */
export enum ChoiceReason {
  OnlyCandidate = "only_candidate",
  ExpectedFirst = "expected_first",
  Probe = "probe",
  NextInTurn = "next_in_turn",
  FewestInFlight = "fewest_in_flight",
  /** Every candidate is ejected or was tried; the best one is used anyway. */
  LastResort = "last_resort",
}

/** A chosen endpoint and the reason, for the log. */
export interface Choice {
  candidate: Candidate;
  reason: ChoiceReason;
}

/** Inputs of a choice other than the candidates. */
export interface ChoiceContext {
  policy: RoutingPolicy;
  /** This host's availability zone. */
  availability_zone: string;
  /** Names of the endpoints that this request has already tried. */
  tried: ReadonlySet<string>;
  /** Number of earlier choices in the pool, for round robin. */
  turn: number;
  /** Time until the request's deadline, in milliseconds. */
  remaining_ms: number;
  now_ms: number;
  /** Returns a number from 0 up to, not including, 1. */
  random: () => number;
}

/** If more of a pool is ejected, ejections are ignored. */
const MAX_EJECTED_SHARE = 0.5;
/** Share of the expected service time that must remain before the deadline. */
const MIN_REMAINING_TIME_SHARE = 0.8;
/** Added to the expected time of a call to another availability zone. */
const OTHER_ZONE_PENALTY_MS = 0.5;

/**
 * Chooses an endpoint and, if it was ejected, starts its probe. Returns
 * undefined if all endpoints are leaving or none could finish in time.
 */
export function chooseEndpoint(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): Choice | undefined {
  const serving = candidates.filter(({ endpoint, state }) =>
    !endpoint.leaving && !state.leaving
  );
  if (serving.length === 0) return undefined;
  const usable = usableCandidates(serving, context);
  const timely = usable.filter((candidate) =>
    canFinishInTime(candidate, context)
  );
  if (timely.length === 0) return undefined;
  const untried = timely.filter(({ endpoint }) =>
    !context.tried.has(endpoint.name)
  );
  const eligible = untried.length > 0 ? untried : timely;
  const choice = chooseByPolicy(eligible, context);
  startProbeIfEjected(choice.candidate.state.health);
  return choice;
}

/**
 * Expected time until a call sent to this candidate now completes, in
 * milliseconds. It is divided by the square of the success share, since a
 * failed call costs both its own time and a retry from the pool's budget.
 */
export function expectedCompletionMs(
  candidate: Candidate,
  context: ChoiceContext,
): number {
  const { endpoint, state, slots } = candidate;
  const own_load = (state.in_flight + 1) / slots;
  const reported = state.utilization(context.now_ms);
  const load = Math.max(1, own_load, reported);
  const sameZone = endpoint.availability_zone === context.availability_zone;
  const penalty_ms = sameZone ? 0 : OTHER_ZONE_PENALTY_MS;
  const service_ms = state.serviceMs(context.now_ms) * load;
  return service_ms / state.success_share ** 2 + penalty_ms;
}

/** Whether a call may finish in time; otherwise it would only add load. */
function canFinishInTime(
  candidate: Candidate,
  context: ChoiceContext,
): boolean {
  if (context.policy !== RoutingPolicy.ExpectedCompletion) return true;
  const service_ms = candidate.state.serviceMs(context.now_ms);
  return service_ms * MIN_REMAINING_TIME_SHARE <= context.remaining_ms;
}

function usableCandidates(
  serving: readonly Candidate[],
  context: ChoiceContext,
): readonly Candidate[] {
  const usable = serving.filter(({ state }) =>
    isUsable(state.health, context.now_ms)
  );
  const ejected = serving.length - usable.length;
  const tooManyEjected = ejected > serving.length * MAX_EJECTED_SHARE;
  return tooManyEjected || usable.length === 0 ? serving : usable;
}

function chooseByPolicy(
  eligible: readonly Candidate[],
  context: ChoiceContext,
): Choice {
  const [first] = eligible;
  if (first === undefined) throw new Error("No candidate to choose from");
  if (eligible.length === 1) {
    return { candidate: first, reason: ChoiceReason.OnlyCandidate };
  }
  switch (context.policy) {
    case RoutingPolicy.RoundRobin: {
      const next = eligible[context.turn % eligible.length] ?? first;
      return { candidate: next, reason: ChoiceReason.NextInTurn };
    }
    case RoutingPolicy.LeastConnections: {
      const leastBusy = lowestScore(eligible, ({ state }) => state.in_flight);
      return { candidate: leastBusy, reason: ChoiceReason.FewestInFlight };
    }
    case RoutingPolicy.ExpectedCompletion:
      return chooseByExpectedCompletion(eligible, context);
  }
}

function chooseByExpectedCompletion(
  eligible: readonly Candidate[],
  context: ChoiceContext,
): Choice {
  const withFreeSlot = eligible.filter(({ state, slots }) =>
    state.in_flight < slots
  );
  const candidates = withFreeSlot.length > 0 ? withFreeSlot : eligible;
  const sampled = sampleTwo(candidates, context.random);
  const candidate = lowestScore(
    sampled,
    (each) => expectedCompletionMs(each, context),
  );
  return { candidate, reason: ChoiceReason.ExpectedFirst };
}

function sampleTwo(
  candidates: readonly Candidate[],
  random: () => number,
): readonly Candidate[] {
  if (candidates.length <= 2) return candidates;
  const first = Math.floor(random() * candidates.length);
  const step = 1 + Math.floor(random() * (candidates.length - 1));
  const second = (first + step) % candidates.length;
  return [candidates[first], candidates[second]].filter((each) =>
    each !== undefined
  );
}

function lowestScore(
  candidates: readonly Candidate[],
  score: (candidate: Candidate) => number,
): Candidate {
  const scored = candidates.map((candidate) => ({
    candidate,
    value: score(candidate),
  }));
  return scored.reduce((best, each) => each.value < best.value ? each : best)
    .candidate;
}

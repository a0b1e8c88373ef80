/**
 * Chooses the endpoint for one attempt. Pure: candidates, time and randomness
 * come in; the choice and its reason go out.
 */
import type { Endpoint } from "../records/types.ts";
import { isUsable, startProbeIfEjected } from "./endpoint_health.ts";
import type { EndpointState } from "./endpoint_state.ts";
import { RoutingPolicy } from "./types.ts";

/** One endpoint that could take the attempt. */
export interface Candidate {
  endpoint: Endpoint;
  state: EndpointState;
  /** Calls that this host may have in flight there. */
  slots: number;
}

/** Why an endpoint was chosen. */
export enum ChoiceReason {
  OnlyCandidate = "only_candidate",
  ExpectedFirst = "expected_first",
  Probe = "probe",
  NextInTurn = "next_in_turn",
  FewestInFlight = "fewest_in_flight",
  /** Every candidate is ejected or was tried; the best of them is taken. */
  LastResort = "last_resort",
}

/** A chosen endpoint. */
export interface Choice {
  candidate: Candidate;
  reason: ChoiceReason;
}

/** What a choice depends on besides the candidates. */
export interface ChoiceContext {
  policy: RoutingPolicy;
  availability_zone: string;
  /** Endpoints that this request has tried, by name. */
  tried: ReadonlySet<string>;
  /** Counts choices, for the policy that takes turns. */
  turn: number;
  /** Time that the request has left. */
  remaining_ms: number;
  now_ms: number;
  random: () => number;
}

/** Largest share of a pool that may be passed over as ejected. */
const MAX_EJECTED_SHARE = 0.5;
/** Part of the expected time that must at least remain. */
const MIN_REMAINING_TIME_SHARE = 0.8;
const OTHER_ZONE_PENALTY_MS = 0.5;

/** Chooses an endpoint; undefined when there is none that may get work. */
export function chooseEndpoint(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): Choice | undefined {
  const present = candidates.filter(({ endpoint, state }) =>
    !endpoint.leaving && !state.leaving
  );
  if (present.length === 0) return undefined;
  const usable = usableCandidates(present, context);
  const timely = usable.filter((candidate) =>
    canFinishInTime(candidate, context)
  );
  if (timely.length === 0) return undefined;
  const fresh = timely.filter(({ endpoint }) =>
    !context.tried.has(endpoint.name)
  );
  const eligible = fresh.length > 0 ? fresh : timely;
  const choice = chooseByPolicy(eligible, context);
  startProbeIfEjected(choice.candidate.state.health);
  return choice;
}

/**
 * When a call given to this candidate now is expected to be done. The share of
 * calls that succeed counts twice: a failed one takes its own time, and a retry
 * from the pool's budget.
 */
export function expectedCompletionMs(
  candidate: Candidate,
  context: ChoiceContext,
): number {
  const { endpoint, state, slots } = candidate;
  const own_load = (state.in_flight + 1) / slots;
  const reported = state.utilization(context.now_ms);
  const load = Math.max(1, own_load, reported);
  const near = endpoint.availability_zone === context.availability_zone;
  const penalty_ms = near ? 0 : OTHER_ZONE_PENALTY_MS;
  const service_ms = state.serviceMs(context.now_ms) * load;
  return service_ms / state.success_share ** 2 + penalty_ms;
}

/** Whether a call could be done in time; an unlikely one only costs. */
function canFinishInTime(
  candidate: Candidate,
  context: ChoiceContext,
): boolean {
  if (context.policy !== RoutingPolicy.ExpectedCompletion) return true;
  const service_ms = candidate.state.serviceMs(context.now_ms);
  return service_ms * MIN_REMAINING_TIME_SHARE <= context.remaining_ms;
}

function usableCandidates(
  present: readonly Candidate[],
  context: ChoiceContext,
): readonly Candidate[] {
  const usable = present.filter(({ state }) =>
    isUsable(state.health, context.now_ms)
  );
  const ejected = present.length - usable.length;
  const tooMany = ejected > present.length * MAX_EJECTED_SHARE;
  return tooMany || usable.length === 0 ? present : usable;
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
      const fewest = lowestScore(eligible, ({ state }) => state.in_flight);
      return { candidate: fewest, reason: ChoiceReason.FewestInFlight };
    }
    case RoutingPolicy.ExpectedCompletion:
      return chooseOfTwo(eligible, context);
  }
}

function chooseOfTwo(
  eligible: readonly Candidate[],
  context: ChoiceContext,
): Choice {
  const withRoom = eligible.filter(({ state, slots }) =>
    state.in_flight < slots
  );
  const pool = withRoom.length > 0 ? withRoom : eligible;
  const sampled = sampleTwo(pool, context.random);
  const candidate = lowestScore(
    sampled,
    (each) => expectedCompletionMs(each, context),
  );
  return { candidate, reason: ChoiceReason.ExpectedFirst };
}

function sampleTwo(
  pool: readonly Candidate[],
  random: () => number,
): readonly Candidate[] {
  if (pool.length <= 2) return pool;
  const first = Math.floor(random() * pool.length);
  const step = 1 + Math.floor(random() * (pool.length - 1));
  const second = (first + step) % pool.length;
  return [pool[first], pool[second]].filter((each) => each !== undefined);
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

/**
 * Explores every reachable state of a specification with xstate/graph and
 * reports the first broken invariant with a shortest trace to it.
 */
import { fromTransition } from "xstate";
import { getAdjacencyMap } from "xstate/graph";

/** A protocol as a transition function; states must be plain JSON. */
export interface Specification<State, Event extends { type: string }> {
  name: string;
  initial: State;
  /** Events that can happen in a state. */
  events: (state: State) => Event[];
  /** The state after an event; must not change its argument. */
  apply: (state: State, event: Event) => State;
  /** Must hold in every state. */
  invariants: Invariant<State>[];
}

/** A property of every state. */
export interface Invariant<State> {
  name: string;
  holds: (state: State) => boolean;
}

/** What an exploration found. */
export interface Exploration {
  states: number;
  transitions: number;
  violation: Violation | undefined;
}

/** A broken invariant and the events that lead to it. */
export interface Violation {
  invariant: string;
  trace: string[];
}

/** Most transitions that are followed; beyond them the exploration fails. */
const MOST_TRANSITIONS = 400_000;

/** Explores to the end. */
export function explore<State, Event extends { type: string }>(
  specification: Specification<State, Event>,
): Exploration {
  const { initial, apply, events } = specification;
  const logic = fromTransition(
    (state: State, event: Event) => apply(state, event),
    initial,
  );
  const map = getAdjacencyMap(logic as never, {
    events: (snapshot: { context: State }) => events(snapshot.context),
    serializeState: (snapshot: { context: State }) =>
      JSON.stringify(snapshot.context),
    serializeEvent: (event: Event) => JSON.stringify(event),
    stopWhen: (snapshot: { context: State }) =>
      specification.invariants.some(({ holds }) => !holds(snapshot.context)),
    limit: MOST_TRANSITIONS,
  } as never) as unknown as AdjacencyMap<State>;
  const nodes = Object.entries(map);
  const transitions = nodes.reduce(
    (sum, [, node]) => sum + Object.keys(node.transitions).length,
    0,
  );
  const violation = findViolation(specification, map);
  return { states: nodes.length, transitions, violation };
}

interface AdjacencyMap<State> {
  [serialized: string]: {
    state: { context: State };
    transitions: { [event: string]: { state: { context: State } } };
  };
}

function findViolation<State, Event extends { type: string }>(
  specification: Specification<State, Event>,
  map: AdjacencyMap<State>,
): Violation | undefined {
  const start = JSON.stringify(specification.initial);
  const cameFrom = new Map<string, { before: string; event: string }>();
  const queue = [start];
  const seen = new Set(queue);
  for (const current of queue) {
    const node = map[current];
    if (node === undefined) continue;
    const broken = specification.invariants.find((invariant) =>
      !invariant.holds(node.state.context)
    );
    if (broken !== undefined) {
      return { invariant: broken.name, trace: traceTo(current, cameFrom) };
    }
    for (const [event, { state }] of Object.entries(node.transitions)) {
      const next = JSON.stringify(state.context);
      if (seen.has(next)) continue;
      seen.add(next);
      cameFrom.set(next, { before: current, event });
      queue.push(next);
    }
  }
  return undefined;
}

function traceTo(
  state: string,
  cameFrom: ReadonlyMap<string, { before: string; event: string }>,
): string[] {
  const trace: string[] = [];
  let step = cameFrom.get(state);
  while (step !== undefined) {
    trace.unshift(step.event);
    step = cameFrom.get(step.before);
  }
  return trace;
}

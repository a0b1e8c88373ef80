/**
 * Visits every reachable state of a protocol model with xstate/graph and
 * reports the first broken invariant with a shortest trace to it.
 */
import { fromTransition } from "xstate";
import { getAdjacencyMap } from "xstate/graph";

/** A model of a protocol; its states and events must be plain JSON. */
export interface Specification<State, Event extends { type: string }> {
  name: string;
  initial: State;
  /** Lists the events that are enabled in a state. */
  events: (state: State) => Event[];
  /** Returns the state after an event; must not change its argument. */
  apply: (state: State, event: Event) => State;
  /** Must hold in every state. */
  invariants: Invariant<State>[];
}

/** A property that must hold in every reachable state. */
export interface Invariant<State> {
  name: string;
  holds: (state: State) => boolean;
}

/** The result of an exploration. */
export interface Exploration {
  states: number;
  transitions: number;
  /** `undefined` if every invariant holds in every state. */
  violation: Violation | undefined;
}

/** A broken invariant and the events that lead to it. */
export interface Violation {
  invariant: string;
  /** The events in order, each as JSON. */
  trace: string[];
}

/** An exploration throws beyond this number of transitions. */
const MAX_TRANSITIONS = 400_000;

/** Visits every reachable state; throws if there are too many transitions. */
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
    limit: MAX_TRANSITIONS,
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
  const predecessors = new Map<string, { state: string; event: string }>();
  const queue = [start];
  const seen = new Set(queue);
  for (const current of queue) {
    const node = map[current];
    if (node === undefined) continue;
    const broken = specification.invariants.find((invariant) =>
      !invariant.holds(node.state.context)
    );
    if (broken !== undefined) {
      return { invariant: broken.name, trace: traceTo(current, predecessors) };
    }
    for (const [event, { state }] of Object.entries(node.transitions)) {
      const next = JSON.stringify(state.context);
      if (seen.has(next)) continue;
      seen.add(next);
      predecessors.set(next, { state: current, event });
      queue.push(next);
    }
  }
  return undefined;
}

function traceTo(
  state: string,
  predecessors: ReadonlyMap<string, { state: string; event: string }>,
): string[] {
  const trace: string[] = [];
  let step = predecessors.get(state);
  while (step !== undefined) {
    trace.unshift(step.event);
    step = predecessors.get(step.state);
  }
  return trace;
}

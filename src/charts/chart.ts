/**
 * Runs the state charts in charts/*.yaml. XState parses and validates a chart
 * once; its transitions are then kept in a table, because XState's own
 * transition function is too slow to be called for each event of each request.
 * The charts have no timers and no actions.
 */
import {
  type AnyStateMachine,
  createMachine,
  type MachineConfig,
} from "xstate";
import { CHARTS } from "./generated_charts.ts";

/** Names of the charts. */
export type ChartName = keyof typeof CHARTS;

/** The guards of a chart by name; each reads the caller's context object. */
export type Guards<Context> = Record<string, (context: Context) => boolean>;

/** A loaded chart. It holds no state: the caller keeps the current one. */
export interface Chart<Context> {
  /** The initial state. */
  initial: string;
  /** The state after an event; throws if the state has no transition for it. */
  next(state: string, event: string, context: Context): string;
  /** Whether the state has a transition for the event. */
  hasTransition(state: string, event: string): boolean;
  /** Whether the state is final; false for an unknown state. */
  isFinal(state: string): boolean;
}

interface Transition<Context> {
  guard: ((context: Context) => boolean) | undefined;
  target: string;
}

interface StateNode<Context> {
  final: boolean;
  events: Map<string, Transition<Context>[]>;
  /** Eventless transitions, taken as soon as the state is entered. */
  always: Transition<Context>[];
}

/** Loads a chart; throws if `guards` lacks a guard that the chart names. */
export function createChart<Context>(
  name: ChartName,
  guards: Guards<Context>,
): Chart<Context> {
  const machine = createMachine(
    CHARTS[name] as unknown as MachineConfig<object, { type: string }>,
  );
  const table = buildTransitionTable(machine, guards);
  const transitionsFor = (state: string, event: string) =>
    table.get(state)?.events.get(event);
  return {
    initial: String(machine.root.initial.target[0]?.key),
    hasTransition: (state, event) => transitionsFor(state, event) !== undefined,
    isFinal: (state) => table.get(state)?.final ?? false,
    next(state, event, context) {
      const transitions = transitionsFor(state, event);
      if (transitions === undefined) {
        throw new Error(`Chart ${name} has no ${event} in state ${state}`);
      }
      let current = selectTarget(transitions, context) ?? state;
      let always = table.get(current)?.always ?? [];
      while (always.length > 0) {
        const target = selectTarget(always, context);
        if (target === undefined) return current;
        current = target;
        always = table.get(current)?.always ?? [];
      }
      return current;
    },
  };
}

function selectTarget<Context>(
  transitions: readonly Transition<Context>[],
  context: Context,
): string | undefined {
  return transitions.find(({ guard }) => guard === undefined || guard(context))
    ?.target;
}

function buildTransitionTable<Context>(
  machine: AnyStateMachine,
  guards: Guards<Context>,
): Map<string, StateNode<Context>> {
  const table = new Map<string, StateNode<Context>>();
  for (const [state, node] of Object.entries(machine.states)) {
    const events = new Map(
      Object.entries(node.on).map(([event, transitions]) => [
        event,
        transitions.map((transition) => resolveTransition(transition, guards)),
      ]),
    );
    const always = (node.always ?? []).map((transition) =>
      resolveTransition(transition, guards)
    );
    table.set(state, { final: node.type === "final", events, always });
  }
  return table;
}

function resolveTransition<Context>(
  transition: {
    guard?: unknown;
    target?: readonly { key: string }[] | undefined;
  },
  guards: Guards<Context>,
): Transition<Context> {
  const target = transition.target?.[0]?.key;
  if (target === undefined) throw new Error("A transition has no target");
  if (transition.guard === undefined) return { guard: undefined, target };
  const guard = guards[String(transition.guard)];
  if (guard === undefined) {
    throw new Error(`The guard ${String(transition.guard)} is not given`);
  }
  return { guard, target };
}

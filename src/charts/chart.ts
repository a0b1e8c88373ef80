/**
 * Interprets the state charts in charts/*.yaml. xstate reads and checks a chart
 * once; its transitions are then kept in a table, because running xstate's own
 * transition function for every step of every request is too slow. A chart
 * holds no timers and performs no effects.
 */
import {
  type AnyStateMachine,
  createMachine,
  type MachineConfig,
} from "xstate";
import { CHARTS } from "./generated_charts.ts";

/** Names of the charts. */
export type ChartName = keyof typeof CHARTS;

/** Guards by name; each looks at the subject that the chart describes. */
export type Guards<Subject> = Record<string, (subject: Subject) => boolean>;

/** A chart that can be stepped. */
export interface Chart<Subject> {
  initial: string;
  /** The state after an event; throws if the chart has no such transition. */
  next(state: string, event: string, subject: Subject): string;
  /** Whether the chart has a transition for the event in the state. */
  hasTransition(state: string, event: string): boolean;
  isFinal(state: string): boolean;
}

interface Branch<Subject> {
  guard: ((subject: Subject) => boolean) | undefined;
  target: string;
}

interface StateTable<Subject> {
  final: boolean;
  events: Map<string, Branch<Subject>[]>;
  /** Taken as soon as the state is entered. */
  always: Branch<Subject>[];
}

/** Loads a chart; `guards` gives each guard that the file names. */
export function createChart<Subject>(
  name: ChartName,
  guards: Guards<Subject>,
): Chart<Subject> {
  const machine = createMachine(
    CHARTS[name] as unknown as MachineConfig<object, { type: string }>,
  );
  const table = readTable(machine, guards);
  const branchesFor = (state: string, event: string) =>
    table.get(state)?.events.get(event);
  return {
    initial: String(machine.root.initial.target[0]?.key),
    hasTransition: (state, event) => branchesFor(state, event) !== undefined,
    isFinal: (state) => table.get(state)?.final ?? false,
    next(state, event, subject) {
      const branches = branchesFor(state, event);
      if (branches === undefined) {
        throw new Error(`Chart ${name} has no ${event} in state ${state}`);
      }
      let current = take(branches, subject) ?? state;
      let always = table.get(current)?.always ?? [];
      while (always.length > 0) {
        const target = take(always, subject);
        if (target === undefined) return current;
        current = target;
        always = table.get(current)?.always ?? [];
      }
      return current;
    },
  };
}

function take<Subject>(
  branches: readonly Branch<Subject>[],
  subject: Subject,
): string | undefined {
  return branches.find(({ guard }) => guard === undefined || guard(subject))
    ?.target;
}

function readTable<Subject>(
  machine: AnyStateMachine,
  guards: Guards<Subject>,
): Map<string, StateTable<Subject>> {
  const table = new Map<string, StateTable<Subject>>();
  for (const [state, node] of Object.entries(machine.states)) {
    const events = new Map(
      Object.entries(node.on).map(([event, transitions]) => [
        event,
        transitions.map((transition) => readBranch(transition, guards)),
      ]),
    );
    const always = (node.always ?? []).map((transition) =>
      readBranch(transition, guards)
    );
    table.set(state, { final: node.type === "final", events, always });
  }
  return table;
}

function readBranch<Subject>(
  transition: {
    guard?: unknown;
    target?: readonly { key: string }[] | undefined;
  },
  guards: Guards<Subject>,
): Branch<Subject> {
  const target = transition.target?.[0]?.key;
  if (target === undefined) throw new Error("A transition has no target");
  if (transition.guard === undefined) return { guard: undefined, target };
  const guard = guards[String(transition.guard)];
  if (guard === undefined) {
    throw new Error(`The guard ${String(transition.guard)} is not given`);
  }
  return { guard, target };
}

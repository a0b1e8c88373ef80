/**
 * Interprets the state charts in charts/*.yaml with xstate's pure transition
 * functions: a chart holds no timers and performs no effects.
 */
import {
  createMachine,
  initialTransition,
  type MachineConfig,
  transition,
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
  accepts(state: string, event: string): boolean;
  isFinal(state: string): boolean;
}

/** Loads a chart; `guards` gives each guard that the file names. */
export function createChart<Subject>(
  name: ChartName,
  guards: Guards<Subject>,
): Chart<Subject> {
  let current: Subject;
  const machine = createMachine(
    CHARTS[name] as unknown as MachineConfig<object, { type: string }>,
    {
      guards: Object.fromEntries(
        Object.entries(guards).map(([key, guard]) => [
          key,
          () => guard(current),
        ]),
      ),
    },
  );
  const [initial] = initialTransition(machine);
  const snapshots = new Map(
    Object.keys(machine.states).map((value) => [
      value,
      machine.resolveState({ value }),
    ]),
  );
  const accepts = (state: string, event: string) =>
    machine.states[state]?.on[event] !== undefined;
  return {
    initial: String(initial.value),
    next(state, event, subject) {
      const snapshot = snapshots.get(state);
      if (snapshot === undefined || !accepts(state, event)) {
        throw new Error(`Chart ${name} has no ${event} in state ${state}`);
      }
      current = subject;
      const [next] = transition(machine, snapshot, { type: event });
      return String(next.value);
    },
    accepts,
    isFinal: (state) => machine.states[state]?.type === "final",
  };
}

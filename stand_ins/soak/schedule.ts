/** What happens in a soak, and when: the same for the same seed. */
import { createRandom } from "../seeded_random.ts";
import { LinkFault, LinkGroup } from "./network_faults.ts";

/** Kind of an event of the schedule. */
export enum SoakEventKind {
  /** SIGSTOP, and later SIGCONT. */
  Freeze = "freeze",
  /** SIGTERM, and a start after the process has ended. */
  Terminate = "terminate",
  /** SIGKILL, and later a start. */
  Kill = "kill",
  /** Hosts lose their links to a group. */
  Cut = "cut",
  /** Endpoints of a software version join, and as many older ones leave. */
  Release = "release",
  /** An endpoint starts again under its id. */
  RestartEndpoint = "restart_endpoint",
  /** An endpoint ends for good. */
  StopEndpoint = "stop_endpoint",
  BreakRequests = "break_requests",
  Publish = "publish",
  /** The store goes back to an older copy. */
  RestoreStore = "restore_store",
  /**
   * A host is cut off from the others, or stands still, with its callers connected,
   * while endpoints of a new version join, whose streams break and are taken up at
   * that host.
   */
  OutOfStep = "out_of_step",
}

/** Software version of an endpoint that starts. */
export enum NextVersion {
  /** One that no endpoint had before. */
  New = "new",
  Newest = "newest",
  /** The one before the newest. */
  Previous = "previous",
}

/** How a host comes to be out of step. */
export enum OutOfStepBy {
  HostsCut = "hosts_cut",
  HostsAndStoreCut = "hosts_and_store_cut",
  Freeze = "freeze",
}

/** An event; a choice is a number below 1 that selects among what is there. */
export type SoakEvent =
  & { at_ms: number }
  & (
    | { kind: SoakEventKind.Freeze; hosts: number[]; for_ms: number }
    | { kind: SoakEventKind.Terminate; host: number; down_ms: number }
    | { kind: SoakEventKind.Kill; hosts: number[]; down_ms: number }
    | {
      kind: SoakEventKind.Cut;
      hosts: number[];
      toward: LinkGroup;
      fault: LinkFault;
      for_ms: number;
    }
    | {
      kind: SoakEventKind.Release;
      version: NextVersion;
      count: number;
      entry_late_ms: number;
      leavesSilently: boolean;
      linger_ms: number;
    }
    | {
      kind: SoakEventKind.RestartEndpoint;
      choice: number;
      version: NextVersion;
      down_ms: number;
      entry_late_ms: number;
    }
    | {
      kind: SoakEventKind.StopEndpoint;
      choice: number;
      entry_late_ms: number;
    }
    | { kind: SoakEventKind.BreakRequests; choice: number; count: number }
    | { kind: SoakEventKind.Publish }
    | {
      kind: SoakEventKind.RestoreStore;
      copied_before_ms: number;
      rewrite_ms: number;
    }
    | {
      kind: SoakEventKind.OutOfStep;
      host: number;
      by: OutOfStepBy;
      for_ms: number;
    }
  );

type EventContent<E> = E extends unknown ? Omit<E, "at_ms"> : never;

interface ScheduleOptions {
  duration_ms: number;
  hosts: number;
}

/** By then hosts know what was in service in the life of all streams. */
const FIRST_EVENT_MS = 4_000;
const MAX_PAUSE_MS = 900;
/** Events come in series: now and then the next one comes at once. */
const SERIES_CHANCE = 0.25;
const OUT_OF_STEP_CHANCE = 0.6;

const VERSIONS = Object.values(NextVersion);

/** Kinds by weight. */
const WEIGHTS: [SoakEventKind, number][] = [
  [SoakEventKind.BreakRequests, 7],
  [SoakEventKind.Cut, 3],
  [SoakEventKind.RestartEndpoint, 3],
  [SoakEventKind.Release, 2],
  [SoakEventKind.Freeze, 2],
  [SoakEventKind.Publish, 2],
  [SoakEventKind.Terminate, 1],
  [SoakEventKind.Kill, 1],
  [SoakEventKind.StopEndpoint, 1],
  [SoakEventKind.RestoreStore, 0.5],
];

/** Creates the schedule of a seed, in order of time. */
export function createSchedule(
  seed: number,
  options: ScheduleOptions,
): SoakEvent[] {
  const draw = new Draw(createRandom(seed));
  const events: SoakEvent[] = [];
  if (draw.chance(OUT_OF_STEP_CHANCE)) {
    const at_ms = FIRST_EVENT_MS + draw.upTo(options.duration_ms / 4);
    events.push({
      ...createEvent(SoakEventKind.OutOfStep, draw, options),
      at_ms,
    });
  }
  let at_ms = FIRST_EVENT_MS;
  while (at_ms < options.duration_ms) {
    const kind = draw.weighted(WEIGHTS);
    events.push({ ...createEvent(kind, draw, options), at_ms });
    if (!draw.chance(SERIES_CHANCE)) at_ms += draw.upTo(MAX_PAUSE_MS);
  }
  return events.sort((a, b) => a.at_ms - b.at_ms);
}

function createEvent(
  kind: SoakEventKind,
  draw: Draw,
  { hosts }: ScheduleOptions,
): EventContent<SoakEvent> {
  const choice = draw.upTo(1);
  switch (kind) {
    case SoakEventKind.Freeze:
      return {
        kind,
        hosts: draw.some(hosts),
        for_ms: draw.between(200, 3_500),
      };
    case SoakEventKind.Terminate:
      return { kind, host: draw.index(hosts), down_ms: draw.upTo(1_500) };
    case SoakEventKind.Kill:
      return { kind, hosts: draw.someOrAll(hosts), down_ms: draw.upTo(2_500) };
    case SoakEventKind.Cut:
      return {
        kind,
        hosts: draw.some(hosts),
        toward: draw.of(Object.values(LinkGroup)),
        fault: draw.of(Object.values(LinkFault)),
        for_ms: draw.between(300, 5_000),
      };
    case SoakEventKind.Release:
      return {
        kind,
        version: draw.of(VERSIONS),
        count: 1 + draw.index(2),
        entry_late_ms: draw.chance(0.5) ? 0 : draw.upTo(1_500),
        leavesSilently: draw.chance(0.3),
        linger_ms: draw.between(300, 2_500),
      };
    case SoakEventKind.RestartEndpoint:
      return {
        kind,
        choice,
        version: draw.of(VERSIONS),
        down_ms: draw.between(260, 800),
        entry_late_ms: draw.chance(0.3) ? 0 : draw.upTo(2_000),
      };
    case SoakEventKind.StopEndpoint:
      return { kind, choice, entry_late_ms: draw.upTo(3_000) };
    case SoakEventKind.BreakRequests:
      return { kind, choice, count: 1 + draw.index(6) };
    case SoakEventKind.Publish:
      return { kind };
    case SoakEventKind.RestoreStore:
      return {
        kind,
        copied_before_ms: draw.between(300, 3_000),
        rewrite_ms: draw.between(100, 1_500),
      };
    case SoakEventKind.OutOfStep:
      return {
        kind,
        host: draw.index(hosts),
        by: draw.of(Object.values(OutOfStepBy)),
        for_ms: draw.between(2_000, 4_500),
      };
  }
}

/** Draws from a seeded sequence. */
class Draw {
  #random: () => number;

  constructor(random: () => number) {
    this.#random = random;
  }

  upTo(limit: number): number {
    return this.#random() * limit;
  }

  between(least: number, most: number): number {
    return least + this.upTo(most - least);
  }

  index(count: number): number {
    return Math.floor(this.upTo(count));
  }

  chance(probability: number): boolean {
    return this.#random() < probability;
  }

  of<T>(values: readonly T[]): T {
    return values[this.index(values.length)] as T;
  }

  /** One host in most cases, up to half of them in others. */
  some(hosts: number): number[] {
    const count = this.chance(0.6) ? 1 : 1 + this.index(Math.ceil(hosts / 2));
    const first = this.index(hosts);
    return Array.from({ length: count }, (_, n) => (first + n) % hosts);
  }

  someOrAll(hosts: number): number[] {
    if (!this.chance(0.2)) return this.some(hosts);
    return Array.from({ length: hosts }, (_, n) => n);
  }

  weighted<T>(weights: readonly [T, number][]): T {
    let rest = this.upTo(weights.reduce((sum, [, weight]) => sum + weight, 0));
    const found = weights.find(([, weight]) => (rest -= weight) < 0);
    return (found ?? weights[0] as [T, number])[0];
  }
}

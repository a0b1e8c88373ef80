/**
 * What must hold in a soak, judged from what callers and endpoints have seen. Does
 * no I/O and reads no clock.
 */

/** What a check found to be broken. */
export enum Rule {
  /** Events of two software versions in one stream. */
  Joined = "joined",
  /** Events that are missing, come twice, or are of runs that don't fit. */
  Order = "order",
  /** A stream that ended as a whole one before its last event. */
  Complete = "complete",
  /** A host showed an older version of the manifest than before. */
  Configuration = "configuration",
  /** An unsafe request ran more than once. */
  Twice = "twice",
  /** A refusal said that a request had not run, which had. */
  Refused = "refused",
  /** Streams that callers took up went on far less often than new ones began. */
  Lost = "lost",
  /** Endpoints worked for callers that had left. */
  Gone = "gone",
  /** A host's process ended unasked. */
  OwnEnd = "own_end",
}

/** One breach. */
export interface Violation {
  rule: Rule;
  detail: string;
}

/** An event as a caller got it. */
export interface SeenEvent {
  id: number;
  version: string;
  run: string;
  /** Id of the event after which the run began; 0 for a whole run. */
  run_after: number;
}

/** One try of a caller to read a stream. */
export interface SeenTry {
  attempt_id: string;
  host: string;
  sent_ms: number;
  ended_ms: number;
  /** 0 without a response. */
  status: number;
  events: SeenEvent[];
  /** What came in place of whole events. */
  malformed: string[];
  /** Whether the response ended as a whole one does. */
  complete: boolean;
}

/** A stream over all tries of its caller, from the one that began it. */
export type SeenStream = SeenTry[];

/** Streams of two versions that the users allow; more break their rule. */
export const MAX_JOINED = 2;

/** Judges one stream that has this many events when it is whole. */
export function checkStream(
  tries: SeenStream,
  eventCount: number,
): Violation[] {
  const name = tries.map(({ attempt_id, host }) => `${attempt_id}@${host}`)
    .join(" ");
  const events = tries.flatMap((each) => each.events);
  const violations: Violation[] = [];
  const add = (rule: Rule, detail: string) =>
    violations.push({ rule, detail: `${name}: ${detail}` });
  const versions = [...new Set(events.map(({ version }) => version))];
  if (versions.length > 1) {
    add(Rule.Joined, formatRuns(events));
  }
  if (!isInOrder(events)) add(Rule.Order, formatRuns(events));
  for (const text of tries.flatMap(({ malformed }) => malformed)) {
    add(Rule.Order, JSON.stringify(text));
  }
  let count = 0;
  for (const { status, complete, events: { length }, attempt_id } of tries) {
    count += length;
    const looksWhole = status === 200 && complete;
    if (looksWhole && count !== eventCount) {
      add(Rule.Complete, `${attempt_id} ended after ${count} events`);
    }
  }
  return violations;
}

/** Each event once, and each run from the event after which it began. */
function isInOrder(events: readonly SeenEvent[]): boolean {
  return events.every(({ id, run, run_after }, index) => {
    const isFirstOfRun = events[index - 1]?.run !== run;
    return id === index + 1 && (!isFirstOfRun || run_after === index);
  });
}

/** Events as in `1-7:v1/model-0.3+0`: their ids, version and run. */
function formatRuns(events: readonly SeenEvent[]): string {
  const parts: { first: number; last: number; of: string }[] = [];
  for (const { id, version, run, run_after } of events) {
    const of = `${version}/${run}+${run_after}`;
    const current = parts.at(-1);
    if (current?.of === of && id === current.last + 1) current.last = id;
    else parts.push({ first: id, last: id, of });
  }
  return parts.map(({ first, last, of }) => `${first}-${last}:${of}`).join(" ");
}

/** A host showed a version of the manifest between two moments. */
export interface SeenVersion {
  host: string;
  /** Number of the host's process. */
  lifetime: number;
  version: number;
  sent_ms: number;
  answered_ms: number;
}

/** Finds versions that a host showed after it had shown a newer one. */
export function checkVersions(seen: readonly SeenVersion[]): Violation[] {
  const violations: Violation[] = [];
  for (const later of seen) {
    const earlier = seen.find(({ host, lifetime, version, answered_ms }) =>
      host === later.host && lifetime === later.lifetime &&
      answered_ms < later.sent_ms && version > later.version
    );
    if (earlier === undefined) continue;
    const detail = `${later.host} showed ${earlier.version} by ` +
      `${
        Math.round(earlier.answered_ms)
      } ms and ${later.version} to a request of ` +
      `${Math.round(later.sent_ms)} ms`;
    violations.push({ rule: Rule.Configuration, detail });
  }
  return violations;
}

/** An unsafe request, and what its caller was told. */
export interface UnsafeRequest {
  attempt_id: string;
  /** 0 without a response. */
  status: number;
}

/** Statuses that promise that a request has not run. */
const REFUSALS = [408, 421, 429, 503];

/** Compares unsafe requests with the runs that endpoints had, by attempt. */
export function checkUnsafe(
  requests: readonly UnsafeRequest[],
  runs: ReadonlyMap<string, number>,
): Violation[] {
  return requests.flatMap(({ attempt_id, status }) => {
    const count = runs.get(attempt_id) ?? 0;
    const violations: Violation[] = [];
    if (count > 1) {
      violations.push({
        rule: Rule.Twice,
        detail: `${attempt_id} ran ${count} times`,
      });
    }
    if (count > 0 && REFUSALS.includes(status)) {
      violations.push({
        rule: Rule.Refused,
        detail: `${attempt_id} ran, answered ${status}`,
      });
    }
    return violations;
  });
}

/** A stream that its caller left, at a host in touch. */
export interface LeftStream {
  attempt_id: string;
  left_ms: number;
  /** The runs of this try. */
  runs: { began_ms: number; ended_ms: number }[];
}

const GONE_WITHIN_MS = 500;
/** "A few" late requests, and the share of late work, that the users allow. */
const MAX_LATE_REQUESTS = 3;
const MAX_LATE_SHARE = 0.25;

/** Judges what endpoints did after callers had left. */
export function checkLeft(left: readonly LeftStream[]): Violation[] {
  const isLate = ({ left_ms }: LeftStream, time_ms: number) =>
    time_ms > left_ms + GONE_WITHIN_MS;
  const reached = left.filter((each) =>
    each.runs.some(({ began_ms }) => isLate(each, began_ms))
  );
  const worked = left.filter((each) =>
    each.runs.some(({ ended_ms }) => isLate(each, ended_ms))
  );
  const isBroken = reached.length > MAX_LATE_REQUESTS ||
    worked.length > left.length * MAX_LATE_SHARE;
  if (!isBroken) return [];
  const names = worked.map(({ attempt_id }) => attempt_id).join(" ");
  const detail = `${reached.length} reached endpoints late, ` +
    `${worked.length} of ${left.length} were worked on: ${names}`;
  return [{ rule: Rule.Gone, detail }];
}

const MIN_TAKEN_UP = 12;

/** Compares tries at hosts in touch by whether they brought events. */
export function checkLost(
  { begun, goneOn }: { begun: readonly boolean[]; goneOn: readonly boolean[] },
): Violation[] {
  if (goneOn.length < MIN_TAKEN_UP || begun.length === 0) return [];
  if (shareOf(goneOn) >= shareOf(begun) / 2) return [];
  const detail = `${formatShare(goneOn)} went on, ${formatShare(begun)} began`;
  return [{ rule: Rule.Lost, detail }];
}

function shareOf(outcomes: readonly boolean[]): number {
  return outcomes.filter(Boolean).length / outcomes.length;
}

/** As in `3/12`. */
export function formatShare(outcomes: readonly boolean[]): string {
  return `${outcomes.filter(Boolean).length}/${outcomes.length}`;
}

/**
 * Whether the violations fail a soak. Streams that don't go on are reported only:
 * where most hosts are out of reach nobody may know their versions.
 */
export function areBroken(violations: readonly Violation[]): boolean {
  const joined = violations.filter(({ rule }) => rule === Rule.Joined);
  const others = violations.filter(({ rule }) =>
    rule !== Rule.Joined && rule !== Rule.Lost
  );
  return joined.length > MAX_JOINED || others.length > 0;
}

/** The checks of the soak find each kind of fault, and pass what is sound. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  areBroken,
  checkLeft,
  checkLost,
  checkStream,
  checkUnsafe,
  checkVersions,
  Rule,
  type SeenEvent,
  type SeenTry,
  type Violation,
} from "../../stand_ins/soak/checks.ts";

const EVENTS = 4;

/** Events of one run, as its endpoint writes them. */
function writeEvents(
  run: string,
  { first, last, version = "v1" }: {
    first: number;
    last: number;
    version?: string;
  },
): SeenEvent[] {
  return Array.from({ length: last - first + 1 }, (_, n) => ({
    id: first + n,
    version,
    run,
    run_after: first - 1,
  }));
}

function createTry(
  events: SeenEvent[],
  changes: Partial<SeenTry> = {},
): SeenTry {
  return {
    attempt_id: "a",
    host: "host-0",
    sent_ms: 0,
    ended_ms: 1,
    status: 200,
    events,
    malformed: [],
    complete: events.at(-1)?.id === EVENTS,
    ...changes,
  };
}

function rulesOf(violations: Violation[]): Rule[] {
  return violations.map(({ rule }) => rule);
}

const whole = writeEvents("a.1", { first: 1, last: 4 });
const firstHalf = writeEvents("a.1", { first: 1, last: 2 });
const secondHalf = writeEvents("b.1", { first: 3, last: 4 });

test("a whole stream, and one that goes on in another run, are sound", () => {
  const goesOn = [createTry(firstHalf), createTry(secondHalf)];
  const inOneTry = [createTry([...firstHalf, ...secondHalf])];
  for (const tries of [[createTry(whole)], goesOn, inOneTry]) {
    assert.deepEqual(checkStream(tries, EVENTS), []);
  }
});

test("events of two versions are found", () => {
  const newer = writeEvents("b.1", { first: 3, last: 4, version: "v2" });
  const tries = [createTry(firstHalf), createTry(newer)];
  assert.deepEqual(rulesOf(checkStream(tries, EVENTS)), [Rule.Joined]);
});

test("missing and repeated events, and runs that don't fit, are found", () => {
  const [first, second, third, fourth] = whole as [
    SeenEvent,
    SeenEvent,
    SeenEvent,
    SeenEvent,
  ];
  const otherRun = writeEvents("b.1", { first: 1, last: 4 }).slice(2);
  for (
    const events of [
      [first, third, fourth],
      [first, second, second, third, fourth],
      [second, first, third, fourth],
      [...firstHalf, ...otherRun],
    ]
  ) {
    const found = rulesOf(checkStream([createTry(events)], EVENTS));
    assert.ok(found.includes(Rule.Order), JSON.stringify(events));
  }
});

test("bytes that are no event are found", () => {
  const tries = [createTry(whole, { malformed: ["id: 3\ndaid: 3"] })];
  assert.deepEqual(rulesOf(checkStream(tries, EVENTS)), [Rule.Order]);
});

test("a stream that looks whole before its last event is found", () => {
  const tries = [createTry(firstHalf, { complete: true })];
  assert.deepEqual(rulesOf(checkStream(tries, EVENTS)), [Rule.Complete]);
});

test("a manifest version that goes back in one lifetime is found", () => {
  const newer = {
    host: "h",
    lifetime: 1,
    version: 3,
    sent_ms: 0,
    answered_ms: 5,
  };
  const older = { ...newer, version: 2, sent_ms: 6, answered_ms: 7 };
  assert.deepEqual(rulesOf(checkVersions([newer, older])), [
    Rule.Configuration,
  ]);
  assert.deepEqual(checkVersions([newer, { ...older, lifetime: 2 }]), []);
  assert.deepEqual(checkVersions([newer, { ...older, sent_ms: 4 }]), []);
  assert.deepEqual(checkVersions([newer, { ...older, host: "other" }]), []);
});

test("an unsafe request that ran twice, or ran and was refused, is found", () => {
  const answered = { attempt_id: "a", status: 200 };
  const refused = { attempt_id: "a", status: 503 };
  const once = new Map([["a", 1]]);
  assert.deepEqual(checkUnsafe([answered], once), []);
  assert.deepEqual(checkUnsafe([refused], new Map()), []);
  assert.deepEqual(rulesOf(checkUnsafe([refused], once)), [Rule.Refused]);
  const twice = new Map([["a", 2]]);
  assert.deepEqual(rulesOf(checkUnsafe([answered], twice)), [Rule.Twice]);
});

test("work for callers that left is found beyond what the users allow", () => {
  const inTime = {
    attempt_id: "a",
    left_ms: 1_000,
    runs: [{ began_ms: 0, ended_ms: 1_400 }],
  };
  const late = { ...inTime, runs: [{ began_ms: 0, ended_ms: 1_600 }] };
  const reached = { ...inTime, runs: [{ began_ms: 1_600, ended_ms: 1_700 }] };
  assert.deepEqual(checkLeft([inTime, inTime, inTime, late]), []);
  assert.deepEqual(rulesOf(checkLeft([inTime, late])), [Rule.Gone]);
  const sound = Array.from({ length: 20 }, () => inTime);
  const few = [reached, reached, reached];
  assert.deepEqual(checkLeft([...sound, ...few]), []);
  assert.deepEqual(rulesOf(checkLeft([...sound, ...few, reached])), [
    Rule.Gone,
  ]);
});

test("streams that go on less than half as often as new ones begin are found", () => {
  const begun = [true, true, true, true];
  const goneOn = Array.from({ length: 12 }, (_, n) => n < 6);
  assert.deepEqual(checkLost({ begun, goneOn }), []);
  const fewer = Array.from({ length: 12 }, (_, n) => n < 5);
  assert.deepEqual(rulesOf(checkLost({ begun, goneOn: fewer })), [Rule.Lost]);
});

test("up to two joined streams are found, and don't fail a soak", () => {
  const joined = { rule: Rule.Joined, detail: "" };
  assert.equal(areBroken([joined, joined]), false);
  assert.equal(areBroken([joined, joined, joined]), true);
  assert.equal(areBroken([{ rule: Rule.Order, detail: "" }]), true);
});

/** The schedule of a soak depends on its seed alone. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createSchedule,
  SoakEventKind,
} from "../../stand_ins/soak/schedule.ts";

const OPTIONS = { duration_ms: 14_000, hosts: 5 };

test("the same seed gives the same schedule, another seed another one", () => {
  const schedule = createSchedule(101, OPTIONS);
  assert.deepEqual(createSchedule(101, OPTIONS), schedule);
  assert.notDeepEqual(createSchedule(102, OPTIONS), schedule);
});

test("50 seeds hold every kind of event, in order of time", () => {
  const kinds = new Set<SoakEventKind>();
  for (let seed = 101; seed <= 150; seed++) {
    const schedule = createSchedule(seed, OPTIONS);
    const times = schedule.map(({ at_ms }) => at_ms);
    assert.deepEqual(times, times.toSorted((a, b) => a - b));
    for (const { kind } of schedule) kinds.add(kind);
  }
  assert.deepEqual([...kinds].sort(), Object.values(SoakEventKind).sort());
});

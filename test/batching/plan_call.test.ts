/** Selection of the pieces of a call, and the expected time of a job. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { expectedJobMs } from "../../src/batching/expected_wait.ts";
import {
  fullCallMs,
  planCall,
  type WaitingJob,
} from "../../src/batching/plan_call.ts";
import type { BatchLimits } from "../../src/routes/types.ts";

const limits: BatchLimits = {
  concurrent_calls: 1,
  pieces_per_call: 10,
  call_ms: 200,
  piece_ms: 10,
  room_bytes: 1_000,
  retention_ms: 4_000,
  link_bytes_per_ms: 1_000,
};

/** The rest of the load of a pool in which nothing waits. */
const IDLE = {
  waiting_pieces: 0,
  arrivals_per_ms: 0,
  service_per_ms: undefined,
};

interface NamedJob extends WaitingJob {
  name: string;
}

function job(name: string, change: Partial<WaitingJob> = {}): NamedJob {
  return {
    name,
    priority: 1,
    due_ms: 2_000,
    expires_ms: 6_000,
    home_zone: undefined,
    result_bytes: 10,
    waiting_pieces: 2,
    started: false,
    max_call_jobs: Infinity,
    ...change,
  };
}

function plan(
  jobs: NamedJob[],
  change: { zone?: string; room_bytes?: number; now_ms?: number } = {},
  zone_wait_ms = new Map([["a", 0], ["b", 200]]),
): string[] {
  const endpoint = {
    availability_zone: change.zone ?? "a",
    free_result_bytes: change.room_bytes ?? limits.room_bytes,
    slowness: 1,
  };
  const { now_ms = 0 } = change;
  return planCall(jobs, endpoint, { now_ms, limits, zone_wait_ms })
    .map((each) => `${each.job.name}:${each.pieces}`);
}

test("an available endpoint takes waiting jobs, earliest due first", () => {
  const jobs = [job("later", { due_ms: 3_000 }), job("sooner")];
  assert.deepEqual(plan(jobs), ["sooner:2", "later:2"]);
});

test("late jobs go last, ordered by priority", () => {
  const jobs = [
    job("late", { due_ms: 100 }),
    job("late and urgent", { due_ms: 150, priority: 0 }),
    job("on time"),
  ];
  assert.deepEqual(plan(jobs), ["on time:2", "late and urgent:2", "late:2"]);
});

test("a job that a full call would end late goes after one that it ends on time", () => {
  const jobs = [
    job("late by a full call", { due_ms: 250, waiting_pieces: 6 }),
    job("on time", { due_ms: 350, waiting_pieces: 6 }),
  ];
  assert.deepEqual(plan(jobs), ["on time:6", "late by a full call:4"]);
  const few = jobs.map((each) => ({ ...each, waiting_pieces: 1 }));
  assert.deepEqual(plan(few), ["late by a full call:1", "on time:1"]);
});

test("in a burst that makes jobs late, those already started are completed first", () => {
  const jobs = [
    job("on time"),
    job("late", { due_ms: 100, priority: 0 }),
    job("late and started", { due_ms: 100, started: true, waiting_pieces: 1 }),
  ];
  assert.deepEqual(plan(jobs), ["late and started:1", "on time:2", "late:2"]);
});

test("a call takes its maximum number of pieces and may split a job", () => {
  const jobs = [
    job("first", { waiting_pieces: 7 }),
    job("second", { waiting_pieces: 7, due_ms: 2_500 }),
  ];
  assert.deepEqual(plan(jobs), ["first:7", "second:3"]);
});

test("a call takes only pieces whose results fit into the free memory", () => {
  const jobs = [
    job("large", { result_bytes: 400, waiting_pieces: 3 }),
    job("small", { due_ms: 2_500 }),
  ];
  assert.deepEqual(plan(jobs, { room_bytes: 900 }), ["large:2", "small:2"]);
  assert.deepEqual(plan(jobs, { room_bytes: 300 }), ["small:2"]);
});

test("a job with enough time waits for its home zone", () => {
  const early = job("early", { home_zone: "b", due_ms: 3_000 });
  assert.deepEqual(plan([early]), []);
  assert.deepEqual(plan([early], { zone: "b" }), ["early:2"]);
});

test("a job leaves its home zone when waiting there would make it late", () => {
  const dueSoon = job("due soon", { home_zone: "b", due_ms: 500 });
  assert.deepEqual(plan([dueSoon]), ["due soon:2"]);
});

test("a late job leaves its home zone only if the wait exceeds a full call", () => {
  const late = job("late", { home_zone: "b", due_ms: 100 });
  assert.deepEqual(plan([late]), []);
  const longWait = new Map([["a", 0], ["b", 400]]);
  assert.deepEqual(plan([late], {}, longWait), ["late:2"]);
});

test("a home zone without endpoints is ignored", () => {
  const ofZoneC = job("of zone c", { home_zone: "c", due_ms: 5_000 });
  assert.deepEqual(plan([ofZoneC]), ["of zone c:2"]);
});

test("no plan exceeds an endpoint's pieces per call or memory", () => {
  const anyJob = fc.record({
    priority: fc.nat(3),
    due_ms: fc.integer({ min: -500, max: 4_000 }),
    result_bytes: fc.nat(400),
    waiting_pieces: fc.nat(25),
    home_zone: fc.constantFrom("a", "b", undefined),
  });
  fc.assert(fc.property(fc.array(anyJob), fc.nat(1_500), (changes, room) => {
    const jobs = changes.map((change, n) => job(`${n}`, change));
    const planned = planCall(jobs, {
      availability_zone: "a",
      free_result_bytes: room,
      slowness: 1,
    }, { now_ms: 0, limits, zone_wait_ms: new Map([["a", 0], ["b", 50]]) });
    const pieces = planned.reduce((sum, each) => sum + each.pieces, 0);
    const bytes = planned.reduce(
      (sum, each) => sum + each.pieces * each.job.result_bytes,
      0,
    );
    assert.ok(pieces <= limits.pieces_per_call);
    assert.ok(bytes <= room);
    assert.ok(planned.every(({ job, pieces }) => pieces <= job.waiting_pieces));
    const names = planned.map((each) => each.job.name);
    assert.equal(new Set(names).size, names.length);
  }));
});

test("a job's expected time grows with the queue and is infinite without endpoints", () => {
  const load = { endpoints: 2, slowness: 1, pieces_ahead: 0, ...IDLE };
  const idle_ms = expectedJobMs(2, load, limits);
  assert.ok(idle_ms >= limits.call_ms && idle_ms < 2 * fullCallMs(limits));
  const busy_ms = expectedJobMs(2, { ...load, pieces_ahead: 200 }, limits);
  assert.ok(busy_ms > 10 * fullCallMs(limits));
  assert.equal(expectedJobMs(2, { ...load, endpoints: 0 }, limits), Infinity);
});

test("a job that met a crash shares a call with as few jobs as it may", () => {
  const jobs = [job("a"), job("b", { max_call_jobs: 2 }), job("c")];
  assert.deepEqual(plan(jobs), ["a:2", "b:2"]);
  const alone = job("alone", { max_call_jobs: 1 });
  assert.deepEqual(plan([alone, ...jobs]), ["alone:2"]);
  assert.deepEqual(plan([job("a"), alone, job("c")]), ["a:2", "c:2"]);
});

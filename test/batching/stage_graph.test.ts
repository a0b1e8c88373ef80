/** Running the stages of a request, with jobs that complete at once. */
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import { runStages } from "../../src/batching/stage_graph.ts";
import {
  type FinalJobOutcome,
  type FreedResults,
  JobOutcomeKind,
  type StageJob,
} from "../../src/batching/types.ts";
import {
  CallKind,
  type PieceStage,
  type Route,
} from "../../src/routes/types.ts";

let jobs: StageJob[];
let freed: string[];
let failAt: number | undefined;
let wait_ms: Record<string, number>;
let has_begun: boolean;

beforeEach(() => {
  jobs = [];
  freed = [];
  failAt = undefined;
  wait_ms = {};
  has_begun = false;
});

const STAGES: PieceStage[] = [
  { pool: "heavy", after: [], result_bytes: 1_500_000 },
  { pool: "encode", after: [], result_bytes: 8_000 },
  { pool: "rerank", after: [1], result_bytes: 60_000 },
  { pool: "rank", after: [2], result_bytes: 6_000 },
];

function routeOf(stages: PieceStage[]): Route {
  return {
    name: "review",
    hostname: "h",
    path_prefix: "/",
    kind: CallKind.Streaming,
    timeout_ms: 6_000,
    target_latency_ms: 1_500,
    first_event_within_ms: 6_000,
    priority: 1,
    pools: [],
    max_attempts: 1,
    stages,
    public: true,
    resumable: false,
  };
}

function runJob(job: StageJob): Promise<FinalJobOutcome> {
  jobs.push(job);
  if (job.stage === failAt) {
    return Promise.resolve({
      kind: JobOutcomeKind.Refused,
      retry_after_ms: 70,
      wait_ms: 0,
    });
  }
  return Promise.resolve({
    kind: JobOutcomeKind.Completed,
    wait_ms: 0,
    results: job.pieces.map(({ index }) => ({
      handle: `${job.pool}/${index}`,
      address: "10.0.0.1:80",
      availability_zone: `zone of ${job.pool}`,
    })),
  });
}

/** Runs a job until it is cancelled. */
function runUntilCancelled(
  _job: StageJob,
  signal: AbortSignal,
): Promise<FinalJobOutcome> {
  return new Promise((resolve) =>
    signal.addEventListener(
      "abort",
      () => resolve({ kind: JobOutcomeKind.Failed, reason: "cancelled" }),
    )
  );
}

function run(pieces: number[], stages = STAGES, pendingStage?: number) {
  return runStages({
    fingerprint: "request:f",
    attempt_id: "a",
    route: routeOf(stages),
    priority: 1,
    pieces,
    piece_key: "cafe",
    home_zone: "home",
    has_begun,
    due_ms: 1_400,
    expires_ms: 6_000,
    signal: new AbortController().signal,
  }, {
    run: (job, signal) =>
      job.stage === pendingStage ? runUntilCancelled(job, signal) : runJob(job),
    free: ({ handles }: FreedResults) => void freed.push(...handles),
    stageTime: ({ pool }) => ({
      min_ms: 200,
      expected_ms: 300 + (wait_ms[pool] ?? 0),
    }),
    now: () => 0,
  });
}

function jobOf(pool: string): StageJob {
  const job = jobs.find((each) => each.pool === pool);
  assert.ok(job !== undefined);
  return job;
}

test("a request of which the caller has a part is not weighed against those that have yet to begin", async () => {
  has_begun = true;
  await run([0, 1, 4, 10]);
  assert.equal(jobs.length, 3);
  for (const { later, target_in_ms } of jobs) {
    assert.deepEqual({ later, target_in_ms }, {
      later: undefined,
      target_in_ms: undefined,
    });
  }
});

test("a stage reads all results of its dependencies, a stage without any gets the piece key", async () => {
  const outcome = await run([2, 1, 2, 3]);
  assert.ok(outcome.kind === JobOutcomeKind.Completed);
  assert.deepEqual(jobOf("heavy").pieces.map(({ key }) => key), [
    "cafe",
    "cafe",
  ]);
  for (const { inputs, key } of jobOf("rank").pieces) {
    assert.deepEqual(inputs, ["rerank/0", "rerank/1"]);
    assert.equal(key, undefined);
  }
  assert.deepEqual(
    outcome.results.map(({ handle }) => handle),
    ["heavy/0", "heavy/1", "rank/0", "rank/1", "rank/2"],
  );
});

test("the due time of a stage leaves time for its dependents", async () => {
  await run([2, 1, 2, 3]);
  assert.deepEqual(
    ["encode", "rerank", "rank"].map((pool) => jobOf(pool).due_in_ms),
    [800, 1_100, 1_400],
  );
  assert.deepEqual(
    ["encode", "rerank", "rank"].map((pool) => jobOf(pool).expires_in_ms),
    [5_600, 5_800, 6_000],
  );
});

test("a stage gets a home zone only if it reads or returns much data", async () => {
  await run([2, 1, 4, 10]);
  assert.equal(jobOf("heavy").home_zone, "home");
  assert.equal(jobOf("encode").home_zone, undefined);
  assert.equal(jobOf("rerank").home_zone, undefined);
  assert.equal(jobOf("rank").home_zone, "zone of rerank");
});

test("results are freed by their last reader, final results by the caller", async () => {
  const outcome = await run([2, 1, 2, 3]);
  assert.deepEqual(
    jobOf("rank").last_read.flatMap(({ handles }) => handles),
    ["rerank/0", "rerank/1"],
  );
  assert.deepEqual(freed, []);
  assert.ok(outcome.kind === JobOutcomeKind.Completed);
  outcome.freeResults();
  outcome.freeResults();
  assert.deepEqual(freed.sort(), [
    "heavy/0",
    "heavy/1",
    "rank/0",
    "rank/1",
    "rank/2",
  ]);
});

test("a failed stage ends the request and frees all results", async () => {
  failAt = 2;
  const outcome = await run([2, 1, 2, 3]);
  assert.deepEqual(outcome, {
    kind: JobOutcomeKind.Refused,
    retry_after_ms: 70,
    wait_ms: 0,
  });
  assert.deepEqual(freed.sort(), ["encode/0", "heavy/0", "heavy/1"]);
  assert.ok(jobs.every(({ pool }) => pool !== "rank"));
});

test("a request is refused before its first stage if a later stage's wait is too long", async () => {
  wait_ms = { rank: 5_150 };
  const outcome = await run([2, 1, 2, 3]);
  assert.ok(outcome.kind === JobOutcomeKind.Refused);
  assert.equal(outcome.retry_after_ms, 50);
  assert.deepEqual(jobs, []);
});

test("the wait at a skipped stage is ignored", async () => {
  wait_ms = { rank: 5_150 };
  assert.equal((await run([2, 1, 2, 0])).kind, JobOutcomeKind.Completed);
});

test("a wait at a later stage makes earlier stages due sooner", async () => {
  wait_ms = { rank: 250 };
  await run([0, 1, 2, 3]);
  assert.equal(jobOf("encode").due_in_ms, 550);
});

test("a stage without pieces is skipped", async () => {
  const outcome = await run([0, 1, 2, 3]);
  assert.ok(outcome.kind === JobOutcomeKind.Completed);
  assert.equal(outcome.results.length, 3);
  assert.ok(jobs.every(({ pool }) => pool !== "heavy"));
});

test("a stage that is cancelled since another was refused doesn't hide the refusal", async () => {
  for (const [refused, pending] of [[0, 1], [1, 0]]) {
    failAt = refused;
    const outcome = await run([1, 1, 1, 1], STAGES, pending);
    assert.ok(outcome.kind === JobOutcomeKind.Refused);
    assert.equal(outcome.retry_after_ms, 70);
  }
});

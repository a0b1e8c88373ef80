/** Admission of a request at its first stage, for all of its stages. */
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import type { PoolLoad } from "../../src/batching/expected_wait.ts";
import { PipelineAdmission } from "../../src/batching/pipeline_admission.ts";
import {
  combineReports,
  createLoadReport,
  piecesDueBy,
  type PoolLoadReport,
} from "../../src/batching/pool_load_report.ts";
import {
  type JobOutcome,
  JobOutcomeKind,
  type StageJob,
} from "../../src/batching/types.ts";
import type { BatchLimits, RoutePool } from "../../src/routes/types.ts";

const limits: BatchLimits = {
  concurrent_calls: 1,
  pieces_per_call: 10,
  call_ms: 200,
  piece_ms: 10,
  room_bytes: 1_000,
  retention_ms: 4_000,
  link_bytes_per_ms: 1_000,
};

const IDLE: PoolLoad = {
  endpoints: 4,
  slowness: 1,
  pieces_ahead: 0,
  waiting_pieces: 0,
  arrivals_per_ms: 0,
  service_per_ms: undefined,
};

const pool: RoutePool = {
  name: "encode",
  max_connections: 10,
  model_engine: false,
  batch: limits,
};

let later: Map<string, PoolLoadReport>;
let admission: PipelineAdmission;

beforeEach(() => {
  later = new Map([["rerank", reportOf(0)]]);
  admission = new PipelineAdmission({
    pool: () => pool,
    laterLoad: (name) => later.get(name),
  });
});

/** Full calls of 10 pieces take 300 ms: 4 endpoints do 0.13 pieces a ms. */
function reportOf(pieces: number, due_in_ms = 500): PoolLoadReport {
  return createLoadReport(IDLE, limits, [{ pieces, due_in_ms }]);
}

function job(change: Partial<StageJob> = {}): StageJob {
  return {
    attempt_id: "a",
    pool: pool.name,
    stage: 0,
    pieces: [{ index: 0, key: "k", inputs: undefined }],
    result_bytes: 10,
    priority: 1,
    due_in_ms: 1_000,
    expires_in_ms: 3_000,
    home_zone: undefined,
    input_bytes: 0,
    last_read: [],
    later: [{ pool: "rerank", pieces: 4 }],
    target_in_ms: 1_300,
    ...change,
  };
}

function refusalOf(asked: StageJob, now_ms = 0): JobOutcome | undefined {
  return admission.check(asked, { load: IDLE, limits, now_ms })?.outcome;
}

test("a request is admitted while a later stage serves it in time", () => {
  assert.equal(refusalOf(job()), undefined);
  later.set("rerank", reportOf(100));
  assert.equal(refusalOf(job()), undefined);
});

test("a request is refused at once if a later stage serves it too late, with a time to return", () => {
  later.set("rerank", reportOf(400));
  const refusal = refusalOf(job());
  assert.ok(refusal?.kind === JobOutcomeKind.Refused);
  // 404 pieces take 3,030 ms and their last call 300 ms, for 1,300 ms.
  assert.equal(Math.round(refusal.retry_after_ms), 2_030);
});

test("what is due later doesn't count as ahead", () => {
  later.set("rerank", reportOf(400, 2_500));
  assert.equal(refusalOf(job()), undefined);
});

test("requests that are on their way to a later stage count there", () => {
  const asked = Array.from({ length: 60 }, () => refusalOf(job()));
  assert.ok(asked.filter((each) => each === undefined).length < 40);
});

test("requests that have arrived at a later stage count by its report only", () => {
  const fill = () => {
    let admitted = 0;
    while (refusalOf(job({ target_in_ms: 800 }), now_ms) === undefined) {
      admitted += 1;
    }
    return admitted;
  };
  let now_ms = 0;
  const first = fill();
  now_ms = 30_000;
  assert.equal(fill(), first);
});

test("a less urgent request leaves room for the urgent ones that come", () => {
  later.set("rerank", reportOf(40));
  for (let at_ms = 0; at_ms < 5_000; at_ms += 50) {
    refusalOf(job({ later: [{ pool: "rerank", pieces: 6 }] }), at_ms);
  }
  assert.equal(refusalOf(job({ target_in_ms: 2_000 }), 5_000), undefined);
  const less_urgent = job({ priority: 2, target_in_ms: 2_000 });
  assert.equal(refusalOf(less_urgent, 5_000)?.kind, JobOutcomeKind.Refused);
});

test("a request that no one would serve on time is admitted while there is room", () => {
  assert.equal(refusalOf(job({ target_in_ms: 100 })), undefined);
});

test("the first stage decides alone while no endpoint of a later one accepts calls", () => {
  later.set("rerank", { ...reportOf(4_000), pieces_per_ms: 0 });
  assert.equal(refusalOf(job()), undefined);
});

test("the first stage decides alone without news of the later ones, or of them", () => {
  later.clear();
  assert.equal(refusalOf(job()), undefined);
  later.set("rerank", reportOf(4_000));
  assert.equal(refusalOf(job({ later: undefined })), undefined);
  assert.equal(refusalOf(job({ target_in_ms: undefined })), undefined);
  const inputs = [{ index: 0, key: undefined, inputs: ["handle"] }];
  assert.equal(refusalOf(job({ pieces: inputs })), undefined);
});

test("a report counts pieces by the time left, and those of shards add up", () => {
  const report = createLoadReport(IDLE, limits, [
    { pieces: 1, due_in_ms: -200 },
    { pieces: 2, due_in_ms: 300 },
    { pieces: 4, due_in_ms: 60_000 },
  ]);
  assert.equal(piecesDueBy(report, 0), 1);
  assert.equal(piecesDueBy(report, 300), 3);
  assert.equal(piecesDueBy(report, Infinity), 7);
  const both = combineReports([report, report]);
  assert.equal(piecesDueBy(both, 300), 6);
  assert.equal(both.pieces_per_ms, 2 * report.pieces_per_ms);
  assert.equal(both.call_ms, report.call_ms);
});

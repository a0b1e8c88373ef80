/**
 * Replays a burst on a virtual clock: four endpoints, and for five seconds more
 * work that must be done within 700 ms than they can do. Work that a burst
 * leaves no room for must be refused soon, not when its deadline passes.
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, mock, test } from "node:test";
import { Batcher } from "../../src/batching/batcher.ts";
import {
  type PieceCallResult,
  PieceCallResultKind,
} from "../../src/batching/piece_call.ts";
import {
  type JobOutcome,
  JobOutcomeKind,
  type PieceRequest,
} from "../../src/batching/types.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { RouteEndpointState, type RoutePool } from "../../src/routes/types.ts";

const STEP_MS = 5;
const DUE_IN_MS = 700;
const EXPIRES_IN_MS = 5_000;
const BURST_MS = 5_000;
const PIECES_PER_JOB = 2;
/** A full call of 8 pieces takes 360 ms: 4 endpoints do 89 pieces a second. */
const CAPACITY_JOBS_PER_S = 44;

const pool: RoutePool = {
  name: "encode",
  max_connections: 10,
  model_engine: false,
  batch: {
    concurrent_calls: 1,
    pieces_per_call: 8,
    call_ms: 200,
    piece_ms: 20,
    room_bytes: 1_000_000,
    retention_ms: 4_000,
    link_bytes_per_ms: 1_000,
  },
};

interface EndedJob {
  arrived_ms: number;
  elapsed_ms: number;
  outcome: JobOutcome;
}

let now_ms: number;
let ended: EndedJob[];
let batcher: Batcher;
const { signal } = new AbortController();

beforeEach(() => {
  mock.timers.enable({ apis: ["setTimeout"] });
  now_ms = 0;
  ended = [];
  batcher = new Batcher({
    pool: () => pool,
    endpoints: () =>
      ["1", "2", "3", "4"].map((id) => ({
        id,
        pool: pool.name,
        address: `10.0.0.${id}:80`,
        availability_zone: "a",
        slots: 1,
        state: RouteEndpointState.Ready,
        born_ms: 1,
      })),
    pauseMs: () => 0,
    client: {
      call: (_endpoint, requests) => computePieces(requests),
      free: () => Promise.resolve(true),
    },
    freeAtBatcher: () => {},
    laterLoad: () => undefined,
    isCutOffFrom: () => false,
    hasCrashed: () => Promise.resolve(false),
    onCompleted: () => {},
    onUnwantedCall: () => {},
    log: createLogger({ level: "error", host: "h", writeLine: () => {} }),
    now: () => now_ms,
  });
});

afterEach(() => mock.timers.reset());

function computePieces(requests: PieceRequest[]): Promise<PieceCallResult> {
  const responses = requests.map(({ attempt_id, index }) => ({
    ok: true as const,
    handle: `${attempt_id}/${index}`,
  }));
  return new Promise((resolve) =>
    setTimeout(
      () => resolve({ kind: PieceCallResultKind.Answered, responses }),
      200 + 20 * requests.length,
    )
  );
}

interface SentJob {
  pieces?: number;
  result_bytes?: number;
  /** Handles of inputs that a job of a later stage reads. */
  inputs?: string[];
}

/** Sends a job; its results stay at their endpoint until they expire. */
function sendJob(
  number: number,
  { pieces = PIECES_PER_JOB, result_bytes = 10, inputs }: SentJob = {},
): void {
  const arrived_ms = now_ms;
  void batcher.run({
    attempt_id: `${number}`,
    pool: pool.name,
    stage: 0,
    pieces: Array.from(
      { length: pieces },
      (_, index) => ({ index, key: "k", inputs }),
    ),
    result_bytes,
    priority: 0,
    due_in_ms: DUE_IN_MS,
    expires_in_ms: EXPIRES_IN_MS,
    home_zone: undefined,
    input_bytes: 0,
    last_read: inputs === undefined ? [] : [{
      pool: pool.name,
      address: "10.0.1.1:80",
      handles: inputs,
    }],
  }, signal).then((outcome) =>
    void ended.push({ arrived_ms, elapsed_ms: now_ms - arrived_ms, outcome })
  );
}

/** Sends jobs at this multiple of the capacity; resolves when all ended. */
async function replayBurst(
  load: number,
  job: SentJob = {},
): Promise<void> {
  const interval_ms = 1_000 / (load * CAPACITY_JOBS_PER_S);
  let sent = 0;
  while (now_ms < BURST_MS + EXPIRES_IN_MS) {
    while (now_ms < BURST_MS && sent * interval_ms <= now_ms) {
      sendJob(sent++, job);
    }
    now_ms += STEP_MS;
    mock.timers.tick(STEP_MS);
    for (let turn = 0; turn < 4; turn++) await Promise.resolve();
  }
  assert.equal(ended.length, sent);
}

function endedAs(kind: JobOutcomeKind): EndedJob[] {
  return ended.filter(({ outcome }) => outcome.kind === kind);
}

function countOnTime(): number {
  return endedAs(JobOutcomeKind.Completed)
    .filter(({ elapsed_ms }) => elapsed_ms <= DUE_IN_MS).length;
}

test("below capacity every job is on time", async () => {
  await replayBurst(0.7);
  assert.equal(countOnTime(), ended.length);
});

test("in a burst of twice the capacity no job waits until its deadline", async () => {
  await replayBurst(2);
  assert.deepEqual(endedAs(JobOutcomeKind.Failed), []);
  const refused = endedAs(JobOutcomeKind.Refused);
  assert.ok(refused.length > 0);
  const latest_ms = Math.max(...refused.map(({ elapsed_ms }) => elapsed_ms));
  assert.ok(latest_ms < EXPIRES_IN_MS / 3, `refused after ${latest_ms} ms`);
});

test("in a burst of twice the capacity, jobs on time take most of it", async () => {
  await replayBurst(2);
  const possible = CAPACITY_JOBS_PER_S * BURST_MS / 1_000;
  const on_time = countOnTime();
  assert.ok(on_time > 0.8 * possible, `${on_time} of ${possible} on time`);
});

test("in a burst at a later stage no job waits until its inputs are gone", async () => {
  await replayBurst(2, { inputs: ["10.0.1.1:80/1"] });
  assert.deepEqual(endedAs(JobOutcomeKind.Failed), []);
  const refused = endedAs(JobOutcomeKind.Refused);
  assert.ok(refused.length > 0);
  const latest_ms = Math.max(...refused.map(({ elapsed_ms }) => elapsed_ms));
  assert.ok(latest_ms < pool.batch!.retention_ms, `after ${latest_ms} ms`);
});

test("in a burst at a later stage, which refuses nothing, most of the work is on time", async () => {
  await replayBurst(1.3, { inputs: ["10.0.1.1:80/1"] });
  const possible = CAPACITY_JOBS_PER_S * BURST_MS / 1_000;
  const on_time = countOnTime();
  assert.ok(on_time > 0.8 * possible, `${on_time} of ${possible} on time`);
});

test("a queue that was idle after a burst that filled memory admits large jobs again", async () => {
  await replayBurst(3, { result_bytes: pool.batch!.room_bytes });
  now_ms += 60_000;
  const before = ended.length;
  sendJob(-1, { pieces: 10 });
  for (let step = 0; step < 200; step++) {
    now_ms += STEP_MS;
    mock.timers.tick(STEP_MS);
    for (let turn = 0; turn < 4; turn++) await Promise.resolve();
  }
  assert.equal(ended.length, before + 1);
  assert.equal(ended.at(-1)?.outcome.kind, JobOutcomeKind.Completed);
});

test("a refusal tells a time after which a returning job is served", async () => {
  await replayBurst(2);
  const refused = endedAs(JobOutcomeKind.Refused).at(-1);
  assert.ok(refused?.outcome.kind === JobOutcomeKind.Refused);
  assert.ok(refused.outcome.retry_after_ms >= pool.batch!.call_ms);
  assert.ok(refused.outcome.retry_after_ms < EXPIRES_IN_MS);
});

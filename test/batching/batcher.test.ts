/** The batcher, with a client to whose calls the test responds. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Batcher } from "../../src/batching/batcher.ts";
import {
  type PieceCallResult,
  PieceCallResultKind,
} from "../../src/batching/piece_call.ts";
import {
  JobOutcomeKind,
  PieceFault,
  type PieceRequest,
  type StageJob,
} from "../../src/batching/types.ts";
import { createLogger } from "../../src/logging/logger.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
  type RoutePool,
} from "../../src/routes/types.ts";

interface PendingCall {
  endpoint: string;
  requests: PieceRequest[];
  signal: AbortSignal;
  respond: (result: PieceCallResult) => void;
}

let stopping: AbortController;
let now_ms: number;
let calls: PendingCall[];
let freed: string[];
let confirmFree: () => void;
let batcher: Batcher;

const pool: RoutePool = {
  name: "encode",
  max_connections: 10,
  model_engine: false,
  batch: {
    concurrent_calls: 1,
    pieces_per_call: 4,
    call_ms: 100,
    piece_ms: 10,
    room_bytes: 1_000,
    retention_ms: 4_000,
    link_bytes_per_ms: 1_000,
  },
};

function endpoint(id: string): RouteEndpoint {
  return {
    id,
    pool: pool.name,
    address: `10.0.0.1:${id}`,
    availability_zone: "a",
    slots: 1,
    state: RouteEndpointState.Ready,
    born_ms: 1,
  };
}

let isConfigured: boolean;
let endpoints: RouteEndpoint[];
let pausedUntil_ms: Map<string, number>;

afterEach(() => stopping.abort());

beforeEach(() => {
  stopping = new AbortController();
  now_ms = 0;
  isConfigured = true;
  pausedUntil_ms = new Map();
  calls = [];
  freed = [];
  endpoints = [endpoint("1")];
  batcher = new Batcher({
    pool: () => isConfigured ? pool : undefined,
    endpoints: () => endpoints,
    pauseMs: ({ id }) => Math.max(0, (pausedUntil_ms.get(id) ?? 0) - now_ms),
    client: {
      call: (at, requests, { signal }) =>
        new Promise((respond) =>
          void calls.push({ endpoint: at.id, requests, signal, respond })
        ),
      free: (_address, handles) => {
        freed.push(...handles);
        return new Promise((confirm) => confirmFree = () => confirm(true));
      },
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

function job(attempt_id: string, change: Partial<StageJob> = {}): StageJob {
  return {
    attempt_id,
    pool: pool.name,
    stage: 0,
    pieces: piecesOf(2),
    result_bytes: 10,
    priority: 0,
    due_in_ms: 1_000,
    expires_in_ms: 5_000,
    home_zone: undefined,
    input_bytes: 0,
    last_read: [],
    ...change,
  };
}

function piecesOf(count: number): StageJob["pieces"] {
  return Array.from(
    { length: count },
    (_, index) => ({ index, key: "k", inputs: undefined }),
  );
}

function run(attempt_id: string, signal = stopping.signal) {
  return batcher.runForPeer(job(attempt_id), signal);
}

function completed({ requests }: PendingCall): PieceCallResult {
  const responses = requests.map(({ attempt_id, index }) => ({
    ok: true as const,
    handle: `${attempt_id}/${index}`,
  }));
  return { kind: PieceCallResultKind.Answered, responses };
}

async function respond(number: number, result?: PieceCallResult) {
  const call = calls[number];
  assert.ok(call !== undefined);
  now_ms += 120;
  call.respond(result ?? completed(call));
  await new Promise((resolve) => setImmediate(resolve));
}

test("waiting jobs share the next call and each gets its own results", async () => {
  const first = run("a");
  const second = run("b");
  const third = run("c");
  assert.equal(calls.length, 1);
  await respond(0);
  assert.deepEqual(
    calls[1]?.requests.map(({ attempt_id, index }) => `${attempt_id}/${index}`),
    ["b/0", "b/1", "c/0", "c/1"],
  );
  await respond(1);
  for (const [name, outcome] of [["a", first], ["b", second], ["c", third]]) {
    const end = await (outcome as typeof first);
    assert.ok(end.kind === JobOutcomeKind.Completed);
    assert.deepEqual(
      end.results.map(({ handle }) => handle),
      [`${name}/0`, `${name}/1`],
    );
  }
});

test("pieces of a failed call are retried at another endpoint", async () => {
  endpoints.push(endpoint("2"));
  const outcome = run("a");
  const failedEndpoint = calls[0]?.endpoint;
  await respond(0, { kind: PieceCallResultKind.Failed, reason: "reset" });
  assert.notEqual(calls[1]?.endpoint, failedEndpoint);
  await respond(1);
  assert.equal((await outcome).kind, JobOutcomeKind.Completed);
});

test("a failed piece is retried without the others", async () => {
  const outcome = run("a");
  await respond(0, {
    kind: PieceCallResultKind.Answered,
    responses: [{ ok: true, handle: "a/0" }, {
      ok: false,
      fault: PieceFault.Error,
    }],
  });
  assert.deepEqual(calls[1]?.requests.map(({ index }) => index), [1]);
  await respond(1);
  const end = await outcome;
  assert.ok(end.kind === JobOutcomeKind.Completed);
  assert.deepEqual(end.results.map(({ handle }) => handle), ["a/0", "a/1"]);
});

test("results of a cancelled job are freed", async () => {
  const caller = new AbortController();
  const outcome = run("a", caller.signal);
  caller.abort();
  assert.equal((await outcome).kind, JobOutcomeKind.Failed);
  await respond(0);
  assert.deepEqual(freed, ["a/0", "a/1"]);
});

/** Longer than a call goes on for nobody. */
const UNWANTED_MS = 400;

test("a call is ended once the last of its jobs has left", async () => {
  const [first, second] = [new AbortController(), new AbortController()];
  void run("a");
  const left = [run("b", first.signal), run("c", second.signal)];
  await respond(0);
  first.abort();
  await sleep(UNWANTED_MS);
  assert.equal(calls[1]?.signal.aborted, false);
  second.abort();
  await sleep(UNWANTED_MS);
  assert.equal(calls[1]?.signal.aborted, true);
  await respond(1, { kind: PieceCallResultKind.Cancelled });
  for (const outcome of await Promise.all(left)) {
    assert.equal(outcome.kind, JobOutcomeKind.Failed);
  }
  now_ms += 1_000;
  const next = run("d");
  await respond(2);
  assert.equal((await next).kind, JobOutcomeKind.Completed);
});

test("the memory of an ended call counts as taken", async () => {
  const caller = new AbortController();
  const large = { result_bytes: 500 };
  void batcher.runForPeer(job("a", large), caller.signal);
  caller.abort();
  await respond(0, { kind: PieceCallResultKind.Cancelled });
  now_ms += 1_000;
  void batcher.runForPeer(job("b", large), stopping.signal);
  assert.equal(calls.length, 1);
  now_ms += 5_000;
  void batcher.runForPeer(job("c", large), stopping.signal);
  assert.equal(calls.length, 2);
});

test("a job whose caller has left before it arrives makes no call", async () => {
  assert.equal(
    (await run("a", AbortSignal.abort())).kind,
    JobOutcomeKind.Failed,
  );
  assert.equal(calls.length, 0);
});

test("a job whose inputs are gone has the outcome inputs_gone", async () => {
  const outcome = run("a");
  const gone = { ok: false as const, fault: PieceFault.InputsGone };
  await respond(0, {
    kind: PieceCallResultKind.Answered,
    responses: [gone, gone],
  });
  assert.equal((await outcome).kind, JobOutcomeKind.InputsGone);
});

test("a draining batcher finishes started jobs and hands back the others", async () => {
  const started = run("a");
  const waiting = run("b");
  batcher.drain();
  assert.equal((await waiting).kind, JobOutcomeKind.HandedBack);
  assert.equal((await run("c")).kind, JobOutcomeKind.HandedBack);
  await respond(0);
  assert.equal((await started).kind, JobOutcomeKind.Completed);
  const own = batcher.run(job("d"), stopping.signal);
  await respond(1);
  assert.equal((await own).kind, JobOutcomeKind.Completed);
});

test("a host that doesn't know a pool yet hands its jobs back", async () => {
  isConfigured = false;
  assert.equal((await run("a")).kind, JobOutcomeKind.HandedBack);
  isConfigured = true;
  const outcome = run("b");
  await respond(0);
  assert.equal((await outcome).kind, JobOutcomeKind.Completed);
});

test("a job that cannot finish in time is refused at once with a retry time", async () => {
  for (let n = 0; n < 10; n++) void run(`${n}`);
  const outcome = await batcher.runForPeer(
    job("late", { expires_in_ms: 300 }),
    stopping.signal,
  );
  assert.ok(outcome.kind === JobOutcomeKind.Refused);
  assert.ok(outcome.retry_after_ms > 0);
});

/** Runs one job after the other until an endpoint is called, for `limit_ms`. */
async function runUntilCalled(id: string, limit_ms: number): Promise<boolean> {
  const end_ms = now_ms + limit_ms;
  for (let n = 0; now_ms < end_ms; n++) {
    void run(`later-${n}`);
    if (calls.at(-1)?.endpoint === id) return true;
    await respond(calls.length - 1);
  }
  return false;
}

/** Lets an endpoint's call time out after so long that it counts as slow. */
async function timeOutAt(id: string): Promise<void> {
  endpoints = [endpoint(id)];
  void run("a");
  now_ms += 2_000;
  endpoints = [endpoint(id), endpoint("2")];
  await respond(0, { kind: PieceCallResultKind.TimedOut });
  await respond(calls.length - 1);
}

test("an endpoint whose call timed out is called again, also while another one suffices", async () => {
  await timeOutAt("1");
  assert.ok(await runUntilCalled("1", 5_000));
});

test("an endpoint that is fast again after a timeout is called like the others", async () => {
  await timeOutAt("1");
  assert.ok(await runUntilCalled("1", 5_000));
  await respond(calls.length - 1);
  void run("b");
  void run("c");
  const lastTwo = calls.slice(-2).map((call) => call.endpoint).sort();
  assert.deepEqual(lastTwo, ["1", "2"]);
});

test("an endpoint that counts as slow is called again for one job at a time", async () => {
  await timeOutAt("1");
  now_ms += 5_000;
  // While both pause, jobs gather.
  for (const id of ["1", "2"]) pausedUntil_ms.set(id, now_ms + 50);
  for (const id of ["b", "c", "d"]) void run(id);
  now_ms += 50;
  batcher.endpointsChanged();
  const retried = calls.find((call, n) => n > 1 && call.endpoint === "1");
  assert.ok(retried !== undefined);
  assert.equal(
    new Set(retried.requests.map((each) => each.attempt_id)).size,
    1,
  );
});

test("a request that comes back too late to be on time goes after one that can be on time", async () => {
  const offer = (attempt_id: string, change: Partial<StageJob>) =>
    batcher.runForPeer(
      job(attempt_id, {
        request: attempt_id[0],
        target_in_ms: 400,
        due_in_ms: 400,
        ...change,
      }),
      stopping.signal,
    );
  // 16 pieces take four calls of 140 ms, too long for what expires after 300.
  void offer("w", { pieces: piecesOf(16), due_in_ms: 5_000 });
  const refused = await offer("a1", { expires_in_ms: 300 });
  assert.equal(refused.kind, JobOutcomeKind.Refused);
  for (let call = 0; call < 3; call++) await respond(call);
  // It is late by its first attempt, and would be due first by this one.
  void offer("a2", { pieces: piecesOf(4) });
  void offer("b1", { pieces: piecesOf(4), due_in_ms: 450 });
  await respond(3);
  assert.equal(calls[4]?.requests[0]?.attempt_id, "b1");
  await respond(4);
  assert.equal(calls[5]?.requests[0]?.attempt_id, "a2");
});

test("freed memory is used again only once the endpoint confirms it", async () => {
  const large = { result_bytes: 500 };
  void batcher.runForPeer(job("a", large), stopping.signal);
  await respond(0);
  void batcher.runForPeer(job("b", large), stopping.signal);
  assert.equal(calls.length, 1);
  const { address } = endpoint("1");
  batcher.free({ pool: pool.name, address, handles: ["a/0", "a/1"] });
  assert.deepEqual(freed, ["a/0", "a/1"]);
  assert.equal(calls.length, 1);
  confirmFree();
  now_ms += 100;
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(calls.length, 2);
});

test("after an out-of-memory fault, a piece waits until memory may be free", async () => {
  const large = { result_bytes: 300 };
  const outcome = batcher.runForPeer(job("a", large), stopping.signal);
  const outOfMemory = { ok: false as const, fault: PieceFault.OutOfMemory };
  await respond(0, {
    kind: PieceCallResultKind.Answered,
    responses: [{ ok: true, handle: "a/0" }, outOfMemory],
  });
  assert.equal(calls.length, 2);
  await respond(1, {
    kind: PieceCallResultKind.Answered,
    responses: [outOfMemory],
  });
  assert.equal(calls.length, 2);
  now_ms += 1_000;
  batcher.endpointsChanged();
  await respond(2);
  assert.equal((await outcome).kind, JobOutcomeKind.Completed);
});

test("a pausing endpoint gets no call, and the work goes to another one", () => {
  endpoints = [endpoint("1"), endpoint("2")];
  pausedUntil_ms.set("1", 2_000);
  void run("a");
  void run("b");
  assert.deepEqual(calls.map(({ endpoint: id }) => id), ["2"]);
});

test("while all endpoints pause, a job waits if it would be in time, else it is refused with the earliest time", async () => {
  endpoints = [endpoint("1"), endpoint("2")];
  pausedUntil_ms.set("1", 3_000).set("2", 2_000);
  void run("a");
  const late = await batcher.runForPeer(
    job("b", { due_in_ms: 500, expires_in_ms: 1_500 }),
    stopping.signal,
  );
  assert.equal(calls.length, 0);
  assert.ok(late.kind === JobOutcomeKind.Refused);
  assert.ok(late.retry_after_ms >= 2_000 && late.retry_after_ms < 3_000);
  now_ms = 2_000;
  batcher.endpointsChanged();
  assert.deepEqual(calls.map(({ endpoint: id }) => id), ["2"]);
});

/** Stages while the host that batches for their pool reaches no endpoint of it. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, mock, test } from "node:test";
import { Batcher } from "../../src/batching/batcher.ts";
import { JobRouter } from "../../src/batching/job_router.ts";
import {
  type PieceCallOptions,
  type PieceCallResult,
  PieceCallResultKind,
} from "../../src/batching/piece_call.ts";
import { PoolWaits } from "../../src/batching/pool_waits.ts";
import {
  type FinalJobOutcome,
  type JobOutcome,
  JobOutcomeKind,
  type PieceRequest,
  type StageJob,
} from "../../src/batching/types.ts";
import { createLogger } from "../../src/logging/logger.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
  type RoutePool,
} from "../../src/routes/types.ts";
import { SimulatedEndpoint } from "./simulated_endpoint.ts";

const LIMITS = {
  concurrent_calls: 1,
  pieces_per_call: 8,
  call_ms: 40,
  piece_ms: 2,
  room_bytes: 100_000,
  retention_ms: 4_000,
  link_bytes_per_ms: 1_000,
};
/** Enough that one host batches for the first and another one. */
const POOLS = ["encode", "rank", "embed", "crop", "scan", "score"];
const PIECES = 4;
/** Time in which the reachability of an endpoint is found out. */
const DETECTION_MS = 700;
const STAGE_DUE_MS = 600;

interface Host {
  address: string;
  batcher: Batcher;
  router: JobRouter;
  logLines: string[];
}

let now_ms: number;
let hosts: Map<string, Host>;
/** Pools from which a host is cut off, by address, and since when it knows. */
let cuts: Map<string, { pool: string; known_ms: number }[]>;
let endpoints: RouteEndpoint[];
let simulated: Map<string, SimulatedEndpoint>;
/** How often each piece was computed. */
let computed: Map<string, number>;
let stopping: AbortController;
let attempts: number;

beforeEach(() => {
  now_ms = 0;
  mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
  hosts = new Map();
  cuts = new Map();
  computed = new Map();
  stopping = new AbortController();
  attempts = 0;
  endpoints = POOLS.flatMap((pool, base) =>
    [0, 1, 2].map((n): RouteEndpoint => ({
      id: `${pool}-${n}`,
      pool,
      address: `127.0.0.1:${7_000 + 10 * base + n}`,
      availability_zone: "az-1",
      slots: 1,
      state: RouteEndpointState.Ready,
      born_ms: 1,
    }))
  );
  simulated = new Map();
  const world = {
    now: () => now_ms,
    endpoints: simulated,
    resultBytes: () => 100,
  };
  for (const endpoint of endpoints) {
    simulated.set(
      endpoint.address,
      new SimulatedEndpoint(endpoint, LIMITS, world),
    );
  }
  for (let n = 0; n < 5; n++) createHost(`10.0.0.${n}:1`);
});
afterEach(() => {
  stopping.abort();
  mock.timers.reset();
});

function poolOf(name: string): RoutePool {
  return { name, max_connections: 10, model_engine: false, batch: LIMITS };
}

function cutOf(address: string, pool: string) {
  return cuts.get(address)?.find((cut) => cut.pool === pool);
}

/** Whether a host knows that it is cut off from a pool. */
function knowsCut(address: string, pool: string): boolean {
  return now_ms >= (cutOf(address, pool)?.known_ms ?? Infinity);
}

/** A call as it goes directly, or nowhere while the host is cut off. */
async function call(
  host: string,
  endpoint: RouteEndpoint,
  requests: PieceRequest[],
  { timeout_ms }: PieceCallOptions,
): Promise<PieceCallResult> {
  const cut = cutOf(host, endpoint.pool);
  if (cut !== undefined) {
    const sent_ms = now_ms;
    while (now_ms - sent_ms < timeout_ms) {
      if (knowsCut(host, endpoint.pool)) {
        const reason = "out_of_reach";
        return { kind: PieceCallResultKind.Failed, reason, way_failed: true };
      }
      await wait(5);
    }
    return { kind: PieceCallResultKind.TimedOut };
  }
  for (const { attempt_id, index } of requests) {
    const key = `${attempt_id}/${index}`;
    computed.set(key, (computed.get(key) ?? 0) + 1);
  }
  const target = simulated.get(endpoint.address);
  assert.ok(target !== undefined);
  return await target.call(requests);
}

function createHost(address: string): void {
  const logLines: string[] = [];
  const log = createLogger({
    level: "info",
    host: address,
    writeLine: (line) => logLines.push(line),
  });
  const batcher = new Batcher({
    pool: poolOf,
    endpoints: (pool) => endpoints.filter((each) => each.pool === pool),
    pauseMs: () => 0,
    client: {
      call: (...args) => call(address, ...args),
      free: (at, handles) => {
        simulated.get(at)?.free(handles);
        return Promise.resolve(true);
      },
    },
    freeAtBatcher: () => {},
    laterLoad: () => undefined,
    hasCrashed: () => Promise.resolve(false),
    isCutOffFrom: (all) => all.every(({ pool }) => knowsCut(address, pool)),
    onCompleted: () => {},
    onUnwantedCall: () => {},
    log,
    now: () => now_ms,
  });
  const router = new JobRouter({
    self: address,
    // A few of the hosts batch; the last two don't.
    batchers: () => batchers,
    pools: () => [],
    hosts: () => [...hosts.keys()],
    local: batcher,
    peers: {
      run: (to, job, signal) => runAt(to, job, signal),
      free: () => Promise.resolve(),
      ping: () => Promise.resolve(true),
      loadReport: () => Promise.reject(new Error("no load")),
    },
    waits: new PoolWaits(),
    zone: "az-1",
    shards: () => [],
    zoneAt: () => "az-1",
    log,
    now: () => now_ms,
    signal: stopping.signal,
  });
  hosts.set(address, { address, batcher, router, logLines });
}

const batchers = [0, 1, 2].map((n) => `10.0.0.${n}:1`);

async function runAt(
  address: string,
  job: StageJob,
  signal: AbortSignal,
): Promise<JobOutcome> {
  await wait(1);
  // As it travels between hosts.
  const sent = JSON.parse(JSON.stringify(job)) as StageJob;
  const outcome = await hosts.get(address)?.batcher.runForPeer(sent, signal);
  assert.ok(outcome !== undefined);
  await wait(1);
  return JSON.parse(JSON.stringify(outcome)) as JobOutcome;
}

function host(address: string): Host {
  const found = hosts.get(address);
  assert.ok(found !== undefined);
  return found;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Lets time pass; pending promises run in each millisecond. */
async function pass(duration_ms: number): Promise<void> {
  for (let n = 0; n < duration_ms; n++) {
    now_ms += 1;
    mock.timers.tick(1);
    for (let turn = 0; turn < 4; turn++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

interface Ended {
  attempt: string;
  outcome: FinalJobOutcome;
  elapsed_ms: number;
}

/** Begins a job at a host; its end is added to the list. */
function begin(at: string, ended: Ended[], pool = "encode"): void {
  attempts += 1;
  const attempt = `attempt-${attempts}`;
  const begun_ms = now_ms;
  const job: StageJob = {
    attempt_id: attempt,
    pool,
    stage: 0,
    pieces: Array.from(
      { length: PIECES },
      (_, index) => ({ index, key: attempt, inputs: undefined }),
    ),
    result_bytes: 100,
    priority: 0,
    due_in_ms: STAGE_DUE_MS,
    expires_in_ms: 4_000,
    home_zone: undefined,
    input_bytes: 0,
    last_read: [],
  };
  void host(at).router.run(job, stopping.signal).then((outcome) =>
    ended.push({ attempt, outcome, elapsed_ms: now_ms - begun_ms })
  );
}

/** Cuts a host off from a pool; it finds out somewhat later. */
function cut(address: string, pool = "encode"): void {
  const known = cuts.get(address) ?? [];
  cuts.set(address, [...known, { pool, known_ms: now_ms + DETECTION_MS }]);
}

/** The host that batches for the pool now, as a host sees it that doesn't. */
function batcherOf(pool = "encode"): string {
  return host("10.0.0.4:1").router.batcherOf(pool);
}

async function beginMany(ended: Ended[], from: string[]): Promise<number> {
  let begun = 0;
  for (let n = 0; n < 60; n++) {
    for (const at of from) {
      begin(at, ended);
      begun += 1;
    }
    await pass(50);
  }
  return begun;
}

function assertServed(ended: Ended[], count: number): void {
  assert.equal(ended.length, count);
  for (const { attempt, outcome, elapsed_ms } of ended) {
    assert.equal(outcome.kind, JobOutcomeKind.Completed, attempt);
    assert.ok(elapsed_ms <= STAGE_DUE_MS, `${attempt} took ${elapsed_ms} ms`);
  }
}

function assertComputedOnce(): void {
  for (const [piece, times] of computed) assert.equal(times, 1, piece);
}

test("jobs that wait at a batcher which is cut off are run elsewhere, once", async () => {
  const first = batcherOf();
  cut(first);
  const ended: Ended[] = [];
  for (const at of hosts.keys()) begin(at, ended);
  await pass(DETECTION_MS + 400);
  assert.equal(ended.length, hosts.size);
  for (const { outcome } of ended) {
    assert.equal(outcome.kind, JobOutcomeKind.Completed);
  }
  assertComputedOnce();
});

test("a batcher that is cut off gets no jobs of its pool", async () => {
  const first = batcherOf();
  cut(first);
  await pass(DETECTION_MS + 10);
  const ended: Ended[] = [];
  const begun = await beginMany(ended, [...hosts.keys()]);
  await pass(1_000);
  assertServed(ended, begun);
  assertComputedOnce();
});

test("a batcher that is cut off from one pool goes on with the others", async () => {
  const first = batcherOf();
  const other = POOLS.slice(1).find((pool) => batcherOf(pool) === first);
  assert.ok(other !== undefined);
  cut(first);
  await pass(DETECTION_MS + 10);
  const ended: Ended[] = [];
  for (const at of hosts.keys()) begin(at, ended);
  await pass(300);
  assertServed(ended, hosts.size);
  assert.notEqual(batcherOf(), first);
  assert.equal(batcherOf(other), first);
});

test("if all batchers are cut off, a host that isn't takes their jobs", async () => {
  for (const address of batchers) cut(address);
  await pass(DETECTION_MS + 10);
  const ended: Ended[] = [];
  const begun = await beginMany(ended, [...hosts.keys()]);
  await pass(1_000);
  assertServed(ended, begun);
  assertComputedOnce();
});

test("a batcher that reaches its endpoints again batches for them as before", async () => {
  const first = batcherOf();
  const ended: Ended[] = [];
  cut(first);
  await beginMany(ended, ["10.0.0.3:1"]);
  cuts.clear();
  await pass(3_000);
  assert.equal(batcherOf(), first);
  const after: Ended[] = [];
  const begun = await beginMany(after, [...hosts.keys()]);
  await pass(1_000);
  assertServed(after, begun);
  const { logLines } = host(first);
  const calls = logLines.filter((line) =>
    line.includes("event=stage_call") && line.includes("outcome=answered")
  );
  assert.ok(calls.length > 0);
  const slow = calls.filter((line) =>
    Number(/slowness=([\d.]+)/.exec(line)?.[1]) > 1.5
  );
  assert.deepEqual(slow, []);
});

test("a job runs at its own host if no host reaches the endpoints", async () => {
  for (const address of hosts.keys()) cut(address);
  await pass(DETECTION_MS + 10);
  const ended: Ended[] = [];
  begin("10.0.0.3:1", ended);
  await pass(100);
  cuts.clear();
  await pass(3_000);
  assert.deepEqual(
    ended.map(({ outcome }) => outcome.kind),
    [JobOutcomeKind.Completed],
  );
});

/** Choice of a pool's batcher, and failover when it does not respond. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { Batcher } from "../../src/batching/batcher.ts";
import { type BatcherPeers, JobRouter } from "../../src/batching/job_router.ts";
import { PoolWaits } from "../../src/batching/pool_waits.ts";
import {
  type JobOutcome,
  JobOutcomeKind,
  type StageJob,
} from "../../src/batching/types.ts";
import { createLogger } from "../../src/logging/logger.ts";

const COMPLETED: JobOutcome = {
  kind: JobOutcomeKind.Completed,
  results: [],
  wait_ms: 120,
};
const HANDED_BACK: JobOutcome = { kind: JobOutcomeKind.HandedBack };

let called: string[];
let outcomes: Record<string, () => Promise<JobOutcome>>;
let stopping: AbortController;
let hosts: string[];
let shards: string[];
let onJob: (job: StageJob) => void;

beforeEach(() => {
  called = [];
  outcomes = {};
  hosts = ["peer-1", "peer-2"];
  shards = [];
  onJob = () => {};
  waits = new PoolWaits();
  stopping = new AbortController();
});
afterEach(() => stopping.abort());

const log = createLogger({ level: "error", host: "h", writeLine: () => {} });

let waits: PoolWaits;

function createRouter(): JobRouter {
  const peers: BatcherPeers = {
    run(address, job, signal) {
      called.push(address);
      onJob(job);
      const aborted = new Promise<never>((_, reject) =>
        signal.addEventListener("abort", () => reject(new Error("aborted")))
      );
      const outcome = outcomes[address]?.() ?? Promise.resolve(COMPLETED);
      return Promise.race([outcome, aborted]);
    },
    free: () => Promise.resolve(),
    ping: (address) => Promise.reject(new Error(`${address} does not respond`)),
    loadReport: (address, { pool }) =>
      Promise.reject(new Error(`${address} does not report ${pool}`)),
  };
  const local = new Batcher({
    pool: () => undefined,
    endpoints: () => [],
    pauseMs: () => 0,
    client: {
      call: () => Promise.reject(new Error("unexpected call")),
      free: () => Promise.resolve(true),
    },
    freeAtBatcher: () => {},
    laterLoad: () => undefined,
    isCutOffFrom: () => false,
    hasCrashed: () => Promise.resolve(false),
    onCompleted: () => {},
    onUnwantedCall: () => {},
    log,
    now: () => performance.now(),
  });
  return new JobRouter({
    self: "self",
    batchers: () => hosts,
    pools: () => [],
    hosts: () => [...hosts, "self"],
    local,
    peers,
    waits,
    zone: "az-1",
    shards: () => shards,
    zoneAt: (address) => address.startsWith("az-2") ? "az-2" : undefined,
    log,
    now: () => performance.now(),
    signal: stopping.signal,
  });
}

const JOB: StageJob = {
  attempt_id: "a",
  pool: "encode",
  stage: 0,
  pieces: [],
  result_bytes: 0,
  priority: 0,
  due_in_ms: 1_000,
  expires_in_ms: 5_000,
  home_zone: undefined,
  input_bytes: 0,
  last_read: [],
};

test("every host sends a pool's jobs to the same batcher", () => {
  const first = createRouter().batcherOf("encode");
  hosts = [...hosts].reverse();
  assert.equal(createRouter().batcherOf("encode"), first);
});

test("a batcher's reported wait counts for its priority until it is too old", async () => {
  await createRouter().run(JOB, stopping.signal);
  assert.equal(waits.expectedMs(JOB, performance.now()), 120);
  assert.equal(waits.expectedMs(JOB, performance.now() + 1_100), 0);
  assert.equal(waits.expectedMs({ ...JOB, priority: 7 }, performance.now()), 0);
});

test("a job goes to the shard of its home zone, else of this host's zone", async () => {
  shards = ["az-1", "az-2"];
  const router = createRouter();
  const sent: (string | undefined)[] = [];
  for (const host of hosts) {
    outcomes[host] = () => Promise.resolve(COMPLETED);
  }
  onJob = (job) => void sent.push(job.shard);
  await router.run(JOB, stopping.signal);
  await router.run({ ...JOB, home_zone: "az-2" }, stopping.signal);
  assert.deepEqual(sent, ["az-1", "az-2"]);
});

test("a job refused by one shard is sent to another", async () => {
  shards = ["az-1", "az-2"];
  const sent: (string | undefined)[] = [];
  onJob = (job) => void sent.push(job.shard);
  const refused = {
    kind: JobOutcomeKind.Refused as const,
    retry_after_ms: 5,
    wait_ms: 4_000,
  };
  for (const host of hosts) {
    outcomes[host] = () =>
      Promise.resolve(sent.at(-1) === "az-1" ? refused : COMPLETED);
  }
  const outcome = await createRouter().run(JOB, stopping.signal);
  assert.equal(outcome.kind, JobOutcomeKind.Completed);
  assert.deepEqual(sent, ["az-1", "az-2"]);
});

test("a job is refused once all shards have refused it", async () => {
  shards = ["az-1", "az-2"];
  const refused = {
    kind: JobOutcomeKind.Refused as const,
    retry_after_ms: 5,
    wait_ms: 4_000,
  };
  for (const host of hosts) outcomes[host] = () => Promise.resolve(refused);
  const outcome = await createRouter().run(JOB, stopping.signal);
  assert.equal(outcome.kind, JobOutcomeKind.Refused);
  assert.equal(called.length, 2);
});

test("an unreachable batcher gets no more jobs for a while", async () => {
  const router = createRouter();
  const first = router.batcherOf("encode");
  outcomes[first] = () => Promise.reject(new Error("reset"));
  assert.equal(
    (await router.run(JOB, stopping.signal)).kind,
    JobOutcomeKind.Completed,
  );
  assert.deepEqual(called.length, 2);
  await router.run(JOB, stopping.signal);
  assert.equal(called.filter((address) => address === first).length, 1);
});

test("a batcher that does not respond is abandoned after a failed ping", async () => {
  const router = createRouter();
  outcomes[router.batcherOf("encode")] = () => new Promise(() => {});
  const started_ms = performance.now();
  assert.equal(
    (await router.run(JOB, stopping.signal)).kind,
    JobOutcomeKind.Completed,
  );
  assert.ok(performance.now() - started_ms < 1_000);
});

test("a job that is handed back goes to another host", async () => {
  const router = createRouter();
  outcomes[router.batcherOf("encode")] = () => Promise.resolve(HANDED_BACK);
  assert.equal(
    (await router.run(JOB, stopping.signal)).kind,
    JobOutcomeKind.Completed,
  );
  assert.equal(new Set(called).size, 2);
});

test("a host runs a job in its own batcher if all peers fail", async () => {
  for (const peer of hosts) {
    outcomes[peer] = () => Promise.reject(new Error("reset"));
  }
  const outcome = await createRouter().run(JOB, stopping.signal);
  // The local batcher has no pools, so this failure is its own.
  assert.deepEqual(outcome, {
    kind: JobOutcomeKind.Failed,
    reason: "unknown_pool",
  });
});

test("the load of a pool is asked of its batcher, also of this host itself", async () => {
  const router = createRouter();
  hosts = ["a"];
  const [queue] = router.queuesOf("pool");
  assert.deepEqual(queue, { pool: "pool", batcher: "a" });
  await assert.rejects(router.askLoad(queue!), /a does not report pool/);
  const own = { pool: "pool", batcher: "self" };
  assert.equal((await router.askLoad(own)).pieces_per_ms, 0);
});

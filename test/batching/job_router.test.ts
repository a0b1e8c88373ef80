/** Which host batches, and what happens when it does not answer. */
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

const MADE: JobOutcome = {
  kind: JobOutcomeKind.Completed,
  results: [],
  wait_ms: 120,
};
const HANDED_BACK: JobOutcome = { kind: JobOutcomeKind.HandedBack };

let asked: string[];
let answers: Record<string, () => Promise<JobOutcome>>;
let stopping: AbortController;
let hosts: string[];
let shards: string[];
let take: (job: StageJob) => void;

beforeEach(() => {
  asked = [];
  answers = {};
  hosts = ["peer-1", "peer-2"];
  shards = [];
  take = () => {};
  waits = new PoolWaits();
  stopping = new AbortController();
});
afterEach(() => stopping.abort());

const log = createLogger({ level: "error", host: "h", writeLine: () => {} });

let waits: PoolWaits;

function router(): JobRouter {
  const peers: BatcherPeers = {
    run(address, job, signal) {
      asked.push(address);
      take(job);
      const given_up = new Promise<never>((_, reject) =>
        signal.addEventListener("abort", () => reject(new Error("given up")))
      );
      const answer = answers[address]?.() ?? Promise.resolve(MADE);
      return Promise.race([answer, given_up]);
    },
    free: () => Promise.resolve(),
    ping: (address) => Promise.reject(new Error(`${address} is silent`)),
  };
  const local = new Batcher({
    pool: () => undefined,
    endpoints: () => [],
    client: {
      call: () => Promise.reject(new Error("not here")),
      free: () => {},
    },
    freeAtOwner: () => {},
    log,
    now: () => performance.now(),
  });
  return new JobRouter({
    self: "self",
    batchers: () => hosts,
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
  const first = router().batcherOf("encode");
  hosts = [...hosts].reverse();
  assert.equal(router().batcherOf("encode"), first);
});

test("what a batcher says of its queue is kept for the next request", async () => {
  await router().run(JOB, stopping.signal);
  assert.equal(waits.expectedMs(JOB, performance.now()), 120);
  assert.equal(waits.expectedMs(JOB, performance.now() + 1_100), 0);
  assert.equal(waits.expectedMs({ ...JOB, priority: 7 }, performance.now()), 0);
});

test("each zone's shard has a batcher of its own, and takes its zone's jobs", async () => {
  shards = ["az-1", "az-2"];
  const jobs = router();
  const sent: (string | undefined)[] = [];
  for (const host of hosts) {
    answers[host] = () => Promise.resolve(MADE);
  }
  take = (job) => void sent.push(job.shard);
  await jobs.run(JOB, stopping.signal);
  await jobs.run({ ...JOB, home_zone: "az-2" }, stopping.signal);
  assert.deepEqual(sent, ["az-1", "az-2"]);
});

test("a shard that refuses a job leaves it to another one", async () => {
  shards = ["az-1", "az-2"];
  const sent: (string | undefined)[] = [];
  take = (job) => void sent.push(job.shard);
  const refused = {
    kind: JobOutcomeKind.Refused as const,
    retry_after_ms: 5,
    wait_ms: 4_000,
  };
  for (const host of hosts) {
    answers[host] = () =>
      Promise.resolve(sent.at(-1) === "az-1" ? refused : MADE);
  }
  const outcome = await router().run(JOB, stopping.signal);
  assert.equal(outcome.kind, JobOutcomeKind.Completed);
  assert.deepEqual(sent, ["az-1", "az-2"]);
});

test("a job is refused once the shards have refused it", async () => {
  shards = ["az-1", "az-2"];
  const refused = {
    kind: JobOutcomeKind.Refused as const,
    retry_after_ms: 5,
    wait_ms: 4_000,
  };
  for (const host of hosts) answers[host] = () => Promise.resolve(refused);
  const outcome = await router().run(JOB, stopping.signal);
  assert.equal(outcome.kind, JobOutcomeKind.Refused);
  assert.equal(asked.length, 2);
});

test("a batcher that can't be reached is passed over", async () => {
  const jobs = router();
  const first = jobs.batcherOf("encode");
  answers[first] = () => Promise.reject(new Error("reset"));
  assert.equal(
    (await jobs.run(JOB, stopping.signal)).kind,
    JobOutcomeKind.Completed,
  );
  assert.deepEqual(asked.length, 2);
  await jobs.run(JOB, stopping.signal);
  assert.equal(asked.filter((address) => address === first).length, 1);
});

test("a batcher that stays silent is given up after a ping", async () => {
  const jobs = router();
  answers[jobs.batcherOf("encode")] = () => new Promise(() => {});
  const began_ms = performance.now();
  assert.equal(
    (await jobs.run(JOB, stopping.signal)).kind,
    JobOutcomeKind.Completed,
  );
  assert.ok(performance.now() - began_ms < 1_000);
});

test("a job that is handed back goes to another host", async () => {
  const jobs = router();
  answers[jobs.batcherOf("encode")] = () => Promise.resolve(HANDED_BACK);
  assert.equal(
    (await jobs.run(JOB, stopping.signal)).kind,
    JobOutcomeKind.Completed,
  );
  assert.equal(new Set(asked).size, 2);
});

test("a host whose peers are all lost makes the job itself", async () => {
  for (const peer of hosts) {
    answers[peer] = () => Promise.reject(new Error("reset"));
  }
  const outcome = await router().run(JOB, stopping.signal);
  assert.deepEqual(outcome, {
    kind: JobOutcomeKind.Failed,
    reason: "unknown_pool",
  });
});

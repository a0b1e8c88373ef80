/** Calls for pieces that fail with their way, and those that only seem to. */
import assert from "node:assert/strict";
import { performance } from "node:perf_hooks";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Batcher } from "../../src/batching/batcher.ts";
import {
  type PieceCallResult,
  PieceCallResultKind,
} from "../../src/batching/piece_call.ts";
import { JobOutcomeKind, type StageJob } from "../../src/batching/types.ts";
import { createPieceClient } from "../../src/batching/piece_client.ts";
import { EndpointAgents } from "../../src/endpoints/endpoint_agents.ts";
import { ExchangeOutcome } from "../../src/endpoints/exchange.ts";
import { createLogger } from "../../src/logging/logger.ts";
import type { RoutePool } from "../../src/routes/types.ts";
import { deploymentCodec } from "../../platform/codec.ts";
import { createBodyLimits } from "../../stand_ins/deployment/body_limits.ts";
import { endpointAt } from "../relaying/carried_exchanges.ts";

const POOL: RoutePool = {
  name: "desk",
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
const JOB: StageJob = {
  attempt_id: "a",
  pool: POOL.name,
  stage: 0,
  pieces: [{ index: 0, key: "k", inputs: undefined }],
  result_bytes: 10,
  priority: 0,
  due_in_ms: 1_000_000,
  expires_in_ms: 2_000_000,
  home_zone: undefined,
  input_bytes: 0,
  last_read: [],
};
/** More than any bound of repeats. */
const MAX_CALLS = 50;
/** The batcher's time passes this much faster, so that its waits are short. */
const SPEED = 100;

/** Runs a job of one piece whose calls have the given results, then succeed. */
async function runJob(
  t: TestContext,
  resultOf: (call: number) => PieceCallResult | undefined,
) {
  const begun_ms = performance.now();
  const seen = { calls: 0, crashQuestions: 0 };
  const stopping = new AbortController();
  t.after(() => stopping.abort());
  const batcher = new Batcher({
    pool: () => POOL,
    endpoints: () => [endpointAt("127.0.0.1:9")],
    pauseMs: () => 0,
    client: {
      async call() {
        seen.calls += 1;
        await sleep(1);
        const result = seen.calls > MAX_CALLS
          ? undefined
          : resultOf(seen.calls);
        return result ?? {
          kind: PieceCallResultKind.Answered,
          responses: [{ ok: true, handle: "h" }],
        };
      },
      free: () => Promise.resolve(true),
    },
    freeAtBatcher: () => {},
    laterLoad: () => undefined,
    isCutOffFrom: () => false,
    hasCrashed() {
      seen.crashQuestions += 1;
      return Promise.resolve(true);
    },
    onCompleted: () => {},
    onUnwantedCall: () => {},
    log: createLogger({ level: "error", host: "h", writeLine: () => {} }),
    now: () => SPEED * (performance.now() - begun_ms),
  });
  const outcome = await batcher.runForPeer(JOB, stopping.signal);
  return { ...seen, outcome };
}

const lost: PieceCallResult = {
  kind: PieceCallResultKind.Failed,
  reason: "out_of_reach",
  way_failed: true,
};

test("a call that its endpoint broke off is one that may have crashed it", async (t) => {
  const { crashQuestions, calls, outcome } = await runJob(t, () => ({
    kind: PieceCallResultKind.Failed,
    reason: "ECONNRESET",
    broken: true,
  }));
  assert.ok(crashQuestions > 0);
  assert.ok(calls < MAX_CALLS);
  assert.equal(outcome.kind, JobOutcomeKind.Failed);
});

test("a call that is lost with its way says nothing of its endpoint", async (t) => {
  const { crashQuestions, outcome } = await runJob(
    t,
    (call) => call === 1 ? lost : undefined,
  );
  assert.equal(crashQuestions, 0);
  assert.equal(outcome.kind, JobOutcomeKind.Completed);
});

test("a job whose calls are lost again and again fails", async (t) => {
  const { calls, outcome } = await runJob(t, () => lost);
  assert.ok(calls < MAX_CALLS, `${calls} calls`);
  assert.equal(outcome.kind, JobOutcomeKind.Failed);
});

test("the client tells a call that its way lost from one that broke", async (t) => {
  const agents = new EndpointAgents(() => 1);
  t.after(() => agents.close());
  const log = createLogger({ level: "error", host: "h", writeLine: () => {} });
  for (const way_failed of [true, false]) {
    const client = createPieceClient({
      codec: deploymentCodec,
      agents,
      send: () =>
        Promise.resolve({
          kind: ExchangeOutcome.ResponseLost,
          reason: "reset",
          way_failed,
        }),
      pool: () => undefined,
      endpointAt: () => undefined,
      reports: { record: () => {}, pauseMs: () => 0 },
      responseLimits: createBodyLimits({ max_bytes: 1_000, log }),
      log,
      now: () => performance.now(),
    });
    const { signal } = new AbortController();
    const limits = { timeout_ms: 1_000, signal };
    const result = await client.call(endpointAt("127.0.0.1:9"), [], limits);
    assert.deepEqual(result, {
      kind: PieceCallResultKind.Failed,
      reason: "reset",
      broken: !way_failed,
      way_failed,
    });
  }
});

import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import fc from "fast-check";
import {
  type Attempt,
  AttemptOutcome,
  type AttemptResult,
} from "../../src/endpoints/attempt.ts";
import {
  decideAfterAttempt,
  NextStep,
} from "../../src/pipelines/attempt_decision.ts";
import { OutcomeKind } from "../../src/pipelines/outcome.ts";
import {
  ClaimResultKind,
  KeyStatusKind,
  type PipelineDependencies,
} from "../../src/pipelines/pipeline_dependencies.ts";
import {
  AbortReason,
  type PipelineRequest,
} from "../../src/pipelines/pipeline_request.ts";
import { runPipeline } from "../../src/pipelines/pipeline_run.ts";
import {
  RetriedTextStream,
  StreamDiverged,
} from "../../src/pipelines/retried_text_stream.ts";
import {
  type Endpoint,
  type EndpointPool,
  EndpointProtocol,
  RecordKind,
} from "../../src/records/types.ts";

const ID = { fleet: "khuree", name: "x" };
const POOL: EndpointPool = {
  ...ID,
  kind: RecordKind.EndpointPool,
  protocol: EndpointProtocol.Json,
  path: "/",
  model: "",
  attempt_timeout_ms: 100,
  progress_timeout_ms: 100,
  echoes_request_id: true,
  refusal_means_not_run: false,
  desired_model: undefined,
};
const ENDPOINT: Endpoint = {
  ...ID,
  kind: RecordKind.Endpoint,
  pool: ID,
  address: "127.0.0.1:1",
  availability_zone: "az-1",
  slots: 1,
  checks_fencing: false,
  leaving: false,
};

function resultOf(
  attemptOutcome: AttemptOutcome,
  output: unknown,
  sent = true,
): AttemptResult {
  return {
    outcome: attemptOutcome,
    sent,
    output,
    cost: 1,
    elapsed_ms: 1,
    first_byte_ms: 1,
    load: undefined,
    leaving: false,
    message: "",
  };
}

function createRequest(change: Partial<PipelineRequest> = {}): PipelineRequest {
  const stages = ["a", "b", "c"].map((name) => ({
    name,
    pool: ID,
    idempotent: true,
  }));
  return {
    request_id: "r",
    organisation: {
      ...ID,
      kind: RecordKind.Organisation,
      key_hashes: [],
      requests_per_second: 1,
      burst_requests: 1,
      fleets: [],
    },
    pipeline: { ...ID, kind: RecordKind.Pipeline, deadline_ms: 1, stages },
    rank: { ...ID, kind: RecordKind.Rank, priority: 0, guaranteed_share: 0 },
    input: "input",
    arrived_ms: 0,
    deadline_ms: 1_000,
    non_idempotent: false,
    idempotency_key: undefined,
    signal: new AbortController().signal,
    stop_signal: new AbortController().signal,
    sendText: undefined,
    ...change,
  };
}

function createDependencies(
  call: (attempt: Attempt) => Promise<AttemptResult> | AttemptResult,
  change: Partial<PipelineDependencies> = {},
): PipelineDependencies {
  return {
    now: () => 0,
    observer: {},
    admission: {
      decide: () => ({ admitted: true }),
      acquire: () => Promise.resolve({ waited_ms: 0, release: () => {} }),
      recordServiceTime: () => {},
      finish: () => {},
    },
    router: {
      choose: () => ({
        endpoint: ENDPOINT,
        pool: POOL,
        call: (attempt) => Promise.resolve(call(attempt)),
        tryTakeRetry: () => true,
      }),
    },
    claims: {
      checkKey: () => Promise.resolve({ kind: KeyStatusKind.Unused }),
      claim: () => Promise.resolve({ kind: ClaimResultKind.Claimed }),
      recordOutcome: () => {},
    },
    ...change,
  };
}

test("each request gets its own result when responses arrive in any order", async () => {
  const delays = fc.array(fc.integer({ min: 0, max: 5 }), {
    minLength: 24,
    maxLength: 24,
  });
  await fc.assert(
    fc.asyncProperty(delays, async (delays_ms) => {
      let calls = 0;
      const shared = createDependencies(async (attempt) => {
        await sleep(delays_ms[calls++ % delays_ms.length]);
        return resultOf(AttemptOutcome.Completed, [
          attempt.pool.name,
          attempt.input,
        ]);
      });
      const outcomes = await Promise.all(
        Array.from(
          { length: 8 },
          (_, n) =>
            runPipeline(
              createRequest({ request_id: `r${n}`, input: n }),
              shared,
            ),
        ),
      );
      outcomes.forEach((outcome, n) => {
        assert.ok(outcome.kind === OutcomeKind.Completed);
        assert.deepEqual(outcome.output, ["x", ["x", ["x", n]]]);
      });
    }),
    { seed: 5, numRuns: 30 },
  );
});

test("no sequence of attempt outcomes repeats a non-idempotent call", async () => {
  const attempts = fc.array(
    fc.record({
      attemptOutcome: fc.constantFrom(...Object.values(AttemptOutcome)),
      sent: fc.boolean(),
    }),
    { minLength: 1 },
  );
  await fc.assert(
    fc.asyncProperty(attempts, async (list) => {
      const sentCalls: string[] = [];
      let calls = 0;
      const outcome = await runPipeline(
        createRequest({ non_idempotent: true }),
        createDependencies((attempt) => {
          const { attemptOutcome, sent } = list[calls++ % list.length] ??
            { attemptOutcome: AttemptOutcome.Completed, sent: true };
          const reached = sent || attemptOutcome === AttemptOutcome.Completed;
          const stage = attempt.attempt_id.split(".")[1] ?? "";
          if (reached) sentCalls.push(stage);
          return resultOf(attemptOutcome, "done", reached);
        }),
      );
      assert.equal(new Set(sentCalls).size, sentCalls.length);
      if (outcome.kind === OutcomeKind.NotRun) {
        assert.equal(sentCalls.length, 0);
      }
      if (outcome.kind === OutcomeKind.Failed) assert.fail("may have run");
    }),
    { seed: 9, numRuns: 500 },
  );
});

test("the outcome kind of an aborted request depends on the calls sent", async (t) => {
  const callerGone = new AbortController();
  callerGone.abort(AbortReason.CallerGone);
  const truncating = createDependencies(() =>
    resultOf(AttemptOutcome.Truncated, undefined)
  );
  const rejectingAdmission = {
    ...truncating.admission,
    decide: () => ({
      admitted: false as const,
      reason: "draining" as never,
      message: "",
    }),
  };
  const withKey = { idempotency_key: "k", non_idempotent: true };
  const kinds = {
    before_sending: await runPipeline(
      createRequest({ signal: callerGone.signal }),
      truncating,
    ),
    idempotent: await runPipeline(createRequest(), truncating),
    non_idempotent: await runPipeline(
      createRequest({ non_idempotent: true }),
      truncating,
    ),
    refused_with_unused_key: await runPipeline(
      createRequest(withKey),
      { ...truncating, admission: rejectingAdmission },
    ),
    refused_with_unknown_key: await runPipeline(createRequest(withKey), {
      ...truncating,
      admission: rejectingAdmission,
      claims: {
        ...truncating.claims,
        checkKey: () => Promise.resolve({ kind: KeyStatusKind.Unavailable }),
      },
    }),
  };
  t.assert.snapshot(
    Object.entries(kinds).map(([name, outcome]) => [name, outcome.kind]),
  );
});

test("the next step depends on the attempt's outcome and idempotency", (t) => {
  const context = {
    pool: POOL,
    attempts: 1,
    remaining_ms: 10,
    tryTakeRetry: () => true,
  };
  const rows = Object.values(AttemptOutcome).map((attemptOutcome) => [
    attemptOutcome,
    ...[true, false].map((idempotent) =>
      decideAfterAttempt(resultOf(attemptOutcome, ""), {
        ...context,
        idempotent,
      })
    ),
  ]);
  t.assert.snapshot(rows);
  const last = { ...context, idempotent: true, attempts: 3 };
  assert.equal(
    decideAfterAttempt(resultOf(AttemptOutcome.Truncated, ""), last),
    NextStep.Abort,
  );
  const unsent = resultOf(AttemptOutcome.Truncated, "", false);
  assert.equal(
    decideAfterAttempt(unsent, { ...context, idempotent: false }),
    NextStep.Retry,
  );
});

test("a retried stream sends each character once or throws", () => {
  const sent: string[] = [];
  const text = new RetriedTextStream((chunk) => void sent.push(chunk));
  text.startAttempt();
  ["one ", "two "].forEach((chunk) => text.push(chunk));
  text.startAttempt();
  ["one", " two three"].forEach((chunk) => text.push(chunk));
  assert.equal(sent.join(""), "one two three");
  text.startAttempt();
  assert.throws(() => text.push("other"), StreamDiverged);
});

test("admission gets the service time of each stage and the end of a request", async () => {
  const notified: string[] = [];
  const completing = createDependencies(() =>
    resultOf(AttemptOutcome.Completed, "x")
  );
  const admission = {
    ...completing.admission,
    recordServiceTime: (stage: { name: string }) =>
      void notified.push(stage.name),
    finish: () => void notified.push("ended"),
  };
  await runPipeline(createRequest(), { ...completing, admission });
  assert.deepEqual(notified, ["a", "b", "c", "ended"]);
});

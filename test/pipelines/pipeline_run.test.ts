import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import fc from "fast-check";
import {
  type Attempt,
  AttemptEnd,
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
  end: AttemptEnd,
  output: unknown,
  sent = true,
): AttemptResult {
  return {
    end,
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

function request(change: Partial<PipelineRequest> = {}): PipelineRequest {
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

function parts(
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
        withdrawRetry: () => true,
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

test("each answer belongs to its own request, however late stages answer", async () => {
  const delays = fc.array(fc.integer({ min: 0, max: 5 }), {
    minLength: 24,
    maxLength: 24,
  });
  await fc.assert(
    fc.asyncProperty(delays, async (delays_ms) => {
      let calls = 0;
      const shared = parts(async (attempt) => {
        await sleep(delays_ms[calls++ % delays_ms.length]);
        return resultOf(AttemptEnd.Done, [attempt.pool.name, attempt.input]);
      });
      const outcomes = await Promise.all(
        Array.from(
          { length: 8 },
          (_, n) =>
            runPipeline(request({ request_id: `r${n}`, input: n }), shared),
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

test("no sequence of ends doubles a call that must not be repeated", async () => {
  const ends = fc.array(
    fc.record({
      end: fc.constantFrom(...Object.values(AttemptEnd)),
      sent: fc.boolean(),
    }),
    { minLength: 1 },
  );
  await fc.assert(
    fc.asyncProperty(ends, async (list) => {
      const sentCalls: string[] = [];
      let calls = 0;
      const outcome = await runPipeline(
        request({ non_idempotent: true }),
        parts((attempt) => {
          const { end, sent } = list[calls++ % list.length] ??
            { end: AttemptEnd.Done, sent: true };
          const reached = sent || end === AttemptEnd.Done;
          const stage = attempt.attempt_id.split(".")[1] ?? "";
          if (reached) sentCalls.push(stage);
          return resultOf(end, "done", reached);
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

test("what an abort is called depends on what was sent", async (t) => {
  const gone = new AbortController();
  gone.abort(AbortReason.CallerGone);
  const cut = parts(() => resultOf(AttemptEnd.Cut, undefined));
  const refuse = {
    ...cut.admission,
    decide: () => ({
      admitted: false as const,
      reason: "draining" as never,
      message: "",
    }),
  };
  const keyed = { idempotency_key: "k", non_idempotent: true };
  const kinds = {
    before_sending: await runPipeline(request({ signal: gone.signal }), cut),
    idempotent: await runPipeline(request(), cut),
    non_idempotent: await runPipeline(request({ non_idempotent: true }), cut),
    refused_with_unused_key: await runPipeline(
      request(keyed),
      { ...cut, admission: refuse },
    ),
    refused_with_unknown_key: await runPipeline(request(keyed), {
      ...cut,
      admission: refuse,
      claims: {
        ...cut.claims,
        checkKey: () => Promise.resolve({ kind: KeyStatusKind.Unavailable }),
      },
    }),
  };
  t.assert.snapshot(
    Object.entries(kinds).map(([name, outcome]) => [name, outcome.kind]),
  );
});

test("the next step follows from the end, the call and the budget", (t) => {
  const context = {
    pool: POOL,
    attempts: 1,
    remaining_ms: 10,
    withdrawRetry: () => true,
  };
  const rows = Object.values(AttemptEnd).map((end) => [
    end,
    ...[true, false].map((idempotent) =>
      decideAfterAttempt(resultOf(end, ""), { ...context, idempotent })
    ),
  ]);
  t.assert.snapshot(rows);
  const last = { ...context, idempotent: true, attempts: 3 };
  assert.equal(
    decideAfterAttempt(resultOf(AttemptEnd.Cut, ""), last),
    NextStep.Abort,
  );
  const unsent = resultOf(AttemptEnd.Cut, "", false);
  assert.equal(
    decideAfterAttempt(unsent, { ...context, idempotent: false }),
    NextStep.Retry,
  );
});

test("a repeated stream sends each character once, or says it cannot", () => {
  const sent: string[] = [];
  const text = new RetriedTextStream((piece) => void sent.push(piece));
  text.start();
  ["one ", "two "].forEach((piece) => text.push(piece));
  text.start();
  ["one", " two three"].forEach((piece) => text.push(piece));
  assert.equal(sent.join(""), "one two three");
  text.start();
  assert.throws(() => text.push("other"), StreamDiverged);
});

test("admission learns each stage's time and that a request has ended", async () => {
  const learned: string[] = [];
  const whole = parts(() => resultOf(AttemptEnd.Done, "x"));
  const admission = {
    ...whole.admission,
    recordServiceTime: (stage: { name: string }) => void learned.push(stage.name),
    finish: () => void learned.push("ended"),
  };
  await runPipeline(request(), { ...whole, admission });
  assert.deepEqual(learned, ["a", "b", "c", "ended"]);
});

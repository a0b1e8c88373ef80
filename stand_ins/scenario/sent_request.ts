/** Sends the requests of a scenario and reads what came back. */
import { v7 as uuidv7 } from "uuid";
import type { StartedHost } from "../fleet.ts";
import { type JsonResponse, postJson } from "../json_client.ts";
import { SampleKey } from "../sample_records.ts";
import { isExpectedOutput } from "./expected_output.ts";
import { IdempotencyKeySource, type SendStep } from "./scenario.ts";

/** How a request ended, as its caller saw it. */
export enum CallerOutcome {
  Completed = "completed",
  NotRun = "not_run",
  Unknown = "unknown",
  Failed = "failed",
  /** No whole answer came, and the caller could tell. */
  Incomplete = "cut",
  /** The answer is not the request's own, or not whole. */
  Wrong = "wrong",
}

/** A request and its outcome. */
export interface SentRequest {
  input: string;
  idempotency_key: string | undefined;
  outcome: CallerOutcome;
  reason: string;
  output: unknown;
  elapsed_ms: number;
}

/** What is sent: an input, perhaps with a key of an earlier request. */
export interface RequestInput {
  input: string;
  idempotency_key?: string;
}

/** Sends one request to one host; never rejects. */
export async function sendRequest(
  host: StartedHost,
  step: SendStep,
  source: RequestInput,
): Promise<SentRequest> {
  const started_ms = performance.now();
  const finish = (seen: Omit<SentRequest, "elapsed_ms" | "input">) => ({
    ...seen,
    input: source.input,
    elapsed_ms: performance.now() - started_ms,
  });
  const headers = headersFor(step);
  const idempotency_key = source.idempotency_key;
  if (idempotency_key !== undefined) {
    headers["idempotency-key"] = idempotency_key;
  }
  const body = { input: source.input, stream: step.stream ?? false };
  const path = `/v1/pipelines/${step.pipeline}/requests`;
  try {
    const answer = await postJson(host.callers, path, body, { headers });
    return finish({ idempotency_key, ...readAnswer(answer, source.input) });
  } catch (error) {
    return finish({
      idempotency_key,
      outcome: CallerOutcome.Incomplete,
      reason: (error as Error).message,
      output: undefined,
    });
  }
}

/** A key for a new request; undefined when it has none. */
export async function createIdempotencyKey(
  step: SendStep,
  host: StartedHost,
): Promise<string | undefined> {
  switch (step.idempotency) {
    case IdempotencyKeySource.CallerSupplied:
      return uuidv7();
    case IdempotencyKeySource.Minted: {
      const headers = headersFor(step);
      const answer = await postJson(host.callers, "/v1/keys", {}, { headers })
        .catch(() => undefined);
      return answer?.json?.idempotency_key;
    }
    default:
      return undefined;
  }
}

const DEFAULT_KEYS = new Map([
  ["khuree", SampleKey.KhureeDocks],
  ["hooghly", SampleKey.HooghlyDocks],
]);

function headersFor(step: SendStep): Record<string, string> {
  const fleet = step.pipeline.split("/")[0] ?? "";
  const headers: Record<string, string> = {
    authorization: `Bearer ${step.key ?? DEFAULT_KEYS.get(fleet)}`,
  };
  if (step.rank !== undefined) headers["sesamequay-rank"] = step.rank;
  if (step.non_idempotent) headers["sesamequay-non-idempotent"] = "true";
  if (step.deadline_ms !== undefined) {
    headers["sesamequay-deadline-ms"] = String(step.deadline_ms);
  }
  return headers;
}

type Seen = Pick<SentRequest, "outcome" | "reason" | "output">;

function readAnswer(answer: JsonResponse, input: string): Seen {
  const type = answer.headers["content-type"] ?? "";
  if (type.startsWith("text/event-stream")) return readStream(answer, input);
  if (answer.status === 200) return readWhole(answer.json, input);
  const outcome = Object.values(CallerOutcome).find((each) =>
    each === answer.json?.outcome
  );
  return {
    outcome: outcome ?? CallerOutcome.Wrong,
    reason: `${answer.status} ${answer.json?.reason} ${answer.json?.detail}`,
    output: undefined,
  };
}

function readWhole(body: { output?: unknown }, input: string): Seen {
  const right = isExpectedOutput(body.output, input);
  return {
    outcome: right ? CallerOutcome.Completed : CallerOutcome.Wrong,
    reason: right ? "" : `wrong output ${JSON.stringify(body.output)}`,
    output: body.output,
  };
}

function readStream(answer: JsonResponse, input: string): Seen {
  const events = answer.text.split("\n\n").filter((event) => event !== "");
  const last = events.at(-1) ?? "";
  const data = JSON.parse(last.replace(/^event: \w+\ndata: /, "") || "{}");
  if (last.startsWith("event: error\n")) {
    return { outcome: data.outcome, reason: data.reason, output: undefined };
  }
  if (!last.startsWith("event: done\n")) {
    const reason = "no terminal event";
    return { outcome: CallerOutcome.Incomplete, reason, output: undefined };
  }
  const text = events.slice(0, -1)
    .map((event) => JSON.parse(event.replace("event: text\ndata: ", "")).text)
    .join("");
  const whole = text === data.output;
  return whole ? readWhole(data, input) : {
    outcome: CallerOutcome.Wrong,
    reason: "the text differs from the output",
    output: text,
  };
}

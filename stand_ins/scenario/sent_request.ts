/** Sends the requests of a scenario and classifies the responses. */
import { v7 as uuidv7 } from "uuid";
import type { StartedHost } from "../fleet.ts";
import { type JsonResponse, postJson } from "../json_client.ts";
import { SampleKey } from "../sample_records.ts";
import { isExpectedOutput } from "./expected_output.ts";
import { IdempotencyKeySource, type SendStep } from "./scenario.ts";

/** The outcome of a request as its caller observed it. */
export enum CallerOutcome {
  Completed = "completed",
  NotRun = "not_run",
  Unknown = "unknown",
  Failed = "failed",
  /** The response was missing or incomplete, and the caller could detect it. */
  Incomplete = "cut",
  /**
   * The response belongs to another request, or is incomplete but looks
   * complete.
   */
  Wrong = "wrong",
}

/** A sent request and its outcome. */
export interface SentRequest {
  input: string;
  idempotency_key: string | undefined;
  outcome: CallerOutcome;
  /** Why the request did not complete; empty if it completed. */
  reason: string;
  /** `undefined` if no output was received. */
  output: unknown;
  elapsed_ms: number;
}

/** An input to send, and its idempotency key if it has one. */
export interface RequestInput {
  input: string;
  idempotency_key?: string;
}

/** Sends a request to a host; never rejects. */
export async function sendScenarioRequest(
  host: StartedHost,
  step: SendStep,
  requestInput: RequestInput,
): Promise<SentRequest> {
  const started_ms = performance.now();
  const finish = (result: Omit<SentRequest, "elapsed_ms" | "input">) => ({
    ...result,
    input: requestInput.input,
    elapsed_ms: performance.now() - started_ms,
  });
  const headers = requestHeaders(step);
  const idempotency_key = requestInput.idempotency_key;
  if (idempotency_key !== undefined) {
    headers["idempotency-key"] = idempotency_key;
  }
  const body = { input: requestInput.input, stream: step.stream ?? false };
  const path = `/v1/pipelines/${step.pipeline}/requests`;
  try {
    const response = await postJson(host.callers, path, body, { headers });
    return finish({
      idempotency_key,
      ...readResponse(response, requestInput.input),
    });
  } catch (error) {
    return finish({
      idempotency_key,
      outcome: CallerOutcome.Incomplete,
      reason: (error as Error).message,
      output: undefined,
    });
  }
}

/**
 * Creates an idempotency key for a new request; `undefined` if the step uses
 * none or the host did not mint one.
 */
export async function createIdempotencyKey(
  step: SendStep,
  host: StartedHost,
): Promise<string | undefined> {
  switch (step.idempotency) {
    case IdempotencyKeySource.CallerSupplied:
      return uuidv7();
    case IdempotencyKeySource.Minted: {
      const headers = requestHeaders(step);
      const response = await postJson(host.callers, "/v1/keys", {}, { headers })
        .catch(() => undefined);
      return response?.json?.idempotency_key;
    }
    default:
      return undefined;
  }
}

const DEFAULT_API_KEYS = new Map([
  ["khuree", SampleKey.KhureeDocks],
  ["hooghly", SampleKey.HooghlyDocks],
]);

function requestHeaders(step: SendStep): Record<string, string> {
  const fleet = step.pipeline.split("/")[0] ?? "";
  const headers: Record<string, string> = {
    authorization: `Bearer ${step.key ?? DEFAULT_API_KEYS.get(fleet)}`,
  };
  if (step.rank !== undefined) headers["sesamequay-rank"] = step.rank;
  if (step.non_idempotent) headers["sesamequay-non-idempotent"] = "true";
  if (step.deadline_ms !== undefined) {
    headers["sesamequay-deadline-ms"] = String(step.deadline_ms);
  }
  return headers;
}

type ResponseResult = Pick<SentRequest, "outcome" | "reason" | "output">;

function readResponse(response: JsonResponse, input: string): ResponseResult {
  const type = response.headers["content-type"] ?? "";
  if (type.startsWith("text/event-stream")) return readStream(response, input);
  if (response.status === 200) return readBody(response.json, input);
  const outcome = Object.values(CallerOutcome).find((each) =>
    each === response.json?.outcome
  );
  return {
    outcome: outcome ?? CallerOutcome.Wrong,
    reason:
      `${response.status} ${response.json?.reason} ${response.json?.detail}`,
    output: undefined,
  };
}

function readBody(body: { output?: unknown }, input: string): ResponseResult {
  const isExpected = isExpectedOutput(body.output, input);
  return {
    outcome: isExpected ? CallerOutcome.Completed : CallerOutcome.Wrong,
    reason: isExpected
      ? ""
      : `unexpected output ${JSON.stringify(body.output)}`,
    output: body.output,
  };
}

function readStream(response: JsonResponse, input: string): ResponseResult {
  const events = response.text.split("\n\n").filter((event) => event !== "");
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
  const isConsistent = text === data.output;
  return isConsistent ? readBody(data, input) : {
    outcome: CallerOutcome.Wrong,
    reason: "the streamed text differs from the output of the terminal event",
    output: text,
  };
}

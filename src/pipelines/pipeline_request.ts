/** A request that has been parsed, authorised and given a deadline. */
import type { Organisation, Pipeline, Rank } from "../records/types.ts";
import type { SendText } from "./retried_text_stream.ts";

/** Why a request was aborted; the `reason` of its abort signal. */
export enum AbortReason {
  DeadlinePassed = "deadline_passed",
  CallerGone = "caller_gone",
  HostStopping = "host_stopping",
}

/** One request to run through a pipeline. */
export interface PipelineRequest {
  request_id: string;
  organisation: Organisation;
  pipeline: Pipeline;
  rank: Rank;
  input: unknown;
  /** Time of arrival, on the clock of the pipeline's dependencies. */
  arrived_ms: number;
  /** Time of the deadline, on the same clock as `arrived_ms`. */
  deadline_ms: number;
  /** Whether the caller marked the request as non-idempotent. */
  non_idempotent: boolean;
  /** The idempotency key; `undefined` if the request has none. */
  idempotency_key: string | undefined;
  /** Aborted with an {@linkcode AbortReason}. */
  signal: AbortSignal;
  /** Aborted only if the host stops while requests are still running. */
  stop_signal: AbortSignal;
  /** Receives the text of the last stage if the caller asked for a stream. */
  sendText: SendText | undefined;
}

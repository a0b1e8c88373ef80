/** A request that has been read, authorised and given a deadline. */
import type { Organisation, Pipeline, Rank } from "../records/types.ts";
import type { SendText } from "./retried_text_stream.ts";

/** Why a request is aborted from outside; the signal's reason. */
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
  /** When it arrived, on the clock of `now`. */
  arrived_ms: number;
  /** Absolute, on the clock of `now`. */
  deadline_ms: number;
  /** Whether the caller marked the request as non-idempotent. */
  non_idempotent: boolean;
  /** The idempotency key, when the request has one. */
  idempotency_key: string | undefined;
  /** Aborted with an {@linkcode AbortReason}. */
  signal: AbortSignal;
  /** Aborted only when the host stops before its requests are done. */
  stop_signal: AbortSignal;
  /** Receives the text of the last stage, when the caller asked for it. */
  sendText: SendText | undefined;
}

/** Types of one attempt: a single call of a stage to a single endpoint. */
import type { Endpoint, EndpointPool } from "../records/types.ts";

/** One call of a stage to one endpoint. */
export interface Attempt {
  request_id: string;
  attempt_id: string;
  endpoint: Endpoint;
  pool: EndpointPool;
  input: unknown;
  /** Whether the call may run more than once. */
  idempotent: boolean;
  /** Maximum duration of the whole call. */
  timeout_ms: number;
  /** Cancels the call. */
  signal: AbortSignal;
  /**
   * Called with text as it is generated; reading pauses until its promise
   * resolves.
   */
  onText?: (text: string) => Promise<void> | void;
}

/** How an attempt ended. The values appear in logs and metrics. */
export enum AttemptOutcome {
  /** The complete response arrived. */
  Completed = "done",
  /** The endpoint rejected the call with status 429 or 503. */
  Rejected = "refused",
  /** The endpoint reported an error, or its response is malformed. */
  Failed = "failed",
  /** The connection failed or closed before the response was complete. */
  Truncated = "cut",
  /**
   * The attempt exceeded its timeout, or the endpoint sent no data for too
   * long.
   */
  TimedOut = "silent",
  /** The request id in the response is that of another request. */
  Mismatched = "crossed",
  /** This host cancelled the attempt. */
  Cancelled = "cancelled",
}

/** The result of an attempt. */
export interface AttemptResult {
  outcome: AttemptOutcome;
  /** Whether the request may have reached the endpoint. */
  sent: boolean;
  output: unknown;
  /**
   * Cost that the endpoint reported, in a unit of its choice; 0 if it reported
   * none.
   */
  cost: number;
  elapsed_ms: number;
  /** Time until the response headers arrived; 0 if none did. */
  first_byte_ms: number;
  /** Undefined if the response carried no valid load report. */
  load: LoadReport | undefined;
  /** Whether the endpoint announced that it is shutting down. */
  leaving: boolean;
  /** Describes the failure; empty if the attempt completed. */
  message: string;
}

/** An endpoint's load, from an ORCA load report. */
export interface LoadReport {
  /** 0 to 1; exceeds 1 when requests are queued at the endpoint. */
  utilization: number;
}

/** The output and cost read from a response body. */
export interface StageResponse {
  output: unknown;
  cost: number;
}

/**
 * An error with a known outcome; any other error counts as a truncated
 * response.
 */
export class AttemptError extends Error {
  constructor(readonly outcome: AttemptOutcome, message: string) {
    super(message);
    this.name = "AttemptError";
  }
}

/** One attempt of one stage at one endpoint, and how it ended. */
import type { Endpoint, EndpointPool } from "../records/types.ts";

/** What to send, where, and until when. */
export interface Attempt {
  request_id: string;
  attempt_id: string;
  endpoint: Endpoint;
  pool: EndpointPool;
  input: unknown;
  /** Whether the call may be repeated. */
  idempotent: boolean;
  timeout_ms: number;
  signal: AbortSignal;
  /** Receives text as it is generated; its promise holds back the reader. */
  onText?: (text: string) => Promise<void> | void;
}

/** How an attempt ended. */
export enum AttemptOutcome {
  /** The whole answer arrived. */
  Completed = "done",
  /** The endpoint turned the call away. */
  Rejected = "refused",
  /** The endpoint answered that the call failed. */
  Failed = "failed",
  /** The connection ended before the whole answer. */
  Truncated = "cut",
  /** The endpoint was silent for too long. */
  TimedOut = "silent",
  /** The answer belongs to another request. */
  Mismatched = "crossed",
  /** The attempt was cancelled from this side. */
  Cancelled = "cancelled",
}

/** The result of an attempt. */
export interface AttemptResult {
  outcome: AttemptOutcome;
  /** Whether the call may have reached the endpoint. */
  sent: boolean;
  output: unknown;
  /** Cost that the endpoint reported, in its own unit. */
  cost: number;
  elapsed_ms: number;
  /** Time to the first byte of the answer. */
  first_byte_ms: number;
  load: LoadReport | undefined;
  /** Whether the endpoint says that it is leaving. */
  leaving: boolean;
  message: string;
}

/** An endpoint's load, from an ORCA report. */
export interface LoadReport {
  /** 0 to 1, may exceed 1 when work queues. */
  utilization: number;
}

/** The part of an answer that the protocol readers produce. */
export interface StageResponse {
  output: unknown;
  cost: number;
}

/** A failure with a known end; everything else counts as cut. */
export class AttemptError extends Error {
  constructor(readonly outcome: AttemptOutcome, message: string) {
    super(message);
    this.name = "AttemptError";
  }
}

/**
 * Types of batched work. A request's stage is a job, and a job consists of
 * pieces that endpoints compute, in calls shared by many jobs. Jobs, their
 * outcomes and freed results travel between hosts as JSON.
 */

/** The smallest unit of work: one of the results of a stage of one request. */
export interface Piece {
  /** Position within the stage, from 0. */
  index: number;
  /**
   * The request's piece key, from which an endpoint computes a piece without
   * inputs; undefined in a stage with inputs.
   */
  key: string | undefined;
  /** Handles of the results it reads; undefined in a stage without inputs. */
  inputs: string[] | undefined;
}

/** A stage that follows a job, with the number of its pieces. */
export interface LaterStage {
  pool: string;
  pieces: number;
}

/** All pieces of one stage of one request. */
export interface StageJob {
  /** Id of the caller's attempt. */
  attempt_id: string;
  /** Fingerprint of the request; undefined from hosts that send none. */
  request?: string;
  /** Name of the pool whose endpoints compute the pieces. */
  pool: string;
  /** Shard of the pool that runs the job; undefined if it has no shards. */
  shard?: string;
  /** Index of the stage within its route. */
  stage: number;
  pieces: Piece[];
  /** Approximate size of one result, in bytes. */
  result_bytes: number;
  /** 0 is the most urgent. */
  priority: number;
  /**
   * Time left until the stage must end for the request to meet its target
   * latency, in milliseconds.
   */
  due_in_ms: number;
  /** Time left until a result is useless, in milliseconds. */
  expires_in_ms: number;
  /**
   * Availability zone where it should run, near its inputs or the reader of its
   * results; undefined if any zone will do.
   */
  home_zone: string | undefined;
  /** Input bytes that an endpoint reads for each piece. */
  input_bytes: number;
  /** Inputs that no other job will read: freed once this job has read them. */
  last_read: FreedResults[];
  /**
   * The longest chain of stages that follow, in order; undefined if the caller has
   * a part of the response, and from hosts that send none.
   */
  later?: LaterStage[];
  /**
   * Time left until all stages must have ended for the request to meet its target
   * latency, in milliseconds; undefined as `later` is.
   */
  target_in_ms?: number;
}

/** Results at one endpoint that are no longer needed. */
export interface FreedResults {
  pool: string;
  /** Shard that accounts for them; undefined if the pool has no shards. */
  shard?: string;
  address: string;
  handles: string[];
  /**
   * Whether they may still be read again, if a call fails. Such results are
   * freed only when their endpoint runs short of memory.
   */
  spare?: boolean;
}

/** Reference to a result, which stays at the endpoint that computed it. */
export interface StageResult {
  handle: string;
  /** Address of the endpoint that keeps it. */
  address: string;
  availability_zone: string;
}

/** The outcome of a job. */
export type JobOutcome =
  | {
    kind: JobOutcomeKind.Completed;
    results: StageResult[];
    /**
     * Expected queue wait of a job that arrives now in the same pool, shard and
     * priority, in milliseconds.
     */
    wait_ms: number;
  }
  /** The pool cannot complete it before it expires. */
  | { kind: JobOutcomeKind.Refused; retry_after_ms: number; wait_ms: number }
  /** An endpoint no longer has a result that the job reads. */
  | { kind: JobOutcomeKind.InputsGone }
  /** Its batcher has no part of it and can't run it: another one should. */
  | {
    kind: JobOutcomeKind.HandedBack;
    /** Whether that holds for the job's pool or shard only: it is out of reach. */
    cut_off?: boolean;
  }
  /** It expired, was cancelled, or its pieces failed too often. */
  | { kind: JobOutcomeKind.Failed; reason: string };

/** The outcome of a job after any hand-back to another batcher. */
export type FinalJobOutcome = Exclude<
  JobOutcome,
  { kind: JobOutcomeKind.HandedBack }
>;

/** Reason of a job that failed since endpoints crash on its pieces. */
export const ENDPOINTS_CRASH = "endpoints_crash";

/** Discriminates `JobOutcome`; the values are sent between hosts. */
export enum JobOutcomeKind {
  Completed = "made",
  Refused = "refused",
  InputsGone = "inputs_gone",
  HandedBack = "handed_back",
  Failed = "failed",
}

/** A piece in a call to an endpoint. */
export interface PieceRequest extends Piece {
  attempt_id: string;
  stage: number;
  /** Time until the result is useless, in milliseconds. */
  remaining_ms: number;
}

/** Why an endpoint did not compute a piece. */
export enum PieceFault {
  /** No time was left. */
  DeadlinePassed = "late",
  /** It could not read an input, which its endpoint no longer has. */
  InputsGone = "inputs_gone",
  /** It has no memory for the result. */
  OutOfMemory = "no_room",
  /** Any other failure. */
  Error = "error",
}

/** An endpoint's response for one piece of a call. */
export type PieceResponse =
  | { ok: true; handle: string }
  | { ok: false; fault: PieceFault };

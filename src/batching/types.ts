/** Pieces, and the jobs and calls in which they are made. */

/** One piece of a stage of one request. */
export interface Piece {
  /** Counts from 0 within the stage. */
  index: number;
  /** What to make it from, in a stage that needs no results. */
  key: string | undefined;
  /** Handles of the results it needs, else. */
  inputs: string[] | undefined;
}

/** All pieces of one stage of one request. */
export interface StageJob {
  /** Id of the caller's attempt. */
  attempt_id: string;
  /** Name of the pool whose endpoints make the pieces. */
  pool: string;
  /** The part of the pool that makes them; undefined if it is one. */
  shard?: string;
  /** Index of the stage within its route. */
  stage: number;
  pieces: Piece[];
  /** Approximate size of one result, in bytes. */
  result_bytes: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Time left to be on time after this stage, in milliseconds. */
  due_in_ms: number;
  /** Time left until a result is of no use, in milliseconds. */
  expires_in_ms: number;
  /** Where its results will be read; undefined if that is open. */
  home_zone: string | undefined;
  /** Bytes that are read for each piece. */
  input_bytes: number;
  /** Results that nobody else reads: given up once they were read. */
  last_read: FreedResults[];
}

/** Results of one endpoint that are given up. */
export interface FreedResults {
  pool: string;
  /** The part of the pool that made them; undefined if it is one. */
  shard?: string;
  address: string;
  handles: string[];
  /**
   * They were read, but may be read again if a call fails: they are given up
   * only where their memory is needed.
   */
  spare?: boolean;
}

/** A result that stays at its maker. */
export interface StageResult {
  handle: string;
  /** Address of the endpoint that keeps it. */
  address: string;
  availability_zone: string;
}

/** How a job ended. */
export type JobOutcome =
  | {
    kind: JobOutcomeKind.Completed;
    results: StageResult[];
    /** How long a job of its kind that came now would wait. */
    wait_ms: number;
  }
  /** There is no room for it in time. */
  | { kind: JobOutcomeKind.Refused; retry_after_ms: number; wait_ms: number }
  /** A result that it needs is gone. */
  | { kind: JobOutcomeKind.InputsGone }
  /** Its batcher leaves and has not begun it: another one should make it. */
  | { kind: JobOutcomeKind.HandedBack }
  /** Its time ran out, or endpoints failed it too often. */
  | { kind: JobOutcomeKind.Failed; reason: string };

/** How a job ended for good, whoever made it. */
export type FinalJobOutcome = Exclude<
  JobOutcome,
  { kind: JobOutcomeKind.HandedBack }
>;

/** The ways in which a job ends. */
export enum JobOutcomeKind {
  Completed = "made",
  Refused = "refused",
  InputsGone = "inputs_gone",
  HandedBack = "handed_back",
  Failed = "failed",
}

/** One piece as an endpoint is asked for it. */
export interface PieceRequest extends Piece {
  attempt_id: string;
  stage: number;
  remaining_ms: number;
}

/** Why an endpoint did not make a piece. */
export enum PieceFault {
  DeadlinePassed = "late",
  InputsGone = "inputs_gone",
  OutOfMemory = "no_room",
  Error = "error",
}

/** What became of one piece of a call. */
export type PieceResponse =
  | { ok: true; handle: string }
  | { ok: false; fault: PieceFault };

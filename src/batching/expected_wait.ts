/**
 * Estimates how long a new job, or a stage that has yet to start, takes in a
 * pool that batches pieces. Admission uses the estimates to refuse what cannot
 * finish in time, with a time after which to retry, before it is queued. Has no
 * side effects.
 */
import type { BatchLimits } from "../routes/types.ts";
import { fullCallMs } from "./plan_call.ts";

/** A pool's load as its batcher sees it. */
export interface PoolLoad {
  /** Number of endpoints that accept calls. */
  endpoints: number;
  /** Their mean ratio of actual to configured call time. */
  slowness: number;
  /** Number of waiting pieces that are called before the new job's. */
  pieces_ahead: number;
}

/**
 * Expected time until all pieces of a job are computed, in milliseconds;
 * Infinity if no endpoint accepts calls.
 */
export function expectedJobMs(
  pieces: number,
  load: PoolLoad,
  limits: BatchLimits,
): number {
  if (load.endpoints === 0) return Infinity;
  const concurrent_calls = limits.concurrent_calls * load.endpoints;
  const wait_ms = queueWaitMs(load.pieces_ahead + pieces, load, limits);
  const call_pieces = Math.min(
    limits.pieces_per_call,
    pieces + load.pieces_ahead / concurrent_calls,
  );
  const own_call_ms = (limits.call_ms + call_pieces * limits.piece_ms) *
    load.slowness;
  return wait_ms + own_call_ms;
}

/**
 * Expected time until calls have taken this many pieces, in milliseconds;
 * Infinity if no endpoint accepts calls.
 */
export function queueWaitMs(
  pieces: number,
  { endpoints, slowness }: PoolLoad,
  limits: BatchLimits,
): number {
  if (endpoints === 0) return Infinity;
  const concurrent_pieces = limits.pieces_per_call * limits.concurrent_calls *
    endpoints;
  return pieces / concurrent_pieces * fullCallMs(limits) * slowness;
}

/** Minimum and expected duration of a stage, in milliseconds. */
export interface StageTime {
  min_ms: number;
  expected_ms: number;
}

/**
 * Estimates a stage's duration. Calls are assumed half full on average, and
 * `wait_ms` is the queue wait that the batcher reported. Both times are 0
 * without limits, for a pool that is not configured or computes no pieces.
 */
export function estimateStageTime(
  limits: BatchLimits | undefined,
  wait_ms = 0,
): StageTime {
  if (limits === undefined) return { min_ms: 0, expected_ms: 0 };
  const expected_ms = wait_ms + (limits.call_ms + fullCallMs(limits)) / 2;
  return { min_ms: limits.call_ms, expected_ms };
}

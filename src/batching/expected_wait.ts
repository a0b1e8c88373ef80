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
  /** Number of endpoints that accept calls, or that will after a pause. */
  endpoints: number;
  /**
   * Time until the first of them accepts calls, in milliseconds; undefined if one
   * does now.
   */
  starts_in_ms?: number;
  /**
   * Harmonic mean of their ratios of actual to configured call time, since their
   * rates add up.
   */
  slowness: number;
  /** Number of waiting pieces that are called before the new job's. */
  pieces_ahead: number;
  /** Number of all waiting pieces. */
  waiting_pieces: number;
  /** Measured rate at which pieces arrive. */
  arrivals_per_ms: number;
  /**
   * Measured rate at which calls take waiting pieces; undefined if none have
   * waited lately.
   */
  service_per_ms: number | undefined;
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
 * Expected time until all pieces of a job are computed if it yields to every
 * job that is on time, those still to arrive included, in milliseconds. In a
 * burst that leaves nothing for late jobs, it is many times the queue's wait.
 */
export function expectedLateJobMs(
  pieces: number,
  load: PoolLoad,
  limits: BatchLimits,
): number {
  const rate = serviceRate(load, limits);
  const spare_rate = Math.max(
    rate - load.arrivals_per_ms,
    MIN_SPARE_SHARE * rate,
  );
  const own_call_ms = (limits.call_ms + pieces * limits.piece_ms) *
    load.slowness;
  return (load.starts_in_ms ?? 0) +
    (load.waiting_pieces + pieces) / spare_rate + own_call_ms;
}

/** Expected time until all waiting pieces are in calls, in milliseconds. */
export function backlogMs(load: PoolLoad, limits: BatchLimits): number {
  return queueWaitMs(load.waiting_pieces, load, limits);
}

/**
 * Expected time until calls have taken this many pieces, in milliseconds;
 * Infinity if no endpoint accepts calls.
 */
export function queueWaitMs(
  pieces: number,
  load: PoolLoad,
  limits: BatchLimits,
): number {
  if (load.endpoints === 0) return Infinity;
  return (load.starts_in_ms ?? 0) + pieces / serviceRate(load, limits);
}

/** Share of the service rate that late jobs get even in a burst. */
const MIN_SPARE_SHARE = 0.1;
/** Lower bound of the measured rate, as a share of the configured one. */
const MIN_MEASURED_SHARE = 0.2;

/**
 * Rate at which calls take pieces, per millisecond: the measured one, but at
 * most that of full calls in their configured time.
 */
export function serviceRate(
  { endpoints, slowness, service_per_ms = Infinity }: PoolLoad,
  limits: BatchLimits,
): number {
  const concurrent_pieces = limits.pieces_per_call * limits.concurrent_calls *
    endpoints;
  const configured = concurrent_pieces / (fullCallMs(limits) * slowness);
  const measured = Math.max(service_per_ms, MIN_MEASURED_SHARE * configured);
  return Math.min(configured, measured);
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

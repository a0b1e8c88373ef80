/**
 * How long a new job will take in a pool that batches pieces. Pure. Whoever
 * admits work asks this before it waits, so that a job with no chance is
 * refused at once and told when there will be room.
 */
import type { BatchLimits } from "../routes/types.ts";
import { fullCallMs } from "./plan_call.ts";

/** The pool's load as its batcher sees it. */
export interface PoolLoad {
  /** Endpoints that take calls. */
  endpoints: number;
  /** Mean learned slowness of these. */
  slowness: number;
  /** Pieces that wait and go before the new job's. */
  pieces_ahead: number;
}

/** Time until a job's last piece is made, in milliseconds. */
export function expectedJobMs(
  pieces: number,
  load: PoolLoad,
  limits: BatchLimits,
): number {
  if (load.endpoints === 0) return Infinity;
  const calls = limits.concurrent_calls * load.endpoints;
  const wait_ms = queueWaitMs(load.pieces_ahead + pieces, load, limits);
  const shared = Math.min(
    limits.pieces_per_call,
    pieces + load.pieces_ahead / calls,
  );
  const own_ms = (limits.call_ms + shared * limits.piece_ms) * load.slowness;
  return wait_ms + own_ms;
}

/** Time until as many pieces have gone into calls, in milliseconds. */
export function queueWaitMs(
  pieces: number,
  { endpoints, slowness }: PoolLoad,
  limits: BatchLimits,
): number {
  if (endpoints === 0) return Infinity;
  const perCall = limits.pieces_per_call * limits.concurrent_calls * endpoints;
  return pieces / perCall * fullCallMs(limits) * slowness;
}

/** How long a stage takes, in milliseconds. */
export interface StageTime {
  min_ms: number;
  expected_ms: number;
}

/** A stage's call is half full as a rule, and waits as the batcher said. */
export function estimateStageTime(
  limits: BatchLimits | undefined,
  wait_ms = 0,
): StageTime {
  if (limits === undefined) return { min_ms: 0, expected_ms: 0 };
  const expected_ms = wait_ms + (limits.call_ms + fullCallMs(limits)) / 2;
  return { min_ms: limits.call_ms, expected_ms };
}

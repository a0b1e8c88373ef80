/**
 * Whether a job can be made in time at a pool, and how long it would wait. Pure.
 */
import type { BatchLimits } from "../routes/types.ts";
import type { EndpointTracker } from "./endpoint_tracker.ts";
import { expectedJobMs, type PoolLoad, queueWaitMs } from "./expected_wait.ts";
import type { PoolQueue } from "./pool_queue.ts";
import { type JobOutcome, JobOutcomeKind, type StageJob } from "./types.ts";

/** The load that goes before a job which comes now. */
export function loadAheadOf(
  job: StageJob,
  work: PoolQueue,
  { ready, now_ms }: { ready: readonly EndpointTracker[]; now_ms: number },
): PoolLoad {
  const taking = ready.filter((calls) => calls.acceptsCalls(now_ms));
  const due_ms = now_ms + job.due_in_ms;
  let pieces_ahead = 0;
  for (const other of work.jobs) {
    if (other.due_ms <= due_ms) pieces_ahead += other.waiting.length;
  }
  const slowness = taking.reduce((sum, each) => sum + each.slowness, 0) /
    Math.max(1, taking.length);
  return { endpoints: taking.length, slowness, pieces_ahead };
}

/** The wait behind a load, as a message can carry it. */
export function reportableWaitMs(load: PoolLoad, limits: BatchLimits): number {
  const wait_ms = queueWaitMs(load.pieces_ahead, load, limits);
  return Number.isFinite(wait_ms) ? Math.round(wait_ms) : limits.retention_ms;
}

/** A refusal of a job that would be too late, and what it is due to. */
export interface JobRefusal {
  outcome: JobOutcome;
  expected_ms: number;
}

/** Refuses a job that can't be made in time; undefined if it can. */
export function refuseLateJob(
  job: StageJob,
  load: PoolLoad,
  limits: BatchLimits,
): JobRefusal | undefined {
  const expected_ms = expectedJobMs(job.pieces.length, load, limits);
  if (expected_ms <= job.expires_in_ms) return undefined;
  const excess_ms = expected_ms - job.expires_in_ms;
  const outcome = {
    kind: JobOutcomeKind.Refused as const,
    retry_after_ms: Number.isFinite(excess_ms) ? excess_ms : limits.call_ms,
    wait_ms: reportableWaitMs(load, limits),
  };
  return { outcome, expected_ms };
}

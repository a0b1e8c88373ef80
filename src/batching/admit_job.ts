/**
 * Admission control for stage jobs: estimates how long a job would wait and
 * take in a pool, and refuses it if that is too long. Has no side effects.
 */
import type { BatchLimits } from "../routes/types.ts";
import type { EndpointTracker } from "./endpoint_tracker.ts";
import { expectedJobMs, type PoolLoad, queueWaitMs } from "./expected_wait.ts";
import type { PoolQueue } from "./pool_queue.ts";
import { type JobOutcome, JobOutcomeKind, type StageJob } from "./types.ts";

/**
 * The pool's load as a new job meets it. Only pieces of jobs that are due no
 * later are counted as ahead of it; endpoints that back off are left out.
 */
export function loadAheadOf(
  job: StageJob,
  queue: PoolQueue,
  { ready, now_ms }: { ready: readonly EndpointTracker[]; now_ms: number },
): PoolLoad {
  const accepting = ready.filter((tracker) => tracker.acceptsCalls(now_ms));
  const due_ms = now_ms + job.due_in_ms;
  let pieces_ahead = 0;
  for (const other of queue.jobs) {
    if (other.due_ms <= due_ms) pieces_ahead += other.waiting.length;
  }
  const slowness = accepting.reduce((sum, each) => sum + each.slowness, 0) /
    Math.max(1, accepting.length);
  return { endpoints: accepting.length, slowness, pieces_ahead };
}

/**
 * Queue wait in milliseconds, rounded. JSON cannot carry the infinite wait of a
 * pool without endpoints that accept calls: it is reported as the retention
 * time of results.
 */
export function reportableWaitMs(load: PoolLoad, limits: BatchLimits): number {
  const wait_ms = queueWaitMs(load.pieces_ahead, load, limits);
  return Number.isFinite(wait_ms) ? Math.round(wait_ms) : limits.retention_ms;
}

/** A refusal, with the expected job time in milliseconds that caused it. */
export interface JobRefusal {
  outcome: JobOutcome;
  expected_ms: number;
}

/** Refuses a job that would finish after it expires; undefined to admit it. */
export function checkJobAdmission(
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

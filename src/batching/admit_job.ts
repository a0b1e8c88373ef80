/**
 * Admission control for stage jobs: estimates how long a job would wait and
 * take in a pool, and refuses it if that is too long. Does no I/O.
 *
 * In a burst, work that cannot be on time yields to all work that can, so it
 * would wait until its deadline. It is refused at once, on arrival or as soon as
 * the burst has overtaken it, with the time in which the queue is worked off.
 * Work of later stages is not refused on arrival, since earlier ones have run,
 * but as soon as its inputs would be gone before it is called.
 */
import type { BatchLimits } from "../routes/types.ts";
import type { EndpointTracker } from "./endpoint_tracker.ts";
import {
  backlogMs,
  expectedJobMs,
  expectedLateJobMs,
  type PoolLoad,
  queueWaitMs,
} from "./expected_wait.ts";
import {
  countWaitingPieces,
  type PoolQueue,
  type QueuedJob,
} from "./pool_queue.ts";
import { type JobOutcome, JobOutcomeKind, type StageJob } from "./types.ts";

/** Endpoints of a pool that are ready, and the time of the estimate. */
interface LoadContext {
  ready: readonly EndpointTracker[];
  now_ms: number;
}

/**
 * The pool's load as a new job meets it, with the queue's rates as of now. Only
 * pieces of jobs that are due no later are counted as ahead of it; endpoints that
 * back off are left out.
 */
export function loadAheadOf(
  job: StageJob,
  queue: PoolQueue,
  context: LoadContext,
): PoolLoad {
  const due_ms = context.now_ms + job.due_in_ms;
  let pieces_ahead = 0;
  for (const other of queue.jobs) {
    if (other.started || other.due_ms <= due_ms) {
      pieces_ahead += other.waiting.length;
    }
  }
  return { ...loadOf(queue, context), pieces_ahead };
}

/** The pool's load with all that waits ahead, and the queue's rates as of now. */
export function loadOf(
  queue: PoolQueue,
  { ready, now_ms }: LoadContext,
): PoolLoad {
  const { serving, starts_in_ms } = servingTrackers(ready, now_ms);
  const relative_rate = serving.reduce(
    (sum, each) => sum + 1 / each.slowness,
    0,
  );
  const slowness = serving.length === 0 ? 0 : serving.length / relative_rate;
  const waiting_pieces = countWaitingPieces(queue.jobs);
  queue.rates.advance(waiting_pieces, now_ms);
  return {
    endpoints: serving.length,
    starts_in_ms,
    slowness,
    pieces_ahead: waiting_pieces,
    waiting_pieces,
    arrivals_per_ms: queue.rates.arrivals_per_ms,
    service_per_ms: queue.rates.service_per_ms,
  };
}

/**
 * The endpoints that accept calls; without any, those that pause, with the time
 * until the first of them accepts calls again.
 */
function servingTrackers(
  ready: readonly EndpointTracker[],
  now_ms: number,
): { serving: readonly EndpointTracker[]; starts_in_ms: number | undefined } {
  const accepting = ready.filter((tracker) => tracker.acceptsCalls(now_ms));
  if (accepting.length > 0) {
    return { serving: accepting, starts_in_ms: undefined };
  }
  const pausing = ready.filter((tracker) => tracker.pauseMs(now_ms) > 0);
  if (pausing.length === 0) return { serving: [], starts_in_ms: undefined };
  const pauses_ms = pausing.map((tracker) => tracker.pauseMs(now_ms));
  return { serving: pausing, starts_in_ms: Math.ceil(Math.min(...pauses_ms)) };
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

/** A refusal, with the expected time in milliseconds that caused it. */
export interface JobRefusal {
  outcome: JobOutcome;
  expected_ms: number;
  /** The later stage in which the request would wait too long. */
  waits_in?: LaterWait;
}

/** Why a request is expected to wait in a later stage. */
export interface LaterWait {
  pool: string;
  /** Pieces that go before or with it: waiting there, and on the way there. */
  pieces_waiting: number;
  pieces_on_the_way: number;
  /** Rate of the pool, and what more urgent pieces leave of it. */
  pieces_per_ms: number;
  spare_per_ms: number;
}

/**
 * Refuses a job that would finish after it expires; undefined to admit it. A
 * first-stage job that would be late counts as yielding to those on time.
 */
export function checkJobAdmission(
  job: StageJob,
  load: PoolLoad,
  limits: BatchLimits,
): JobRefusal | undefined {
  const pieces = job.pieces.length;
  const on_time_ms = expectedJobMs(pieces, load, limits);
  const yields = on_time_ms > job.due_in_ms && isFirstStage(job);
  const expected_ms = yields
    ? Math.max(on_time_ms, expectedLateJobMs(pieces, load, limits))
    : on_time_ms;
  if (expected_ms <= job.expires_in_ms) return undefined;
  return { outcome: createRefusal(load, limits), expected_ms };
}

/**
 * The waiting jobs that are late and, as the load is now, would still wait when
 * they expire or their inputs are gone.
 */
export function findUnservableJobs(
  queue: PoolQueue,
  load: PoolLoad,
  { limits, now_ms }: { limits: BatchLimits; now_ms: number },
): QueuedJob[] {
  const latest_due_ms = now_ms + (load.starts_in_ms ?? 0) +
    limits.call_ms * load.slowness;
  const isLate = (queued: QueuedJob) =>
    !queued.started && queued.due_ms < latest_due_ms;
  const late = [...queue.jobs].filter(isLate)
    .sort((a, b) => a.priority - b.priority || a.due_ms - b.due_ms);
  let waiting_pieces = load.waiting_pieces -
    late.reduce((sum, { waiting }) => sum + waiting.length, 0);
  return late.filter(({ waiting, useful_until_ms }) => {
    const expected_ms = expectedLateJobMs(
      waiting.length,
      { ...load, waiting_pieces },
      limits,
    );
    const servable = now_ms + expected_ms <= useful_until_ms;
    if (servable) waiting_pieces += waiting.length;
    return !servable;
  });
}

/** Refuses a job until the pieces that wait now have been called. */
export function createRefusal(
  load: PoolLoad,
  limits: BatchLimits,
): Extract<JobOutcome, { kind: JobOutcomeKind.Refused }> {
  const backlog_ms = backlogMs(load, limits);
  return {
    kind: JobOutcomeKind.Refused,
    retry_after_ms: Number.isFinite(backlog_ms)
      ? Math.max(limits.call_ms, backlog_ms)
      : limits.call_ms,
    wait_ms: reportableWaitMs(load, limits),
  };
}

/** Whether a job reads no results of earlier stages. */
export function isFirstStage({ pieces }: Pick<StageJob, "pieces">): boolean {
  return pieces.every(({ inputs }) => inputs === undefined);
}

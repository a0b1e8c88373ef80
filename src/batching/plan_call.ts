/**
 * Selects the waiting pieces of an endpoint's next call. Has no side effects.
 *
 * Pieces of many requests arrive at a pool whose endpoints run one call at a
 * time; a call has a high fixed cost and each piece adds little. An available
 * endpoint starts a call with the waiting pieces immediately, without a delay
 * to fill it, so batches grow with the load. Jobs of which a call has taken some
 * pieces go first: their results take memory until the job is complete, and in a
 * burst such results could fill it all. Jobs that can still be on time go before
 * late ones, earliest due first. A job with large inputs stays in the
 * availability zone that holds them unless waiting for an endpoint there would
 * make it late.
 */
import type { BatchLimits } from "../routes/types.ts";

/** The properties of a queued job that a plan depends on. */
export interface WaitingJob {
  /** 0 is the most urgent. */
  priority: number;
  /** When its results are due, in monotonic milliseconds. */
  due_ms: number;
  /** When its results become useless, in monotonic milliseconds. */
  expires_ms: number;
  /** Zone where it should run; undefined if any zone will do. */
  home_zone: string | undefined;
  /** Approximate size of the result of one piece. */
  result_bytes: number;
  /** Number of pieces that no call has taken. */
  waiting_pieces: number;
  /** Whether a call has taken any of its pieces. */
  started: boolean;
  /** Number of jobs in a call with its pieces, at the most. */
  max_call_jobs: number;
}

/** An endpoint that can start a call now. */
export interface AvailableEndpoint {
  availability_zone: string;
  /** Memory left for results, in bytes. */
  free_result_bytes: number;
  /** Ratio of actual to configured call time; 1 is as configured. */
  slowness: number;
}

/** Time, limits and zone waits that a plan depends on. */
export interface PlanContext {
  now_ms: number;
  limits: BatchLimits;
  /** Expected wait by zone, in milliseconds; absent if it has no endpoint. */
  zone_wait_ms: ReadonlyMap<string, number>;
}

/** A job in a planned call, with the number of its pieces there. */
export interface PlannedPieces<Job> {
  job: Job;
  pieces: number;
}

/** A job whose home is another zone sorts as if due this much later. */
const OTHER_ZONE_PENALTY_MS = 300;
/**
 * A job waits for its home zone only if it would then end at least this long
 * before it is due.
 */
const ZONE_WAIT_MARGIN_MS = 50;

/** The jobs of the next call, in order; empty if none should run there. */
export function planCall<Job extends WaitingJob>(
  jobs: Iterable<Job>,
  endpoint: AvailableEndpoint,
  context: PlanContext,
): PlannedPieces<Job>[] {
  const { limits } = context;
  const eligible = [...jobs].filter((job) =>
    job.waiting_pieces > 0 &&
    mayRunAt(endpoint.availability_zone, job, context)
  );
  const end_ms = context.now_ms +
    callMs(countPieces(eligible), limits) * endpoint.slowness;
  eligible.sort(byUrgency(end_ms, endpoint.availability_zone));
  const planned: PlannedPieces<Job>[] = [];
  let remaining_pieces = limits.pieces_per_call;
  let free_bytes = endpoint.free_result_bytes;
  let max_jobs = Infinity;
  for (const job of eligible) {
    if (remaining_pieces === 0 || planned.length >= max_jobs) break;
    if (planned.length >= job.max_call_jobs) continue;
    const taken = Math.min(
      job.waiting_pieces,
      remaining_pieces,
      job.result_bytes > 0
        ? Math.floor(free_bytes / job.result_bytes)
        : job.waiting_pieces,
    );
    if (taken <= 0) continue;
    planned.push({ job, pieces: taken });
    max_jobs = Math.min(max_jobs, job.max_call_jobs);
    remaining_pieces -= taken;
    free_bytes -= taken * job.result_bytes;
  }
  return planned;
}

/** Configured time of a call with the most pieces, in milliseconds. */
export function fullCallMs(limits: BatchLimits): number {
  return callMs(limits.pieces_per_call, limits);
}

/** Configured time of a call while this many pieces wait, in milliseconds. */
function callMs(
  waiting_pieces: number,
  { pieces_per_call, call_ms, piece_ms }: BatchLimits,
): number {
  return call_ms + Math.min(waiting_pieces, pieces_per_call) * piece_ms;
}

function countPieces(jobs: readonly WaitingJob[]): number {
  return jobs.reduce((sum, job) => sum + job.waiting_pieces, 0);
}

function mayRunAt(
  zone: string,
  job: WaitingJob,
  { now_ms, limits, zone_wait_ms }: PlanContext,
): boolean {
  const { home_zone } = job;
  if (home_zone === undefined || home_zone === zone) return true;
  const wait_ms = zone_wait_ms.get(home_zone);
  if (wait_ms === undefined) return true;
  const call_ms = fullCallMs(limits);
  const late = now_ms + call_ms > job.due_ms;
  if (late) return wait_ms > call_ms;
  return now_ms + wait_ms + call_ms + ZONE_WAIT_MARGIN_MS > job.due_ms;
}

/**
 * Sorts started jobs first, then on-time jobs by due time, then those that are
 * late if the call ends at `end_ms`, by priority and due time.
 */
function byUrgency(
  end_ms: number,
  zone: string,
): (a: WaitingJob, b: WaitingJob) => number {
  return (a, b) => {
    if (a.started !== b.started) return a.started ? -1 : 1;
    const lateA = a.due_ms < end_ms;
    const lateB = b.due_ms < end_ms;
    if (lateA !== lateB) return lateA ? 1 : -1;
    if (lateA && a.priority !== b.priority) return a.priority - b.priority;
    return effectiveDueMs(a, zone) - effectiveDueMs(b, zone);
  };
}

/** A job's due time, plus the penalty for running outside its home zone. */
function effectiveDueMs(
  { due_ms, home_zone }: WaitingJob,
  zone: string,
): number {
  const away = home_zone !== undefined && home_zone !== zone;
  return away ? due_ms + OTHER_ZONE_PENALTY_MS : due_ms;
}

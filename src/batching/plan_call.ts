/**
 * Which waiting pieces share the next call at an endpoint. Pure: state in,
 * decision out.
 *
 * The load it answers: pieces of many requests arrive at a pool whose endpoints
 * run one call at a time, where a call costs much and a further piece little.
 * A free endpoint takes what waits at once, so calls fill up by themselves as
 * the load grows. Work that can still be on time goes before work that is late,
 * the earliest due first; a piece stays in the zone in which its inputs lie and
 * its result will be read for as long as it can be on time there.
 */
import type { BatchLimits } from "../routes/types.ts";

/** A job as the planner sees it. */
export interface WaitingJob {
  priority: number;
  /** When a result is on time, in milliseconds of the steady clock. */
  due_ms: number;
  /** When a result is of no use any more. */
  expires_ms: number;
  /** When it began to wait. */
  since_ms: number;
  home_zone: string | undefined;
  result_bytes: number;
  /** Pieces that are in no call yet. */
  waiting_pieces: number;
}

/** An endpoint that can take a call. */
export interface FreeEndpoint {
  availability_zone: string;
  /** Memory for further results, in bytes. */
  room_bytes: number;
  /** How much longer than promised its calls take; 1 is as promised. */
  slowness: number;
}

/** What surrounds the decision. */
export interface PlanContext {
  now_ms: number;
  limits: BatchLimits;
  /** Zones that have an endpoint of the pool which takes calls. */
  servedZones: ReadonlySet<string>;
}

/** A job's share of a call. */
export interface PlannedShare<Job> {
  job: Job;
  pieces: number;
}

/** The part of a call's time for which a piece waits for its own zone. */
const STAY_SHARE = 0.6;

/** The pieces of the next call, in order; empty if none should go there. */
export function planCall<Job extends WaitingJob>(
  jobs: Iterable<Job>,
  endpoint: FreeEndpoint,
  context: PlanContext,
): PlannedShare<Job>[] {
  const { limits } = context;
  const call_ms = fullCallMs(limits) * endpoint.slowness;
  const welcome = [...jobs].filter((job) =>
    job.waiting_pieces > 0 && mayLeaveHome(job, endpoint, context)
  );
  welcome.sort(byUrgency(context.now_ms + call_ms, endpoint.availability_zone));
  const shares: PlannedShare<Job>[] = [];
  let places = limits.pieces_per_call;
  let room_bytes = endpoint.room_bytes;
  for (const job of welcome) {
    if (places === 0) break;
    const fitting = Math.min(
      job.waiting_pieces,
      places,
      job.result_bytes > 0
        ? Math.floor(room_bytes / job.result_bytes)
        : job.waiting_pieces,
    );
    if (fitting <= 0) continue;
    shares.push({ job, pieces: fitting });
    places -= fitting;
    room_bytes -= fitting * job.result_bytes;
  }
  return shares;
}

/** Time of a call with every place taken, in milliseconds. */
export function fullCallMs(limits: BatchLimits): number {
  return limits.call_ms + limits.pieces_per_call * limits.piece_ms;
}

function mayLeaveHome(
  job: WaitingJob,
  { availability_zone }: FreeEndpoint,
  { now_ms, limits, servedZones }: PlanContext,
): boolean {
  const { home_zone } = job;
  if (home_zone === undefined || home_zone === availability_zone) return true;
  if (!servedZones.has(home_zone)) return true;
  const call_ms = fullCallMs(limits);
  const slack_ms = job.due_ms - now_ms - call_ms;
  if (slack_ms < 0) return now_ms - job.since_ms > call_ms;
  const patience_ms = Math.min(STAY_SHARE * call_ms, slack_ms);
  return now_ms - job.since_ms >= patience_ms;
}

/** Orders jobs: on time before late, then by rank among the late, then due. */
function byUrgency(
  done_ms: number,
  zone: string,
): (a: WaitingJob, b: WaitingJob) => number {
  return (a, b) => {
    const lateA = a.due_ms < done_ms;
    const lateB = b.due_ms < done_ms;
    if (lateA !== lateB) return lateA ? 1 : -1;
    if (lateA && a.priority !== b.priority) return a.priority - b.priority;
    const awayA = a.home_zone !== undefined && a.home_zone !== zone;
    const awayB = b.home_zone !== undefined && b.home_zone !== zone;
    if (awayA !== awayB) return awayA ? 1 : -1;
    return a.due_ms - b.due_ms;
  };
}

/**
 * Which waiting pieces share the next call at an endpoint. Pure: state in,
 * decision out.
 *
 * The load it answers: pieces of many requests arrive at a pool whose endpoints
 * run one call at a time, where a call costs much and a further piece little.
 * A free endpoint takes what waits at once, so calls fill up by themselves as
 * the load grows. Work that can still be on time goes before work that is late,
 * the earliest due first. A job with much to read stays in the zone where that
 * lies, unless waiting for an endpoint there would make it late.
 */
import type { BatchLimits } from "../routes/types.ts";

/** A job as the planner sees it. */
export interface WaitingJob {
  priority: number;
  /** When a result is on time, in milliseconds of the steady clock. */
  due_ms: number;
  /** When a result is of no use any more. */
  expires_ms: number;
  home_zone: string | undefined;
  result_bytes: number;
  /** Pieces that are in no call yet. */
  waiting_pieces: number;
}

/** An endpoint that can take a call. */
export interface AvailableEndpoint {
  availability_zone: string;
  /** Memory for further results, in bytes. */
  free_result_bytes: number;
  /** How much longer than promised its calls take; 1 is as promised. */
  slowness: number;
}

/** What surrounds the decision. */
export interface PlanContext {
  now_ms: number;
  limits: BatchLimits;
  /** Time until a zone takes a further job; absent if it has no endpoint. */
  zone_wait_ms: ReadonlyMap<string, number>;
}

/** A job's share of a call. */
export interface PlannedShare<Job> {
  job: Job;
  pieces: number;
}

/** How much more urgent a job of another zone must be to go first. */
const OTHER_ZONE_PENALTY_MS = 300;
/** Time that a job keeps in reserve when it waits for its own zone. */
const ZONE_WAIT_MARGIN_MS = 50;

/** The pieces of the next call, in order; empty if none should go there. */
export function planCall<Job extends WaitingJob>(
  jobs: Iterable<Job>,
  endpoint: AvailableEndpoint,
  context: PlanContext,
): PlannedShare<Job>[] {
  const { limits } = context;
  const soonest_ms = context.now_ms + limits.call_ms * endpoint.slowness;
  const welcome = [...jobs].filter((job) =>
    job.waiting_pieces > 0 &&
    mayRunAt(endpoint.availability_zone, job, context)
  );
  welcome.sort(byUrgency(soonest_ms, endpoint.availability_zone));
  const shares: PlannedShare<Job>[] = [];
  let places = limits.pieces_per_call;
  let room_bytes = endpoint.free_result_bytes;
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

function mayRunAt(
  zone: string,
  job: WaitingJob,
  { now_ms, limits, zone_wait_ms: zoneWait_ms }: PlanContext,
): boolean {
  const { home_zone } = job;
  if (home_zone === undefined || home_zone === zone) return true;
  const wait_ms = zoneWait_ms.get(home_zone);
  if (wait_ms === undefined) return true;
  const call_ms = fullCallMs(limits);
  const late = now_ms + call_ms > job.due_ms;
  if (late) return wait_ms > call_ms;
  return now_ms + wait_ms + call_ms + ZONE_WAIT_MARGIN_MS > job.due_ms;
}

/** Orders jobs: on time before late, then by rank among the late, then due. */
function byUrgency(
  soonest_ms: number,
  zone: string,
): (a: WaitingJob, b: WaitingJob) => number {
  return (a, b) => {
    const lateA = a.due_ms < soonest_ms;
    const lateB = b.due_ms < soonest_ms;
    if (lateA !== lateB) return lateA ? 1 : -1;
    if (lateA && a.priority !== b.priority) return a.priority - b.priority;
    return effectiveDueMs(a, zone) - effectiveDueMs(b, zone);
  };
}

/** When a job is due, as if later where it would be away from its zone. */
function effectiveDueMs(
  { due_ms, home_zone }: WaitingJob,
  zone: string,
): number {
  const away = home_zone !== undefined && home_zone !== zone;
  return away ? due_ms + OTHER_ZONE_PENALTY_MS : due_ms;
}

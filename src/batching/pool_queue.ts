/** The queue of one pool at its batcher, and what it shows. Pure. */
import {
  type BatchLimits,
  type RouteEndpoint,
  RouteEndpointState,
} from "../routes/types.ts";
import { EndpointTracker } from "./endpoint_tracker.ts";
import { expectedJobMs } from "./expected_wait.ts";
import { fullCallMs, type WaitingJob } from "./plan_call.ts";
import type { JobOutcome, Piece, StageJob, StageResult } from "./types.ts";

/** A job in the queue of a pool. */
export interface QueuedJob extends WaitingJob {
  job: StageJob;
  waiting: Piece[];
  results: (StageResult | undefined)[];
  unfinished: number;
  failures: number;
  ended: boolean;
  resolve: (outcome: JobOutcome) => void;
}

/** What a batcher has to do for one pool. */
export interface PoolQueue {
  pool: string;
  /** The zone that is batched apart; undefined if the pool is one. */
  shard: string | undefined;
  jobs: Set<QueuedJob>;
  trackers: Map<string, EndpointTracker>;
  timer: NodeJS.Timeout | undefined;
  /** When the timer fires, on the steady clock; Infinity if it does not. */
  timer_due_ms: number;
  /** When the queue was last looked at in vain, on the steady clock. */
  last_idle_dispatch_ms: number;
}

/** A job as it enters the queue. */
export function createQueuedJob(
  job: StageJob,
  now_ms: number,
  end: (outcome: JobOutcome) => void,
): QueuedJob {
  return {
    job,
    priority: job.priority,
    due_ms: now_ms + job.due_in_ms,
    expires_ms: now_ms + job.expires_in_ms,
    home_zone: job.home_zone,
    result_bytes: job.result_bytes,
    waiting: [...job.pieces],
    get waiting_pieces() {
      return this.waiting.length;
    },
    results: job.pieces.map(() => undefined),
    unfinished: job.pieces.length,
    failures: 0,
    ended: false,
    resolve: end,
  };
}

/** The ready endpoints with what is known of each; forgets those that left. */
export function readyTrackers(
  work: PoolQueue,
  endpoints: readonly RouteEndpoint[],
): EndpointTracker[] {
  const ready: EndpointTracker[] = [];
  const seen = new Set<string>();
  for (const endpoint of endpoints) {
    const key = `${endpoint.id}/${endpoint.born_ms}`;
    seen.add(key);
    let calls = work.trackers.get(key);
    if (calls === undefined) {
      calls = new EndpointTracker(endpoint);
      work.trackers.set(key, calls);
    }
    calls.endpoint = endpoint;
    if (endpoint.state === RouteEndpointState.Ready) ready.push(calls);
  }
  for (const key of work.trackers.keys()) {
    if (!seen.has(key)) work.trackers.delete(key);
  }
  return ready;
}

/** What is known of the endpoint at an address. */
export function trackerAt(
  { trackers: endpoints }: PoolQueue,
  address: string,
): EndpointTracker | undefined {
  for (const calls of endpoints.values()) {
    if (calls.endpoint.address === address) return calls;
  }
  return undefined;
}

/** Whether a piece is in no call yet. */
export function hasWaitingPieces({ jobs }: PoolQueue): boolean {
  for (const { waiting } of jobs) if (waiting.length > 0) return true;
  return false;
}

/** Pieces that are in no call yet. */
export function countWaitingPieces(jobs: Iterable<QueuedJob>): number {
  let pieces = 0;
  for (const { waiting } of jobs) pieces += waiting.length;
  return pieces;
}

/** Above this, an endpoint counts as slow. */
const SLOWNESS_THRESHOLD = 1.5;

/**
 * Whether a job gains by a call here: a slow endpoint is used only while the
 * others have so much to do that waiting for them takes longer.
 */
export function isWorthCalling(
  calls: EndpointTracker,
  ready: readonly EndpointTracker[],
  jobs: Iterable<QueuedJob>,
  { limits, now_ms }: { limits: BatchLimits; now_ms: number },
): boolean {
  if (calls.slowness < SLOWNESS_THRESHOLD) return true;
  const sound = ready.filter((each) =>
    each.slowness < SLOWNESS_THRESHOLD && each.acceptsCalls(now_ms)
  );
  if (sound.length === 0) return true;
  const load = {
    endpoints: sound.length,
    slowness: 1,
    pieces_ahead: countWaitingPieces(jobs),
  };
  return expectedJobMs(0, load, limits) > fullCallMs(limits) * calls.slowness;
}

/**
 * Time until each zone takes a further job: until its first endpoint is free,
 * and a call for each callful of pieces that wait for the zone.
 */
export function zoneWaits(
  ready: readonly EndpointTracker[],
  jobs: Iterable<QueuedJob>,
  { limits, now_ms }: { limits: BatchLimits; now_ms: number },
): Map<string, number> {
  const zones = new Map<string, { free_ms: number; places: number }>();
  for (const calls of ready) {
    const { availability_zone } = calls.endpoint;
    const known = zones.get(availability_zone);
    const free_ms = calls.availableInMs(now_ms, limits);
    zones.set(availability_zone, {
      free_ms: Math.min(known?.free_ms ?? Infinity, free_ms),
      places: (known?.places ?? 0) + limits.pieces_per_call,
    });
  }
  const pieces = new Map<string, number>();
  for (const { home_zone, waiting } of jobs) {
    if (home_zone === undefined) continue;
    pieces.set(home_zone, (pieces.get(home_zone) ?? 0) + waiting.length);
  }
  const waits = new Map<string, number>();
  for (const [zone, { free_ms, places }] of zones) {
    const calls = Math.floor((pieces.get(zone) ?? 0) / (places + 1));
    waits.set(zone, free_ms + calls * fullCallMs(limits));
  }
  return waits;
}

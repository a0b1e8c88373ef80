/** The job queue of one pool at its batcher, with functions that query it. */
import {
  type BatchLimits,
  type RouteEndpoint,
  RouteEndpointState,
} from "../routes/types.ts";
import { BacklogRates } from "./backlog_rates.ts";
import { EndpointTracker } from "./endpoint_tracker.ts";
import { expectedJobMs } from "./expected_wait.ts";
import { fullCallMs, type WaitingJob } from "./plan_call.ts";
import type { SharedCall } from "./shared_call.ts";
import type { JobOutcome, Piece, StageJob, StageResult } from "./types.ts";

/** A job in a pool's queue, with its results so far. */
export interface QueuedJob extends WaitingJob {
  job: StageJob;
  /** Pieces that no call has taken, or that are to be retried. */
  waiting: Piece[];
  /** One for each piece, in the job's order; undefined until computed. */
  results: (StageResult | undefined)[];
  /** Number of pieces without a result. */
  unfinished: number;
  /** Failed attempts of all pieces together. */
  failures: number;
  /** Calls for its pieces that were lost with their way, not counted as failures. */
  lost_calls: number;
  /** Whether another batcher may run it, if this one is cut off. */
  may_hand_back: boolean;
  /** Endpoints that crashed during calls for its pieces. */
  crashes: number;
  /** Calls in flight for its pieces. */
  calls: Set<SharedCall>;
  /**
   * When it expires, or when the inputs that it reads last are expected to be
   * gone, in monotonic milliseconds.
   */
  useful_until_ms: number;
  /** Whether `resolve` has been called. */
  ended: boolean;
  resolve: (outcome: JobOutcome) => void;
}

/** The jobs and endpoints of one pool, or of one shard of it. */
export interface PoolQueue {
  pool: string;
  /** Availability zone of the shard; undefined if the pool is not sharded. */
  shard: string | undefined;
  jobs: Set<QueuedJob>;
  /** Keyed by endpoint id and start time, so by incarnation. */
  trackers: Map<string, EndpointTracker>;
  rates: BacklogRates;
  /** Starts the next dispatch; undefined before the first is scheduled. */
  timer: NodeJS.Timeout | undefined;
  /** When the timer fires, in monotonic time; Infinity if none is set. */
  timer_due_ms: number;
  /** When a dispatch last started no call, in monotonic time; or -Infinity. */
  last_idle_dispatch_ms: number;
  /** When waiting jobs were last reviewed, in monotonic time; or -Infinity. */
  last_review_ms: number;
}

/** Creates the empty queue of a pool or of one shard of it. */
export function createPoolQueue(
  { pool, shard }: { pool: string; shard: string | undefined },
  now_ms: number,
): PoolQueue {
  return {
    pool,
    shard,
    jobs: new Set(),
    trackers: new Map(),
    rates: new BacklogRates(now_ms),
    timer: undefined,
    timer_due_ms: Infinity,
    last_idle_dispatch_ms: -Infinity,
    last_review_ms: -Infinity,
  };
}

/** Creates a job's queue entry; `resolve` is called once, with its outcome. */
export function createQueuedJob(
  job: StageJob,
  { now_ms, inputs_kept_ms, may_hand_back }: {
    now_ms: number;
    inputs_kept_ms: number;
    may_hand_back: boolean;
  },
  resolve: (outcome: JobOutcome) => void,
): QueuedJob {
  return {
    job,
    priority: job.priority,
    due_ms: now_ms + job.due_in_ms,
    expires_ms: now_ms + job.expires_in_ms,
    useful_until_ms: now_ms + Math.min(job.expires_in_ms, inputs_kept_ms),
    home_zone: job.home_zone,
    result_bytes: job.result_bytes,
    waiting: [...job.pieces],
    get waiting_pieces() {
      return this.waiting.length;
    },
    get started() {
      return this.waiting.length < job.pieces.length;
    },
    results: job.pieces.map(() => undefined),
    unfinished: job.pieces.length,
    failures: 0,
    lost_calls: 0,
    may_hand_back,
    crashes: 0,
    max_call_jobs: Infinity,
    calls: new Set(),
    ended: false,
    resolve,
  };
}

/**
 * Returns the trackers of the ready endpoints. Creates missing ones and drops
 * those of endpoints that are no longer listed.
 */
export function readyTrackers(
  queue: PoolQueue,
  endpoints: readonly RouteEndpoint[],
): EndpointTracker[] {
  const ready: EndpointTracker[] = [];
  const seen = new Set<string>();
  for (const endpoint of endpoints) {
    const key = `${endpoint.id}/${endpoint.born_ms}`;
    seen.add(key);
    let tracker = queue.trackers.get(key);
    if (tracker === undefined) {
      tracker = new EndpointTracker(endpoint);
      queue.trackers.set(key, tracker);
    }
    tracker.endpoint = endpoint;
    if (endpoint.state === RouteEndpointState.Ready) ready.push(tracker);
  }
  for (const key of queue.trackers.keys()) {
    if (!seen.has(key)) queue.trackers.delete(key);
  }
  return ready;
}

/**
 * The tracker of the endpoint that started last at an address; undefined if
 * there is none.
 */
export function trackerAt(
  { trackers }: PoolQueue,
  address: string,
): EndpointTracker | undefined {
  let newest: EndpointTracker | undefined;
  for (const tracker of trackers.values()) {
    const { endpoint } = tracker;
    if (endpoint.address !== address) continue;
    const isNewer = newest === undefined ||
      endpoint.born_ms > newest.endpoint.born_ms;
    if (isNewer) newest = tracker;
  }
  return newest;
}

/** Whether any piece waits for a call. */
export function hasWaitingPieces({ jobs }: PoolQueue): boolean {
  for (const { waiting } of jobs) if (waiting.length > 0) return true;
  return false;
}

/** Number of pieces that wait for a call. */
export function countWaitingPieces(jobs: Iterable<QueuedJob>): number {
  let pieces = 0;
  for (const { waiting } of jobs) pieces += waiting.length;
  return pieces;
}

/** An endpoint whose slowness reaches this ratio counts as slow. */
const SLOWNESS_THRESHOLD = 1.5;
/**
 * Time after which a slow endpoint is called again in any case, since only a call
 * tells whether it still is slow.
 */
const SLOW_RETRY_INTERVAL_MS = 2_000;

/**
 * Whether to call this endpoint now. A slow endpoint is called only while
 * waiting for the others would take longer than a full call to it.
 */
export function isWorthCalling(
  tracker: EndpointTracker,
  ready: readonly EndpointTracker[],
  jobs: Iterable<QueuedJob>,
  { limits, now_ms }: { limits: BatchLimits; now_ms: number },
): boolean {
  if (tracker.slowness < SLOWNESS_THRESHOLD) return true;
  const fast = ready.filter((each) =>
    each.slowness < SLOWNESS_THRESHOLD && each.acceptsCalls(now_ms)
  );
  if (fast.length === 0) return true;
  const waiting_pieces = countWaitingPieces(jobs);
  const load = {
    endpoints: fast.length,
    slowness: 1,
    pieces_ahead: waiting_pieces,
    waiting_pieces,
    arrivals_per_ms: 0,
    service_per_ms: undefined,
  };
  return expectedJobMs(0, load, limits) > fullCallMs(limits) * tracker.slowness;
}

/**
 * Whether to find out now if an endpoint still is slow that would not be called
 * otherwise.
 */
export function isDueForRetry(
  tracker: EndpointTracker,
  ready: readonly EndpointTracker[],
  jobs: Iterable<QueuedJob>,
  context: { limits: BatchLimits; now_ms: number },
): boolean {
  return tracker.sinceCallMs(context.now_ms) >= SLOW_RETRY_INTERVAL_MS &&
    !isWorthCalling(tracker, ready, jobs, context);
}

/**
 * Expected wait of a new job in each availability zone, in milliseconds: the
 * time until one of the zone's endpoints is available, plus the time of the
 * rounds that the pieces already waiting for the zone take. In a round, every
 * endpoint of the zone runs one full call.
 */
export function zoneWaits(
  ready: readonly EndpointTracker[],
  jobs: Iterable<QueuedJob>,
  { limits, now_ms }: { limits: BatchLimits; now_ms: number },
): Map<string, number> {
  const zones = new Map<
    string,
    { available_in_ms: number; round_pieces: number }
  >();
  for (const tracker of ready) {
    const { availability_zone } = tracker.endpoint;
    const known = zones.get(availability_zone);
    const available_in_ms = tracker.availableInMs(now_ms, limits);
    zones.set(availability_zone, {
      available_in_ms: Math.min(
        known?.available_in_ms ?? Infinity,
        available_in_ms,
      ),
      round_pieces: (known?.round_pieces ?? 0) + limits.pieces_per_call,
    });
  }
  const pieces = new Map<string, number>();
  for (const { home_zone, waiting } of jobs) {
    if (home_zone === undefined) continue;
    pieces.set(home_zone, (pieces.get(home_zone) ?? 0) + waiting.length);
  }
  const waits = new Map<string, number>();
  for (const [zone, { available_in_ms, round_pieces }] of zones) {
    const rounds = Math.floor((pieces.get(zone) ?? 0) / (round_pieces + 1));
    waits.set(zone, available_in_ms + rounds * fullCallMs(limits));
  }
  return waits;
}

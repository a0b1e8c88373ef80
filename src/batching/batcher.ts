/**
 * Queues the stage jobs that all hosts send for the pools assigned to this
 * host, batches their pieces and calls the endpoints. Computing a piece twice
 * is harmless, so the assignment needs no consensus: while two hosts batch for
 * one pool, the only cost is that each call holds fewer pieces.
 */
import type { Logger } from "../logging/logger.ts";
import {
  type BatchLimits,
  type RouteEndpoint,
  type RoutePool,
} from "../routes/types.ts";
import { EndpointTracker } from "./endpoint_tracker.ts";
import {
  checkJobAdmission,
  createRefusal,
  findUnservableJobs,
  loadAheadOf,
  reportableWaitMs,
} from "./admit_job.ts";
import { type BrokenCall, recordCrash } from "./crashed_calls.ts";
import type { PoolLoad } from "./expected_wait.ts";
import { endpointsOfShard } from "./pool_shards.ts";
import {
  describeFaults,
  PieceCallResultKind,
  type PieceClient,
} from "./piece_call.ts";
import { planCall, type PlannedPieces } from "./plan_call.ts";
import { ResultMemory } from "./result_memory.ts";
import { SharedCall } from "./shared_call.ts";
import {
  countWaitingPieces,
  createPoolQueue,
  createQueuedJob,
  hasWaitingPieces,
  isWorthCalling,
  type PoolQueue,
  type QueuedJob,
  readyTrackers,
  zoneWaits,
} from "./pool_queue.ts";
import {
  ENDPOINTS_CRASH,
  type FreedResults,
  type JobOutcome,
  JobOutcomeKind,
  type Piece,
  PieceFault,
  type PieceResponse,
  type StageJob,
  type StageResult,
} from "./types.ts";

/** Dependencies of a `Batcher`. */
export interface BatcherOptions {
  /** The pool of this name; undefined if it is not configured. */
  pool: (name: string) => RoutePool | undefined;
  /** The endpoints of a pool, leaving ones included. */
  endpoints: (pool: string) => readonly RouteEndpoint[];
  /** Time for which an endpoint itself wants no calls, in milliseconds. */
  pauseMs: (endpoint: RouteEndpoint) => number;
  client: PieceClient;
  /** Frees results through the batcher that accounts for their memory. */
  freeAtBatcher: (freed: FreedResults) => void;
  /**
   * Reports a call that its endpoint broke off; resolves to whether the endpoint
   * has crashed.
   */
  hasCrashed: (call: BrokenCall) => Promise<boolean>;
  /** Called when endpoints have computed all pieces of a job. */
  onCompleted: (job: StageJob) => void;
  /** Receives how long a call went on for nobody, in milliseconds. */
  onUnwantedCall: (unwanted_ms: number) => void;
  log: Logger;
  /** Monotonic time in milliseconds. */
  now: () => number;
}

/**
 * Retries before a job fails, as an average over its pieces: a job of n pieces
 * fails at the first failure beyond 4n.
 */
const MAX_RETRIES_PER_PIECE = 4;
/**
 * Delay before a full endpoint is called again, and before the next dispatch
 * while pieces are waiting.
 */
const RETRY_DELAY_MS = 40;
/** Minimum time between a dispatch that starts no call and the next one. */
const MIN_IDLE_DISPATCH_INTERVAL_MS = 10;
/** Interval at which waiting jobs are checked against the load. */
const REVIEW_INTERVAL_MS = 100;
const CANCELLED: JobOutcome = {
  kind: JobOutcomeKind.Failed,
  reason: "cancelled",
};

/** Batches and runs the stage jobs of the pools assigned to this host. */
export class Batcher {
  #queues = new Map<string, PoolQueue>();
  #memory: ResultMemory;
  #options: BatcherOptions;
  #draining = false;

  constructor(options: BatcherOptions) {
    this.#options = options;
    this.#memory = new ResultMemory({
      ...options,
      onFreed: (queue) => this.#dispatchSoon(queue),
    });
  }

  /**
   * Runs a job sent by another host. While this host drains, the job is handed
   * back so that the sender picks another batcher.
   */
  runForPeer(job: StageJob, signal: AbortSignal): Promise<JobOutcome> {
    if (this.#draining) {
      return Promise.resolve({ kind: JobOutcomeKind.HandedBack });
    }
    return this.run(job, signal);
  }

  /**
   * Runs a job of this host, also while it drains. The job fails with reason
   * `cancelled` when the signal aborts.
   */
  run(job: StageJob, signal: AbortSignal): Promise<JobOutcome> {
    const limits = this.#options.pool(job.pool)?.batch;
    if (limits === undefined) {
      return Promise.resolve({
        kind: JobOutcomeKind.Failed,
        reason: "unknown_pool",
      });
    }
    const queue = this.#queueOf(job);
    if (signal.aborted) return Promise.resolve(CANCELLED);
    const refusal = this.#checkAdmission(job, queue, limits);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise((resolve) => {
      const now_ms = this.#options.now();
      const queued = createQueuedJob(job, now_ms, resolve);
      queue.rates.recordArrival(
        job.pieces.length,
        countWaitingPieces(queue.jobs),
        now_ms,
      );
      queue.jobs.add(queued);
      signal.addEventListener(
        "abort",
        () => this.#finishJob(queued, queue, CANCELLED),
      );
      this.#dispatchSoon(queue);
    });
  }

  /**
   * Frees results at one address. Those marked `spare` are freed only when the
   * endpoint runs short of memory.
   */
  free(freed: FreedResults): void {
    this.#memory.free(this.#queueOf(freed), freed);
  }

  /** Hands back jobs that have not started and accepts none from peers. */
  drain(): void {
    this.#draining = true;
    for (const queue of this.#queues.values()) {
      for (const queued of queue.jobs) {
        if (queued.waiting.length < queued.job.pieces.length) continue;
        this.#finishJob(queued, queue, { kind: JobOutcomeKind.HandedBack });
      }
    }
  }

  /** Number of jobs that are queued or running. */
  get activeJobs(): number {
    let jobs = 0;
    for (const queue of this.#queues.values()) jobs += queue.jobs.size;
    return jobs;
  }

  /** Dispatches again after the set or the state of endpoints has changed. */
  endpointsChanged(): void {
    for (const queue of this.#queues.values()) this.#dispatchSoon(queue);
  }

  #queueOf({ pool, shard }: { pool: string; shard?: string }): PoolQueue {
    const key = shard === undefined ? pool : `${pool}/${shard}`;
    const known = this.#queues.get(key);
    if (known !== undefined) return known;
    const created = createPoolQueue({ pool, shard }, this.#options.now());
    this.#queues.set(key, created);
    return created;
  }

  #checkAdmission(
    job: StageJob,
    queue: PoolQueue,
    limits: BatchLimits,
  ): JobOutcome | undefined {
    const load = this.#loadAheadOf(job, queue);
    const refusal = checkJobAdmission(job, load, limits);
    if (refusal === undefined) return undefined;
    this.#options.log.info({
      event: "job_refused",
      attempt: job.attempt_id,
      pool: job.pool,
      shard: job.shard,
      pieces: job.pieces.length,
      ...load,
      expected_ms: Math.round(refusal.expected_ms),
      expires_in_ms: Math.round(job.expires_in_ms),
    });
    return refusal.outcome;
  }

  #loadAheadOf(job: StageJob, queue: PoolQueue): PoolLoad {
    const now_ms = this.#options.now();
    return loadAheadOf(job, queue, {
      ready: this.#readyTrackers(queue),
      now_ms,
    });
  }

  #readyTrackers(queue: PoolQueue): EndpointTracker[] {
    const { endpoints, pauseMs, now } = this.#options;
    const ofShard = endpointsOfShard(endpoints(queue.pool), queue.shard);
    const trackers = readyTrackers(queue, ofShard);
    for (const tracker of trackers) {
      const pause_ms = pauseMs(tracker.endpoint);
      tracker.pauseUntil(pause_ms > 0 ? now() + pause_ms : -Infinity);
    }
    return trackers;
  }

  /** Dispatches now, or after a short delay if the last one started no call. */
  #dispatchSoon(queue: PoolQueue): void {
    if (queue.jobs.size === 0) return;
    const elapsed_ms = this.#options.now() - queue.last_idle_dispatch_ms;
    this.#dispatchWithin(
      queue,
      Math.max(0, MIN_IDLE_DISPATCH_INTERVAL_MS - elapsed_ms),
    );
  }

  /** Dispatches after `wait_ms` at the latest; now if it is 0. */
  #dispatchWithin(queue: PoolQueue, wait_ms: number): void {
    if (wait_ms <= 0) return this.#dispatch(queue);
    const at_ms = this.#options.now() + wait_ms;
    if (queue.timer_due_ms <= at_ms) return;
    clearTimeout(queue.timer);
    queue.timer_due_ms = at_ms;
    queue.timer = setTimeout(() => this.#dispatch(queue), wait_ms);
  }

  #dispatch(queue: PoolQueue): void {
    clearTimeout(queue.timer);
    queue.timer_due_ms = Infinity;
    const limits = this.#options.pool(queue.pool)?.batch;
    if (limits === undefined) return;
    const now_ms = this.#options.now();
    this.#dropExpired(queue, now_ms);
    this.#refuseUnservable(queue, { limits, now_ms });
    if (queue.jobs.size === 0) return;
    if (!this.#startCalls(queue, { limits, now_ms })) {
      queue.last_idle_dispatch_ms = now_ms;
    }
    // Endpoints leave backoff and jobs give up waiting for their home zone as
    // time passes, without an event that would trigger a dispatch.
    if (hasWaitingPieces(queue)) {
      this.#dispatchWithin(queue, RETRY_DELAY_MS);
    }
  }

  /** Starts all calls that can begin now; returns whether any was started. */
  #startCalls(
    queue: PoolQueue,
    { limits, now_ms }: { limits: BatchLimits; now_ms: number },
  ): boolean {
    const ready = this.#readyTrackers(queue);
    const available = ready.filter((tracker) =>
      tracker.canStartCall(now_ms, limits)
    )
      .sort((a, b) => a.slowness - b.slowness);
    if (available.length === 0 || !hasWaitingPieces(queue)) return false;
    const zone_wait_ms = zoneWaits(ready, queue.jobs, { limits, now_ms });
    let started = false;
    for (const tracker of available) {
      if (!isWorthCalling(tracker, ready, queue.jobs, { limits, now_ms })) {
        continue;
      }
      const planned = planCall(queue.jobs, {
        availability_zone: tracker.endpoint.availability_zone,
        free_result_bytes: tracker.freeResultBytes(now_ms, limits),
        slowness: tracker.slowness,
      }, { now_ms, limits, zone_wait_ms });
      if (planned.length === 0) continue;
      started = true;
      void this.#runCall(queue, { tracker, planned, limits });
    }
    return started;
  }

  #dropExpired(queue: PoolQueue, now_ms: number): void {
    for (const queued of queue.jobs) {
      if (queued.expires_ms > now_ms) continue;
      this.#finishJob(queued, queue, {
        kind: JobOutcomeKind.Failed,
        reason: "expired",
      });
    }
  }

  /** Refuses waiting jobs that a burst of jobs on time leaves no room for. */
  #refuseUnservable(
    queue: PoolQueue,
    { limits, now_ms }: { limits: BatchLimits; now_ms: number },
  ): void {
    if (now_ms - queue.last_review_ms < REVIEW_INTERVAL_MS) return;
    queue.last_review_ms = now_ms;
    const [first] = queue.jobs;
    if (first === undefined) return;
    const load = this.#loadAheadOf(first.job, queue);
    for (const queued of findUnservableJobs(queue, load, { limits, now_ms })) {
      this.#options.log.info({
        event: "job_given_up",
        attempt: queued.job.attempt_id,
        pool: queue.pool,
        shard: queue.shard,
        ...load,
        expires_in_ms: Math.round(queued.expires_ms - now_ms),
      });
      this.#finishJob(queued, queue, createRefusal(load, limits));
    }
  }

  async #runCall(
    queue: PoolQueue,
    { tracker, planned, limits }: {
      tracker: EndpointTracker;
      planned: PlannedPieces<QueuedJob>[];
      limits: BatchLimits;
    },
  ): Promise<void> {
    const { now, client, log } = this.#options;
    const started_ms = now();
    queue.rates.recordCall(
      planned.reduce((sum, { pieces }) => sum + pieces, 0),
      countWaitingPieces(queue.jobs),
      started_ms,
    );
    const batch = planned.flatMap(({ job: queued, pieces }) =>
      queued.waiting.splice(0, pieces).map((piece) => ({ queued, piece }))
    );
    const bytes = batch.reduce(
      (sum, { queued }) => sum + queued.result_bytes,
      0,
    );
    tracker.startCall(
      { bytes, pieces: batch.length, now_ms: started_ms },
      limits,
    );
    this.#memory.offerInputs(planned, limits);
    this.#memory.freeIfShort(queue, tracker);
    const call = new SharedCall(planned.map(({ job }) => job), now);
    const result = await client.call(
      tracker.endpoint,
      batch.map(({ queued, piece }) => ({
        ...piece,
        attempt_id: queued.job.attempt_id,
        stage: queued.job.stage,
        remaining_ms: Math.max(1, Math.round(queued.expires_ms - started_ms)),
      })),
      {
        timeout_ms: tracker.callTimeoutMs(batch.length, limits),
        signal: call.signal,
      },
    );
    call.end();
    const now_ms = now();
    const elapsed_ms = now_ms - started_ms;
    log.info({
      event: "stage_call",
      pool: queue.pool,
      shard: queue.shard,
      endpoint: tracker.endpoint.id,
      zone: tracker.endpoint.availability_zone,
      pieces: batch.length,
      jobs: planned.length,
      waiting: countWaitingPieces(queue.jobs),
      room_bytes: tracker.freeResultBytes(now_ms, limits),
      slowness: Number(tracker.slowness.toFixed(2)),
      elapsed_ms: Math.round(elapsed_ms),
      outcome: result.kind,
      reason: result.kind === PieceCallResultKind.Failed
        ? result.reason
        : undefined,
      faults: describeFaults(result),
      unwanted_ms: call.unwantedMs === undefined
        ? undefined
        : Math.round(call.unwantedMs),
    });
    if (call.unwantedMs !== undefined) {
      this.#options.onUnwantedCall(call.unwantedMs);
    }
    if (result.rate_limit !== undefined) {
      tracker.recordRateLimit(result.rate_limit);
    }
    switch (result.kind) {
      case PieceCallResultKind.Answered:
        tracker.recordAnswer(now_ms);
        tracker.completeCall(
          { bytes, pieces: batch.length, elapsed_ms },
          limits,
        );
        batch.forEach((each, index) =>
          this.#handlePieceResponse(
            { ...each, queue, tracker, limits },
            result.responses[index],
          )
        );
        break;
      case PieceCallResultKind.Full:
        tracker.recordAnswer(now_ms);
        tracker.rejectCall(bytes, now_ms + RETRY_DELAY_MS);
        for (const { queued, piece } of batch) queued.waiting.unshift(piece);
        break;
      case PieceCallResultKind.TimedOut:
        tracker.timeOutCall({ bytes, pieces: batch.length, elapsed_ms }, {
          limits,
          now_ms,
        });
        for (const { queued, piece } of batch) {
          this.#retryPiece(queued, piece, queue);
        }
        break;
      case PieceCallResultKind.Cancelled:
        tracker.cancelCall({ bytes }, { limits, now_ms });
        break;
      case PieceCallResultKind.Failed:
        tracker.failCall({ bytes, pieces: batch.length, elapsed_ms }, {
          limits,
          now_ms,
        });
        if (result.broken === true) {
          await this.#recordBrokenCall(queue, {
            endpoint: tracker.endpoint,
            jobs: planned.map(({ job }) => job),
            sent_ms: started_ms,
          });
        }
        for (const { queued, piece } of batch) {
          this.#retryPiece(queued, piece, queue);
        }
        break;
    }
    this.#dispatchWithin(queue, 0);
  }

  /** Finds out whether the endpoint has crashed, and limits what its jobs may do. */
  async #recordBrokenCall(queue: PoolQueue, call: BrokenCall): Promise<void> {
    if (!await this.#options.hasCrashed(call)) return;
    for (const queued of recordCrash(call.jobs)) {
      this.#finishJob(queued, queue, {
        kind: JobOutcomeKind.Failed,
        reason: ENDPOINTS_CRASH,
      });
    }
  }

  #handlePieceResponse(
    { queued, piece, queue, tracker, limits }: {
      queued: QueuedJob;
      piece: Piece;
      queue: PoolQueue;
      tracker: EndpointTracker;
      limits: BatchLimits;
    },
    response: PieceResponse | undefined,
  ): void {
    if (response === undefined) return this.#retryPiece(queued, piece, queue);
    if (response.ok) {
      const { handle } = response;
      const { address, availability_zone } = tracker.endpoint;
      tracker.addResult(handle, {
        bytes: queued.result_bytes,
        expires_ms: this.#options.now() + limits.retention_ms,
      });
      if (queued.ended) {
        this.#memory.free(queue, {
          pool: queue.pool,
          address,
          handles: [handle],
        });
        return;
      }
      const index = queued.job.pieces.indexOf(piece);
      queued.results[index] = { handle, address, availability_zone };
      queued.unfinished -= 1;
      if (queued.unfinished > 0) return;
      const results = queued.results as StageResult[];
      for (const freed of queued.job.last_read) {
        this.#options.freeAtBatcher(freed);
      }
      const load = this.#loadAheadOf(queued.job, queue);
      const wait_ms = reportableWaitMs(load, limits);
      this.#options.onCompleted(queued.job);
      this.#finishJob(queued, queue, {
        kind: JobOutcomeKind.Completed,
        results,
        wait_ms,
      });
      return;
    }
    switch (response.fault) {
      case PieceFault.DeadlinePassed:
        return this.#finishJob(queued, queue, {
          kind: JobOutcomeKind.Failed,
          reason: "expired",
        });
      case PieceFault.InputsGone:
        return this.#finishJob(queued, queue, {
          kind: JobOutcomeKind.InputsGone,
        });
      case PieceFault.OutOfMemory:
        tracker.addUntrackedResult(queued.result_bytes, this.#options.now());
        queued.waiting.unshift(piece);
        return;
      case PieceFault.Error:
        return this.#retryPiece(queued, piece, queue);
    }
  }

  #retryPiece(queued: QueuedJob, piece: Piece, queue: PoolQueue): void {
    queued.failures += 1;
    if (queued.failures <= MAX_RETRIES_PER_PIECE * queued.job.pieces.length) {
      queued.waiting.unshift(piece);
      return;
    }
    this.#finishJob(queued, queue, {
      kind: JobOutcomeKind.Failed,
      reason: "endpoints_fail",
    });
  }

  /** Resolves a job; unless it completed, frees the results it has so far. */
  #finishJob(queued: QueuedJob, queue: PoolQueue, outcome: JobOutcome): void {
    if (queued.ended) return;
    queued.ended = true;
    queue.jobs.delete(queued);
    for (const call of queued.calls) call.leave(queued);
    queued.waiting = [];
    if (outcome.kind !== JobOutcomeKind.Completed) {
      for (const result of queued.results) {
        if (result === undefined) continue;
        const { address, handle } = result;
        this.#memory.free(queue, {
          pool: queue.pool,
          address,
          handles: [handle],
        });
      }
    }
    queued.resolve(outcome);
  }
}

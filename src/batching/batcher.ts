/**
 * Batches pieces of all hosts for the pools that this host looks after, and
 * makes the calls. A piece may be made again, so looking after a pool is for
 * speed alone: two batchers for a moment cost half-empty calls, nothing else.
 */
import type { Logger } from "../logging/logger.ts";
import {
  type BatchLimits,
  type RouteEndpoint,
  type RoutePool,
} from "../routes/types.ts";
import { EndpointTracker } from "./endpoint_tracker.ts";
import { loadAheadOf, refuseLateJob, reportableWaitMs } from "./admit_job.ts";
import type { PoolLoad } from "./expected_wait.ts";
import { endpointsOfShard } from "./pool_shards.ts";
import { planCall, type PlannedShare } from "./plan_call.ts";
import {
  countWaitingPieces,
  createQueuedJob,
  hasWaitingPieces,
  isWorthCalling,
  type PoolQueue,
  type QueuedJob,
  readyTrackers,
  trackerAt,
  zoneWaits,
} from "./pool_queue.ts";
import {
  type FreedResults,
  type JobOutcome,
  JobOutcomeKind,
  type Piece,
  PieceFault,
  type PieceRequest,
  type PieceResponse,
  type StageJob,
  type StageResult,
} from "./types.ts";

/** How a call to an endpoint ended. */
export type PieceCallResult =
  | { kind: PieceCallResultKind.Answered; answers: PieceResponse[] }
  /** The endpoint said that it is full. */
  | { kind: PieceCallResultKind.Full }
  | { kind: PieceCallResultKind.Failed; reason: string };

/** The ways in which a call ends. */
export enum PieceCallResultKind {
  Answered = "answered",
  Full = "full",
  Failed = "failed",
}

/** Makes the calls that the batcher decides on. */
export interface PieceClient {
  call(
    endpoint: RouteEndpoint,
    orders: PieceRequest[],
    timeout_ms: number,
  ): Promise<PieceCallResult>;
  /** Gives results up; failures are logged, since results expire anyway. */
  free(address: string, handles: string[]): void;
}

/** What the batcher needs. */
export interface BatcherOptions {
  pool: (name: string) => RoutePool | undefined;
  endpoints: (pool: string) => readonly RouteEndpoint[];
  client: PieceClient;
  /** Gives up results of other pools, wherever they are counted. */
  freeAtOwner: (freed: FreedResults) => void;
  log: Logger;
  /** Milliseconds of the steady clock. */
  now: () => number;
}

/** How often a piece is tried before its job fails. */
const MAX_RETRIES_PER_PIECE = 4;
/** How soon an endpoint that was full, or had no room, is asked again. */
const RETRY_DELAY_WHEN_FULL_MS = 40;
/** Least pause between two looks at the queue that place nothing. */
const MIN_IDLE_DISPATCH_INTERVAL_MS = 10;
/** Reading inputs may share its links with other reads, and starts late. */
const INPUT_READ_TIME_FACTOR = 2;
const INPUT_READ_MARGIN_MS = 40;

/** See the module's comment. */
export class Batcher {
  #pools = new Map<string, PoolQueue>();
  #options: BatcherOptions;
  #draining = false;

  constructor(options: BatcherOptions) {
    this.#options = options;
  }

  /** Makes all pieces of another host's job; a leaving host hands it back. */
  runForPeer(job: StageJob, signal: AbortSignal): Promise<JobOutcome> {
    if (this.#draining) {
      return Promise.resolve({ kind: JobOutcomeKind.HandedBack });
    }
    return this.run(job, signal);
  }

  /** Makes all pieces of a job; dropped when the signal fires. */
  run(job: StageJob, signal: AbortSignal): Promise<JobOutcome> {
    const limits = this.#options.pool(job.pool)?.batch;
    if (limits === undefined) {
      return Promise.resolve({
        kind: JobOutcomeKind.Failed,
        reason: "unknown_pool",
      });
    }
    const work = this.#queueOf(job);
    const refusal = this.#refuseLateJob(job, work, limits);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise((resolve) => {
      const queued = createQueuedJob(job, this.#options.now(), resolve);
      work.jobs.add(queued);
      signal.addEventListener("abort", () => {
        this.#finishJob(queued, work, {
          kind: JobOutcomeKind.Failed,
          reason: "cancelled",
        });
      });
      this.#dispatchSoon(work);
    });
  }

  /** Gives up results at one address, or lets them be given up. */
  free({ pool, shard, address, handles, spare }: FreedResults): void {
    const work = this.#queueOf({ pool, shard });
    const calls = trackerAt(work, address);
    if (spare === true) {
      for (const handle of handles) calls?.markEvictable(handle);
      if (calls !== undefined) this.#freeEvictable(work, calls);
    } else {
      for (const handle of handles) calls?.removeResult(handle);
      this.#options.client.free(address, handles);
    }
    this.#dispatchSoon(work);
  }

  #freeEvictable(work: PoolQueue, calls: EndpointTracker): void {
    const limits = this.#options.pool(work.pool)?.batch;
    if (limits === undefined) return;
    const handles = calls.evict(this.#options.now(), limits);
    if (handles.length === 0) return;
    this.#options.client.free(calls.endpoint.address, handles);
  }

  /** Hands back the jobs that are not begun, and takes no more. */
  drain(): void {
    this.#draining = true;
    for (const work of this.#pools.values()) {
      for (const queued of work.jobs) {
        if (queued.waiting.length < queued.job.pieces.length) continue;
        this.#finishJob(queued, work, { kind: JobOutcomeKind.HandedBack });
      }
    }
  }

  /** Jobs that wait or are being made. */
  get activeJobs(): number {
    let jobs = 0;
    for (const work of this.#pools.values()) jobs += work.jobs.size;
    return jobs;
  }

  /** Takes note that endpoints have changed. */
  endpointsChanged(): void {
    for (const work of this.#pools.values()) this.#dispatchSoon(work);
  }

  #queueOf({ pool, shard }: { pool: string; shard?: string }): PoolQueue {
    const key = shard === undefined ? pool : `${pool}/${shard}`;
    const known = this.#pools.get(key);
    if (known !== undefined) return known;
    const created: PoolQueue = {
      pool,
      shard,
      jobs: new Set(),
      trackers: new Map(),
      timer: undefined,
      timer_due_ms: Infinity,
      last_idle_dispatch_ms: -Infinity,
    };
    this.#pools.set(key, created);
    return created;
  }

  #refuseLateJob(
    job: StageJob,
    work: PoolQueue,
    limits: BatchLimits,
  ): JobOutcome | undefined {
    const load = this.#loadAheadOf(job, work);
    const refusal = refuseLateJob(job, load, limits);
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

  #loadAheadOf(job: StageJob, work: PoolQueue): PoolLoad {
    const now_ms = this.#options.now();
    return loadAheadOf(job, work, { ready: this.#readyTrackers(work), now_ms });
  }

  #readyTrackers(work: PoolQueue): EndpointTracker[] {
    const ofPool = this.#options.endpoints(work.pool);
    return readyTrackers(work, endpointsOfShard(ofPool, work.shard));
  }

  /** Dispatches now, or soon if a moment ago there was nothing to place. */
  #dispatchSoon(work: PoolQueue): void {
    if (work.jobs.size === 0) return;
    const since_ms = this.#options.now() - work.last_idle_dispatch_ms;
    this.#dispatchWithin(
      work,
      Math.max(0, MIN_IDLE_DISPATCH_INTERVAL_MS - since_ms),
    );
  }

  #dispatchWithin(work: PoolQueue, wait_ms: number): void {
    if (wait_ms <= 0) return this.#dispatch(work);
    const at_ms = this.#options.now() + wait_ms;
    if (work.timer_due_ms <= at_ms) return;
    clearTimeout(work.timer);
    work.timer_due_ms = at_ms;
    work.timer = setTimeout(() => this.#dispatch(work), wait_ms);
  }

  #dispatch(work: PoolQueue): void {
    clearTimeout(work.timer);
    work.timer_due_ms = Infinity;
    const limits = this.#options.pool(work.pool)?.batch;
    if (limits === undefined) return;
    const now_ms = this.#options.now();
    this.#dropExpired(work, now_ms);
    if (work.jobs.size === 0) return;
    if (!this.#startCalls(work, { limits, now_ms })) {
      work.last_idle_dispatch_ms = now_ms;
    }
    // Rests end, and zones are left: look again while something waits.
    if (hasWaitingPieces(work)) {
      this.#dispatchWithin(work, RETRY_DELAY_WHEN_FULL_MS);
    }
  }

  /** Makes the calls that can begin now; false if there are none. */
  #startCalls(
    work: PoolQueue,
    { limits, now_ms }: { limits: BatchLimits; now_ms: number },
  ): boolean {
    const ready = this.#readyTrackers(work);
    const free = ready.filter((calls) => calls.hasFreeSlot(now_ms, limits))
      .sort((a, b) => a.slowness - b.slowness);
    if (free.length === 0 || !hasWaitingPieces(work)) return false;
    const zoneWait_ms = zoneWaits(ready, work.jobs, { limits, now_ms });
    let placed = false;
    for (const calls of free) {
      if (!isWorthCalling(calls, ready, work.jobs, { limits, now_ms })) {
        continue;
      }
      const shares = planCall(work.jobs, {
        availability_zone: calls.endpoint.availability_zone,
        free_result_bytes: calls.freeResultBytes(now_ms, limits),
        slowness: calls.slowness,
      }, { now_ms, limits, zone_wait_ms: zoneWait_ms });
      if (shares.length === 0) continue;
      placed = true;
      void this.#runCall(work, { calls, shares, limits });
    }
    return placed;
  }

  #dropExpired(work: PoolQueue, now_ms: number): void {
    for (const queued of work.jobs) {
      if (queued.expires_ms > now_ms) continue;
      this.#finishJob(queued, work, {
        kind: JobOutcomeKind.Failed,
        reason: "expired",
      });
    }
  }

  async #runCall(
    work: PoolQueue,
    { calls, shares, limits }: {
      calls: EndpointTracker;
      shares: PlannedShare<QueuedJob>[];
      limits: BatchLimits;
    },
  ): Promise<void> {
    const { now, client: caller, log } = this.#options;
    const began_ms = now();
    const taken = shares.flatMap(({ job: queued, pieces }) =>
      queued.waiting.splice(0, pieces).map((piece) => ({ queued, piece }))
    );
    const bytes = taken.reduce(
      (sum, { queued }) => sum + queued.result_bytes,
      0,
    );
    calls.startCall({ bytes, pieces: taken.length, now_ms: began_ms }, limits);
    this.#scheduleInputEviction(shares, limits);
    this.#freeEvictable(work, calls);
    const result = await caller.call(
      calls.endpoint,
      taken.map(({ queued, piece }) => ({
        ...piece,
        attempt_id: queued.job.attempt_id,
        stage: queued.job.stage,
        remaining_ms: Math.max(1, Math.round(queued.expires_ms - began_ms)),
      })),
      calls.callTimeoutMs(taken.length, limits),
    );
    const now_ms = now();
    const elapsed_ms = now_ms - began_ms;
    log.info({
      event: "stage_call",
      pool: work.pool,
      shard: work.shard,
      endpoint: calls.endpoint.id,
      zone: calls.endpoint.availability_zone,
      pieces: taken.length,
      jobs: shares.length,
      waiting: countWaitingPieces(work.jobs),
      room_bytes: calls.freeResultBytes(now_ms, limits),
      slowness: Number(calls.slowness.toFixed(2)),
      elapsed_ms: Math.round(elapsed_ms),
      outcome: result.kind,
      reason: result.kind === PieceCallResultKind.Failed
        ? result.reason
        : undefined,
    });
    switch (result.kind) {
      case PieceCallResultKind.Answered:
        calls.completeCall({ bytes, pieces: taken.length, elapsed_ms }, limits);
        taken.forEach((each, index) =>
          this.#handlePieceResponse(
            { ...each, work, calls, limits },
            result.answers[index],
          )
        );
        break;
      case PieceCallResultKind.Full:
        calls.rejectCall(bytes, now_ms + RETRY_DELAY_WHEN_FULL_MS);
        for (const { queued, piece } of taken) queued.waiting.unshift(piece);
        break;
      case PieceCallResultKind.Failed:
        calls.failCall({ bytes, pieces: taken.length, elapsed_ms }, {
          limits,
          now_ms,
        });
        for (const { queued, piece } of taken) {
          this.#retryPiece(queued, piece, work);
        }
        break;
    }
    this.#dispatchWithin(work, 0);
  }

  /** Lets inputs be given up once the endpoint has had time to read them. */
  #scheduleInputEviction(
    shares: PlannedShare<QueuedJob>[],
    limits: BatchLimits,
  ): void {
    const bytes = shares.reduce(
      (sum, { job, pieces }) => sum + pieces * job.job.input_bytes,
      0,
    );
    const read_ms = INPUT_READ_TIME_FACTOR * bytes / limits.link_bytes_per_ms +
      INPUT_READ_MARGIN_MS;
    const whole = shares.map(({ job }) => job)
      .filter(({ job, waiting }) =>
        waiting.length === 0 && job.last_read.length > 0
      );
    if (whole.length === 0) return;
    setTimeout(() => {
      for (const { job, waiting, ended } of whole) {
        if (waiting.length > 0 || ended) continue;
        for (const freed of job.last_read) {
          this.#options.freeAtOwner({ ...freed, spare: true });
        }
      }
    }, read_ms);
  }

  #handlePieceResponse(
    { queued, piece, work, calls, limits }: {
      queued: QueuedJob;
      piece: Piece;
      work: PoolQueue;
      calls: EndpointTracker;
      limits: BatchLimits;
    },
    answer: PieceResponse | undefined,
  ): void {
    if (answer === undefined) return this.#retryPiece(queued, piece, work);
    if (answer.ok) {
      const { handle } = answer;
      const { address, availability_zone } = calls.endpoint;
      calls.addResult(handle, {
        bytes: queued.result_bytes,
        expires_ms: this.#options.now() + limits.retention_ms,
      });
      if (queued.ended) {
        calls.removeResult(handle);
        this.#options.client.free(address, [handle]);
        return;
      }
      const place = queued.job.pieces.indexOf(piece);
      queued.results[place] = { handle, address, availability_zone };
      queued.unfinished -= 1;
      if (queued.unfinished > 0) return;
      const results = queued.results as StageResult[];
      for (const freed of queued.job.last_read) {
        this.#options.freeAtOwner(freed);
      }
      const load = this.#loadAheadOf(queued.job, work);
      const wait_ms = reportableWaitMs(load, limits);
      this.#finishJob(queued, work, {
        kind: JobOutcomeKind.Completed,
        results,
        wait_ms,
      });
      return;
    }
    switch (answer.fault) {
      case PieceFault.DeadlinePassed:
        return this.#finishJob(queued, work, {
          kind: JobOutcomeKind.Failed,
          reason: "expired",
        });
      case PieceFault.InputsGone:
        return this.#finishJob(queued, work, {
          kind: JobOutcomeKind.InputsGone,
        });
      case PieceFault.OutOfMemory:
        calls.addUntrackedResult(queued.result_bytes, this.#options.now());
        queued.waiting.unshift(piece);
        return;
      case PieceFault.Error:
        return this.#retryPiece(queued, piece, work);
    }
  }

  #retryPiece(queued: QueuedJob, piece: Piece, work: PoolQueue): void {
    queued.failures += 1;
    if (queued.failures <= MAX_RETRIES_PER_PIECE * queued.job.pieces.length) {
      queued.waiting.unshift(piece);
      return;
    }
    this.#finishJob(queued, work, {
      kind: JobOutcomeKind.Failed,
      reason: "endpoints_fail",
    });
  }

  /** Ends a job; results that nobody will read are given up. */
  #finishJob(queued: QueuedJob, work: PoolQueue, outcome: JobOutcome): void {
    if (queued.ended) return;
    queued.ended = true;
    work.jobs.delete(queued);
    queued.waiting = [];
    if (outcome.kind !== JobOutcomeKind.Completed) {
      for (const result of queued.results) {
        if (result === undefined) continue;
        const { address, handle } = result;
        this.free({ ...work, address, handles: [handle] });
      }
    }
    queued.resolve(outcome);
  }
}

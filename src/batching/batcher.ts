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
import { EndpointCalls } from "./endpoint_calls.ts";
import { loadBefore, refuseLateJob, waitToTell } from "./admit_job.ts";
import type { PoolLoad } from "./expected_wait.ts";
import { endpointsOfShard } from "./pool_shards.ts";
import { planCall, type PlannedShare } from "./plan_call.ts";
import {
  createQueuedJob,
  endpointAt,
  hasWaiting,
  type PoolWork,
  type QueuedJob,
  readyEndpoints,
  waitingPieces,
  worthUsing,
  zoneWaits,
} from "./pool_work.ts";
import {
  type FreedResults,
  JobEnd,
  type JobOutcome,
  type Piece,
  type PieceAnswer,
  PieceFault,
  type PieceOrder,
  type StageJob,
  type StageResult,
} from "./types.ts";

/** How a call to an endpoint ended. */
export type PieceCallResult =
  | { kind: PieceCallEnd.Answered; answers: PieceAnswer[] }
  /** The endpoint said that it is full. */
  | { kind: PieceCallEnd.Full }
  | { kind: PieceCallEnd.Failed; reason: string };

/** The ways in which a call ends. */
export enum PieceCallEnd {
  Answered = "answered",
  Full = "full",
  Failed = "failed",
}

/** Makes the calls that the batcher decides on. */
export interface PieceCaller {
  make(
    endpoint: RouteEndpoint,
    orders: PieceOrder[],
    timeout_ms: number,
  ): Promise<PieceCallResult>;
  /** Gives results up; failures are logged, since results expire anyway. */
  free(address: string, handles: string[]): void;
}

/** What the batcher needs. */
export interface BatcherOptions {
  pool: (name: string) => RoutePool | undefined;
  endpoints: (pool: string) => readonly RouteEndpoint[];
  caller: PieceCaller;
  /** Gives up results of other pools, wherever they are counted. */
  release: (freed: FreedResults) => void;
  log: Logger;
  /** Milliseconds of the steady clock. */
  now: () => number;
}

/** How often a piece is tried before its job fails. */
const MOST_TRIES = 4;
/** How soon an endpoint that was full, or had no room, is asked again. */
const FULL_RETRY_MS = 40;
/** Least pause between two looks at the queue that place nothing. */
const IN_VAIN_MS = 10;
/** Reading inputs may share its links with other reads, and starts late. */
const READ_TIMES = 2;
const READ_EXTRA_MS = 40;

/** See the module's comment. */
export class Batcher {
  #pools = new Map<string, PoolWork>();
  #options: BatcherOptions;
  #leaving = false;

  constructor(options: BatcherOptions) {
    this.#options = options;
  }

  /** Makes all pieces of another host's job; a leaving host hands it back. */
  run(job: StageJob, signal: AbortSignal): Promise<JobOutcome> {
    if (this.#leaving) return Promise.resolve({ kind: JobEnd.HandedBack });
    return this.runOwn(job, signal);
  }

  /** Makes all pieces of a job; dropped when the signal fires. */
  runOwn(job: StageJob, signal: AbortSignal): Promise<JobOutcome> {
    const limits = this.#options.pool(job.pool)?.batch;
    if (limits === undefined) {
      return Promise.resolve({ kind: JobEnd.Failed, reason: "unknown_pool" });
    }
    const work = this.#workOf(job);
    const refusal = this.#refusal(job, work, limits);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise((resolve) => {
      const queued = createQueuedJob(job, this.#options.now(), resolve);
      work.jobs.add(queued);
      signal.addEventListener("abort", () => {
        this.#end(queued, work, { kind: JobEnd.Failed, reason: "cancelled" });
      });
      this.#dispatchSoon(work);
    });
  }

  /** Gives up results at one address, or lets them be given up. */
  free({ pool, shard, address, handles, spare }: FreedResults): void {
    const work = this.#workOf({ pool, shard });
    const calls = endpointAt(work, address);
    if (spare === true) {
      for (const handle of handles) calls?.offer(handle);
      if (calls !== undefined) this.#freeSpare(work, calls);
    } else {
      for (const handle of handles) calls?.release(handle);
      this.#options.caller.free(address, handles);
    }
    this.#dispatchSoon(work);
  }

  #freeSpare(work: PoolWork, calls: EndpointCalls): void {
    const limits = this.#options.pool(work.pool)?.batch;
    if (limits === undefined) return;
    const handles = calls.takeSpare(this.#options.now(), limits);
    if (handles.length === 0) return;
    this.#options.caller.free(calls.endpoint.address, handles);
  }

  /** Hands back the jobs that are not begun, and takes no more. */
  leave(): void {
    this.#leaving = true;
    for (const work of this.#pools.values()) {
      for (const queued of work.jobs) {
        if (queued.waiting.length < queued.job.pieces.length) continue;
        this.#end(queued, work, { kind: JobEnd.HandedBack });
      }
    }
  }

  /** Jobs that wait or are being made. */
  get running(): number {
    let jobs = 0;
    for (const work of this.#pools.values()) jobs += work.jobs.size;
    return jobs;
  }

  /** Takes note that endpoints have changed. */
  endpointsChanged(): void {
    for (const work of this.#pools.values()) this.#dispatchSoon(work);
  }

  #workOf({ pool, shard }: { pool: string; shard?: string }): PoolWork {
    const key = shard === undefined ? pool : `${pool}/${shard}`;
    const known = this.#pools.get(key);
    if (known !== undefined) return known;
    const created: PoolWork = {
      pool,
      shard,
      jobs: new Set(),
      endpoints: new Map(),
      timer: undefined,
      timer_at_ms: Infinity,
      placedNothing_ms: -Infinity,
    };
    this.#pools.set(key, created);
    return created;
  }

  #refusal(
    job: StageJob,
    work: PoolWork,
    limits: BatchLimits,
  ): JobOutcome | undefined {
    const load = this.#loadBefore(job, work);
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

  #loadBefore(job: StageJob, work: PoolWork): PoolLoad {
    const now_ms = this.#options.now();
    return loadBefore(job, work, { ready: this.#ready(work), now_ms });
  }

  #ready(work: PoolWork): EndpointCalls[] {
    const ofPool = this.#options.endpoints(work.pool);
    return readyEndpoints(work, endpointsOfShard(ofPool, work.shard));
  }

  /** Dispatches now, or soon if a moment ago there was nothing to place. */
  #dispatchSoon(work: PoolWork): void {
    if (work.jobs.size === 0) return;
    const since_ms = this.#options.now() - work.placedNothing_ms;
    this.#dispatchWithin(work, Math.max(0, IN_VAIN_MS - since_ms));
  }

  #dispatchWithin(work: PoolWork, wait_ms: number): void {
    if (wait_ms <= 0) return this.#dispatch(work);
    const at_ms = this.#options.now() + wait_ms;
    if (work.timer_at_ms <= at_ms) return;
    clearTimeout(work.timer);
    work.timer_at_ms = at_ms;
    work.timer = setTimeout(() => this.#dispatch(work), wait_ms);
  }

  #dispatch(work: PoolWork): void {
    clearTimeout(work.timer);
    work.timer_at_ms = Infinity;
    const limits = this.#options.pool(work.pool)?.batch;
    if (limits === undefined) return;
    const now_ms = this.#options.now();
    this.#dropExpired(work, now_ms);
    if (work.jobs.size === 0) return;
    if (!this.#placeWork(work, { limits, now_ms })) {
      work.placedNothing_ms = now_ms;
    }
    // Rests end, and zones are left: look again while something waits.
    if (hasWaiting(work)) this.#dispatchWithin(work, FULL_RETRY_MS);
  }

  /** Makes the calls that can begin now; false if there are none. */
  #placeWork(
    work: PoolWork,
    { limits, now_ms }: { limits: BatchLimits; now_ms: number },
  ): boolean {
    const ready = this.#ready(work);
    const free = ready.filter((calls) => calls.free(now_ms, limits))
      .sort((a, b) => a.slowness - b.slowness);
    if (free.length === 0 || !hasWaiting(work)) return false;
    const zoneWait_ms = zoneWaits(ready, work.jobs, { limits, now_ms });
    let placed = false;
    for (const calls of free) {
      if (!worthUsing(calls, ready, work.jobs, { limits, now_ms })) continue;
      const shares = planCall(work.jobs, {
        availability_zone: calls.endpoint.availability_zone,
        room_bytes: calls.roomBytes(now_ms, limits),
        slowness: calls.slowness,
      }, { now_ms, limits, zoneWait_ms });
      if (shares.length === 0) continue;
      placed = true;
      void this.#call(work, { calls, shares, limits });
    }
    return placed;
  }

  #dropExpired(work: PoolWork, now_ms: number): void {
    for (const queued of work.jobs) {
      if (queued.expires_ms > now_ms) continue;
      this.#end(queued, work, { kind: JobEnd.Failed, reason: "expired" });
    }
  }

  async #call(
    work: PoolWork,
    { calls, shares, limits }: {
      calls: EndpointCalls;
      shares: PlannedShare<QueuedJob>[];
      limits: BatchLimits;
    },
  ): Promise<void> {
    const { now, caller, log } = this.#options;
    const began_ms = now();
    const taken = shares.flatMap(({ job: queued, pieces }) =>
      queued.waiting.splice(0, pieces).map((piece) => ({ queued, piece }))
    );
    const bytes = taken.reduce(
      (sum, { queued }) => sum + queued.result_bytes,
      0,
    );
    calls.begin({ bytes, pieces: taken.length, now_ms: began_ms }, limits);
    this.#offerLater(shares, limits);
    this.#freeSpare(work, calls);
    const result = await caller.make(
      calls.endpoint,
      taken.map(({ queued, piece }) => ({
        ...piece,
        attempt_id: queued.job.attempt_id,
        stage: queued.job.stage,
        remaining_ms: Math.max(1, Math.round(queued.expires_ms - began_ms)),
      })),
      calls.patienceMs(taken.length, limits),
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
      waiting: waitingPieces(work.jobs),
      room_bytes: calls.roomBytes(now_ms, limits),
      slowness: Number(calls.slowness.toFixed(2)),
      elapsed_ms: Math.round(elapsed_ms),
      outcome: result.kind,
      reason: result.kind === PieceCallEnd.Failed ? result.reason : undefined,
    });
    switch (result.kind) {
      case PieceCallEnd.Answered:
        calls.succeed({ bytes, pieces: taken.length, elapsed_ms }, limits);
        taken.forEach((each, index) =>
          this.#settle({ ...each, work, calls, limits }, result.answers[index])
        );
        break;
      case PieceCallEnd.Full:
        calls.turnedAway(bytes, now_ms + FULL_RETRY_MS);
        for (const { queued, piece } of taken) queued.waiting.unshift(piece);
        break;
      case PieceCallEnd.Failed:
        calls.fail({ bytes, pieces: taken.length, elapsed_ms }, {
          limits,
          now_ms,
        });
        for (const { queued, piece } of taken) {
          this.#tryAgain(queued, piece, work);
        }
        break;
    }
    this.#dispatchWithin(work, 0);
  }

  /** Lets inputs be given up once the endpoint has had time to read them. */
  #offerLater(
    shares: PlannedShare<QueuedJob>[],
    limits: BatchLimits,
  ): void {
    const bytes = shares.reduce(
      (sum, { job, pieces }) => sum + pieces * job.job.input_bytes,
      0,
    );
    const read_ms = READ_TIMES * bytes / limits.link_bytes_per_ms +
      READ_EXTRA_MS;
    const whole = shares.map(({ job }) => job)
      .filter(({ job, waiting }) =>
        waiting.length === 0 && job.last_read.length > 0
      );
    if (whole.length === 0) return;
    setTimeout(() => {
      for (const { job, waiting, ended } of whole) {
        if (waiting.length > 0 || ended) continue;
        for (const freed of job.last_read) {
          this.#options.release({ ...freed, spare: true });
        }
      }
    }, read_ms);
  }

  #settle(
    { queued, piece, work, calls, limits }: {
      queued: QueuedJob;
      piece: Piece;
      work: PoolWork;
      calls: EndpointCalls;
      limits: BatchLimits;
    },
    answer: PieceAnswer | undefined,
  ): void {
    if (answer === undefined) return this.#tryAgain(queued, piece, work);
    if (answer.ok) {
      const { handle } = answer;
      const { address, availability_zone } = calls.endpoint;
      calls.hold(handle, {
        bytes: queued.result_bytes,
        until_ms: this.#options.now() + limits.retention_ms,
      });
      if (queued.ended) {
        calls.release(handle);
        this.#options.caller.free(address, [handle]);
        return;
      }
      const place = queued.job.pieces.indexOf(piece);
      queued.results[place] = { handle, address, availability_zone };
      queued.missing -= 1;
      if (queued.missing > 0) return;
      const results = queued.results as StageResult[];
      for (const freed of queued.job.last_read) this.#options.release(freed);
      const load = this.#loadBefore(queued.job, work);
      const wait_ms = waitToTell(load, limits);
      this.#end(queued, work, { kind: JobEnd.Made, results, wait_ms });
      return;
    }
    switch (answer.fault) {
      case PieceFault.Late:
        return this.#end(queued, work, {
          kind: JobEnd.Failed,
          reason: "expired",
        });
      case PieceFault.InputsGone:
        return this.#end(queued, work, { kind: JobEnd.InputsGone });
      case PieceFault.NoRoom:
        calls.foundFull(queued.result_bytes, this.#options.now());
        queued.waiting.unshift(piece);
        return;
      case PieceFault.Error:
        return this.#tryAgain(queued, piece, work);
    }
  }

  #tryAgain(queued: QueuedJob, piece: Piece, work: PoolWork): void {
    queued.tries += 1;
    if (queued.tries <= MOST_TRIES * queued.job.pieces.length) {
      queued.waiting.unshift(piece);
      return;
    }
    this.#end(queued, work, { kind: JobEnd.Failed, reason: "endpoints_fail" });
  }

  /** Ends a job; results that nobody will read are given up. */
  #end(queued: QueuedJob, work: PoolWork, outcome: JobOutcome): void {
    if (queued.ended) return;
    queued.ended = true;
    work.jobs.delete(queued);
    queued.waiting = [];
    if (outcome.kind !== JobEnd.Made) {
      for (const result of queued.results) {
        if (result === undefined) continue;
        const { address, handle } = result;
        this.free({ ...work, address, handles: [handle] });
      }
    }
    queued.end(outcome);
  }
}

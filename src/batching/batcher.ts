/**
 * Queues the stage jobs that all hosts send for the pools assigned to this
 * host, batches their pieces and calls the endpoints. Computing a piece twice
 * is harmless, so the assignment needs no consensus: while two hosts batch for
 * one pool, the only cost is that each call holds fewer pieces.
 */
import {
  type BatchLimits,
  type RouteEndpoint,
  RouteEndpointState,
} from "../routes/types.ts";
import { EVACUATED_RETRY_AFTER_MS } from "../evacuations/types.ts";
import { endpointsOfShard } from "./pool_shards.ts";
import { createRefusal, findUnservableJobs } from "./admit_job.ts";
import { CallRunner, type CallRunnerOptions } from "./call_runner.ts";
import { JobAdmission } from "./job_admission.ts";
import type { PipelineAdmissionOptions } from "./pipeline_admission.ts";
import type { PoolLoadReport } from "./pool_load_report.ts";
import { createFinishJob, type FinishJob } from "./finish_job.ts";
import { planCall } from "./plan_call.ts";
import { QueueLoads, type QueueLoadsOptions } from "./queue_loads.ts";
import { ResultMemory } from "./result_memory.ts";
import {
  countWaitingPieces,
  createPoolQueue,
  createQueuedJob,
  hasWaitingPieces,
  isDueForRetry,
  isWorthCalling,
  type PoolQueue,
  zoneWaits,
} from "./pool_queue.ts";
import {
  type FreedResults,
  type JobOutcome,
  JobOutcomeKind,
  type StageJob,
} from "./types.ts";

/** Dependencies of a `Batcher`. */
export interface BatcherOptions
  extends
    PipelineAdmissionOptions,
    QueueLoadsOptions,
    Pick<
      CallRunnerOptions,
      | "client"
      | "freeAtBatcher"
      | "hasCrashed"
      | "onCompleted"
      | "onUnwantedCall"
      | "log"
      | "now"
    > {
  /** Whether this host has lost nearly all of these endpoints, not so others. */
  isCutOffFrom: (endpoints: readonly RouteEndpoint[]) => boolean;
  /** Whether all zones of a pool are evacuated; never by default. */
  isEvacuated?: (pool: string) => boolean;
}

/** Delay before the next dispatch while pieces are waiting. */
const RETRY_DELAY_MS = 40;
/** Minimum time between a dispatch that starts no call and the next one. */
const MIN_IDLE_DISPATCH_INTERVAL_MS = 10;
/** Interval at which waiting jobs are checked against the load. */
const REVIEW_INTERVAL_MS = 100;
const CANCELLED: JobOutcome = {
  kind: JobOutcomeKind.Failed,
  reason: "cancelled",
};
/** The job's endpoints are out of this host's reach. */
const OUT_OF_REACH: JobOutcome = {
  kind: JobOutcomeKind.HandedBack,
  cut_off: true,
};

/** Batches and runs the stage jobs of the pools assigned to this host. */
export class Batcher {
  #queues = new Map<string, PoolQueue>();
  #memory: ResultMemory;
  #finishJob: FinishJob;
  #calls: CallRunner;
  #options: BatcherOptions;
  #loads: QueueLoads;
  #admission: JobAdmission;
  #draining = false;

  constructor(options: BatcherOptions) {
    this.#options = options;
    this.#loads = new QueueLoads(options);
    this.#admission = new JobAdmission({ ...options, loads: this.#loads });
    this.#memory = new ResultMemory({
      ...options,
      onFreed: (queue) => this.#dispatchSoon(queue),
    });
    this.#finishJob = createFinishJob(this.#memory);
    this.#calls = new CallRunner({
      ...options,
      memory: this.#memory,
      finishJob: this.#finishJob,
      onCallEnded: (queue) => this.#dispatchWithin(queue, 0),
      reportableWaitMs: (job, queue) =>
        this.#loads.reportableWaitMs(job, queue),
    });
  }

  /**
   * Runs a job sent by another host. While this host drains, does not know the
   * pool yet or is cut off from it, the job is handed back so that the sender
   * picks another batcher.
   */
  runForPeer(job: StageJob, signal: AbortSignal): Promise<JobOutcome> {
    if (this.#draining || this.#options.pool(job.pool) === undefined) {
      return Promise.resolve({ kind: JobOutcomeKind.HandedBack });
    }
    return this.run(job, signal, { mayHandBack: true });
  }

  /** Whether this host is cut off from the endpoints of a pool or a shard. */
  isCutOff({ pool, shard }: { pool: string; shard?: string }): boolean {
    const { endpoints, isCutOffFrom } = this.#options;
    const ready = endpointsOfShard(endpoints(pool), shard)
      .filter(({ state }) => state === RouteEndpointState.Ready);
    return ready.length > 0 && isCutOffFrom(ready);
  }

  /** Forgets failures of calls to an endpoint that this host has lost. */
  forgetFailures({ id, born_ms, pool }: RouteEndpoint): void {
    for (const queue of this.#queues.values()) {
      if (queue.pool !== pool) continue;
      queue.trackers.get(`${id}/${born_ms}`)?.forgetFailures();
      this.#dispatchSoon(queue);
    }
  }

  /**
   * Runs a job, also while this host drains. The job fails with reason `cancelled`
   * when the signal aborts. With `mayHandBack` it is handed back if this host is
   * cut off from its endpoints.
   */
  run(
    offered: StageJob,
    signal: AbortSignal,
    { mayHandBack = false }: { mayHandBack?: boolean } = {},
  ): Promise<JobOutcome> {
    const limits = this.#options.pool(offered.pool)?.batch;
    if (limits === undefined) {
      return Promise.resolve({
        kind: JobOutcomeKind.Failed,
        reason: "unknown_pool",
      });
    }
    const queue = this.#queueOf(offered);
    if (signal.aborted) return Promise.resolve(CANCELLED);
    if (mayHandBack && this.isCutOff(offered)) {
      return Promise.resolve(OUT_OF_REACH);
    }
    const { job, refusal } = this.#admission.admit(offered, { queue, limits });
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise((resolve) => {
      const now_ms = this.#options.now();
      const queued = createQueuedJob(job, {
        now_ms,
        inputs_kept_ms: this.#inputsKeptMs(job),
        may_hand_back: mayHandBack,
      }, resolve);
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

  /** How long endpoints keep the results that a job is the last to read. */
  #inputsKeptMs({ last_read }: StageJob): number {
    const retentions_ms = last_read.map(({ pool }) =>
      this.#options.pool(pool)?.batch?.retention_ms ?? Infinity
    );
    return Math.min(...retentions_ms);
  }

  #queueOf({ pool, shard }: { pool: string; shard?: string }): PoolQueue {
    const key = shard === undefined ? pool : `${pool}/${shard}`;
    const known = this.#queues.get(key);
    if (known !== undefined) return known;
    const created = createPoolQueue({ pool, shard }, this.#options.now());
    this.#queues.set(key, created);
    return created;
  }

  /** The load of a pool or of one shard of it, for the batchers of others. */
  reportLoad(queueName: { pool: string; shard?: string }): PoolLoadReport {
    return this.#loads.report(this.#queueOf(queueName));
  }

  /** Refuses jobs without a part that is under way, if their pool is evacuated. */
  #refuseIfEvacuated(queue: PoolQueue): void {
    const { isEvacuated, log } = this.#options;
    if (queue.jobs.size === 0 || isEvacuated?.(queue.pool) !== true) return;
    const refused = [...queue.jobs].filter(({ waiting, job }) =>
      waiting.length === job.pieces.length
    );
    if (refused.length === 0) return;
    log.warn({
      event: "jobs_refused",
      pool: queue.pool,
      shard: queue.shard,
      jobs: refused.length,
      reason: "zones_evacuated",
    });
    for (const queued of refused) {
      this.#finishJob(queued, queue, {
        kind: JobOutcomeKind.Refused,
        retry_after_ms: EVACUATED_RETRY_AFTER_MS,
        wait_ms: EVACUATED_RETRY_AFTER_MS,
      });
    }
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
    this.#handBackIfCutOff(queue);
    this.#refuseIfEvacuated(queue);
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
    const ready = this.#loads.readyTrackers(queue);
    const available = ready.filter((tracker) =>
      tracker.canStartCall(now_ms, limits)
    )
      .sort((a, b) => a.slowness - b.slowness);
    if (available.length === 0 || !hasWaitingPieces(queue)) return false;
    const context = { limits, now_ms };
    const zone_wait_ms = zoneWaits(ready, queue.jobs, context);
    const retried = new Set(
      available.filter((tracker) =>
        isDueForRetry(tracker, ready, queue.jobs, context)
      ),
    );
    let started = false;
    // Retries come first, with the job that can wait best: the others take all.
    for (const tracker of new Set([...retried, ...available])) {
      const isRetry = retried.has(tracker);
      if (!isRetry && !isWorthCalling(tracker, ready, queue.jobs, context)) {
        continue;
      }
      const planned = planCall(queue.jobs, {
        availability_zone: tracker.endpoint.availability_zone,
        free_result_bytes: tracker.freeResultBytes(now_ms, limits),
        slowness: tracker.slowness,
      }, { ...context, zone_wait_ms });
      if (planned.length === 0) continue;
      started = true;
      void this.#calls.run({
        queue,
        tracker,
        planned: isRetry ? planned.slice(-1) : planned,
        limits,
      });
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

  /** Hands back jobs without a part that is under way or computed. */
  #handBackIfCutOff(queue: PoolQueue): void {
    if (queue.jobs.size === 0 || !this.isCutOff(queue)) return;
    const handedBack = [...queue.jobs].filter((queued) =>
      queued.may_hand_back &&
      queued.waiting.length === queued.job.pieces.length
    );
    if (handedBack.length === 0) return;
    this.#options.log.warn({
      event: "jobs_handed_back",
      pool: queue.pool,
      shard: queue.shard,
      jobs: handedBack.length,
    });
    for (const queued of handedBack) {
      this.#finishJob(queued, queue, OUT_OF_REACH);
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
    const load = this.#loads.aheadOf(first.job, queue);
    for (const queued of findUnservableJobs(queue, load, { limits, now_ms })) {
      this.#options.log.info({
        event: "job_given_up",
        attempt: queued.job.attempt_id,
        pool: queue.pool,
        shard: queue.shard,
        ...load,
        expires_in_ms: Math.round(queued.expires_ms - now_ms),
      });
      this.#admission.recordGivenUp(queued, now_ms);
      this.#finishJob(queued, queue, createRefusal(load, limits));
    }
  }
}

/**
 * Admits jobs that a batcher is offered, by its own queue and, at a first stage,
 * by those of the later stages.
 */
import type { Logger } from "../logging/logger.ts";
import type { BatchLimits } from "../routes/types.ts";
import { checkJobAdmission, type LaterWait } from "./admit_job.ts";
import {
  PipelineAdmission,
  type PipelineAdmissionOptions,
} from "./pipeline_admission.ts";
import type { PoolQueue, QueuedJob } from "./pool_queue.ts";
import type { QueueLoads } from "./queue_loads.ts";
import { ReturningRequests } from "./returning_requests.ts";
import type { JobOutcome, StageJob } from "./types.ts";

/** Dependencies of `JobAdmission`. */
export interface JobAdmissionOptions extends PipelineAdmissionOptions {
  loads: Pick<QueueLoads, "aheadOf">;
  log: Logger;
  /** Monotonic time in milliseconds. */
  now: () => number;
}

/** The queue that a job is for, and the limits of its pool. */
export interface JobTarget {
  queue: PoolQueue;
  limits: BatchLimits;
}

/** A job as its batcher runs it, or why it is refused. */
export interface AdmittedJob {
  job: StageJob;
  /** Undefined if it is admitted. */
  refusal: JobOutcome | undefined;
}

/** Admits jobs and remembers the requests of those that are refused. */
export class JobAdmission {
  #pipelines: PipelineAdmission;
  #returning = new ReturningRequests();
  #options: JobAdmissionOptions;

  constructor(options: JobAdmissionOptions) {
    this.#options = options;
    this.#pipelines = new PipelineAdmission(options);
  }

  /** Admits or refuses a job. */
  admit(offered: StageJob, target: JobTarget): AdmittedJob {
    const job = this.#withFirstTarget(offered, target.limits);
    return { job, refusal: this.#check(job, target) };
  }

  /** Records that a waiting job was refused after all. */
  recordGivenUp({ job, due_ms }: QueuedJob, now_ms: number): void {
    const arrived_ms = due_ms - job.due_in_ms;
    this.#returning.recordRefusal(job, { arrived_ms, now_ms });
  }

  /** The job with the target of its request's first attempt. */
  #withFirstTarget(offered: StageJob, { call_ms }: BatchLimits): StageJob {
    const { now, log } = this.#options;
    const job = this.#returning.withFirstTarget(offered, {
      call_ms,
      now_ms: now(),
    });
    if (job === offered) return job;
    log.info({
      event: "job_returned",
      attempt: job.attempt_id,
      pool: job.pool,
      target_in_ms: Math.round(job.target_in_ms ?? Infinity),
      due_in_ms: Math.round(job.due_in_ms),
    });
    return job;
  }

  #check(
    job: StageJob,
    { queue, limits }: JobTarget,
  ): JobOutcome | undefined {
    const { loads, now, log } = this.#options;
    const load = loads.aheadOf(job, queue);
    const now_ms = now();
    const refusal = checkJobAdmission(job, load, limits) ??
      this.#pipelines.check(job, { load, limits, now_ms });
    if (refusal === undefined) return undefined;
    this.#returning.recordRefusal(job, { arrived_ms: now_ms, now_ms });
    log.info({
      event: "job_refused",
      attempt: job.attempt_id,
      pool: job.pool,
      shard: job.shard,
      pieces: job.pieces.length,
      ...load,
      expected_ms: Math.round(refusal.expected_ms),
      ...laterWaitFields(refusal.waits_in),
      expires_in_ms: Math.round(job.expires_in_ms),
    });
    return refusal.outcome;
  }
}

/** The fields of a log line that tell why a request would wait in a later stage. */
function laterWaitFields(wait: LaterWait | undefined): object {
  if (wait === undefined) return {};
  return {
    waits_in: wait.pool,
    later_waiting: wait.pieces_waiting,
    later_on_the_way: wait.pieces_on_the_way,
    later_per_ms: Number(wait.pieces_per_ms.toFixed(3)),
    later_spare_per_ms: Number(wait.spare_per_ms.toFixed(3)),
  };
}

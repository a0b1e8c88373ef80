/**
 * What follows when an endpoint crashes during a call for pieces. Any of the
 * call's jobs may be the cause, so they are called again apart: after the first
 * crash in groups of half the size, after the second alone. A job whose calls
 * keep crashing endpoints fails.
 */
import type { RouteEndpoint } from "../routes/types.ts";
import type { QueuedJob } from "./pool_queue.ts";

/** Jobs that an endpoint held when its call broke. */
export interface BrokenCall {
  endpoint: RouteEndpoint;
  jobs: readonly QueuedJob[];
  /** When the call was sent, on the monotonic clock. */
  sent_ms: number;
}

/** Crashes from which a job is called alone. */
const ALONE_FROM_CRASHES = 2;
/** Crashes from which a job fails. */
const MAX_CRASHES = 3;

/**
 * Records a crash in the jobs that met it, which limits the calls that they
 * share; returns those that have met too many.
 */
export function recordCrash(jobs: readonly QueuedJob[]): QueuedJob[] {
  for (const job of jobs) {
    job.crashes += 1;
    const half = Math.max(1, Math.floor(jobs.length / 2));
    job.max_call_jobs = job.crashes >= ALONE_FROM_CRASHES ? 1 : half;
  }
  return jobs.filter(({ crashes }) => crashes >= MAX_CRASHES);
}

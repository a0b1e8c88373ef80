/**
 * Requests that were refused and may come back. A caller's target latency counts
 * from its first attempt, but a later attempt doesn't tell of it. Taken for new,
 * it would get a place that others could use in time, and be late all the same.
 * Does no I/O and reads no clock: callers pass the time in.
 */
import { dropOldest } from "../utils/drop_oldest.ts";
import { isFirstStage } from "./admit_job.ts";
import type { StageJob } from "./types.ts";

/** Callers come back sooner: they wait for a third of their time at most. */
const KEPT_MS = 10_000;
const MAX_REQUESTS = 20_000;

interface RefusedRequest {
  /** When it had to end its stages to be on time, in monotonic milliseconds. */
  target_ms: number;
  refused_ms: number;
  /** The attempt that was refused. */
  refused_attempt: string;
  /** The attempt that came back; undefined before. */
  returned_attempt: string | undefined;
}

/** Remembers refused requests until they come back. */
export class ReturningRequests {
  #refused = new Map<string, RefusedRequest>();

  /** Remembers a request of which the job of a first stage was refused. */
  recordRefusal(
    job: StageJob,
    { arrived_ms, now_ms }: { arrived_ms: number; now_ms: number },
  ): void {
    const { request, attempt_id, target_in_ms } = job;
    if (request === undefined || target_in_ms === undefined) return;
    if (!isFirstStage(job)) return;
    this.#dropExpired(now_ms);
    this.#refused.delete(request);
    this.#refused.set(request, {
      target_ms: arrived_ms + target_in_ms,
      refused_ms: now_ms,
      refused_attempt: attempt_id,
      returned_attempt: undefined,
    });
    dropOldest(this.#refused, MAX_REQUESTS);
  }

  /**
   * The job with the target of its request's first attempt. It is due earlier only
   * if it can't be on time any more, so that it yields to those that can: else it
   * would go before them, as it has less time left. Jobs of later stages are left
   * alone, as work was done for them. Another request with the same content may be
   * taken for the one that comes back, once.
   */
  withFirstTarget(
    job: StageJob,
    { call_ms, now_ms }: { call_ms: number; now_ms: number },
  ): StageJob {
    const { target_in_ms, due_in_ms } = job;
    const refused = this.#find(job, now_ms);
    if (refused === undefined || target_in_ms === undefined) return job;
    const elapsed_ms = target_in_ms - (refused.target_ms - now_ms);
    if (elapsed_ms <= 0) return job;
    const first_due_in_ms = due_in_ms - elapsed_ms;
    return {
      ...job,
      target_in_ms: target_in_ms - elapsed_ms,
      due_in_ms: first_due_in_ms < call_ms ? first_due_in_ms : due_in_ms,
    };
  }

  #find(job: StageJob, now_ms: number): RefusedRequest | undefined {
    const { request, attempt_id } = job;
    if (request === undefined || !isFirstStage(job)) return undefined;
    this.#dropExpired(now_ms);
    const refused = this.#refused.get(request);
    if (refused === undefined || attempt_id === refused.refused_attempt) {
      return undefined;
    }
    refused.returned_attempt ??= attempt_id;
    return refused.returned_attempt === attempt_id ? refused : undefined;
  }

  #dropExpired(now_ms: number): void {
    for (const [request, { refused_ms }] of this.#refused) {
      if (now_ms - refused_ms <= KEPT_MS) return;
      this.#refused.delete(request);
    }
  }
}

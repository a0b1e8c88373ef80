/**
 * A call to an endpoint for pieces of several jobs. It goes on while any of the
 * jobs waits for it, and is ended after the last one has left.
 */
import type { QueuedJob } from "./pool_queue.ts";

/**
 * Time that a call goes on for nobody. One that is answered meanwhile keeps its
 * connection, and the memory of its results is freed by their handles.
 */
const UNWANTED_CALL_MS = 250;

/** Reason of a call's abort; a string, as an error captures a stack trace. */
const UNWANTED = "unwanted";

/** A call in flight and the jobs that wait for it. */
export class SharedCall {
  #jobs: Set<QueuedJob>;
  #now: () => number;
  #unwanted = new AbortController();
  #unwantedSince_ms: number | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(jobs: Iterable<QueuedJob>, now: () => number) {
    this.#jobs = new Set(jobs);
    this.#now = now;
    for (const job of this.#jobs) job.calls.add(this);
  }

  /** Aborted once no job has waited for the call for a while. */
  get signal(): AbortSignal {
    return this.#unwanted.signal;
  }

  /** Time for which no job has waited, in milliseconds; undefined if one does. */
  get unwantedMs(): number | undefined {
    return this.#unwantedSince_ms === undefined
      ? undefined
      : this.#now() - this.#unwantedSince_ms;
  }

  /** Records that a job has ended without this call. */
  leave(job: QueuedJob): void {
    if (!this.#jobs.delete(job) || this.#jobs.size > 0) return;
    this.#unwantedSince_ms = this.#now();
    this.#timer = setTimeout(
      () => this.#unwanted.abort(UNWANTED),
      UNWANTED_CALL_MS,
    );
  }

  /** Must be called when the call has ended. */
  end(): void {
    clearTimeout(this.#timer);
    for (const job of this.#jobs) job.calls.delete(this);
  }
}

/** The load of a batcher's queues, as new jobs and other hosts meet it. */
import type { RouteEndpoint, RoutePool } from "../routes/types.ts";
import { loadAheadOf, loadOf, reportableWaitMs } from "./admit_job.ts";
import type { EndpointTracker } from "./endpoint_tracker.ts";
import type { PoolLoad } from "./expected_wait.ts";
import { createLoadReport, type PoolLoadReport } from "./pool_load_report.ts";
import { type PoolQueue, readyTrackers } from "./pool_queue.ts";
import { endpointsOfShard } from "./pool_shards.ts";
import type { StageJob } from "./types.ts";

/** Dependencies of `QueueLoads`. */
export interface QueueLoadsOptions {
  /** The pool of this name; undefined if it is not configured. */
  pool: (name: string) => RoutePool | undefined;
  /** The endpoints of a pool, leaving ones included. */
  endpoints: (pool: string) => readonly RouteEndpoint[];
  /** Time for which an endpoint itself wants no calls, in milliseconds. */
  pauseMs: (endpoint: RouteEndpoint) => number;
  /** Monotonic time in milliseconds. */
  now: () => number;
}

/** What is reported of a pool that is not configured. */
const NO_LOAD: PoolLoadReport = {
  pieces_per_ms: 0,
  call_ms: 0,
  waiting_by_due: [],
};

/** Looks at the load of queues, with the endpoints as of now. */
export class QueueLoads {
  #options: QueueLoadsOptions;

  constructor(options: QueueLoadsOptions) {
    this.#options = options;
  }

  /** The trackers of a queue's ready endpoints, with their pauses. */
  readyTrackers(queue: PoolQueue): EndpointTracker[] {
    const { endpoints, pauseMs, now } = this.#options;
    const ofShard = endpointsOfShard(endpoints(queue.pool), queue.shard);
    const trackers = readyTrackers(queue, ofShard);
    for (const tracker of trackers) {
      const pause_ms = pauseMs(tracker.endpoint);
      tracker.pauseUntil(pause_ms > 0 ? now() + pause_ms : -Infinity);
    }
    return trackers;
  }

  /** The load that is ahead of a job. */
  aheadOf(job: StageJob, queue: PoolQueue): PoolLoad {
    const now_ms = this.#options.now();
    return loadAheadOf(job, queue, {
      ready: this.readyTrackers(queue),
      now_ms,
    });
  }

  /** Expected wait of a job that arrives now, for the host that sends it. */
  reportableWaitMs(job: StageJob, queue: PoolQueue): number {
    const limits = this.#options.pool(queue.pool)?.batch;
    return limits === undefined
      ? 0
      : reportableWaitMs(this.aheadOf(job, queue), limits);
  }

  /** The load of a queue, for the batchers of earlier stages. */
  report(queue: PoolQueue): PoolLoadReport {
    const limits = this.#options.pool(queue.pool)?.batch;
    if (limits === undefined) return NO_LOAD;
    const now_ms = this.#options.now();
    const ready = this.readyTrackers(queue);
    const waiting = [...queue.jobs].map((queued) => ({
      pieces: queued.waiting.length,
      due_in_ms: queued.due_ms - now_ms,
    }));
    return createLoadReport(loadOf(queue, { ready, now_ms }), limits, waiting);
  }
}

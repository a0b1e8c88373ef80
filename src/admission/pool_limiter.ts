/**
 * Concurrency limiter for one pool: a p-queue whose concurrency is this host's
 * share of the pool. It also estimates how long a new request would wait.
 */
import PQueue from "p-queue";
import { RecentQuantiles } from "../utils/recent_quantiles.ts";
import { AdmittedBacklog, type WorkClass } from "./admitted_backlog.ts";
import { FifoQueue } from "./fifo_queue.ts";
import { RankedQueue } from "./ranked_queue.ts";
import type { AdmissionQueueOptions, QueuedRequest } from "./queued_request.ts";
import { AdmissionPolicy } from "./types.ts";
import type { AdmissionQueue } from "./admission_queue.ts";

/** The right to make one call to a pool. `release` is idempotent. */
export interface Permit {
  /** How long the request waited for the permit. */
  waited_ms: number;
  release(): void;
}

/** Thrown when a request is aborted before it gets a permit. */
export class WaitAborted extends Error {
  constructor() {
    super("The request ended while it waited");
    this.name = "WaitAborted";
  }
}

/** Number of latest calls whose durations the estimates use. */
const SERVICE_TIME_SAMPLES = 128;
/** Quantile of the recent service times that is taken as the expected one. */
const SERVICE_TIME_QUANTILE = 0.75;
/**
 * Minimum share of the pool that an estimate assumes to be available, so that
 * the expected wait stays finite when competing work takes the whole pool.
 */
const MIN_AVAILABLE_SHARE = 0.05;

/** Limits the calls of this host to one pool and queues the rest. */
export class PoolLimiter {
  #queue: PQueue<AdmissionQueue, AdmissionQueueOptions>;
  #waitQueue: AdmissionQueue;
  #backlog = new AdmittedBacklog();
  #serviceTimes = new RecentQuantiles(SERVICE_TIME_SAMPLES);
  #now: () => number;

  constructor(
    concurrency: number,
    options: { now: () => number; policy: AdmissionPolicy },
  ) {
    const waitQueue = createAdmissionQueue(options.policy);
    this.#waitQueue = waitQueue;
    this.#now = options.now;
    this.#queue = new PQueue<AdmissionQueue, AdmissionQueueOptions>({
      concurrency,
      queueClass: class {
        constructor() {
          return waitQueue;
        }
      } as unknown as new () => AdmissionQueue,
    });
  }

  /** Sets how many calls may be in flight at once. */
  setConcurrency(concurrency: number): void {
    if (this.#queue.concurrency === concurrency) return;
    this.#queue.concurrency = concurrency;
  }

  /** Number of calls in flight. */
  get running(): number {
    return this.#queue.pending;
  }

  /** Number of waiting requests. */
  get waiting(): number {
    return this.#waitQueue.size;
  }

  /** Waits for a permit; rejects with WaitAborted if the signal is aborted. */
  acquire(request: QueuedRequest, signal: AbortSignal): Promise<Permit> {
    const queued_ms = this.#now();
    return new Promise((resolve, reject) => {
      if (signal.aborted) return reject(new WaitAborted());
      const abort = () => {
        this.#waitQueue.remove(request.request_id);
        reject(new WaitAborted());
      };
      signal.addEventListener("abort", abort, { once: true });
      void this.#queue.add(() => {
        signal.removeEventListener("abort", abort);
        if (signal.aborted) return Promise.resolve();
        return new Promise<void>((release) => {
          resolve({ waited_ms: this.#now() - queued_ms, release });
        });
      }, { request });
    });
  }

  /** Records the duration of a completed call. */
  recordServiceTime(elapsed_ms: number): void {
    this.#serviceTimes.add(elapsed_ms);
  }

  /** Conservative estimate of the duration of a call; 0 before the first one. */
  get service_ms(): number {
    return this.#serviceTimes.quantile(SERVICE_TIME_QUANTILE) ?? 0;
  }

  /** Counts an admitted request that has not reached this pool yet. */
  addToBacklog(work: WorkClass): void {
    this.#backlog.add(work, this.#now());
  }

  /** Removes a request that got its permit here or ended before that. */
  removeFromBacklog(work: WorkClass): void {
    this.#backlog.remove(work);
  }

  /**
   * Estimates how long a new request would wait behind the admitted requests
   * that are served before it. A rank with a guaranteed share waits at most for
   * its own requests at that share of the pool.
   */
  estimateWaitMs(work: WorkClass): number {
    const ahead = this.#backlog.countAhead(work);
    const free = this.#queue.concurrency - this.#queue.pending;
    if (ahead < free) return 0;
    const service_ms = this.#serviceTimes.mean() ?? 0;
    const start_interval_ms = service_ms / this.#queue.concurrency;
    const now_ms = this.#now();
    const competing = this.#backlog.competingShare(work, {
      start_interval_ms,
      now_ms,
    });
    const available = Math.max(MIN_AVAILABLE_SHARE, 1 - competing);
    const priority_wait_ms = (ahead + 1) * start_interval_ms / available;
    if (work.over_allowance || work.guaranteed_share <= 0) {
      return priority_wait_ms;
    }
    const sameClass = this.#backlog.countSameClass(work);
    return Math.min(
      priority_wait_ms,
      (sameClass + 1) * start_interval_ms / work.guaranteed_share,
    );
  }
}

function createAdmissionQueue(policy: AdmissionPolicy): AdmissionQueue {
  return policy === AdmissionPolicy.Ranked
    ? new RankedQueue()
    : new FifoQueue();
}

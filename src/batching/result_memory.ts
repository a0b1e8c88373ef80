/**
 * Frees the results of a batcher's endpoints. Results take memory at the
 * endpoint that computed them, and endpoints that run short of it take fewer
 * pieces per call.
 */
import type { BatchLimits, RoutePool } from "../routes/types.ts";
import type { EndpointTracker } from "./endpoint_tracker.ts";
import type { PieceClient } from "./piece_call.ts";
import type { PlannedPieces } from "./plan_call.ts";
import { type PoolQueue, type QueuedJob, trackerAt } from "./pool_queue.ts";
import type { FreedResults } from "./types.ts";

/** Dependencies of `ResultMemory`. */
export interface ResultMemoryOptions {
  /** The pool of this name; undefined if it is not configured. */
  pool: (name: string) => RoutePool | undefined;
  client: PieceClient;
  /** Frees results through the batcher that accounts for their memory. */
  freeAtBatcher: (freed: FreedResults) => void;
  /** Called when an endpoint of a queue has memory again. */
  onFreed: (queue: PoolQueue) => void;
  /** Monotonic time in milliseconds. */
  now: () => number;
}

/** Inputs may be read at half the link's rate, since other reads share it. */
const INPUT_READ_TIME_FACTOR = 2;
/** Time that may pass before an endpoint starts to read its inputs. */
const INPUT_READ_MARGIN_MS = 40;

/** Frees results at endpoints and keeps account of their memory. */
export class ResultMemory {
  #options: ResultMemoryOptions;

  constructor(options: ResultMemoryOptions) {
    this.#options = options;
  }

  /**
   * Frees results at one address. Those marked `spare` are freed only when the
   * endpoint runs short of memory.
   */
  free(queue: PoolQueue, { address, handles, spare }: FreedResults): void {
    if (spare !== true) {
      void this.#freeAtEndpoint(queue, address, handles);
      return;
    }
    const tracker = trackerAt(queue, address);
    if (tracker === undefined) return;
    for (const handle of handles) tracker.markEvictable(handle);
    this.freeIfShort(queue, tracker);
    this.#options.onFreed(queue);
  }

  /** Frees an endpoint's evictable results if it is short of memory. */
  freeIfShort(queue: PoolQueue, tracker: EndpointTracker): void {
    const limits = this.#options.pool(queue.pool)?.batch;
    if (limits === undefined) return;
    const handles = tracker.takeEvictable(this.#options.now(), limits);
    if (handles.length === 0) return;
    void this.#freeAtEndpoint(queue, tracker.endpoint.address, handles);
  }

  /**
   * Marks inputs that no later stage reads as evictable, once all pieces of the
   * job are in calls and the endpoints have had time to read the inputs.
   */
  offerInputs(
    planned: PlannedPieces<QueuedJob>[],
    limits: BatchLimits,
  ): void {
    const bytes = planned.reduce(
      (sum, { job: queued, pieces }) => sum + pieces * queued.job.input_bytes,
      0,
    );
    const read_ms = INPUT_READ_TIME_FACTOR * bytes / limits.link_bytes_per_ms +
      INPUT_READ_MARGIN_MS;
    const lastReaders = planned.map(({ job: queued }) => queued)
      .filter(({ job, waiting }) =>
        waiting.length === 0 && job.last_read.length > 0
      );
    if (lastReaders.length === 0) return;
    setTimeout(() => {
      for (const { job, waiting, ended } of lastReaders) {
        if (waiting.length > 0 || ended) continue;
        for (const freed of job.last_read) {
          this.#options.freeAtBatcher({ ...freed, spare: true });
        }
      }
    }, read_ms);
  }

  /** Frees results; their memory is available once the endpoint confirms it. */
  async #freeAtEndpoint(
    queue: PoolQueue,
    address: string,
    handles: string[],
  ): Promise<void> {
    if (!await this.#options.client.free(address, handles)) return;
    const tracker = trackerAt(queue, address);
    for (const handle of handles) tracker?.removeResult(handle);
    this.#options.onFreed(queue);
  }
}

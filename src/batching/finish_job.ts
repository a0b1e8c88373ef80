/** Ends jobs of a batcher. */
import type { PoolQueue, QueuedJob } from "./pool_queue.ts";
import type { ResultMemory } from "./result_memory.ts";
import { type JobOutcome, JobOutcomeKind } from "./types.ts";

/** Ends a job of a queue with an outcome; does nothing if it has ended. */
export type FinishJob = (
  queued: QueuedJob,
  queue: PoolQueue,
  outcome: JobOutcome,
) => void;

/**
 * Creates the function that ends jobs. Unless a job has completed, the results
 * that it has so far are freed.
 */
export function createFinishJob(memory: ResultMemory): FinishJob {
  return (queued, queue, outcome) => {
    if (queued.ended) return;
    queued.ended = true;
    queue.jobs.delete(queued);
    for (const call of queued.calls) call.leave(queued);
    queued.waiting = [];
    if (outcome.kind !== JobOutcomeKind.Completed) {
      freeResults(queued, queue, memory);
    }
    queued.resolve(outcome);
  };
}

function freeResults(
  { results }: QueuedJob,
  queue: PoolQueue,
  memory: ResultMemory,
): void {
  for (const result of results) {
    if (result === undefined) continue;
    const { address, handle } = result;
    memory.free(queue, { pool: queue.pool, address, handles: [handle] });
  }
}

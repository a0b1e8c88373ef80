/** The queue of requests that wait for a permit of a pool. */
import type { AdmissionQueueOptions, RunFunction } from "./queued_request.ts";

/** The interface of p-queue's queue classes, with removal by request. */
export interface AdmissionQueue {
  readonly size: number;
  enqueue(run: RunFunction, options?: Partial<AdmissionQueueOptions>): void;
  dequeue(): RunFunction | undefined;
  /** Removes a waiting item; false if there is none for the request. */
  remove(request_id: string): boolean;
  /** Required by p-queue; never called here. */
  filter(): RunFunction[];
  /** Required by p-queue; never called here. */
  setPriority(): void;
}

/** What a gate needs of the queue behind it. */
import type { AdmissionQueueOptions, RunFunction } from "./queued_request.ts";

/** A queue class for p-queue that can also be asked what waits. */
export interface AdmissionQueue {
  readonly size: number;
  enqueue(run: RunFunction, options?: Partial<AdmissionQueueOptions>): void;
  dequeue(): RunFunction | undefined;
  /** Removes a waiting item; false if it is not there. */
  remove(request_id: string): boolean;
  filter(): RunFunction[];
  setPriority(): void;
}

/**
 * A first-in, first-out queue class for p-queue, with which the ranked queue is
 * compared in measurements.
 */
import type { AdmissionQueueOptions, RunFunction } from "./queued_request.ts";
import type { AdmissionQueue } from "./admission_queue.ts";

interface Item {
  run: RunFunction;
  request_id: string;
}

/** Serves requests in order of arrival, regardless of rank or deadline. */
export class FifoQueue implements AdmissionQueue {
  #items: Item[] = [];

  /** Number of waiting items. */
  get size(): number {
    return this.#items.length;
  }

  /** Adds an item at the end. */
  enqueue(run: RunFunction, options?: Partial<AdmissionQueueOptions>): void {
    const request_id = options?.request?.request_id ?? "";
    this.#items.push({ run, request_id });
  }

  /** Takes the first item. */
  dequeue(): RunFunction | undefined {
    return this.#items.shift()?.run;
  }

  /** Removes a waiting item; false if there is none for the request. */
  remove(request_id: string): boolean {
    const position = this.#items.findIndex((item) =>
      item.request_id === request_id
    );
    if (position < 0) return false;
    this.#items.splice(position, 1);
    return true;
  }

  /** Required by p-queue; not used here. */
  filter(): RunFunction[] {
    return [];
  }

  /** Required by p-queue; the order never changes. */
  setPriority(): void {}
}

/** The baseline order: first in, first out. A queue class for p-queue. */
import type { AdmissionQueueOptions, RunFunction } from "./queued_request.ts";
import type { AdmissionQueue } from "./admission_queue.ts";

interface Item {
  run: RunFunction;
  request_id: string;
}

/** Serves in order of arrival, whatever the ticket says. */
export class FifoQueue implements AdmissionQueue {
  #items: Item[] = [];

  /** Number of waiting items. */
  get size(): number {
    return this.#items.length;
  }

  /** Adds an item at the end. */
  enqueue(run: RunFunction, options?: Partial<AdmissionQueueOptions>): void {
    const request_id = options?.ticket?.request_id ?? "";
    this.#items.push({ run, request_id });
  }

  /** Takes the first item. */
  dequeue(): RunFunction | undefined {
    return this.#items.shift()?.run;
  }

  /** Removes a waiting item; false if it is not there. */
  remove(request_id: string): boolean {
    const position = this.#items.findIndex((item) =>
      item.request_id === request_id
    );
    if (position < 0) return false;
    this.#items.splice(position, 1);
    return true;
  }

  /** p-queue's filter; every item has the same options here. */
  filter(): RunFunction[] {
    return [];
  }

  /** The order does not change. */
  setPriority(): void {}
}

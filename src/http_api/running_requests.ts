/**
 * Tracks the requests running on this host and aborts them at their deadlines.
 */
import { AbortReason } from "../pipelines/pipeline_request.ts";

/** One running request. */
export interface RunningRequest {
  /** Aborted at the deadline, by `abort`, or when the host stops. */
  signal: AbortSignal;
  /** Aborted only when the host stops. */
  stop_signal: AbortSignal;
  abort(reason: AbortReason): void;
  /** Must be called once the response has been written. */
  finish(): void;
}

/** The set of running requests. */
export class RunningRequests {
  #running = new Set<AbortController>();
  #stopController = new AbortController();
  #onIdle: (() => void) | undefined;

  /** Number of running requests. */
  get size(): number {
    return this.#running.size;
  }

  /** Registers a request whose signal is aborted after `remaining_ms`. */
  start(remaining_ms: number): RunningRequest {
    const controller = new AbortController();
    this.#running.add(controller);
    const abort = (reason: AbortReason) => controller.abort(reason);
    const timer = setTimeout(abort, remaining_ms, AbortReason.DeadlinePassed);
    return {
      signal: controller.signal,
      stop_signal: this.#stopController.signal,
      abort,
      finish: () => {
        clearTimeout(timer);
        this.#running.delete(controller);
        if (this.#running.size === 0) this.#onIdle?.();
      },
    };
  }

  /** Resolves when no request is running. Supports one waiter at a time. */
  waitUntilIdle(): Promise<void> {
    if (this.#running.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#onIdle = resolve);
  }

  /** Aborts all running requests because the host stops. */
  abortAll(reason: AbortReason): void {
    this.#stopController.abort(reason);
    for (const controller of this.#running) controller.abort(reason);
  }
}

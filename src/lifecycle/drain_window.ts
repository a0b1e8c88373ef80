/**
 * The time that a draining host has left for its requests. Requests that still
 * run at its end are ended by the host.
 */
import { setMaxListeners } from "node:events";

/** The time left for requests; unlimited until the host drains. */
export class DrainWindow {
  #end = new AbortController();
  #end_ms = Infinity;
  #now: () => number;

  constructor(now: () => number) {
    this.#now = now;
    setMaxListeners(0, this.#end.signal);
  }

  /** Aborts when the requests that are left must end. */
  get signal(): AbortSignal {
    return this.#end.signal;
  }

  /** Time until then, in milliseconds; Infinity unless the host drains. */
  get remainingMs(): number {
    return this.#end_ms - this.#now();
  }

  /** Starts the drain; requests may run until `end_ms`, in monotonic time. */
  begin(end_ms: number): void {
    this.#end_ms = end_ms;
  }

  /** Ends the requests that are left. */
  end(): void {
    this.#end.abort();
  }
}

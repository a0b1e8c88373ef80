/**
 * Detects that the object store stopped answering while watches wait there. A
 * waiting watch looks the same whether nothing changes or the store is gone, so
 * a cheap call is made at intervals; if it fails, the watches end.
 */
import { abortableDelay } from "../utils/delay.ts";
import type { ObjectFeed } from "./object_feed.ts";

/** Default interval between probes while a watch waits. */
const PROBE_INTERVAL_MS = 1_500;
/** Abort reason of watches at a store that does not answer. */
const STORE_SILENT = "store_silent";

/** Dependencies of a `StoreProbe`. */
export interface StoreProbeOptions {
  /** Makes the cheap call; resolves to whether the store answered. */
  answers: () => Promise<boolean>;
  /** Whether other hosts depend on this host's watches. */
  isNeeded: () => boolean;
  interval_ms?: number;
  signal: AbortSignal;
}

/** Probes the store while at least one watch waits. */
export class StoreProbe {
  #waiting = new Set<AbortController>();
  #running = false;
  #options: StoreProbeOptions;

  constructor(options: StoreProbeOptions) {
    this.#options = options;
  }

  /** Runs a watch with a signal that aborts when the store stops answering. */
  async whileWaiting<T>(
    watch: (signal: AbortSignal) => Promise<T>,
    signal: AbortSignal,
  ): Promise<T> {
    const aborter = new AbortController();
    this.#waiting.add(aborter);
    void this.#run();
    try {
      return await watch(AbortSignal.any([signal, aborter.signal]));
    } finally {
      this.#waiting.delete(aborter);
    }
  }

  async #run(): Promise<void> {
    const {
      answers,
      isNeeded,
      interval_ms = PROBE_INTERVAL_MS,
      signal,
    } = this.#options;
    if (this.#running) return;
    this.#running = true;
    while (this.#waiting.size > 0 && !signal.aborted) {
      await abortableDelay(interval_ms, signal);
      if (this.#waiting.size === 0 || !isNeeded()) continue;
      if (signal.aborted || await answers()) continue;
      for (const aborter of [...this.#waiting]) aborter.abort(STORE_SILENT);
    }
    this.#running = false;
  }
}

/** Wraps a feed so that its watches end when the store stops answering. */
export function createProbedFeed<T>(
  feed: ObjectFeed<T>,
  probe: StoreProbe,
): ObjectFeed<T> {
  return {
    list: (signal) => feed.list(signal),
    watch: (revision, wait_ms, signal) =>
      probe.whileWaiting(
        (probed) => feed.watch(revision, wait_ms, probed),
        signal,
      ),
  };
}

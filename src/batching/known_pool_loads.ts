/**
 * The load of the pools whose batchers this host asks: those of later stages,
 * while it admits requests at their first stage.
 */
import type { Logger } from "../logging/logger.ts";
import { abortableDelay } from "../utils/delay.ts";
import { combineReports, type PoolLoadReport } from "./pool_load_report.ts";

/** A pool or one of its shards, with the host that batches for it. */
export interface QueueAddress {
  pool: string;
  shard?: string;
  batcher: string;
}

/** Dependencies of `KnownPoolLoads`. */
export interface KnownPoolLoadsOptions {
  /** The queues of a pool: one for each shard. */
  queuesOf: (pool: string) => QueueAddress[];
  /** Asks a batcher, maybe this host itself; rejects if it does not respond. */
  ask: (queue: QueueAddress) => Promise<PoolLoadReport>;
  log: Logger;
  /** Monotonic time in milliseconds. */
  now: () => number;
  /** Waits between two rounds of questions; returns early on the signal. */
  delay?: (ms: number, signal: AbortSignal) => Promise<void>;
  /** Aborts when this host stops. */
  signal: AbortSignal;
}

/** Interval at which batchers are asked. */
const ASK_INTERVAL_MS = 500;
/** A pool that nobody asked for in this time is forgotten. */
const UNUSED_MS = 2_000;
/** Older reports are ignored. */
const MAX_REPORT_AGE_MS = 1_500;

interface KnownPool {
  used_ms: number;
  report: PoolLoadReport | undefined;
  reported_ms: number;
  /** Whether the last question was answered. */
  answered: boolean;
}

/** Asks batchers for the load of the pools that are in use, and keeps it. */
export class KnownPoolLoads {
  #pools = new Map<string, KnownPool>();
  #options: KnownPoolLoadsOptions;

  constructor(options: KnownPoolLoadsOptions) {
    this.#options = options;
  }

  /** The load of a pool; undefined if it is not known yet. */
  loadOf(pool: string): PoolLoadReport | undefined {
    const now_ms = this.#options.now();
    const known = this.#pools.get(pool);
    if (known === undefined) {
      this.#pools.set(pool, {
        used_ms: now_ms,
        report: undefined,
        reported_ms: -Infinity,
        answered: true,
      });
      void this.#askWhileUsed(pool);
      return undefined;
    }
    known.used_ms = now_ms;
    const isRecent = now_ms - known.reported_ms <= MAX_REPORT_AGE_MS;
    return isRecent ? known.report : undefined;
  }

  async #askWhileUsed(pool: string): Promise<void> {
    const { now, signal, delay = abortableDelay } = this.#options;
    while (!signal.aborted) {
      const known = this.#pools.get(pool);
      if (known === undefined) return;
      if (now() - known.used_ms > UNUSED_MS) {
        this.#pools.delete(pool);
        return;
      }
      await this.#askOnce(pool, known);
      await delay(ASK_INTERVAL_MS, signal);
    }
  }

  async #askOnce(pool: string, known: KnownPool): Promise<void> {
    const { queuesOf, ask, log, now } = this.#options;
    const queues = queuesOf(pool);
    const asked_ms = now();
    try {
      const reports = await Promise.all(queues.map(ask));
      known.report = combineReports(reports);
      known.reported_ms = asked_ms;
      known.answered = true;
    } catch (error) {
      if (!known.answered) return;
      known.answered = false;
      log.warn({
        event: "load_unknown",
        pool,
        reason: (error as Error).message,
      });
    }
  }
}

/**
 * Measures how late the event loop runs a periodic timer. The same delay meets
 * all other events: the close of a connection, a response, a message of a peer.
 */
import type { Logger } from "../logging/logger.ts";

/** Dependencies of {@linkcode measureLoopLag}. */
export interface LoopLagOptions {
  /** Receives the delay of each timer, in milliseconds. */
  onLag: (lag_ms: number) => void;
  log: Logger;
  /** Monotonic clock, in milliseconds. */
  now: () => number;
  /** Ends the measurement. */
  signal: AbortSignal;
}

const INTERVAL_MS = 500;
/** A longer delay is logged. */
const LOGGED_LAG_MS = 250;

/** Measures the delay of the event loop until the signal aborts. */
export function measureLoopLag(options: LoopLagOptions): void {
  const { onLag, log, now, signal } = options;
  let expected_ms = now() + INTERVAL_MS;
  const timer = setInterval(() => {
    const lag_ms = Math.max(0, now() - expected_ms);
    expected_ms = now() + INTERVAL_MS;
    onLag(lag_ms);
    if (lag_ms < LOGGED_LAG_MS) return;
    log.info({ event: "loop_lag", lag_ms: Math.round(lag_ms) });
  }, INTERVAL_MS).unref();
  signal.addEventListener("abort", () => clearInterval(timer), { once: true });
}

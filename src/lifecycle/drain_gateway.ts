/**
 * Takes a gateway host out of service without interrupting running requests.
 */
import type { GatewayServer } from "../forwarding/gateway_server.ts";
import type { Logger } from "../logging/logger.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { DrainWindow } from "./drain_window.ts";
import { type HostLifecycle, HostLifecycleEvent } from "./host_lifecycle.ts";

/** Dependencies and time limit of a drain. */
export interface DrainGatewayOptions {
  lifecycle: HostLifecycle;
  server: GatewayServer;
  /** Number of stage jobs and exchanges running here for other hosts. */
  runningJobs: () => number;
  /** Its end ends the requests that are still running, each with a response. */
  window: DrainWindow;
  /**
   * Removes this host's entry from the store, so that peers choose other hosts.
   */
  withdrawEntry: () => Promise<void>;
  /** Time limit of the whole drain. */
  timeout_ms: number;
  log: Logger;
  now: () => number;
  signal: AbortSignal;
}

/** Time for the load balancer to notice that the host is not ready. */
const READINESS_PROPAGATION_MS = 2_500;
const IDLE_POLL_INTERVAL_MS = 50;
/** Time reserved for responding to the requests left before `timeout_ms`. */
const RESPONSE_RESERVE_MS = 1_000;
/** Time reserved for closing the remaining connections before `timeout_ms`. */
const SHUTDOWN_RESERVE_MS = 500;

/**
 * Drains the host; resolves when no request or job is running, or on timeout.
 * Requests that would outlast the drain are ended shortly before.
 */
export async function drainGateway(
  options: DrainGatewayOptions,
): Promise<void> {
  const { lifecycle, server, runningJobs, log, now, signal } = options;
  const end_ms = now() + options.timeout_ms;
  options.window.begin(end_ms - RESPONSE_RESERVE_MS);
  options.withdrawEntry().catch((error: Error) =>
    log.warn({ event: "withdraw_failed", error: error.message })
  );
  await abortableDelay(READINESS_PROPAGATION_MS, signal);
  server.closeIdleConnections();
  lifecycle.handle(HostLifecycleEvent.GracePeriodOver);
  const isBusy = () => server.running > 0 || runningJobs() > 0;
  const waitWhileBusy = async (until_ms: number) => {
    while (isBusy() && now() < until_ms && !signal.aborted) {
      await abortableDelay(IDLE_POLL_INTERVAL_MS, signal);
    }
  };
  await waitWhileBusy(end_ms - RESPONSE_RESERVE_MS);
  if (server.running > 0) {
    log.warn({ event: "drain_ends_requests", running: server.running });
    options.window.end();
  }
  await waitWhileBusy(end_ms - SHUTDOWN_RESERVE_MS);
  log.info({ event: "drained", running: server.running, jobs: runningJobs() });
  lifecycle.handle(
    isBusy() ? HostLifecycleEvent.Timeout : HostLifecycleEvent.Idle,
  );
}

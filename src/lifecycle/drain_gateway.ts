/** Takes a gateway host out of service without cutting off a request. */
import type { GatewayServer } from "../forwarding/gateway_server.ts";
import type { Logger } from "../logging/logger.ts";
import { pause } from "../utils/loop.ts";
import { type HostLifecycle, HostLifecycleEvent } from "./host_lifecycle.ts";

/** What a drain needs. */
export interface DrainGatewayOptions {
  lifecycle: HostLifecycle;
  server: GatewayServer;
  /** Stage jobs of other hosts that run here. */
  runningJobs: () => number;
  /** Removes this host's entry, so that peers choose another host. */
  withdrawEntry: () => Promise<void>;
  /** How long running requests may take. */
  timeout_ms: number;
  log: Logger;
  now: () => number;
  signal: AbortSignal;
}

/** Time in which the balancer notices that the host is not ready. */
const READINESS_PROPAGATION_MS = 2_500;
const IDLE_POLL_INTERVAL_MS = 50;
/** Time to close what is left before the process is killed. */
const SHUTDOWN_RESERVE_MS = 500;

/** Drains; resolves when nothing runs, or the time is up. */
export async function drainGateway(
  options: DrainGatewayOptions,
): Promise<void> {
  const { lifecycle, server: front, runningJobs: batching, log, now, signal } =
    options;
  const end_ms = now() + options.timeout_ms - SHUTDOWN_RESERVE_MS;
  options.withdrawEntry().catch((error: Error) =>
    log.warn({ event: "withdraw_failed", error: error.message })
  );
  await pause(READINESS_PROPAGATION_MS, signal);
  front.closeIdleConnections();
  lifecycle.handle(HostLifecycleEvent.GracePeriodOver);
  const isBusy = () => front.running > 0 || batching() > 0;
  while (isBusy() && now() < end_ms && !signal.aborted) {
    await pause(IDLE_POLL_INTERVAL_MS, signal);
  }
  log.info({ event: "drained", running: front.running, jobs: batching() });
  lifecycle.handle(
    isBusy() ? HostLifecycleEvent.Timeout : HostLifecycleEvent.Idle,
  );
}

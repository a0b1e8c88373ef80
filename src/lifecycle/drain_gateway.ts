/** Takes a gateway host out of service without cutting off a request. */
import type { FrontServer } from "../forwarding/front_server.ts";
import type { Logger } from "../logging/logger.ts";
import { abortableDelay } from "../utils/delay.ts";
import { type HostLifecycle, HostLifecycleEvent } from "./host_lifecycle.ts";

/** What a drain needs. */
export interface DrainGatewayOptions {
  lifecycle: HostLifecycle;
  front: FrontServer;
  /** Stage jobs of other hosts that run here. */
  batching: () => number;
  /** Removes this host's entry, so that peers choose another host. */
  withdraw: () => Promise<void>;
  /** How long running requests may take. */
  timeout_ms: number;
  log: Logger;
  now: () => number;
  signal: AbortSignal;
}

/** Time in which the balancer notices that the host is not ready. */
const BALANCER_NOTICE_MS = 2_500;
const POLL_MS = 50;
/** Time to close what is left before the process is killed. */
const RESERVE_MS = 500;

/** Drains; resolves when nothing runs, or the time is up. */
export async function drainGateway(
  options: DrainGatewayOptions,
): Promise<void> {
  const { lifecycle, front, batching, log, now, signal } = options;
  const end_ms = now() + options.timeout_ms - RESERVE_MS;
  options.withdraw().catch((error: Error) =>
    log.warn({ event: "withdraw_failed", error: error.message })
  );
  await abortableDelay(BALANCER_NOTICE_MS, signal);
  front.closeIdle();
  lifecycle.handle(HostLifecycleEvent.GraceOver);
  const busy = () => front.running > 0 || batching() > 0;
  while (busy() && now() < end_ms && !signal.aborted) {
    await abortableDelay(POLL_MS, signal);
  }
  log.info({ event: "drained", running: front.running, jobs: batching() });
  lifecycle.handle(
    busy() ? HostLifecycleEvent.Timeout : HostLifecycleEvent.Idle,
  );
}

/** Takes an entry host out of service without interrupting running requests. */
import type { RunningRequests } from "../http_api/running_requests.ts";
import { AbortReason } from "../pipelines/pipeline_request.ts";
import { abortableDelay } from "../utils/delay.ts";
import { type HostLifecycle, HostLifecycleEvent } from "./host_lifecycle.ts";

/** Dependencies and time limits of a drain. */
export interface DrainHostOptions {
  lifecycle: HostLifecycle;
  running: RunningRequests;
  /** Stores the claim state that must outlive this process. */
  flushClaims: () => Promise<void>;
  /** Time for the load balancer to notice that the host is not ready. */
  readiness_delay_ms: number;
  /** Time for running requests to complete, after `readiness_delay_ms`. */
  timeout_ms: number;
  signal: AbortSignal;
}

/** Time for the responses to aborted requests to be sent. */
const ABORTED_RESPONSE_GRACE_MS = 200;

/** Drains the host; resolves when no request is running or all were aborted. */
export async function drainHost(options: DrainHostOptions): Promise<void> {
  const { lifecycle, running, signal } = options;
  await abortableDelay(options.readiness_delay_ms, signal);
  lifecycle.handle(HostLifecycleEvent.GracePeriodOver);
  const becameIdle = await idleWithin(running, options.timeout_ms);
  if (!becameIdle) {
    running.abortAll(AbortReason.HostStopping);
    await abortableDelay(ABORTED_RESPONSE_GRACE_MS, signal);
  }
  await options.flushClaims();
  lifecycle.handle(
    becameIdle ? HostLifecycleEvent.Idle : HostLifecycleEvent.Timeout,
  );
}

function idleWithin(
  running: RunningRequests,
  timeout_ms: number,
): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(false), timeout_ms);
    void running.waitUntilIdle().then(() => {
      clearTimeout(timer);
      resolve(true);
    });
  });
}

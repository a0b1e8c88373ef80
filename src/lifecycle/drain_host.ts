/** Takes a host out of service without cutting off a request. */
import type { RunningRequests } from "../http_api/running_requests.ts";
import { AbortReason } from "../pipelines/pipeline_request.ts";
import { abortableDelay } from "../utils/delay.ts";
import { type HostLifecycle, HostLifecycleEvent } from "./host_lifecycle.ts";

/** What a drain needs. */
export interface DrainOptions {
  lifecycle: HostLifecycle;
  running: RunningRequests;
  /** Stores what must outlive this process. */
  settle: () => Promise<void>;
  /** How long the balancer may need to notice. */
  readiness_delay_ms: number;
  /** How long running requests may take. */
  timeout_ms: number;
  signal: AbortSignal;
}

/** Time for answers to aborted requests to leave. */
const ABORT_GRACE_MS = 200;

/** Drains; resolves when nothing runs, or the time is up. */
export async function drainHost(options: DrainOptions): Promise<void> {
  const { lifecycle, running, signal } = options;
  await abortableDelay(options.readiness_delay_ms, signal);
  lifecycle.handle(HostLifecycleEvent.GraceOver);
  const idle = await idleWithin(running, options.timeout_ms);
  if (!idle) {
    running.abortAll(AbortReason.HostStopping);
    await abortableDelay(ABORT_GRACE_MS, signal);
  }
  await options.settle();
  lifecycle.handle(
    idle ? HostLifecycleEvent.Idle : HostLifecycleEvent.Timeout,
  );
}

function idleWithin(
  running: RunningRequests,
  timeout_ms: number,
): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(false), timeout_ms);
    void running.idle().then(() => {
      clearTimeout(timer);
      resolve(true);
    });
  });
}

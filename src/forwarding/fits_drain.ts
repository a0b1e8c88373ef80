/** Whether a request can still be served by a host that drains. */
import type { RunContext } from "./run_context.ts";

/** Share of the last answers whose time an idempotent request is given. */
const IDEMPOTENT_SHARE = 0.9;

/**
 * Whether a request that is sent now is expected to end before this host must
 * end it. What is cut can't always be repeated; what was not sent can be sent by
 * another host. Where too little is known of its route, a request is taken to
 * need all of its time.
 */
export function fitsDrain(context: RunContext): boolean {
  const { drain, serviceTimes } = context.dependencies;
  const { remainingMs } = drain;
  if (remainingMs === Infinity) return true;
  const limit_ms = context.remainingMs();
  const share = context.idempotent ? IDEMPOTENT_SHARE : 1;
  const { name } = context.admitted.route;
  const expected_ms = serviceTimes.quantileMs(name, share) ?? limit_ms;
  return Math.min(expected_ms, limit_ms) <= remainingMs;
}

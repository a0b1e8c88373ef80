/** Whether a request can still be served by a host that drains. */
import { CallKind } from "../routes/types.ts";
import type { RunContext } from "./run_context.ts";

/** Share of the last answers whose time an idempotent request is given. */
const IDEMPOTENT_SHARE = 0.9;
/** Times its route's target that a request of an unknown route is given. */
const UNKNOWN_TARGET_FACTOR = 4;

/**
 * Whether a request that is sent now is expected to end before this host must
 * end it. What is cut can't always be repeated; what was not sent can be sent by
 * another host.
 */
export function fitsDrain(context: RunContext): boolean {
  const { drain, serviceTimes } = context.dependencies;
  const { remainingMs } = drain;
  if (remainingMs === Infinity) return true;
  const limit_ms = context.remainingMs();
  const share = context.idempotent ? IDEMPOTENT_SHARE : 1;
  const { name } = context.admitted.route;
  const expected_ms = serviceTimes.quantileMs(name, share) ??
    unknownServiceMs(context, limit_ms);
  return Math.min(expected_ms, limit_ms) <= remainingMs;
}

/**
 * What a request may need of whose route too little is known; one that may not
 * run twice and can't be half answered is given all of its time.
 */
function unknownServiceMs(
  { admitted }: RunContext,
  limit_ms: number,
): number {
  const { kind, target_latency_ms } = admitted.route;
  return kind === CallKind.NonIdempotent
    ? limit_ms
    : UNKNOWN_TARGET_FACTOR * target_latency_ms;
}

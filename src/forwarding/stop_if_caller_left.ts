/** Stops requests whose callers have left, before work for them begins. */
import { hasSenderLeft } from "../utils/sender_left.ts";
import { type RunContext, StopReason } from "./run_context.ts";

/** Stops a request if its caller has left. */
export async function stopIfCallerLeft(context: RunContext): Promise<void> {
  const left = await hasSenderLeft(context.inbound.request);
  if (left) context.stop(StopReason.CallerDisconnected);
}

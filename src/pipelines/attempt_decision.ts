/** Decides what follows an attempt. Pure. */
import { AttemptEnd, type AttemptResult } from "../endpoints/attempt.ts";
import type { EndpointPool } from "../records/types.ts";

/** What follows an attempt. */
export enum NextStep {
  StageDone = "stage_done",
  Retry = "retry",
  Abort = "abort",
}

/** The circumstances of an attempt. */
export interface AttemptContext {
  pool: EndpointPool;
  /** Whether the call may be repeated. */
  idempotent: boolean;
  /** Attempts of this stage so far, this one included. */
  attempts: number;
  remaining_ms: number;
  /** Takes one retry from the budget. */
  withdrawRetry: () => boolean;
}

/** Most attempts for one stage of one request. */
export const MAX_ATTEMPTS_PER_STAGE = 3;

/** Whether the attempt may have had an effect at the endpoint. */
export function mayHaveRun(result: AttemptResult, pool: EndpointPool): boolean {
  if (!result.sent) return false;
  return !(result.end === AttemptEnd.Refused && pool.refusal_means_not_run);
}

/** What to do after an attempt. */
export function decideAfterAttempt(
  result: AttemptResult,
  context: AttemptContext,
): NextStep {
  if (result.end === AttemptEnd.Done) return NextStep.StageDone;
  if (result.end === AttemptEnd.Cancelled) return NextStep.Abort;
  if (context.attempts >= MAX_ATTEMPTS_PER_STAGE) return NextStep.Abort;
  if (context.remaining_ms <= 0) return NextStep.Abort;
  const repeatable = context.idempotent || !mayHaveRun(result, context.pool);
  if (!repeatable) return NextStep.Abort;
  return context.withdrawRetry() ? NextStep.Retry : NextStep.Abort;
}

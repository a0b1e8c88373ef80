/** Decides whether to continue, retry or abort after an attempt. */
import { AttemptOutcome, type AttemptResult } from "../endpoints/attempt.ts";
import type { EndpointPool } from "../records/types.ts";

/** What to do after an attempt. */
export enum NextStep {
  /** The stage has a result. */
  StageDone = "stage_done",
  /** Repeat the call of the same stage. */
  Retry = "retry",
  /** End the request without a result. */
  Abort = "abort",
}

/** What the decision depends on, besides the attempt's result. */
export interface AttemptContext {
  pool: EndpointPool;
  /** Whether the call may be repeated. */
  idempotent: boolean;
  /** Attempts of this stage so far, including this one. */
  attempts: number;
  /** Time to the deadline; negative after it. */
  remaining_ms: number;
  /** Takes one retry from the pool's retry budget; false if it is empty. */
  tryTakeRetry: () => boolean;
}

/** Maximum attempts for one stage of one request, including the first. */
export const MAX_ATTEMPTS_PER_STAGE = 3;

/** Whether the endpoint may have run the call. */
export function mayHaveRun(result: AttemptResult, pool: EndpointPool): boolean {
  if (!result.sent) return false;
  return !(result.outcome === AttemptOutcome.Rejected &&
    pool.refusal_means_not_run);
}

/** Decides what to do after an attempt. Has no effect but `tryTakeRetry`. */
export function decideAfterAttempt(
  result: AttemptResult,
  context: AttemptContext,
): NextStep {
  if (result.outcome === AttemptOutcome.Completed) return NextStep.StageDone;
  if (result.outcome === AttemptOutcome.Cancelled) return NextStep.Abort;
  if (context.attempts >= MAX_ATTEMPTS_PER_STAGE) return NextStep.Abort;
  if (context.remaining_ms <= 0) return NextStep.Abort;
  const repeatable = context.idempotent || !mayHaveRun(result, context.pool);
  if (!repeatable) return NextStep.Abort;
  return context.tryTakeRetry() ? NextStep.Retry : NextStep.Abort;
}

/** A claim on one key, and outcomes of its attempt. */
import type { ClaimRequest } from "../../src/claims/types.ts";
import {
  type Outcome,
  OutcomeKind,
  Reason,
} from "../../src/pipelines/outcome.ts";

/** The attempt was completed. */
export const COMPLETED: Outcome = {
  kind: OutcomeKind.Completed,
  output: "stamped",
  stages: [],
};

/** The attempt did not run, which frees the key. */
export const NOT_RUN: Outcome = {
  kind: OutcomeKind.NotRun,
  reason: Reason.DeadlinePassed,
  message: "",
  retry_after_ms: undefined,
  stages: [],
};

/** Creates a request of this attempt to claim the key. */
export function claimRequest(
  attempt_id: string,
  change: Partial<ClaimRequest> = {},
): ClaimRequest {
  return {
    claim_id: "key",
    shard: 0,
    bucket: 5,
    attempt_id,
    body_digest: "body",
    timeout_ms: 1_000,
    ...change,
  };
}

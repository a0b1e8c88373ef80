import { applyClaim, applyOutcome } from "./claim_rules.ts";
import type {
  BucketClaims,
  ClaimReply,
  ClaimRequest,
  OutcomeReport,
} from "./types.ts";
import { dropOldest } from "../utils/drop_oldest.ts";

/** Claims to keep; beyond this the oldest are dropped. */
const MAX_CLAIMS = 2_000;

/**
 * The claims that were granted to attempts of this host. The platform may lose a
 * claim by going back to an older copy, and then grant its key once more.
 */
export class GrantedClaims {
  /** Each with its single claim, by claim and bucket. */
  #claims = new Map<string, BucketClaims>();

  /**
   * Records a grant. Replies as the earlier attempt's claim requires if the key
   * was granted to one here that ran or may run.
   */
  grant(request: ClaimRequest): ClaimReply {
    const key = keyOf(request);
    const { state, reply } = applyClaim(this.#claims.get(key), request);
    this.#claims.set(key, state);
    dropOldest(this.#claims, MAX_CLAIMS);
    return reply;
  }

  /** Records the outcome of a granted attempt. */
  recordOutcome(outcome: OutcomeReport): void {
    const key = keyOf(outcome);
    const { state, changed } = applyOutcome(this.#claims.get(key), outcome);
    if (changed && state !== undefined) this.#claims.set(key, state);
  }
}

function keyOf({ claim_id, bucket }: {
  claim_id: string;
  bucket: number;
}): string {
  return `${bucket}/${claim_id}`;
}

/** Messages and stored forms of claims on idempotency keys. */
import { z } from "zod";
import { type Outcome, OutcomeKind } from "../pipelines/outcome.ts";

/** A claim: this attempt asks to be the only one that runs the key. */
export const claimRequestSchema = z.strictObject({
  /** Digest of organisation and key. */
  claim_id: z.string(),
  /** The organisation's identity text and the key, to find the shard. */
  shard: z.int().nonnegative(),
  /** Number of the time bucket in which the key was issued. */
  bucket: z.int().nonnegative(),
  /** Unique for each accepted request. */
  attempt_id: z.string(),
  /** Digest of pipeline and input. */
  body_digest: z.string(),
  /** How long the asker waits. */
  timeout_ms: z.number(),
});

/** The outcome of a claimed attempt, to be stored beside the claim. */
export const claimOutcomeSchema = z.strictObject({
  claim_id: z.string(),
  shard: z.int().nonnegative(),
  bucket: z.int().nonnegative(),
  attempt_id: z.string(),
  outcome: z.custom<Outcome>((value) =>
    typeof value === "object" && value !== null && "kind" in value &&
    Object.values(OutcomeKind).includes(value.kind as OutcomeKind)
  ),
});

/** A claim on its way to the platform. */
export type ClaimRequest = z.infer<typeof claimRequestSchema>;
/** An outcome on its way to the platform. */
export type ClaimOutcome = z.infer<typeof claimOutcomeSchema>;

/** Kinds of reply to a claim. */
export enum ClaimReplyKind {
  /** The claim is committed for this attempt. */
  Granted = "granted",
  /** Another attempt has run; its outcome is attached. */
  Recorded = "recorded",
  /** Another attempt holds the claim and has no outcome yet. */
  InUse = "in_use",
  /** The key was used with another body. */
  Conflict = "conflict",
  /** The key is older than what is kept; it may have run. */
  Expired = "expired",
  /** The claim was never written and will not be. */
  NotWritten = "not_written",
  /** The claim may have been written. */
  Uncertain = "uncertain",
}

/** The reply to a claim. */
export type ClaimReply =
  | { kind: ClaimReplyKind.Recorded; outcome: Outcome }
  | { kind: Exclude<ClaimReplyKind, ClaimReplyKind.Recorded> };

/** A claim as stored. */
export interface StoredClaim {
  attempt_id: string;
  body_digest: string;
  outcome?: Outcome;
}

/** The content of one platform object: the claims of one bucket. */
export interface BucketClaims {
  /** Never falls; a slot that is reused for a later bucket forgets this one. */
  bucket: number;
  claims: Record<string, StoredClaim>;
}

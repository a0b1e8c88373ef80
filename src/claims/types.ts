/**
 * Claims on idempotency keys, as hosts send them to each other and as they are
 * stored.
 */
import { z } from "zod";
import { type Outcome, OutcomeKind } from "../pipelines/outcome.ts";

/** Asks that one attempt be the only one allowed to run a keyed request. */
export const claimRequestSchema = z.strictObject({
  /** SHA-256 of the organisation and the key. */
  claim_id: z.string(),
  /** Index of the shard, derived from `claim_id`. */
  shard: z.int().nonnegative(),
  /** Index of the time bucket in which the key was issued. */
  bucket: z.int().nonnegative(),
  /** Unique for each accepted request. */
  attempt_id: z.string(),
  /** SHA-256 of the pipeline and the input. */
  body_digest: z.string(),
  /** How long the requester waits for the reply. */
  timeout_ms: z.number(),
});

/** The outcome of a claimed attempt, to be stored with its claim. */
export const outcomeReportSchema = z.strictObject({
  claim_id: z.string(),
  shard: z.int().nonnegative(),
  bucket: z.int().nonnegative(),
  attempt_id: z.string(),
  outcome: z.custom<Outcome>((value) =>
    typeof value === "object" && value !== null && "kind" in value &&
    Object.values(OutcomeKind).includes(value.kind as OutcomeKind)
  ),
});

/** A claim that is to be committed. */
export type ClaimRequest = z.infer<typeof claimRequestSchema>;
/** An outcome that is to be stored with its claim. */
export type OutcomeReport = z.infer<typeof outcomeReportSchema>;

/** Kinds of reply to a claim. */
export enum ClaimReplyKind {
  /** The claim is committed for this attempt. */
  Granted = "granted",
  /** Another attempt has an outcome, which is attached. */
  Recorded = "recorded",
  /** Another attempt holds the claim and has no outcome yet. */
  InUse = "in_use",
  /** The key was used with another pipeline or input. */
  Conflict = "conflict",
  /** Claims as old as the key are no longer kept; it may have run. */
  Expired = "expired",
  /** The claim was not written and never will be. */
  NotWritten = "not_written",
  /** The claim may have been written, but no write was confirmed. */
  Uncertain = "uncertain",
}

/** The reply to a claim. */
export type ClaimReply =
  | { kind: ClaimReplyKind.Recorded; outcome: Outcome }
  | { kind: Exclude<ClaimReplyKind, ClaimReplyKind.Recorded> };

/** A claim as it is stored. */
export interface StoredClaim {
  attempt_id: string;
  body_digest: string;
  outcome?: Outcome;
}

/**
 * The claims of one shard and one time bucket, stored as one object. The object
 * of a shard is reused in turn for later buckets.
 */
export interface BucketClaims {
  /** Never decreases; reuse for a later bucket discards all earlier claims. */
  bucket: number;
  claims: Record<string, StoredClaim>;
}

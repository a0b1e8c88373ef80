/**
 * State transitions of claims, as pure functions. They are safe under any delay,
 * repetition or order, because a conditional write replaces exactly the state
 * to which a transition was applied. They read no clock: a key's time bucket is
 * derived from the key itself.
 */
import { OutcomeKind } from "../pipelines/outcome.ts";
import {
  type KeyStatus,
  KeyStatusKind,
} from "../pipelines/pipeline_dependencies.ts";
import {
  type BucketClaims,
  type ClaimReply,
  ClaimReplyKind,
  type ClaimRequest,
  type OutcomeReport,
  type StoredClaim,
} from "./types.ts";

/** The next state, and the reply to send once that state is committed. */
export interface ClaimDecision {
  state: BucketClaims;
  reply: ClaimReply;
  /** Whether `state` differs from the state that was read. */
  changed: boolean;
}

/** Applies a claim to the state read; `undefined` if no object exists yet. */
export function applyClaim(
  state: BucketClaims | undefined,
  request: ClaimRequest,
): ClaimDecision {
  const current = stateForBucket(state, request.bucket);
  if (current.bucket > request.bucket) {
    return unchanged(current, { kind: ClaimReplyKind.Expired });
  }
  const claim = current.claims[request.claim_id];
  if (claim === undefined || wasNotRun(claim)) return grant(current, request);
  if (claim.attempt_id === request.attempt_id) {
    return unchanged(current, { kind: ClaimReplyKind.Granted });
  }
  if (claim.body_digest !== request.body_digest) {
    return unchanged(current, { kind: ClaimReplyKind.Conflict });
  }
  if (claim.outcome === undefined) {
    return unchanged(current, { kind: ClaimReplyKind.InUse });
  }
  const { outcome } = claim;
  return unchanged(current, { kind: ClaimReplyKind.Recorded, outcome });
}

/**
 * Stores an outcome with its claim. An outcome is ignored if the claim belongs
 * to another attempt or already has one.
 */
export function applyOutcome(
  state: BucketClaims | undefined,
  reported: OutcomeReport,
): { state: BucketClaims | undefined; changed: boolean } {
  const claim = state?.claims[reported.claim_id];
  const sameBucket = state?.bucket === reported.bucket;
  const sameAttempt = claim?.attempt_id === reported.attempt_id;
  if (state === undefined || claim === undefined) {
    return { state, changed: false };
  }
  if (!sameBucket || !sameAttempt || claim.outcome !== undefined) {
    return { state, changed: false };
  }
  const stored = { ...claim, outcome: reported.outcome };
  const claims = { ...state.claims, [reported.claim_id]: stored };
  return { state: { ...state, claims }, changed: true };
}

/**
 * Joins the stored state with what this host knows to have been stored earlier,
 * which the store may have lost since. In one bucket claims are never removed, so
 * one that is missing has been lost, as has the outcome of the same attempt.
 */
export function restoreLostClaims(
  stored: BucketClaims | undefined,
  known: BucketClaims | undefined,
): { state: BucketClaims | undefined; changed: boolean } {
  if (known === undefined || (stored?.bucket ?? -1) > known.bucket) {
    return { state: stored, changed: false };
  }
  if (stored === undefined || stored.bucket < known.bucket) {
    return { state: known, changed: true };
  }
  const lost = Object.entries(known.claims).filter(([id, claim]) =>
    isLost(stored.claims[id], claim)
  );
  if (lost.length === 0) return { state: stored, changed: false };
  const claims = { ...stored.claims, ...Object.fromEntries(lost) };
  return { state: { ...stored, claims }, changed: true };
}

function isLost(stored: StoredClaim | undefined, known: StoredClaim): boolean {
  if (stored === undefined) return true;
  return stored.attempt_id === known.attempt_id &&
    stored.outcome === undefined && known.outcome !== undefined;
}

/**
 * Reads the status of a key without claiming it. A key whose bucket is no longer
 * stored counts as in use, because it may have run.
 */
export function readKeyStatus(
  state: BucketClaims | undefined,
  key: { claim_id: string; bucket: number },
): KeyStatus {
  const current = stateForBucket(state, key.bucket);
  if (current.bucket > key.bucket) return { kind: KeyStatusKind.InUse };
  const claim = current.claims[key.claim_id];
  if (claim === undefined || wasNotRun(claim)) {
    return { kind: KeyStatusKind.Unused };
  }
  const { outcome } = claim;
  if (outcome === undefined) return { kind: KeyStatusKind.InUse };
  return { kind: KeyStatusKind.Recorded, outcome };
}

/** Whether the attempt reported that it did not run, which frees the key. */
function wasNotRun({ outcome }: StoredClaim): boolean {
  return outcome?.kind === OutcomeKind.NotRun;
}

/** The state read, or an empty one if it belongs to an older bucket. */
function stateForBucket(
  state: BucketClaims | undefined,
  bucket: number,
): BucketClaims {
  if (state === undefined || state.bucket < bucket) {
    return { bucket, claims: {} };
  }
  return state;
}

function grant(state: BucketClaims, request: ClaimRequest): ClaimDecision {
  const stored = {
    attempt_id: request.attempt_id,
    body_digest: request.body_digest,
  };
  const claims = { ...state.claims, [request.claim_id]: stored };
  return {
    state: { ...state, claims },
    reply: { kind: ClaimReplyKind.Granted },
    changed: true,
  };
}

function unchanged(state: BucketClaims, reply: ClaimReply): ClaimDecision {
  return { state, reply, changed: false };
}

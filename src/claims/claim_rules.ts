/**
 * The rules of claims. Pure, and safe under any delay, repetition or order of
 * application, because each rule is applied to the state that a conditional
 * update then replaces. No clock takes part: a key's bucket comes from the key.
 */
import { OutcomeKind } from "../pipelines/outcome.ts";
import {
  type KeyStatus,
  KeyStatusKind,
} from "../pipelines/pipeline_dependencies.ts";
import {
  type BucketClaims,
  type ClaimOutcome,
  type ClaimReply,
  ClaimReplyKind,
  type ClaimRequest,
  type StoredClaim,
} from "./types.ts";

/** A state after a rule, and the reply that holds once it is committed. */
export interface ClaimDecision {
  state: BucketClaims;
  reply: ClaimReply;
  /** Whether the state differs and must be written. */
  changed: boolean;
}

/** Applies a claim to the state as read; undefined means no object yet. */
export function applyClaim(
  state: BucketClaims | undefined,
  entry: ClaimRequest,
): ClaimDecision {
  const current = slotFor(state, entry.bucket);
  if (current.bucket > entry.bucket) {
    return unchanged(current, { kind: ClaimReplyKind.Expired });
  }
  const held = current.claims[entry.claim_id];
  if (held === undefined || wasNotRun(held)) return grant(current, entry);
  if (held.attempt_id === entry.attempt_id) {
    return unchanged(current, { kind: ClaimReplyKind.Granted });
  }
  if (held.body_digest !== entry.body_digest) {
    return unchanged(current, { kind: ClaimReplyKind.Conflict });
  }
  if (held.outcome === undefined) {
    return unchanged(current, { kind: ClaimReplyKind.InUse });
  }
  const { outcome } = held;
  return unchanged(current, { kind: ClaimReplyKind.Recorded, outcome });
}

/** Stores an outcome beside its claim; a stored outcome is never replaced. */
export function applyOutcome(
  state: BucketClaims | undefined,
  note: ClaimOutcome,
): { state: BucketClaims | undefined; changed: boolean } {
  const held = state?.claims[note.claim_id];
  const current = state?.bucket === note.bucket;
  const own = held?.attempt_id === note.attempt_id;
  if (state === undefined || held === undefined) {
    return { state, changed: false };
  }
  if (!current || !own || held.outcome !== undefined) {
    return { state, changed: false };
  }
  const stored = { ...held, outcome: note.outcome };
  const claims = { ...state.claims, [note.claim_id]: stored };
  return { state: { ...state, claims }, changed: true };
}

/** What a state tells of a key's use. */
export function readKeyStatus(
  state: BucketClaims | undefined,
  place: { claim_id: string; bucket: number },
): KeyStatus {
  const current = slotFor(state, place.bucket);
  if (current.bucket > place.bucket) return { kind: KeyStatusKind.InUse };
  const held = current.claims[place.claim_id];
  if (held === undefined || wasNotRun(held)) {
    return { kind: KeyStatusKind.Unused };
  }
  const { outcome } = held;
  if (outcome === undefined) return { kind: KeyStatusKind.InUse };
  return { kind: KeyStatusKind.Recorded, outcome };
}

/** Its own attempt said that it never ran, so the key is free again. */
function wasNotRun({ outcome }: StoredClaim): boolean {
  return outcome?.kind === OutcomeKind.NotRun;
}

function slotFor(
  state: BucketClaims | undefined,
  bucket: number,
): BucketClaims {
  if (state === undefined || state.bucket < bucket) {
    return { bucket, claims: {} };
  }
  return state;
}

function grant(state: BucketClaims, entry: ClaimRequest): ClaimDecision {
  const stored = {
    attempt_id: entry.attempt_id,
    body_digest: entry.body_digest,
  };
  const claims = { ...state.claims, [entry.claim_id]: stored };
  return {
    state: { ...state, claims },
    reply: { kind: ClaimReplyKind.Granted },
    changed: true,
  };
}

function unchanged(state: BucketClaims, reply: ClaimReply): ClaimDecision {
  return { state, reply, changed: false };
}

/**
 * The rules of claims. Pure, and safe under any delay, repetition or order of
 * application, because each rule is applied to the slot that a conditional
 * update then replaces. No clock takes part: a key's bucket comes from the key.
 */
import { OutcomeKind } from "../pipelines/outcome.ts";
import { type KeyUse, KeyUseKind } from "../pipelines/pipeline_parts.ts";
import {
  type ClaimEntry,
  type ClaimReply,
  ClaimReplyKind,
  type ClaimSlot,
  type OutcomeNote,
  type StoredClaim,
} from "./types.ts";

/** A slot after a rule, and the reply that holds once it is committed. */
export interface ClaimDecision {
  slot: ClaimSlot;
  reply: ClaimReply;
  /** Whether the slot differs and must be written. */
  changed: boolean;
}

/** Applies a claim to the slot as read; undefined means no object yet. */
export function applyClaim(
  slot: ClaimSlot | undefined,
  entry: ClaimEntry,
): ClaimDecision {
  const current = slotFor(slot, entry.bucket);
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
  slot: ClaimSlot | undefined,
  note: OutcomeNote,
): { slot: ClaimSlot | undefined; changed: boolean } {
  const held = slot?.claims[note.claim_id];
  const current = slot?.bucket === note.bucket;
  const own = held?.attempt_id === note.attempt_id;
  if (slot === undefined || held === undefined) return { slot, changed: false };
  if (!current || !own || held.outcome !== undefined) {
    return { slot, changed: false };
  }
  const stored = { ...held, outcome: note.outcome };
  const claims = { ...slot.claims, [note.claim_id]: stored };
  return { slot: { ...slot, claims }, changed: true };
}

/** What a slot tells of a key's use. */
export function readUse(
  slot: ClaimSlot | undefined,
  place: { claim_id: string; bucket: number },
): KeyUse {
  const current = slotFor(slot, place.bucket);
  if (current.bucket > place.bucket) return { kind: KeyUseKind.InUse };
  const held = current.claims[place.claim_id];
  if (held === undefined || wasNotRun(held)) {
    return { kind: KeyUseKind.Unused };
  }
  const { outcome } = held;
  if (outcome === undefined) return { kind: KeyUseKind.InUse };
  return { kind: KeyUseKind.Recorded, outcome };
}

/** Its own attempt said that it never ran, so the key is free again. */
function wasNotRun({ outcome }: StoredClaim): boolean {
  return outcome?.kind === OutcomeKind.NotRun;
}

function slotFor(slot: ClaimSlot | undefined, bucket: number): ClaimSlot {
  if (slot === undefined || slot.bucket < bucket) {
    return { bucket, claims: {} };
  }
  return slot;
}

function grant(slot: ClaimSlot, entry: ClaimEntry): ClaimDecision {
  const stored = {
    attempt_id: entry.attempt_id,
    body_digest: entry.body_digest,
  };
  const claims = { ...slot.claims, [entry.claim_id]: stored };
  return {
    slot: { ...slot, claims },
    reply: { kind: ClaimReplyKind.Granted },
    changed: true,
  };
}

function unchanged(slot: ClaimSlot, reply: ClaimReply): ClaimDecision {
  return { slot, reply, changed: false };
}

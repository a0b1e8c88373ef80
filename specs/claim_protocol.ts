/**
 * Specification of claims: several attempts with the same key, on hosts that
 * may pause anywhere, and a platform whose answers may be lost and whose writes
 * may take effect late. It calls the rules that the product calls.
 */
import { applyClaim, applyOutcome } from "../src/claims/claim_rules.ts";
import { type ClaimDecision } from "../src/claims/claim_rules.ts";
import {
  type BucketClaims,
  ClaimReplyKind,
  type ClaimRequest,
  type OutcomeReport,
} from "../src/claims/types.ts";
import { type Outcome, OutcomeKind, Reason } from "../src/pipelines/outcome.ts";
import type { Specification } from "./explore.ts";

/** How far an attempt has come. */
enum Phase {
  Idle = "idle",
  /** It has read the slot. */
  Read = "read",
  /** It waits for the answer to its write. */
  Waiting = "waiting",
  Granted = "granted",
  Dispatched = "dispatched",
  /** It has ended without running, and said so. */
  NotRun = "not_run",
  /** It never runs and has said nothing. */
  GivenUp = "given_up",
  Refused = "refused",
}

interface Versioned {
  version: number;
  slot: BucketClaims | null;
}

interface PendingWrite {
  version: number;
  slot: BucketClaims;
}

interface AttemptState {
  phase: Phase;
  seen: Versioned | null;
  /** A write on its way to the platform; it may arrive at any time. */
  pending: PendingWrite | null;
  /** The platform's answer on its way back. */
  answer: boolean | null;
  /** Writes sent so far. */
  writes: number;
}

/** The platform's object, the attempts and what the endpoint ran. */
export interface ClaimState {
  stored: Versioned;
  attempts: AttemptState[];
  executions: number;
  rotated: boolean;
}

/** What can happen. */
export interface ClaimEvent {
  type:
    | "read"
    | "send_write"
    | "write_arrives"
    | "receive_answer"
    | "lose_answer"
    | "give_up"
    | "dispatch"
    | "abort_unsent"
    | "record"
    | "rotate";
  attempt: number;
}

/** Mechanisms that a broken variant leaves out. */
export interface ClaimVariant {
  /** Writes name the version that was read. */
  conditional: boolean;
  /** A lost answer is settled by reading back. */
  readBack: boolean;
  /** A slot that has moved on refuses older keys. */
  refusesOlder: boolean;
  /** An attempt that recorded "not run" never dispatches. */
  abortIsFinal: boolean;
}

/** The protocol as it is built. */
export const COMPLETE_CLAIMS: ClaimVariant = {
  conditional: true,
  readBack: true,
  refusesOlder: true,
  abortIsFinal: true,
};

const BUCKET = 1;
const LATER_BUCKET = 2;
/** Writes that an attempt sends before it gives up. */
const MOST_WRITES = 2;

/** Creates the specification. */
export function createClaimSpecification(
  attempts: number,
  variant: ClaimVariant = COMPLETE_CLAIMS,
): Specification<ClaimState, ClaimEvent> {
  const fresh: AttemptState = {
    phase: Phase.Idle,
    seen: null,
    pending: null,
    answer: null,
    writes: 0,
  };
  return {
    name: "claims",
    initial: {
      stored: { version: 0, slot: null },
      attempts: Array.from({ length: attempts }, () => ({ ...fresh })),
      executions: 0,
      rotated: false,
    },
    events: (state) => possibleEvents(state, variant),
    apply: (state, event) => applyEvent(structuredClone(state), event, variant),
    invariants: [{
      name: "the key runs at most once",
      holds: (state) => state.executions <= 1,
    }],
  };
}

function possibleEvents(
  state: ClaimState,
  variant: ClaimVariant,
): ClaimEvent[] {
  const events = state.attempts.flatMap((attempt, number) =>
    eventsOf(attempt, variant).map((type) => ({ type, attempt: number }))
  );
  if (!state.rotated && state.stored.slot !== null) {
    events.push({ type: "rotate", attempt: -1 });
  }
  return events;
}

function eventsOf(
  attempt: AttemptState,
  variant: ClaimVariant,
): ClaimEvent["type"][] {
  const events: ClaimEvent["type"][] = [];
  if (attempt.pending !== null) events.push("write_arrives");
  switch (attempt.phase) {
    case Phase.Idle:
      events.push("give_up");
      if (attempt.writes < MOST_WRITES) events.push("read");
      break;
    case Phase.Read:
      events.push("send_write");
      break;
    case Phase.Waiting:
      events.push("lose_answer");
      if (attempt.answer !== null) events.push("receive_answer");
      break;
    case Phase.Granted:
      events.push("dispatch", "abort_unsent");
      break;
    case Phase.Dispatched:
      events.push("record");
      break;
    case Phase.NotRun:
      events.push("record");
      if (!variant.abortIsFinal) events.push("dispatch");
      break;
  }
  return events;
}

function applyEvent(
  state: ClaimState,
  event: ClaimEvent,
  variant: ClaimVariant,
): ClaimState {
  if (event.type === "rotate") return rotate(state);
  const attempt = state.attempts[event.attempt];
  if (attempt === undefined) return state;
  switch (event.type) {
    case "read":
      attempt.seen = structuredClone(state.stored);
      settle(attempt, decide(attempt, event.attempt, variant));
      break;
    case "send_write":
      sendWrite(attempt, decide(attempt, event.attempt, variant));
      break;
    case "write_arrives":
      arrive(state, attempt, variant);
      break;
    case "receive_answer":
      attempt.phase = attempt.answer ? Phase.Granted : Phase.Idle;
      attempt.answer = null;
      break;
    case "lose_answer":
      attempt.answer = null;
      attempt.phase = variant.readBack ? Phase.Idle : Phase.Granted;
      break;
    case "give_up":
      attempt.phase = Phase.GivenUp;
      break;
    case "dispatch":
      state.executions += 1;
      attempt.phase = Phase.Dispatched;
      break;
    case "abort_unsent":
      attempt.phase = Phase.NotRun;
      break;
    case "record":
      record(state, event.attempt);
      break;
  }
  return state;
}

function decide(
  attempt: AttemptState,
  number: number,
  variant: ClaimVariant,
): ClaimDecision {
  const slot = attempt.seen?.slot ?? undefined;
  const older = slot !== undefined && slot.bucket > BUCKET;
  const visible = older && !variant.refusesOlder ? undefined : slot;
  return applyClaim(visible, entryOf(number));
}

function settle(attempt: AttemptState, { reply }: ClaimDecision): void {
  const own = reply.kind === ClaimReplyKind.Granted;
  if (!own) attempt.phase = Phase.Refused;
  else attempt.phase = Phase.Read;
}

function sendWrite(attempt: AttemptState, decision: ClaimDecision): void {
  if (!decision.changed) {
    attempt.phase = Phase.Granted;
    return;
  }
  const version = attempt.seen?.version ?? 0;
  attempt.pending = { version, slot: decision.state };
  attempt.answer = null;
  attempt.writes += 1;
  attempt.phase = Phase.Waiting;
}

function arrive(
  state: ClaimState,
  attempt: AttemptState,
  variant: ClaimVariant,
): void {
  const { pending } = attempt;
  if (pending === null) return;
  attempt.pending = null;
  const applies = !variant.conditional ||
    pending.version === state.stored.version;
  if (applies) {
    state.stored = { version: state.stored.version + 1, slot: pending.slot };
  }
  if (attempt.phase === Phase.Waiting) attempt.answer = applies;
}

function record(state: ClaimState, number: number): void {
  const attempt = state.attempts[number];
  if (attempt === undefined) return;
  const outcome = attempt.phase === Phase.NotRun ? notRun : completed;
  const decision = applyOutcome(
    state.stored.slot ?? undefined,
    noteOf(number, outcome),
  );
  if (decision.state !== undefined && decision.changed) {
    state.stored = { version: state.stored.version + 1, slot: decision.state };
  }
}

/** A key of a later bucket takes the slot over. */
function rotate(state: ClaimState): ClaimState {
  const later = { ...entryOf(-1), bucket: LATER_BUCKET, claim_id: "other" };
  const { state: slot } = applyClaim(state.stored.slot ?? undefined, later);
  state.stored = { version: state.stored.version + 1, slot };
  state.rotated = true;
  return state;
}

function entryOf(number: number): ClaimRequest {
  return {
    claim_id: "key",
    shard: 0,
    bucket: BUCKET,
    attempt_id: `attempt-${number}`,
    body_digest: "body",
    timeout_ms: 0,
  };
}

function noteOf(number: number, outcome: Outcome): OutcomeReport {
  const { claim_id, shard, bucket, attempt_id } = entryOf(number);
  return { claim_id, shard, bucket, attempt_id, outcome };
}

const completed: Outcome = {
  kind: OutcomeKind.Completed,
  output: "stamped",
  stages: [],
};

const notRun: Outcome = {
  kind: OutcomeKind.NotRun,
  reason: Reason.DeadlinePassed,
  message: "",
  retry_after_ms: undefined,
  stages: [],
};

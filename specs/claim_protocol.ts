/**
 * Model of the claim protocol: several attempts claim the same idempotency key
 * on hosts that may pause between any two steps. Responses of the object store
 * may be lost and its writes may take effect late. The model calls the claim
 * rules of the production code.
 */
import {
  applyClaim,
  applyOutcome,
  type ClaimDecision,
} from "../src/claims/claim_rules.ts";
import {
  type BucketClaims,
  ClaimReplyKind,
  type ClaimRequest,
  type OutcomeReport,
} from "../src/claims/types.ts";
import { type Outcome, OutcomeKind, Reason } from "../src/pipelines/outcome.ts";
import type { Specification } from "./explore.ts";

/** The step that an attempt has reached. */
enum Phase {
  Idle = "idle",
  /** It has read the stored claims. */
  ClaimsRead = "read",
  /** It waits for the response to its write. */
  AwaitingResponse = "waiting",
  Granted = "granted",
  Dispatched = "dispatched",
  /** Its claim was granted, but it ends without dispatching the request. */
  NotRun = "not_run",
  /** It ended without a granted claim and records no outcome. */
  Abandoned = "given_up",
  Refused = "refused",
}

/** The stored object with the claims of one time bucket. */
interface StoredClaims {
  version: number;
  claims: BucketClaims | null;
}

interface PendingWrite {
  /** The version that the write is conditional on. */
  version: number;
  claims: BucketClaims;
}

interface AttemptState {
  phase: Phase;
  /** The object as this attempt last read it. */
  lastRead: StoredClaims | null;
  /** A write that was sent and has not reached the store yet. */
  pending: PendingWrite | null;
  /** The store's response that was not received yet: whether the write applied. */
  response: boolean | null;
  /** Number of writes sent so far. */
  writes: number;
}

/** The state of the model: the stored object, the attempts and the executions. */
export interface ClaimProtocolState {
  stored: StoredClaims;
  attempts: AttemptState[];
  /** Number of times that the endpoint has run the request. */
  executions: number;
  /** Whether a key of a later time bucket has replaced the stored claims. */
  rotated: boolean;
}

/** One step of an attempt, the network or the store. */
export interface ClaimEvent {
  /**
   * "receive_answer" and "lose_answer": the response to the write arrives or is
   * lost; "give_up": the attempt ends without a claim; "abort_unsent": it ends
   * with a granted claim, before dispatch; "rotate": a key of a later time bucket
   * replaces the stored claims.
   */
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
  /** Index of the attempt; -1 for "rotate", which belongs to none. */
  attempt: number;
}

/** The safeguards of the protocol; tests disable one to see the model fail. */
export interface ClaimSafeguards {
  /** Writes apply only if the object still has the version that was read. */
  conditionalWrites: boolean;
  /** After a lost response an attempt reads the object again. */
  readBackOnLostResponse: boolean;
  /** Claims of a later time bucket reject keys of an earlier one. */
  rejectOlderBuckets: boolean;
  /** An attempt that ended as "not run" never dispatches. */
  abortIsFinal: boolean;
}

/** Every safeguard, as in the production code. */
export const ALL_CLAIM_SAFEGUARDS: ClaimSafeguards = {
  conditionalWrites: true,
  readBackOnLostResponse: true,
  rejectOlderBuckets: true,
  abortIsFinal: true,
};

const BUCKET = 1;
const LATER_BUCKET = 2;
const MAX_WRITES_PER_ATTEMPT = 2;

/**
 * Creates the model with the given number of concurrent attempts; every
 * safeguard is on unless `safeguards` says otherwise.
 */
export function createClaimSpecification(
  attempts: number,
  safeguards: ClaimSafeguards = ALL_CLAIM_SAFEGUARDS,
): Specification<ClaimProtocolState, ClaimEvent> {
  const idleAttempt: AttemptState = {
    phase: Phase.Idle,
    lastRead: null,
    pending: null,
    response: null,
    writes: 0,
  };
  return {
    name: "claims",
    initial: {
      stored: { version: 0, claims: null },
      attempts: Array.from({ length: attempts }, () => ({ ...idleAttempt })),
      executions: 0,
      rotated: false,
    },
    events: (state) => enabledEvents(state, safeguards),
    apply: (state, event) =>
      applyEvent(structuredClone(state), event, safeguards),
    invariants: [{
      name: "the key runs at most once",
      holds: (state) => state.executions <= 1,
    }],
  };
}

function enabledEvents(
  state: ClaimProtocolState,
  safeguards: ClaimSafeguards,
): ClaimEvent[] {
  const events = state.attempts.flatMap((attempt, index) =>
    enabledAttemptEvents(attempt, safeguards).map((type) => ({
      type,
      attempt: index,
    }))
  );
  if (!state.rotated && state.stored.claims !== null) {
    events.push({ type: "rotate", attempt: -1 });
  }
  return events;
}

function enabledAttemptEvents(
  attempt: AttemptState,
  safeguards: ClaimSafeguards,
): ClaimEvent["type"][] {
  const events: ClaimEvent["type"][] = [];
  if (attempt.pending !== null) events.push("write_arrives");
  switch (attempt.phase) {
    case Phase.Idle:
      events.push("give_up");
      if (attempt.writes < MAX_WRITES_PER_ATTEMPT) events.push("read");
      break;
    case Phase.ClaimsRead:
      events.push("send_write");
      break;
    case Phase.AwaitingResponse:
      events.push("lose_answer");
      if (attempt.response !== null) events.push("receive_answer");
      break;
    case Phase.Granted:
      events.push("dispatch", "abort_unsent");
      break;
    case Phase.Dispatched:
      events.push("record");
      break;
    case Phase.NotRun:
      events.push("record");
      if (!safeguards.abortIsFinal) events.push("dispatch");
      break;
  }
  return events;
}

function applyEvent(
  state: ClaimProtocolState,
  event: ClaimEvent,
  safeguards: ClaimSafeguards,
): ClaimProtocolState {
  if (event.type === "rotate") return replaceByLaterBucket(state);
  const attempt = state.attempts[event.attempt];
  if (attempt === undefined) return state;
  switch (event.type) {
    case "read":
      attempt.lastRead = structuredClone(state.stored);
      updatePhaseAfterRead(attempt, decide(attempt, event.attempt, safeguards));
      break;
    case "send_write":
      sendWrite(attempt, decide(attempt, event.attempt, safeguards));
      break;
    case "write_arrives":
      applyPendingWrite(state, attempt, safeguards);
      break;
    case "receive_answer":
      attempt.phase = attempt.response ? Phase.Granted : Phase.Idle;
      attempt.response = null;
      break;
    case "lose_answer":
      attempt.response = null;
      attempt.phase = safeguards.readBackOnLostResponse
        ? Phase.Idle
        : Phase.Granted;
      break;
    case "give_up":
      attempt.phase = Phase.Abandoned;
      break;
    case "dispatch":
      state.executions += 1;
      attempt.phase = Phase.Dispatched;
      break;
    case "abort_unsent":
      attempt.phase = Phase.NotRun;
      break;
    case "record":
      recordOutcome(state, event.attempt);
      break;
  }
  return state;
}

function decide(
  attempt: AttemptState,
  index: number,
  safeguards: ClaimSafeguards,
): ClaimDecision {
  const claims = attempt.lastRead?.claims ?? undefined;
  const older = claims !== undefined && claims.bucket > BUCKET;
  const visible = older && !safeguards.rejectOlderBuckets ? undefined : claims;
  return applyClaim(visible, createClaimRequest(index));
}

function updatePhaseAfterRead(
  attempt: AttemptState,
  { reply }: ClaimDecision,
): void {
  const granted = reply.kind === ClaimReplyKind.Granted;
  if (!granted) attempt.phase = Phase.Refused;
  else attempt.phase = Phase.ClaimsRead;
}

function sendWrite(attempt: AttemptState, decision: ClaimDecision): void {
  if (!decision.changed) {
    attempt.phase = Phase.Granted;
    return;
  }
  const version = attempt.lastRead?.version ?? 0;
  attempt.pending = { version, claims: decision.state };
  attempt.response = null;
  attempt.writes += 1;
  attempt.phase = Phase.AwaitingResponse;
}

function applyPendingWrite(
  state: ClaimProtocolState,
  attempt: AttemptState,
  safeguards: ClaimSafeguards,
): void {
  const { pending } = attempt;
  if (pending === null) return;
  attempt.pending = null;
  const applies = !safeguards.conditionalWrites ||
    pending.version === state.stored.version;
  if (applies) {
    state.stored = {
      version: state.stored.version + 1,
      claims: pending.claims,
    };
  }
  if (attempt.phase === Phase.AwaitingResponse) attempt.response = applies;
}

function recordOutcome(state: ClaimProtocolState, index: number): void {
  const attempt = state.attempts[index];
  if (attempt === undefined) return;
  const outcome = attempt.phase === Phase.NotRun ? notRun : completed;
  const decision = applyOutcome(
    state.stored.claims ?? undefined,
    createOutcomeReport(index, outcome),
  );
  if (decision.state !== undefined && decision.changed) {
    state.stored = {
      version: state.stored.version + 1,
      claims: decision.state,
    };
  }
}

/** A key of a later time bucket replaces the stored claims. */
function replaceByLaterBucket(state: ClaimProtocolState): ClaimProtocolState {
  const later = {
    ...createClaimRequest(-1),
    bucket: LATER_BUCKET,
    claim_id: "other",
  };
  const { state: claims } = applyClaim(state.stored.claims ?? undefined, later);
  state.stored = { version: state.stored.version + 1, claims };
  state.rotated = true;
  return state;
}

function createClaimRequest(index: number): ClaimRequest {
  return {
    claim_id: "key",
    shard: 0,
    bucket: BUCKET,
    attempt_id: `attempt-${index}`,
    body_digest: "body",
    timeout_ms: 0,
  };
}

function createOutcomeReport(index: number, outcome: Outcome): OutcomeReport {
  const { claim_id, shard, bucket, attempt_id } = createClaimRequest(index);
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

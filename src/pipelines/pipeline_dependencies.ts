/** What a pipeline run uses, as narrow interfaces. */
import type { Permit } from "../admission/pool_limiter.ts";
import type { AttemptResult } from "../endpoints/attempt.ts";
import type { CallEndpoint } from "../endpoints/endpoint_client.ts";
import type { Endpoint, EndpointPool, Stage } from "../records/types.ts";
import type { Outcome, Reason } from "./outcome.ts";
import type { PipelineRequest } from "./pipeline_request.ts";

/** Admission's answer to a new request. */
export type AdmissionDecision =
  | { admitted: true }
  | {
    admitted: false;
    reason: Reason;
    message: string;
    retry_after_ms?: number;
  };

/** Lets work in, and orders it in front of each pool. */
export interface Admission {
  /** Decides at once whether the request can meet its deadline. */
  decide(request: PipelineRequest): AdmissionDecision;
  /** Waits for a place in the stage's pool; rejects on abort. */
  acquire(
    request: PipelineRequest,
    place: { stage: Stage; started: boolean },
  ): Promise<Permit>;
  /** Learns how long a stage's call took. */
  recordServiceTime(stage: Stage, elapsed_ms: number): void;
  /** Forgets a request that has ended. */
  finish(request: PipelineRequest): void;
}

/** A chosen endpoint and the means to call it. */
export interface Route {
  endpoint: Endpoint;
  pool: EndpointPool;
  call: CallEndpoint;
  withdrawRetry: () => boolean;
}

/** Chooses endpoints. */
export interface Router {
  /** The endpoint for the next attempt; undefined when none takes work. */
  choose(
    request: PipelineRequest,
    need: { stage: Stage; tried: ReadonlySet<string> },
  ): Route | undefined;
}

/** Kinds of answer to a claim. */
export enum ClaimResultKind {
  /** This attempt, and no other, may run the request. */
  Claimed = "claimed",
  /** The request has an outcome already. */
  Recorded = "recorded",
  /** The request may not run, and this attempt never will. */
  Refused = "refused",
  /** Whether the claim took effect is not known; this attempt never runs. */
  Uncertain = "uncertain",
}

/** The answer to a claim. */
export type ClaimResult =
  | { kind: ClaimResultKind.Claimed }
  | { kind: ClaimResultKind.Recorded; outcome: Outcome }
  | {
    kind: ClaimResultKind.Refused | ClaimResultKind.Uncertain;
    reason: Reason;
    message: string;
    retry_after_ms?: number;
  };

/** What is known of a key's use. */
export enum KeyStatusKind {
  /** No attempt with the key has run. */
  Unused = "unused",
  /** An attempt has run and has an outcome. */
  Recorded = "recorded",
  /** An attempt may have run. */
  InUse = "in_use",
  /** The platform gave no answer. */
  Unavailable = "unavailable",
}

/** What is known of a key's use. */
export type KeyStatus =
  | { kind: KeyStatusKind.Recorded; outcome: Outcome }
  | { kind: Exclude<KeyStatusKind, KeyStatusKind.Recorded> };

/** Makes keyed requests run at most once. */
export interface Claims {
  /** Tells whether the request's key was used, without claiming it. */
  checkKey(request: PipelineRequest): Promise<KeyStatus>;
  claim(request: PipelineRequest): Promise<ClaimResult>;
  /** Notes the outcome of a claimed request. */
  recordOutcome(request: PipelineRequest, outcome: Outcome): void;
}

/** Optional hooks for logs and metrics. */
export interface PipelineObserver {
  onSlotAcquired?(
    request: PipelineRequest,
    grant: { stage: string; waited_ms: number },
  ): void;
  onAttempt?(
    request: PipelineRequest,
    attempt: {
      stage: string;
      endpoint: Endpoint;
      attempt: number;
      result: AttemptResult;
    },
  ): void;
  onOutcome?(request: PipelineRequest, outcome: Outcome): void;
}

/** Everything that a run uses. */
export interface PipelineDependencies {
  admission: Admission;
  router: Router;
  claims: Claims;
  observer: PipelineObserver;
  now: () => number;
}

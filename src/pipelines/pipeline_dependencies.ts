/** The interfaces that a pipeline run depends on. */
import type { Permit } from "../admission/pool_limiter.ts";
import type { AttemptResult } from "../endpoints/attempt.ts";
import type { CallEndpoint } from "../endpoints/endpoint_client.ts";
import type { Endpoint, EndpointPool, Stage } from "../records/types.ts";
import type { Outcome, Reason } from "./outcome.ts";
import type { PipelineRequest } from "./pipeline_request.ts";

/** The decision on a new request. */
export type AdmissionDecision =
  | { admitted: true }
  | {
    admitted: false;
    reason: Reason;
    message: string;
    retry_after_ms?: number;
  };

/** Admits requests and limits the calls to each pool. */
export interface Admission {
  /** Decides at once whether the request is expected to meet its deadline. */
  decide(request: PipelineRequest): AdmissionDecision;
  /**
   * Waits for a permit for the stage's pool; rejects if the request's signal is
   * aborted.
   */
  acquire(
    request: PipelineRequest,
    call: { stage: Stage; started: boolean },
  ): Promise<Permit>;
  /** Records the duration of a completed call, for later estimates. */
  recordServiceTime(stage: Stage, elapsed_ms: number): void;
  /** Must be called once for each request, when it has ended. */
  finish(request: PipelineRequest): void;
}

/** A chosen endpoint and the functions to call it. */
export interface SelectedEndpoint {
  endpoint: Endpoint;
  pool: EndpointPool;
  call: CallEndpoint;
  /** Takes one retry from the pool's retry budget; false if it is empty. */
  tryTakeRetry: () => boolean;
}

/** Chooses endpoints. */
export interface Router {
  /**
   * The endpoint for the next attempt; `undefined` if none can be called or is
   * expected to meet the deadline. `tried` names the endpoints already called
   * for the stage.
   */
  choose(
    request: PipelineRequest,
    need: { stage: Stage; tried: ReadonlySet<string> },
  ): SelectedEndpoint | undefined;
}

/** Kinds of result of a claim. */
export enum ClaimResultKind {
  /** This attempt, and no other, may run the request. */
  Claimed = "claimed",
  /** An earlier attempt has an outcome. */
  Recorded = "recorded",
  /** The key cannot be used for this request; this attempt never runs. */
  Refused = "refused",
  /** An earlier attempt may have run; this attempt never runs. */
  Uncertain = "uncertain",
}

/** The result of a claim. */
export type ClaimResult =
  | { kind: ClaimResultKind.Claimed }
  | { kind: ClaimResultKind.Recorded; outcome: Outcome }
  | {
    kind: ClaimResultKind.Refused | ClaimResultKind.Uncertain;
    reason: Reason;
    message: string;
    retry_after_ms?: number;
  };

/** Kinds of status of an idempotency key. */
export enum KeyStatusKind {
  /** No attempt with the key has run. */
  Unused = "unused",
  /** An attempt has run and has an outcome. */
  Recorded = "recorded",
  /** An attempt may have run, and no outcome is known. */
  InUse = "in_use",
  /** The platform did not respond. */
  Unavailable = "unavailable",
}

/** The status of an idempotency key. */
export type KeyStatus =
  | { kind: KeyStatusKind.Recorded; outcome: Outcome }
  | { kind: Exclude<KeyStatusKind, KeyStatusKind.Recorded> };

/** Ensures that requests with an idempotency key run at most once. */
export interface Claims {
  /** Reads the status of the request's key without claiming it. */
  checkKey(request: PipelineRequest): Promise<KeyStatus>;
  /** Claims the request's key for this attempt. */
  claim(request: PipelineRequest): Promise<ClaimResult>;
  /** Stores the outcome of a claimed request. */
  recordOutcome(request: PipelineRequest, outcome: Outcome): void;
}

/** Optional hooks for logs and metrics. */
export interface PipelineObserver {
  /** Called when a request gets the permit for a stage's pool. */
  onPermit?(
    request: PipelineRequest,
    permit: { stage: string; waited_ms: number },
  ): void;
  /** Called after each attempt; `attempt` counts from 1 in each stage. */
  onAttempt?(
    request: PipelineRequest,
    attempt: {
      stage: string;
      endpoint: Endpoint;
      attempt: number;
      result: AttemptResult;
    },
  ): void;
  /** Called once, with the outcome of the request. */
  onOutcome?(request: PipelineRequest, outcome: Outcome): void;
}

/** The dependencies of a pipeline run. */
export interface PipelineDependencies {
  admission: Admission;
  router: Router;
  claims: Claims;
  observer: PipelineObserver;
  /** Clock of the requests' times and deadlines, in milliseconds. */
  now: () => number;
}

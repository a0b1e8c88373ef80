/** The outcomes of requests. */

/** A completed stage of a request. */
export interface StageReport {
  name: string;
  /** Name of the endpoint that returned the result. */
  endpoint: string;
  elapsed_ms: number;
  /** Cost that the endpoint reported, in its own unit. */
  cost: number;
}

/** The kinds of outcome; every accepted request gets exactly one. */
export enum OutcomeKind {
  /** Every stage has returned its result. */
  Completed = "completed",
  /** No call can have reached an endpoint. */
  NotRun = "not_run",
  /** A call that must not be repeated may have run. */
  Unknown = "unknown",
  /** Calls were sent, but none that must not be repeated can have run. */
  Failed = "failed",
}

/** Why a request was not completed. */
export enum Reason {
  Draining = "draining",
  NotConfigured = "not_configured",
  DeadlineTooShort = "deadline_too_short",
  DeadlinePassed = "deadline_passed",
  CallerGone = "caller_gone",
  HostStopping = "host_stopping",
  NoEndpoint = "no_endpoint",
  EndpointFailed = "endpoint_failed",
  /** A retry generated another text than the caller had already received. */
  StreamDiverged = "stream_diverged",
  KeyExpired = "key_expired",
  KeyConflict = "key_conflict",
  /** An earlier request with the key has no stored outcome. */
  KeyInUse = "key_in_use",
  /** It is not known whether the key was claimed. */
  KeyUndecided = "key_undecided",
  PlatformUnavailable = "platform_unavailable",
}

/** The outcome of a completed request. */
export interface CompletedOutcome {
  kind: OutcomeKind.Completed;
  output: unknown;
  stages: StageReport[];
}

/** The outcome of a request that was not completed. */
export interface IncompleteOutcome {
  kind: OutcomeKind.NotRun | OutcomeKind.Unknown | OutcomeKind.Failed;
  reason: Reason;
  message: string;
  /** How long to wait before a retry; `undefined` if none is suggested. */
  retry_after_ms: number | undefined;
  stages: StageReport[];
}

/** The outcome of a request. */
export type Outcome = CompletedOutcome | IncompleteOutcome;

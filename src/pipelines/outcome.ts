/** How a request ends. */

/** What one stage did for a request. */
export interface StageReport {
  name: string;
  /** Name of the endpoint that gave the result. */
  endpoint: string;
  elapsed_ms: number;
  cost: number;
}

/** The kinds of outcome; every request gets exactly one. */
export enum OutcomeKind {
  /** One whole, correct answer. */
  Completed = "completed",
  /** Nothing was sent to any endpoint. */
  NotRun = "not_run",
  /** It may have run. */
  Unknown = "unknown",
  /** It ran, without lasting effect, and failed. */
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
  StreamDiverged = "stream_diverged",
  KeyExpired = "key_expired",
  KeyConflict = "key_conflict",
  KeyInUse = "key_in_use",
  KeyUndecided = "key_undecided",
  PlatformUnavailable = "platform_unavailable",
}

/** A completed request. */
export interface CompletedOutcome {
  kind: OutcomeKind.Completed;
  output: unknown;
  stages: StageReport[];
}

/** A request that was not completed. */
export interface IncompleteOutcome {
  kind: OutcomeKind.NotRun | OutcomeKind.Unknown | OutcomeKind.Failed;
  reason: Reason;
  message: string;
  /** When a retry can help; undefined when it cannot. */
  retry_after_ms: number | undefined;
  stages: StageReport[];
}

/** The outcome of a request. */
export type Outcome = CompletedOutcome | IncompleteOutcome;

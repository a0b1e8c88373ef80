/** Error responses to callers as problem details (RFC 9457). */
import type { ServerResponse } from "node:http";
import {
  type IncompleteOutcome,
  OutcomeKind,
  Reason,
} from "../pipelines/outcome.ts";

/** The body of an error response. */
export interface Problem {
  status: number;
  title: string;
  detail: string;
  outcome: IncompleteOutcome["kind"];
  reason: string;
  request_id?: string;
  retry_after_ms?: number;
  /** Names of the stages that completed. */
  stages_done?: string[];
}

/** Why a request was not accepted. The values go to the caller as `reason`. */
export enum RequestFault {
  NotFound = "not_found",
  MethodNotAllowed = "method_not_allowed",
  Unauthorized = "unauthorized",
  Forbidden = "forbidden",
  UnknownPipeline = "unknown_pipeline",
  UnknownRank = "unknown_rank",
  BadDeadline = "bad_deadline",
  BadKey = "bad_key",
  BadHeader = "bad_header",
  DuplicateHeader = "duplicate_header",
  BadBody = "bad_body",
  BodyTooLarge = "body_too_large",
  UnsupportedMediaType = "unsupported_media_type",
  Timeout = "timeout",
}

const STATUS_BY_FAULT: Record<RequestFault, number> = {
  [RequestFault.NotFound]: 404,
  [RequestFault.MethodNotAllowed]: 405,
  [RequestFault.Unauthorized]: 401,
  [RequestFault.Forbidden]: 403,
  [RequestFault.UnknownPipeline]: 404,
  [RequestFault.UnknownRank]: 400,
  [RequestFault.BadDeadline]: 400,
  [RequestFault.BadKey]: 400,
  [RequestFault.BadHeader]: 400,
  [RequestFault.DuplicateHeader]: 400,
  [RequestFault.BadBody]: 400,
  [RequestFault.BodyTooLarge]: 413,
  [RequestFault.UnsupportedMediaType]: 415,
  [RequestFault.Timeout]: 408,
};

const STATUS_BY_REASON: Record<Reason, number> = {
  [Reason.Draining]: 503,
  [Reason.NotConfigured]: 503,
  [Reason.DeadlineTooShort]: 503,
  [Reason.DeadlinePassed]: 504,
  [Reason.CallerGone]: 499,
  [Reason.HostStopping]: 503,
  [Reason.NoEndpoint]: 503,
  [Reason.EndpointFailed]: 502,
  [Reason.StreamDiverged]: 502,
  [Reason.KeyExpired]: 409,
  [Reason.KeyConflict]: 422,
  [Reason.KeyInUse]: 409,
  [Reason.KeyUndecided]: 503,
  [Reason.PlatformUnavailable]: 503,
};

const MS_PER_S = 1_000;

/** Thrown for an invalid request before anything is sent to an endpoint. */
export class RequestError extends Error {
  constructor(readonly fault: RequestFault, message: string) {
    super(message);
    this.name = "RequestError";
  }
}

/** The problem details of a request that was not accepted. */
export function faultProblem(fault: RequestFault, detail: string): Problem {
  return {
    status: STATUS_BY_FAULT[fault],
    title: titleFromCode(fault),
    detail,
    outcome: OutcomeKind.NotRun,
    reason: fault,
  };
}

/** The problem details of an accepted request that did not complete. */
export function incompleteOutcomeProblem(
  incomplete: IncompleteOutcome,
  request_id: string,
): Problem {
  return {
    status: STATUS_BY_REASON[incomplete.reason],
    title: titleFromCode(incomplete.reason),
    detail: incomplete.message,
    outcome: incomplete.kind,
    reason: incomplete.reason,
    request_id,
    retry_after_ms: incomplete.retry_after_ms === undefined
      ? undefined
      : Math.round(incomplete.retry_after_ms),
    stages_done: incomplete.stages.map((stage) => stage.name),
  };
}

/** Sends problem details as the response; does nothing if one has begun. */
export function sendProblem(response: ServerResponse, problem: Problem): void {
  if (response.headersSent || response.destroyed) return;
  response.statusCode = problem.status;
  response.setHeader("content-type", "application/problem+json");
  if (problem.retry_after_ms !== undefined) {
    const seconds = Math.max(1, Math.ceil(problem.retry_after_ms / MS_PER_S));
    response.setHeader("retry-after", String(seconds));
  }
  response.end(JSON.stringify({ type: "about:blank", ...problem }));
}

function titleFromCode(code: string): string {
  const words = code.replaceAll("_", " ");
  return words.charAt(0).toUpperCase() + words.slice(1);
}

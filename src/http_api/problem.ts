/** Refusals as RFC 9457 problem details. */
import type { ServerResponse } from "node:http";
import {
  type IncompleteOutcome,
  OutcomeKind,
  Reason,
} from "../pipelines/outcome.ts";

/** A refusal on its way to the caller. */
export interface Problem {
  status: number;
  title: string;
  detail: string;
  outcome: IncompleteOutcome["kind"];
  reason: string;
  request_id?: string;
  retry_after_ms?: number;
  /** Names of the stages that gave a result. */
  stages_done?: string[];
}

/** What is wrong with a request that was not accepted. */
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

const FAULT_STATUS: Record<RequestFault, number> = {
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

const REASON_STATUS: Record<Reason, number> = {
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

/** Thrown while a request is read; nothing was sent to any endpoint. */
export class RequestError extends Error {
  constructor(readonly fault: RequestFault, message: string) {
    super(message);
    this.name = "RequestError";
  }
}

/** The problem for a request that was not accepted. */
export function faultProblem(fault: RequestFault, detail: string): Problem {
  return {
    status: FAULT_STATUS[fault],
    title: titleOf(fault),
    detail,
    outcome: OutcomeKind.NotRun,
    reason: fault,
  };
}

/** The problem for a request that was accepted and not completed. */
export function refusalProblem(
  refusal: IncompleteOutcome,
  request_id: string,
): Problem {
  return {
    status: REASON_STATUS[refusal.reason],
    title: titleOf(refusal.reason),
    detail: refusal.message,
    outcome: refusal.kind,
    reason: refusal.reason,
    request_id,
    retry_after_ms: refusal.retry_after_ms === undefined
      ? undefined
      : Math.round(refusal.retry_after_ms),
    stages_done: refusal.stages.map((stage) => stage.name),
  };
}

/** Writes a problem as the whole answer. */
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

function titleOf(code: string): string {
  const words = code.replaceAll("_", " ");
  return words.charAt(0).toUpperCase() + words.slice(1);
}

/**
 * Error responses that this host sends itself. Most reasons guarantee that the
 * request has not run and will not run; `EndpointLost`, `TimedOut` and
 * `FaultAfterSend` do not.
 */
import { EVACUATED_RETRY_AFTER_MS } from "../evacuations/types.ts";
import type { InboundRequest } from "./run_context.ts";

/**
 * Why this host responded instead of an endpoint. The values go to the caller.
 */
export enum RejectionReason {
  Malformed = "malformed",
  UnknownKey = "unknown_key",
  NoRoute = "no_route",
  BodyTooLarge = "body_too_large",
  HeadersTooLarge = "headers_too_large",
  /** Not run: this host has no configuration yet, or is stopping. */
  NotReady = "not_ready",
  /** Not run: the bodies of requests take too much of this host's memory. */
  NoMemory = "no_memory",
  /** Not run: its stages are not expected to complete in time. */
  StagesTooSlow = "no_room",
  /** Not run: its deadline passed before an endpoint took it. */
  TooLate = "too_late",
  /** Not run: endpoints crash on it or on a part of its prompt. */
  Quarantined = "quarantined",
  /**
   * Not run: it is not known which software version wrote the stream that it
   * resumes.
   */
  VersionUnknown = "version_unknown",
  /** Not run: no endpoint has the software version of the stream. */
  VersionGone = "version_gone",
  /** Not run: all availability zones of its endpoints are evacuated. */
  ZonesEvacuated = "zones_evacuated",
  /** Not run: no endpoint accepted it. */
  NoEndpoint = "no_endpoint",
  /** Not run: this host failed before it sent the request. */
  FaultBeforeSend = "fault_before_send",
  /** May have run: this host failed after it sent the request. */
  FaultAfterSend = "fault_after_send",
  /** May have run: its endpoint gave no complete response. */
  EndpointLost = "endpoint_lost",
  /** May have run: its deadline passed after an endpoint may have taken it. */
  TimedOut = "timed_out",
}

const STATUS_BY_REASON: Record<RejectionReason, number> = {
  [RejectionReason.Malformed]: 400,
  [RejectionReason.UnknownKey]: 401,
  [RejectionReason.NoRoute]: 404,
  [RejectionReason.BodyTooLarge]: 413,
  [RejectionReason.HeadersTooLarge]: 431,
  [RejectionReason.NotReady]: 503,
  [RejectionReason.NoMemory]: 503,
  [RejectionReason.StagesTooSlow]: 503,
  [RejectionReason.TooLate]: 503,
  [RejectionReason.Quarantined]: 503,
  [RejectionReason.VersionUnknown]: 503,
  [RejectionReason.VersionGone]: 503,
  [RejectionReason.ZonesEvacuated]: 503,
  [RejectionReason.NoEndpoint]: 503,
  [RejectionReason.FaultBeforeSend]: 503,
  [RejectionReason.FaultAfterSend]: 502,
  [RejectionReason.EndpointLost]: 502,
  [RejectionReason.TimedOut]: 504,
};

/** An error response of this host. */
export interface Rejection {
  reason: RejectionReason;
  message: string;
  /**
   * Delay in milliseconds after which a retry may succeed; undefined if none
   * can.
   */
  retry_after_ms?: number;
}

/**
 * Sent when the host is stopping and the request could not complete in time;
 * other hosts accept it at once.
 */
export const HOST_STOPPING: Rejection = {
  reason: RejectionReason.NotReady,
  message: "This host is stopping",
  retry_after_ms: 20,
};

/** Sent when this host holds too many bodies of requests. */
export const NO_MEMORY: Rejection = {
  reason: RejectionReason.NoMemory,
  message: "This host holds too many requests",
  retry_after_ms: 250,
};

/** Sent when endpoints crash on the request; no later time is better. */
export const QUARANTINED: Rejection = {
  reason: RejectionReason.Quarantined,
  message: "Endpoints crash on it",
};

/** Sent when a stream can't be resumed without joining two versions. */
export const VERSION_UNKNOWN: Rejection = {
  reason: RejectionReason.VersionUnknown,
  message: "The software version of the stream is not known: begin it anew",
};

/** Sent when no endpoint is left that could go on with a stream. */
export const VERSION_GONE: Rejection = {
  reason: RejectionReason.VersionGone,
  message: "No endpoint has the stream's software version: begin it anew",
};

/** Sent while no zone is left that endpoints of a pool are in. */
export const ZONES_EVACUATED: Rejection = {
  reason: RejectionReason.ZonesEvacuated,
  message: "All availability zones of its endpoints are evacuated",
  retry_after_ms: EVACUATED_RETRY_AFTER_MS,
};

/** Sent when the handling of a request throws before its first send. */
export const FAULT_BEFORE_SEND: Rejection = {
  reason: RejectionReason.FaultBeforeSend,
  message: "This host failed; the request was not sent",
  retry_after_ms: 250,
};

/** Sent when the handling of a request throws after a send. */
export const FAULT_AFTER_SEND: Rejection = {
  reason: RejectionReason.FaultAfterSend,
  message: "This host failed; the request may have run",
};

const MS_PER_S = 1_000;

/**
 * Sends a rejection as problem+json (RFC 9457), and closes the connection
 * afterwards unless `keepConnection`. If a response has begun, destroys the
 * connection instead.
 */
export function sendRejection(
  { response, progress }: InboundRequest,
  rejection: Rejection,
  keepConnection: boolean,
): void {
  if (response.headersSent || response.destroyed) {
    progress.cut(response, rejection.reason);
    return;
  }
  progress.refused = true;
  const status = STATUS_BY_REASON[rejection.reason];
  const body = JSON.stringify({
    type: "about:blank",
    status,
    title: rejection.reason,
    detail: rejection.message,
  });
  const headers = [
    "Content-Type",
    "application/problem+json",
    "Content-Length",
    String(Buffer.byteLength(body)),
  ];
  if (rejection.retry_after_ms !== undefined) {
    const seconds = (rejection.retry_after_ms / MS_PER_S).toFixed(3);
    headers.push("Retry-After", seconds);
  }
  if (!keepConnection) headers.push("Connection", "close");
  response.writeHead(status, headers);
  response.end(body);
}

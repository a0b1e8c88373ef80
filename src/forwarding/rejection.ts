/**
 * Answers of this host's own. A refusal says that the request has not run and
 * never will; a failure promises nothing.
 */
import type { ServerResponse } from "node:http";

/** Why a request got no answer from an endpoint. */
export enum RejectionReason {
  Malformed = "malformed",
  UnknownKey = "unknown_key",
  NoRoute = "no_route",
  BodyTooLarge = "body_too_large",
  HeadersTooLarge = "headers_too_large",
  /** Not run: this host knows no configuration yet, or is about to stop. */
  NotReady = "not_ready",
  /** Not run: there is no room in time. */
  NoRoom = "no_room",
  /** Not run: its time ran out while it waited. */
  TooLate = "too_late",
  /** Not run: no endpoint can be reached. */
  NoEndpoint = "no_endpoint",
  /** It may have run: its endpoint was lost. */
  EndpointLost = "endpoint_lost",
  /** It may have run: its time ran out. */
  TimedOut = "timed_out",
}

const STATUS_BY_REASON: Record<RejectionReason, number> = {
  [RejectionReason.Malformed]: 400,
  [RejectionReason.UnknownKey]: 401,
  [RejectionReason.NoRoute]: 404,
  [RejectionReason.BodyTooLarge]: 413,
  [RejectionReason.HeadersTooLarge]: 431,
  [RejectionReason.NotReady]: 503,
  [RejectionReason.NoRoom]: 503,
  [RejectionReason.TooLate]: 503,
  [RejectionReason.NoEndpoint]: 503,
  [RejectionReason.EndpointLost]: 502,
  [RejectionReason.TimedOut]: 504,
};

/** A request that this host answers itself. */
export interface Rejection {
  reason: RejectionReason;
  message: string;
  /** When to come back, if that can help, in milliseconds. */
  retry_after_ms?: number;
}

const MS_PER_S = 1_000;

/** The status with which a denial is answered. */
export function statusForReason(reason: RejectionReason): number {
  return STATUS_BY_REASON[reason];
}

/** Answers with a denial as problem+json (RFC 9457). */
export function sendRejection(
  response: ServerResponse,
  rejection: Rejection,
  keepConnection: boolean,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
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

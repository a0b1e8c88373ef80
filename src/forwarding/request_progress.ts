/** Progress of one caller's request, from which its end is told. */
import type { ServerResponse } from "node:http";

/** What a request is waiting for. The values are logged. */
export enum RequestStage {
  Admission = "admission",
  ReadingBody = "reading_body",
  Stages = "stages",
  ChoosingEndpoint = "choosing_endpoint",
  /** Sent to an endpoint; its response has not ended. */
  Sending = "sending",
}

/** How a request ended. The values are labels of a metric. */
export enum RequestEnd {
  /** With a complete response of an endpoint. */
  Answered = "answered",
  /** With a complete error response of this host. */
  Refused = "refused",
  /** A response had begun, and this host closed the connection within it. */
  Cut = "cut",
  /** The caller closed the connection. */
  CallerGone = "caller_gone",
  /** It arrived on a connection that this host was closing, and was not served. */
  CrossedClose = "crossed_close",
  /** This host closed the connection without any response. */
  NoOutcome = "no_outcome",
}

/** What is known of a request that has not ended. */
export class RequestProgress {
  stage = RequestStage.Admission;
  /** Undefined until its headers are admitted. */
  attempt_id: string | undefined;
  route: string | undefined;
  /** Number of times it was sent to an endpoint. */
  sends = 0;
  /**
   * Whether an endpoint may have run the request, or may run it; false only if
   * that is certain.
   */
  mayHaveRun = false;
  /** Whether the response is this host's own. */
  refused = false;
  /** Whether this host had closed the connection before the request arrived. */
  crossedClose = false;
  #cutCause: string | undefined;

  /** Why this host closed the connection; undefined if it did not. */
  get cutCause(): string | undefined {
    return this.#cutCause;
  }

  /** Closes the caller's connection within or before its response; keeps the first cause. */
  cut(response: ServerResponse, cause: string): void {
    if (response.destroyed) return;
    this.#cutCause ??= cause;
    response.destroy();
  }
}

/** Tells how a request ended whose response has closed. */
export function endOf(
  progress: RequestProgress,
  response: ServerResponse,
): RequestEnd {
  if (response.writableFinished) {
    return progress.refused ? RequestEnd.Refused : RequestEnd.Answered;
  }
  if (progress.crossedClose) return RequestEnd.CrossedClose;
  if (progress.cutCause === undefined) return RequestEnd.CallerGone;
  return response.headersSent ? RequestEnd.Cut : RequestEnd.NoOutcome;
}

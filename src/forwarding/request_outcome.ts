/** What the handling of a request has come to. */
import type { Rejection } from "./rejection.ts";
import type { BufferedResponse } from "./relay.ts";

/** The kinds of {@linkcode RequestOutcome}. */
export enum OutcomeKind {
  /** An endpoint's response was relayed as far as it goes. */
  Relayed = "relayed",
  /** This host responds in the place of an endpoint. */
  Refused = "refused",
  /** An endpoint's error was withheld and is passed on after all. */
  ErrorPassedOn = "error_passed_on",
  /** The response can't go on: its connection is closed. */
  Cut = "cut",
  /** The caller has closed the connection. */
  CallerGone = "caller_gone",
}

/** The result of handling a request; every path through it returns one. */
export type RequestOutcome =
  | { kind: OutcomeKind.Relayed; label: string }
  | {
    kind: OutcomeKind.Refused;
    rejection: Rejection;
    /** Whether the connection can't be used again. */
    closeConnection: boolean;
  }
  | { kind: OutcomeKind.ErrorPassedOn; buffered: BufferedResponse }
  | { kind: OutcomeKind.Cut; cause: string }
  | { kind: OutcomeKind.CallerGone };

/** The outcome of a request that this host refuses. */
export function refused(
  rejection: Rejection,
  closeConnection = false,
): RequestOutcome {
  return { kind: OutcomeKind.Refused, rejection, closeConnection };
}

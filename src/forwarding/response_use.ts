/**
 * Decides what becomes of an endpoint's response, given what the caller already
 * has: once the head of a stream has been sent, only what continues that stream
 * may follow.
 */

/** What a response is good for. The values appear in the logs. */
export enum ResponseUse {
  /** Its events are relayed as they arrive. */
  Stream = "stream",
  /** It is relayed in one body, once it is complete. */
  Whole = "whole",
  /** It can't follow what the caller has. */
  None = "no_continuation",
}

/** The head of a response, as far as the decision needs it. */
export interface ResponseHead {
  status: number;
  /** Whether its body is declared as server-sent events. */
  stream: boolean;
  /** Whether its body is compressed or encoded otherwise. */
  encoded: boolean;
}

/** The caller's side of the decision. */
export interface CallerSide {
  /** Whether its route answers with streams. */
  streaming: boolean;
  /** Status that the caller has received; undefined before the first bytes. */
  sent_status: number | undefined;
}

const MIN_SUCCESS_STATUS = 200;
const MIN_REDIRECT_STATUS = 300;

/** Decides what a response is good for. */
export function useOf(head: ResponseHead, caller: CallerSide): ResponseUse {
  const isStream = caller.streaming && head.stream && isSuccess(head.status);
  if (caller.sent_status === undefined) {
    return isStream ? ResponseUse.Stream : ResponseUse.Whole;
  }
  const continues = isStream && !head.encoded &&
    head.status === caller.sent_status;
  return continues ? ResponseUse.Stream : ResponseUse.None;
}

function isSuccess(status: number): boolean {
  return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
}

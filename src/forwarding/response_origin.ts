/**
 * Tells whether a response answers the request that was sent. A faulty endpoint
 * may write an earlier response once more where the next one is expected.
 */
import type { ResponseMetadata } from "./protocol_codec.ts";

/** Which request a response belongs to. The values appear in the logs. */
export enum ResponseOrigin {
  /** It answers the request that was sent. */
  Own = "own_answer",
  /** It answers another request, or none. */
  Foreign = "foreign_answer",
  /** It names no request, and its connection was used before. */
  Unidentified = "unidentified_answer",
}

/** What is known of a response before its body is read. */
export interface ReceivedHead {
  status: number;
  metadata: ResponseMetadata;
  /** Whether no earlier response came on its connection. */
  first_on_connection: boolean;
}

const MIN_REDIRECT_STATUS = 300;

/**
 * Tells the origin of a response to the request with this attempt id. A success
 * must name the request and be signed. Any other response may lack the id, but
 * only the first on its connection can't be a copy of an earlier one.
 */
export function originOf(
  { status, metadata, first_on_connection }: ReceivedHead,
  attempt_id: string,
): ResponseOrigin {
  if (status < MIN_REDIRECT_STATUS) {
    return isSuccessOf(attempt_id, metadata)
      ? ResponseOrigin.Own
      : ResponseOrigin.Foreign;
  }
  if (metadata.attempt_id === attempt_id) return ResponseOrigin.Own;
  if (metadata.attempt_id !== undefined) return ResponseOrigin.Foreign;
  return first_on_connection ? ResponseOrigin.Own : ResponseOrigin.Unidentified;
}

function isSuccessOf(
  attempt_id: string,
  metadata: ResponseMetadata,
): boolean {
  return metadata.signed && metadata.attempt_id === attempt_id &&
    !metadata.not_run;
}

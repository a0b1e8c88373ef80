/** Bodies of requests and responses, whose transfer is reported as it goes. */
import type { ClientRequest, IncomingMessage } from "node:http";
import { BytesReadKind, readBytes } from "../bodies/read_bytes.ts";
import { AttemptError, AttemptOutcome } from "./attempt.ts";

/** Part of a request body whose transfer counts as progress: 256 KiB. */
const BODY_PART_BYTES = 262_144;
/** Larger responses are cut off: 64 MiB. */
const MAX_RESPONSE_BYTES = 67_108_864;

/**
 * Writes a body part by part and ends the request; calls `onProgress` when a
 * part was transferred.
 */
export function writeBody(
  clientRequest: ClientRequest,
  body: Buffer,
  onProgress: () => void,
): void {
  if (body.length <= BODY_PART_BYTES) return void clientRequest.end(body);
  const rest = body.subarray(BODY_PART_BYTES);
  clientRequest.write(body.subarray(0, BODY_PART_BYTES), (error) => {
    if (error || clientRequest.destroyed) return;
    onProgress();
    writeBody(clientRequest, rest, onProgress);
  });
}

/** Reads a body as text; rejects if it is broken off or too long. */
export async function readText(
  response: IncomingMessage,
  onProgress: () => void,
): Promise<string> {
  const max_bytes = MAX_RESPONSE_BYTES;
  const read = await readBytes(response, { max_bytes, onProgress });
  if (read.kind === BytesReadKind.Complete) return read.bytes.toString("utf8");
  response.destroy();
  if (read.kind === BytesReadKind.TooLarge) throw tooLong();
  throw new AttemptError(AttemptOutcome.Truncated, "The answer was cut");
}

function tooLong(): AttemptError {
  return new AttemptError(AttemptOutcome.Failed, "The answer is too long");
}

/** Limits the length of one response. */
export class LengthLimit {
  #length = 0;

  /** Adds received bytes; throws if the response is too long. */
  add(bytes: number): void {
    this.#length += bytes;
    if (this.#length > MAX_RESPONSE_BYTES) throw tooLong();
  }
}

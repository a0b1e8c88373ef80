/** Bodies of requests and responses, whose transfer is reported as it goes. */
import type { ClientRequest, IncomingMessage } from "node:http";
import { AttemptError, AttemptOutcome } from "./attempt.ts";

/** Part of a request body whose transfer counts as progress: 256 KiB. */
const BODY_PART_BYTES = 262_144;
/** Larger responses are cut off: 64 Mi characters. */
const MAX_RESPONSE_LENGTH = 67_108_864;

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
export function readText(
  response: IncomingMessage,
  onProgress: () => void,
): Promise<string> {
  return new Promise((resolve, reject) => {
    const lengthLimit = new LengthLimit();
    let text = "";
    response.setEncoding("utf8");
    response.on("data", (chunk: string) => {
      onProgress();
      text += chunk;
      try {
        lengthLimit.add(chunk.length);
      } catch (error) {
        response.destroy(error as Error);
      }
    });
    response.on("error", reject);
    response.on("end", () => resolve(text));
  });
}

/** Limits the length of one response. */
export class LengthLimit {
  #length = 0;

  /** Adds received characters; throws if the response is too long. */
  add(characters: number): void {
    this.#length += characters;
    if (this.#length <= MAX_RESPONSE_LENGTH) return;
    throw new AttemptError(AttemptOutcome.Failed, "The answer is too long");
  }
}

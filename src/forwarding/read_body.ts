/** Reads the body of a caller's request into memory. */
import type { IncomingMessage } from "node:http";

/** The body, undefined if the request has none, or why it could not be read. */
export type BodyReadResult =
  | { kind: BodyReadOutcome.Complete; body: Buffer | undefined }
  | { kind: BodyReadOutcome.TooLarge }
  | { kind: BodyReadOutcome.Aborted }
  | { kind: BodyReadOutcome.Interrupted };

/** The kinds of {@linkcode BodyReadResult}. */
export enum BodyReadOutcome {
  Complete = "whole",
  TooLarge = "too_large",
  Aborted = "cut",
  /** The signal aborted before the body was complete. */
  Interrupted = "interrupted",
}

/** Reads a body of at most `max_bytes` until the signal aborts; never rejects. */
export function readBody(
  request: IncomingMessage,
  max_bytes: number,
  signal: AbortSignal,
): Promise<BodyReadResult> {
  const { headers } = request;
  const contentLength = headers["content-length"];
  if (
    contentLength === undefined && headers["transfer-encoding"] === undefined
  ) {
    return Promise.resolve({ kind: BodyReadOutcome.Complete, body: undefined });
  }
  if (contentLength !== undefined && Number(contentLength) > max_bytes) {
    return Promise.resolve({ kind: BodyReadOutcome.TooLarge });
  }
  return new Promise((settle) => {
    const interrupt = () => resolve({ kind: BodyReadOutcome.Interrupted });
    const resolve = (result: BodyReadResult) => {
      signal.removeEventListener("abort", interrupt);
      settle(result);
    };
    signal.addEventListener("abort", interrupt);
    const chunks: Buffer[] = [];
    let size = 0;
    request.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > max_bytes) {
        chunks.length = 0;
        resolve({ kind: BodyReadOutcome.TooLarge });
      } else chunks.push(chunk);
    });
    request.on(
      "end",
      () =>
        resolve({
          kind: BodyReadOutcome.Complete,
          body: Buffer.concat(chunks),
        }),
    );
    request.on("error", () => resolve({ kind: BodyReadOutcome.Aborted }));
    request.on("close", () => resolve({ kind: BodyReadOutcome.Aborted }));
  });
}

/** Reads the body of a caller's request into memory. */
import type { IncomingMessage } from "node:http";
import type { HeldBody } from "../bodies/body_memory.ts";
import {
  type BodyLimits,
  type BytesRead,
  BytesReadKind,
  readBytes,
} from "../bodies/read_bytes.ts";

/** The body, undefined if the request has none, or why it could not be read. */
export type BodyReadResult =
  | {
    kind: BodyReadOutcome.Complete;
    body: Buffer | undefined;
    /** Must be released when the body is freed. */
    held?: HeldBody;
  }
  | { kind: BodyReadOutcome.TooLarge }
  | { kind: BodyReadOutcome.NoMemory }
  | { kind: BodyReadOutcome.Aborted }
  | { kind: BodyReadOutcome.Interrupted };

/** The kinds of {@linkcode BodyReadResult}. */
export enum BodyReadOutcome {
  Complete = "whole",
  TooLarge = "too_large",
  /** This host holds too many bodies. */
  NoMemory = "no_memory",
  Aborted = "cut",
  /** The signal aborted before the body was complete. */
  Interrupted = "interrupted",
}

/** Reads a body of at most `max_bytes` until the signal aborts; never rejects. */
export async function readBody(
  request: IncomingMessage,
  { max_bytes, limits, signal }: {
    max_bytes: number;
    limits: BodyLimits;
    signal: AbortSignal;
  },
): Promise<BodyReadResult> {
  const { headers } = request;
  const contentLength = headers["content-length"];
  if (
    contentLength === undefined && headers["transfer-encoding"] === undefined
  ) {
    return { kind: BodyReadOutcome.Complete, body: undefined };
  }
  if (contentLength !== undefined && Number(contentLength) > max_bytes) {
    return { kind: BodyReadOutcome.TooLarge };
  }
  const { promise: interrupted, resolve: interrupt } = Promise.withResolvers<
    BodyReadResult
  >();
  const onAbort = () => interrupt({ kind: BodyReadOutcome.Interrupted });
  signal.addEventListener("abort", onAbort);
  const read = readBytes(request, { max_bytes, limits });
  try {
    return await Promise.race([read.then(toResult), interrupted]);
  } finally {
    signal.removeEventListener("abort", onAbort);
  }
}

function toResult(read: BytesRead): BodyReadResult {
  switch (read.kind) {
    case BytesReadKind.Complete:
      // It is sent as it is, to one endpoint after the other.
      read.held?.keep(undefined);
      return {
        kind: BodyReadOutcome.Complete,
        body: read.bytes,
        held: read.held,
      };
    case BytesReadKind.TooLarge:
      return { kind: BodyReadOutcome.TooLarge };
    case BytesReadKind.Dropped:
      return { kind: BodyReadOutcome.NoMemory };
    case BytesReadKind.BrokenOff:
      return { kind: BodyReadOutcome.Aborted };
  }
}

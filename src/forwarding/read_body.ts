/** Reads the whole body of a caller's request. */
import type { IncomingMessage } from "node:http";

/** How reading a body ended. */
export type BodyRead =
  | { kind: BodyReadEnd.Whole; body: Buffer | undefined }
  | { kind: BodyReadEnd.TooLarge }
  | { kind: BodyReadEnd.Cut };

/** The ways in which reading ends. */
export enum BodyReadEnd {
  Whole = "whole",
  TooLarge = "too_large",
  Cut = "cut",
}

/** Reads up to `limit_bytes`; no body at all is undefined. */
export function readBody(
  request: IncomingMessage,
  limit_bytes: number,
): Promise<BodyRead> {
  const { headers } = request;
  const announced = headers["content-length"];
  if (announced === undefined && headers["transfer-encoding"] === undefined) {
    return Promise.resolve({ kind: BodyReadEnd.Whole, body: undefined });
  }
  if (announced !== undefined && Number(announced) > limit_bytes) {
    return Promise.resolve({ kind: BodyReadEnd.TooLarge });
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > limit_bytes) {
        chunks.length = 0;
        resolve({ kind: BodyReadEnd.TooLarge });
      } else chunks.push(chunk);
    });
    request.on(
      "end",
      () => resolve({ kind: BodyReadEnd.Whole, body: Buffer.concat(chunks) }),
    );
    request.on("error", () => resolve({ kind: BodyReadEnd.Cut }));
    request.on("close", () => resolve({ kind: BodyReadEnd.Cut }));
  });
}

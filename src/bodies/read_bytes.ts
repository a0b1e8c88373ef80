/** Reads a whole body into memory, within the limits of its host. */
import type { IncomingMessage } from "node:http";
import type { BodyMemory, HeldBody } from "./body_memory.ts";
import { ByteBuffer } from "./byte_buffer.ts";
import { ChunkPacer, PacedBody } from "./chunk_pacer.ts";

/** What bodies of one host and kind share. */
export interface BodyLimits {
  memory: BodyMemory;
  pacer: ChunkPacer;
}

/** The kinds of {@linkcode BytesRead}. */
export enum BytesReadKind {
  Complete = "complete",
  /** The body is larger than allowed. */
  TooLarge = "too_large",
  /** It was the largest when the host's bodies exceeded their memory. */
  Dropped = "dropped",
  /** The sender broke it off. */
  BrokenOff = "cut",
}

/** The result of reading a body. */
export type BytesRead =
  | {
    kind: BytesReadKind.Complete;
    bytes: Buffer;
    /** Undefined without limits; must be released when the bytes are freed. */
    held: HeldBody | undefined;
  }
  | { kind: Exclude<BytesReadKind, BytesReadKind.Complete> };

/** Options of {@linkcode readBytes}. */
export interface ReadBytesOptions {
  /** Limit of the body; by default, that of one body on its host. */
  max_bytes?: number;
  /** The host's limits, if its budget counts the body. */
  limits?: BodyLimits;
  /** Called when bytes have arrived. */
  onProgress?: () => void;
}

/**
 * Reads a body; never rejects. The rest of one that is not kept is read and
 * discarded until its connection closes, which the caller must see to.
 */
export function readBytes(
  body: IncomingMessage,
  { limits, onProgress, ...options }: ReadBytesOptions,
): Promise<BytesRead> {
  return new Promise((resolve) => {
    const buffer = new ByteBuffer();
    const max_bytes = options.max_bytes ?? limits?.memory.max_body_bytes ??
      Infinity;
    let isSettled = false;
    const settle = (result: BytesRead) => {
      if (isSettled) return;
      isSettled = true;
      if (result.kind !== BytesReadKind.Complete) {
        held?.release();
        buffer.clear();
      }
      resolve(result);
    };
    const held = limits?.memory.hold(() =>
      settle({ kind: BytesReadKind.Dropped })
    );
    const add = (bytes: Buffer) => {
      if (isSettled) return;
      onProgress?.();
      if (buffer.length + bytes.length > max_bytes) {
        return settle({ kind: BytesReadKind.TooLarge });
      }
      buffer.append(bytes);
      held?.resize(buffer.capacity);
    };
    const pacer = limits?.pacer ?? new ChunkPacer();
    new PacedBody(body, pacer, add);
    body.on(
      "end",
      () => settle({ kind: BytesReadKind.Complete, bytes: buffer.bytes, held }),
    );
    body.on("error", () => settle({ kind: BytesReadKind.BrokenOff }));
    body.on("close", () => settle({ kind: BytesReadKind.BrokenOff }));
  });
}

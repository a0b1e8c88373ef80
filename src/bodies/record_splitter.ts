/**
 * Cuts a stream of bytes after its last complete record, such as a line. Its
 * time is linear in the bytes, whatever the size of the pieces they come in.
 */
import { ByteBuffer } from "./byte_buffer.ts";

/** Keeps the bytes of the record that is not complete yet. */
export class RecordSplitter {
  #boundaries: readonly Buffer[];
  #longestBoundary: number;
  #incomplete = new ByteBuffer();

  /** A record ends with any of the `boundaries`. */
  constructor(boundaries: readonly string[]) {
    this.#boundaries = boundaries.map((text) => Buffer.from(text));
    this.#longestBoundary = Math.max(
      ...this.#boundaries.map((boundary) => boundary.length),
    );
  }

  /** Adds bytes; returns all complete records, empty if there is none. */
  push(bytes: Buffer): Buffer {
    const pending = this.#incomplete;
    if (pending.length === 0) {
      const end = this.#endOfLast(bytes, 0);
      if (end < bytes.length) pending.append(bytes.subarray(end));
      return bytes.subarray(0, end);
    }
    // The bytes before hold no boundary, but one may begin in them.
    const from = Math.max(0, pending.length - this.#longestBoundary + 1);
    pending.append(bytes);
    const end = this.#endOfLast(pending.bytes, from);
    return end === 0 ? Buffer.alloc(0) : pending.removeFirst(end);
  }

  /** Bytes of the record that is not complete yet. */
  get incomplete(): Buffer {
    return this.#incomplete.bytes;
  }

  /** Bytes of memory in use. */
  get capacity(): number {
    return this.#incomplete.capacity;
  }

  /** Length up to the end of the last record, searched from a position on. */
  #endOfLast(bytes: Buffer, from: number): number {
    const searched = bytes.subarray(from);
    const ends = this.#boundaries.map((boundary) => {
      const start = searched.lastIndexOf(boundary);
      return start < 0 ? 0 : from + start + boundary.length;
    });
    return Math.max(...ends);
  }
}

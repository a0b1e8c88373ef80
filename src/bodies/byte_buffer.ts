/** A growing buffer, whose memory depends on its bytes and not on their pieces. */

/** Smallest allocation that grows with what is appended. */
const MIN_GROWN_BYTES = 4_096;

/** Bytes that are appended piece by piece and copied into one allocation. */
export class ByteBuffer {
  #allocation: Buffer = Buffer.alloc(0);
  #length = 0;

  /** Number of bytes appended. */
  get length(): number {
    return this.#length;
  }

  /** Bytes of memory in use, at least `length`. */
  get capacity(): number {
    return this.#allocation.length;
  }

  /** The bytes; valid until the next change. */
  get bytes(): Buffer {
    return this.#allocation.subarray(0, this.#length);
  }

  /** Copies a piece to the end. */
  append(piece: Buffer): void {
    const length = this.#length + piece.length;
    if (length > this.capacity) this.#grow(length);
    piece.copy(this.#allocation, this.#length);
    this.#length = length;
  }

  /** Removes bytes at the start and returns them as a buffer of their own. */
  removeFirst(count: number): Buffer {
    const removed = Buffer.from(this.#allocation.subarray(0, count));
    const rest = Buffer.from(this.#allocation.subarray(count, this.#length));
    this.#allocation = rest;
    this.#length = rest.length;
    return removed;
  }

  /** Empties it and frees its memory. */
  clear(): void {
    this.#allocation = Buffer.alloc(0);
    this.#length = 0;
  }

  /** A first piece gets just its size, since most bodies are one piece. */
  #grow(length: number): void {
    const capacity = this.#length === 0
      ? length
      : Math.max(MIN_GROWN_BYTES, length, 2 * this.capacity);
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.#allocation.copy(grown, 0, 0, this.#length);
    this.#allocation = grown;
  }
}

/**
 * Paces the reading of bodies that come in very many small chunks. One read of a
 * socket may hold thousands of them, and a sender without end would leave no
 * time for other requests. Chunks of one read are joined, and a body that had
 * its share of chunks pauses for a while.
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { ByteBuffer } from "./byte_buffer.ts";

/** Chunks of all paced bodies together in one interval. */
const MAX_CHUNKS_PER_INTERVAL = 1_000;
const INTERVAL_MS = 10;

/** Shares the chunks that a host handles among the bodies that have many. */
export class ChunkPacer {
  #paused = 0;

  /** Chunks in one interval without which a body does not pause. */
  get max_chunks(): number {
    return Math.ceil(MAX_CHUNKS_PER_INTERVAL / (this.#paused + 1));
  }

  /** Calls back after the time that a body with so many chunks must pause. */
  pause(chunks: number, onEnd: () => void): void {
    const intervals = chunks / this.max_chunks;
    this.#paused += 1;
    setTimeout(() => {
      this.#paused -= 1;
      onEnd();
    }, intervals * INTERVAL_MS);
  }
}

/** One body, whose chunks of one read of the socket arrive together. */
export class PacedBody {
  /** Kept here because `body.socket` is reset when the body ends. */
  #socket: Socket;
  #pacer: ChunkPacer;
  #onBytes: (bytes: Buffer) => void;
  #first: Buffer | undefined;
  #joined = new ByteBuffer();
  #chunks = 0;
  #windowStart_ms = performance.now();
  #isPacing = false;

  /** Starts to read; `onBytes` gets all bytes before the body's `end` event. */
  constructor(
    body: IncomingMessage,
    pacer: ChunkPacer,
    onBytes: (bytes: Buffer) => void,
  ) {
    this.#socket = body.socket;
    this.#pacer = pacer;
    this.#onBytes = onBytes;
    body.on("data", (chunk: Buffer) => this.#add(chunk));
    body.prependListener("end", () => this.#flush());
  }

  /** Counts work for parts of chunks as if each was a chunk. */
  charge(parts: number): void {
    this.#chunks += parts;
  }

  #add(chunk: Buffer): void {
    this.#chunks += 1;
    if (this.#first !== undefined) return this.#joined.append(chunk);
    this.#first = chunk;
    process.nextTick(() => this.#flush());
  }

  #flush(): void {
    const first = this.#first;
    if (first === undefined) return;
    this.#first = undefined;
    const rest = this.#joined.bytes;
    this.#onBytes(rest.length === 0 ? first : Buffer.concat([first, rest]));
    this.#joined.clear();
    this.#pauseIfMany();
  }

  #pauseIfMany(): void {
    if (this.#isPacing || this.#chunks <= this.#pacer.max_chunks) return;
    const now_ms = performance.now();
    const elapsed_ms = now_ms - this.#windowStart_ms;
    const chunks = this.#chunks;
    this.#chunks = 0;
    this.#windowStart_ms = now_ms;
    if (elapsed_ms >= INTERVAL_MS * chunks / this.#pacer.max_chunks) return;
    this.#isPacing = true;
    // The body's own pause would keep an object for each chunk on the way. Node
    // asks the socket for more at the end of this tick, hence the next one.
    process.nextTick(() => this.#socket.pause());
    this.#pacer.pause(chunks, () => {
      this.#isPacing = false;
      this.#windowStart_ms = performance.now();
      this.#socket.resume();
    });
  }
}

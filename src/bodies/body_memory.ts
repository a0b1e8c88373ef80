/**
 * Limits the memory that bodies take on one host, however many are held. When
 * they exceed the limit, the largest is dropped, so that small ones always find
 * room.
 */
import type { Logger } from "../logging/logger.ts";

/** Whose bodies are held. The values are logged. */
export enum BodyKind {
  Request = "request",
  Response = "response",
}

/** What a {@linkcode BodyMemory} needs. */
export interface BodyMemoryOptions {
  kind: BodyKind;
  /** Limit of all bodies together. */
  max_bytes: number;
  onDrop: () => void;
  log: Logger;
}

/** Largest share of the memory that one body may take. */
const MAX_SHARE_OF_ONE_BODY = 0.25;

/** Memory of a host's process that its bodies of one kind may take. */
export const BODY_MEMORY_SHARE = 0.15;

/** The memory of one kind of bodies on a host. */
export class BodyMemory {
  /** Limit of one body. */
  readonly max_body_bytes: number;
  #bodies = new Set<HeldBody>();
  #held_bytes = 0;
  #options: BodyMemoryOptions;

  constructor(options: BodyMemoryOptions) {
    this.#options = options;
    this.max_body_bytes = Math.floor(options.max_bytes * MAX_SHARE_OF_ONE_BODY);
  }

  /** Bytes that all bodies take now. */
  get held_bytes(): number {
    return this.#held_bytes;
  }

  /**
   * Registers a body without bytes. `onDropped` must free its bytes; it is
   * called at most once, and not after the release.
   */
  hold(onDropped: () => void): HeldBody {
    const body = new HeldBody(onDropped, {
      onResize: (added_bytes) => this.#add(added_bytes),
      onRelease: () => this.#remove(body),
    });
    this.#bodies.add(body);
    return body;
  }

  #add(added_bytes: number): void {
    this.#held_bytes += added_bytes;
    while (this.#held_bytes > this.#options.max_bytes) {
      const largest = this.#largestDroppable();
      if (largest === undefined) return;
      this.#drop(largest);
    }
  }

  #remove(body: HeldBody): void {
    if (this.#bodies.delete(body)) this.#held_bytes -= body.bytes;
  }

  #largestDroppable(): HeldBody | undefined {
    let largest: HeldBody | undefined;
    for (const body of this.#bodies) {
      if (!body.isDroppable) continue;
      if (largest === undefined || body.bytes > largest.bytes) largest = body;
    }
    return largest;
  }

  #drop(body: HeldBody): void {
    const { kind, log, onDrop } = this.#options;
    log.warn({
      event: "body_dropped",
      kind,
      bytes: body.bytes,
      held_bytes: this.#held_bytes,
      bodies: this.#bodies.size,
    });
    onDrop();
    this.#remove(body);
    body.drop();
  }
}

/** The memory of one body. */
export class HeldBody {
  #bytes = 0;
  #isReleased = false;
  #onDropped: (() => void) | undefined;
  #memory: { onResize(added_bytes: number): void; onRelease(): void };

  constructor(
    onDropped: () => void,
    memory: { onResize(added_bytes: number): void; onRelease(): void },
  ) {
    this.#onDropped = onDropped;
    this.#memory = memory;
  }

  /** Bytes of memory that the body takes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Whether its bytes can be freed before its release. */
  get isDroppable(): boolean {
    return this.#onDropped !== undefined;
  }

  /**
   * Keeps the bytes of a body that is complete until its release; undefined if
   * nothing can free them before.
   */
  keep(onDropped: (() => void) | undefined): void {
    this.#onDropped = onDropped;
  }

  /** Sets the memory of the body; it or another may be dropped for it. */
  resize(bytes: number): void {
    if (this.#isReleased || bytes === this.#bytes) return;
    const added_bytes = bytes - this.#bytes;
    this.#bytes = bytes;
    this.#memory.onResize(added_bytes);
  }

  /** Ends the registration; later calls do nothing. */
  release(): void {
    if (this.#isReleased) return;
    this.#memory.onRelease();
    this.#isReleased = true;
  }

  /** Called by the memory that has dropped the body. */
  drop(): void {
    this.#isReleased = true;
    this.#onDropped?.();
  }
}

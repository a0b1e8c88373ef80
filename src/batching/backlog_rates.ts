/**
 * Measures how fast a pool works off a backlog and how fast new work arrives.
 * The configured call time and size do not tell the first: calls carry fewer
 * pieces while results fill the endpoints' memory. Does no I/O and reads no
 * clock: callers pass the time in.
 */

/** The weight of past arrivals and calls halves in this time. */
const HALF_LIFE_MS = 1_000;
/** Backlogged time, so weighted, from which the measured rate is used. */
const MIN_BACKLOG_MS = 300;

/** Pieces that a call has taken. */
export interface TakenPieces {
  pieces: number;
  /** Number of pieces that waited before it. */
  waiting_pieces: number;
  /** Whether it took as many as it may carry, or had memory for. */
  limited: boolean;
}

/** Rates of one pool queue, in pieces per millisecond. */
export class BacklogRates {
  #at_ms: number;
  /** Decaying sums. */
  #elapsed_ms = 0;
  #arrived_pieces = 0;
  #backlog_ms = 0;
  #taken_pieces = 0;
  /** Whether the last call was limited, so that what waits is a backlog. */
  #limited = false;

  constructor(now_ms: number) {
    this.#at_ms = now_ms;
  }

  /** Counts pieces of an admitted job; `waiting_pieces` waited before it. */
  recordArrival(pieces: number, waiting_pieces: number, now_ms: number): void {
    this.advance(waiting_pieces, now_ms);
    this.#arrived_pieces += pieces;
  }

  /** Counts pieces that a call took. */
  recordCall({ pieces, waiting_pieces, limited }: TakenPieces, now_ms: number) {
    this.advance(waiting_pieces, now_ms);
    if (this.#limited) this.#taken_pieces += pieces;
    this.#limited = limited;
  }

  /** Rate at which pieces arrive; 0 before the first. */
  get arrivals_per_ms(): number {
    const { LN2 } = Math;
    const full_weight_ms = HALF_LIFE_MS / LN2;
    return this.#arrived_pieces / Math.max(this.#elapsed_ms, full_weight_ms);
  }

  /** Rate at which calls take waiting pieces; undefined without a backlog. */
  get service_per_ms(): number | undefined {
    if (this.#backlog_ms < MIN_BACKLOG_MS) return undefined;
    return this.#taken_pieces / this.#backlog_ms;
  }

  /**
   * Brings the rates up to date; to be called before they are read, since a
   * queue that refuses all work records neither arrivals nor calls.
   */
  advance(waiting_pieces: number, now_ms: number): void {
    const passed_ms = now_ms - this.#at_ms;
    this.#at_ms = now_ms;
    const decay = 0.5 ** (passed_ms / HALF_LIFE_MS);
    this.#elapsed_ms = this.#elapsed_ms * decay + passed_ms;
    this.#arrived_pieces *= decay;
    this.#taken_pieces *= decay;
    this.#backlog_ms *= decay;
    this.#limited &&= waiting_pieces > 0;
    if (this.#limited) this.#backlog_ms += passed_ms;
  }
}

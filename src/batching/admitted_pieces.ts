/**
 * What the first stages of one host have admitted for the stages that follow.
 * Does no I/O and reads no clock: callers pass the time in.
 */

/** The weight of what was offered halves in this time. */
const HALF_LIFE_MS = 1_000;

/** Pieces of an admitted request that have yet to arrive at a later stage. */
export interface PiecesOnTheWay {
  pieces: number;
  /** When they are due there, in monotonic milliseconds. */
  due_ms: number;
  /** When they are expected to arrive, in monotonic milliseconds. */
  arrives_ms: number;
}

/** Decaying sum of the pieces offered at one priority. */
interface OfferedPieces {
  pieces: number;
  at_ms: number;
}

/** Counts the pieces that are offered to, and on their way to, one pool. */
export class AdmittedPieces {
  #onTheWay: PiecesOnTheWay[] = [];
  #offered = new Map<number, OfferedPieces>();

  /** Counts pieces of a request that asks to be admitted. */
  recordOffered(pieces: number, priority: number, now_ms: number): void {
    const known = this.#offered.get(priority);
    const weighted = known === undefined ? 0 : decayed(known, now_ms);
    this.#offered.set(priority, { pieces: weighted + pieces, at_ms: now_ms });
  }

  /** Counts pieces of a request that was admitted. */
  recordAdmitted(admitted: PiecesOnTheWay): void {
    this.#onTheWay.push(admitted);
  }

  /** Pieces that have yet to arrive and are due no later than `due_ms`. */
  onTheWay(due_ms: number, now_ms: number): number {
    this.#onTheWay = this.#onTheWay.filter((each) => each.arrives_ms > now_ms);
    return this.#onTheWay.reduce(
      (sum, each) => each.due_ms <= due_ms ? sum + each.pieces : sum,
      0,
    );
  }

  /**
   * Rate at which pieces more urgent than a priority are offered, per
   * millisecond; `Infinity` stands for all of them.
   */
  offeredPerMs(less_urgent_priority: number, now_ms: number): number {
    let pieces = 0;
    for (const [priority, offered] of this.#offered) {
      if (priority < less_urgent_priority) pieces += decayed(offered, now_ms);
    }
    return pieces * Math.LN2 / HALF_LIFE_MS;
  }
}

function decayed({ pieces, at_ms }: OfferedPieces, now_ms: number): number {
  return pieces * 0.5 ** ((now_ms - at_ms) / HALF_LIFE_MS);
}

import {
  comparePositions,
  createPosition,
  type FeedPosition,
  isContinuation,
  START_POSITION,
} from "./feed_position.ts";

/** Why a watch was aborted. The values are log events. */
export enum WatchAbortReason {
  /** A peer has read further. */
  Overtaken = "watch_overtaken",
  /** Another connection to the store, as old as its own, fell silent. */
  ConnectionInDoubt = "watch_in_doubt",
}

/**
 * Tracks how far a feed has been read. Hosts compare these positions to detect a
 * watch that delivers nothing although there are changes.
 */
export class FeedProgress {
  /** Position up to which this host has read. */
  position: FeedPosition = START_POSITION;
  /** Position of the last change that this host has read. */
  lastChange: FeedPosition = START_POSITION;
  #watchAbort = new AbortController();
  /** Newest position of a peer for which a watch was aborted. */
  #overtakenBy: FeedPosition | undefined;

  /**
   * Aborts the current watch and returns true if a peer has read a later change.
   * What a peer claims counts once: the list that follows proves or refutes it.
   */
  abortStaleWatch(peer: FeedPosition): boolean {
    if (comparePositions(peer, this.position) <= 0) return false;
    if (this.#isRefuted(peer)) return false;
    this.#overtakenBy = peer;
    this.#watchAbort.abort(WatchAbortReason.Overtaken);
    return true;
  }

  /** Aborts the current watch since its connection may have fallen silent. */
  doubtConnection(): void {
    this.#watchAbort.abort(WatchAbortReason.ConnectionInDoubt);
  }

  /** Creates the abort signal of a list and of the watches that follow it. */
  listSignal(signal: AbortSignal): AbortSignal {
    this.#watchAbort = new AbortController();
    return this.watchSignal(signal);
  }

  /** Creates a watch's abort signal; aborted if the list has been overtaken. */
  watchSignal(signal: AbortSignal): AbortSignal {
    return AbortSignal.any([signal, this.#watchAbort.signal]);
  }

  #isRefuted({ epoch, revision }: FeedPosition): boolean {
    const claimed = this.#overtakenBy;
    return claimed !== undefined && claimed.epoch === epoch &&
      revision <= claimed.revision;
  }

  /** Records a result; `hasChanges` tells whether anything changed. */
  record({ epoch, revision }: FeedPosition, hasChanges: boolean): void {
    this.position = createPosition(epoch, revision);
    const isRestored = !isContinuation(this.lastChange, this.position);
    if (hasChanges || isRestored) this.lastChange = this.position;
  }
}

/**
 * How far a feed has been read. The store gives its revisions out again when it
 * comes back from an older copy, so a revision means something only together
 * with the epoch of the store that gave it out.
 */

/** A revision and the epoch that gave it out. */
export interface FeedPosition {
  /** Undefined if unknown, as for hosts of an earlier release. */
  epoch?: number | undefined;
  revision: number;
}

/** The position of a feed that has not been read. */
export const START_POSITION: FeedPosition = { revision: 0 };

/** Whether two positions may be of one epoch; an unknown one fits any. */
export function isSameEpoch(a: FeedPosition, b: FeedPosition): boolean {
  return a.epoch === undefined || b.epoch === undefined || a.epoch === b.epoch;
}

/**
 * Orders positions by epoch, then by revision: negative if `a` is older than
 * `b`. Positions of an unknown epoch are ordered by revision alone.
 */
export function comparePositions(a: FeedPosition, b: FeedPosition): number {
  return isSameEpoch(a, b)
    ? a.revision - b.revision
    : (a.epoch ?? 0) - (b.epoch ?? 0);
}

/** Whether what is read at `next` can follow what was read at `previous`. */
export function isContinuation(
  previous: FeedPosition,
  next: FeedPosition,
): boolean {
  return isSameEpoch(previous, next) && next.revision >= previous.revision;
}

/** Returns the newer of two positions; its epoch is known if either's is. */
export function newerPosition(a: FeedPosition, b: FeedPosition): FeedPosition {
  const newer = comparePositions(a, b) < 0 ? b : a;
  return createPosition(newer.epoch ?? a.epoch ?? b.epoch, newer.revision);
}

/** Creates a position; leaves out an unknown epoch. */
export function createPosition(
  epoch: number | undefined,
  revision: number,
): FeedPosition {
  return epoch === undefined ? { revision } : { epoch, revision };
}

/**
 * Reads a position that a peer sent. An epoch that is missing or malformed is
 * unknown; without a valid revision there is no position.
 */
export function decodePosition(
  epoch: unknown,
  revision: unknown,
): FeedPosition | undefined {
  if (!isCount(revision)) return undefined;
  return createPosition(isCount(epoch) ? epoch : undefined, revision);
}

/** Formats a position for log lines, as `epoch:revision`. */
export function formatPosition({ epoch, revision }: FeedPosition): string {
  return `${epoch ?? "?"}:${revision}`;
}

/** Whether a value can be a revision or an epoch. */
export function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

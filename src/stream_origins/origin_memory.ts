/**
 * The streams whose first event this host has relayed, and copies of those of
 * other hosts. Does no I/O and reads no clock: callers pass the time in.
 */
import { dropOldest } from "../utils/drop_oldest.ts";
import type { StreamOrigin } from "./types.ts";

/** Streams that are remembered; the oldest are dropped. */
const MAX_ORIGINS = 50_000;
/** No caller resumes a stream that began longer ago. */
const KEPT_MS = 120_000;

/** A record, and whose word it is. */
export interface RememberedOrigin {
  origin: StreamOrigin;
  recorded_ms: number;
  /** Whether this host has found it out; else another one may have corrected it. */
  is_own: boolean;
}

/** Remembers which version wrote the first event of a stream. */
export class OriginMemory {
  #origins = new Map<string, RememberedOrigin>();

  /** Records what this host has found out; returns the record. */
  record(origin: StreamOrigin, now_ms: number): StreamOrigin {
    const known = this.#origins.get(origin.key)?.origin;
    const recorded = known === undefined
      ? origin
      : { ...origin, corrections: correctionsOf(known) + 1 };
    this.#put({ origin: recorded, recorded_ms: now_ms, is_own: true });
    return recorded;
  }

  /** Keeps what another host has told, unless more is known. */
  keep(origin: StreamOrigin, now_ms: number): void {
    const known = this.#origins.get(origin.key);
    if (known !== undefined && !isNewer(origin, known)) return;
    this.#put({ origin, recorded_ms: now_ms, is_own: false });
  }

  /** Forgets a stream that has reached its caller whole. */
  forget(key: string): void {
    this.#origins.delete(key);
  }

  /** The record of a stream; undefined if there is none. */
  find(key: string): RememberedOrigin | undefined {
    return this.#origins.get(key);
  }

  /** All streams of a pool of which this host has found out the version. */
  ownInPool(pool: string): StreamOrigin[] {
    return [...this.#origins.values()]
      .filter(({ origin, is_own }) => is_own && origin.pool === pool)
      .map(({ origin }) => origin);
  }

  #put(remembered: RememberedOrigin): void {
    const { key } = remembered.origin;
    this.#origins.delete(key);
    this.#dropExpired(remembered.recorded_ms);
    this.#origins.set(key, remembered);
    dropOldest(this.#origins, MAX_ORIGINS);
  }

  #dropExpired(now_ms: number): void {
    for (const [key, { recorded_ms }] of this.#origins) {
      if (now_ms - recorded_ms <= KEPT_MS) return;
      this.#origins.delete(key);
    }
  }
}

/** The record that was corrected most often; undefined if there is none. */
export function newestOf(
  origins: readonly StreamOrigin[],
): StreamOrigin | undefined {
  return origins.toSorted((a, b) => correctionsOf(b) - correctionsOf(a))[0];
}

function isNewer(
  origin: StreamOrigin,
  { origin: known, is_own }: RememberedOrigin,
): boolean {
  const difference = correctionsOf(origin) - correctionsOf(known);
  return difference > 0 || (difference === 0 && !is_own);
}

function correctionsOf({ corrections = 0 }: StreamOrigin): number {
  return corrections;
}

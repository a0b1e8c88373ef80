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

interface RememberedOrigin {
  origin: StreamOrigin;
  recorded_ms: number;
}

/** Remembers which version wrote the first event of a stream. */
export class OriginMemory {
  #origins = new Map<string, RememberedOrigin>();

  /** Remembers a stream, in place of what was recorded of it. */
  record(origin: StreamOrigin, now_ms: number): void {
    this.#origins.delete(origin.key);
    this.#dropExpired(now_ms);
    this.#origins.set(origin.key, { origin, recorded_ms: now_ms });
    dropOldest(this.#origins, MAX_ORIGINS);
  }

  /** Forgets a stream that has reached its caller whole. */
  forget(key: string): void {
    this.#origins.delete(key);
  }

  /** The record of a stream; undefined if there is none. */
  find(key: string): StreamOrigin | undefined {
    return this.#origins.get(key)?.origin;
  }

  /** All remembered streams of a pool. */
  inPool(pool: string): StreamOrigin[] {
    return [...this.#origins.values()]
      .map(({ origin }) => origin)
      .filter((origin) => origin.pool === pool);
  }

  #dropExpired(now_ms: number): void {
    for (const [key, { recorded_ms }] of this.#origins) {
      if (now_ms - recorded_ms <= KEPT_MS) return;
      this.#origins.delete(key);
    }
  }
}

import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import { dropOldest } from "../utils/drop_oldest.ts";

/** Tombstones to keep; beyond this the oldest are dropped. */
const MAX_TOMBSTONES = 2_000;

/**
 * The incarnations of endpoints that this host knows to be gone. Their entries
 * come back if the store goes back to a copy that is older than their end.
 */
export class EndpointTombstones {
  #incarnations = new Set<string>();

  /** Records that an incarnation is gone. */
  add(endpoint: RouteEndpoint): void {
    const incarnation = incarnationOf(endpoint);
    this.#incarnations.delete(incarnation);
    this.#incarnations.add(incarnation);
    dropOldest(this.#incarnations, MAX_TOMBSTONES);
  }

  /** Whether an incarnation is known to be gone. */
  has(endpoint: RouteEndpoint): boolean {
    return this.#incarnations.has(incarnationOf(endpoint));
  }

  /** Records that an incarnation is there after all. */
  delete(endpoint: RouteEndpoint): void {
    this.#incarnations.delete(incarnationOf(endpoint));
  }
}

/** Tells which endpoints have started since a host knows the endpoints. */
import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import { dropOldest } from "../utils/drop_oldest.ts";

/** Incarnations that are remembered; the oldest are dropped. */
const MAX_INCARNATIONS = 16_384;

/** The incarnations that a host has known. */
export class EndpointStarts {
  #known = new Set<string>();

  /** Whether any endpoint has been known so far. */
  get hasFirst(): boolean {
    return this.#known.size > 0;
  }

  /**
   * Takes in all endpoints; returns those that have started since the last call.
   * The first endpoints that a host learns of count as started before.
   */
  observe(endpoints: readonly RouteEndpoint[]): RouteEndpoint[] {
    const isFirst = !this.hasFirst;
    const started: RouteEndpoint[] = [];
    for (const endpoint of endpoints) {
      const incarnation = incarnationOf(endpoint);
      // The incarnation that was seen last stands last in the set.
      const isKnown = this.#known.delete(incarnation);
      this.#known.add(incarnation);
      dropOldest(this.#known, MAX_INCARNATIONS);
      if (!isKnown && !isFirst) started.push(endpoint);
    }
    return started;
  }
}

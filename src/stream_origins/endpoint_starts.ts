/**
 * When this host learned that an endpoint has started. Does no I/O and reads no
 * clock: callers pass the time in.
 */
import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";

/** An incarnation of an endpoint, and since when it is known. */
export interface KnownIncarnation {
  endpoint: RouteEndpoint;
  /** In monotonic milliseconds. */
  known_since_ms: number;
}

/** The current incarnations of the endpoints, by id. */
export class EndpointStarts {
  #incarnations = new Map<string, KnownIncarnation>();

  /** Records the endpoints that are in service now. */
  observe(endpoints: readonly RouteEndpoint[], now_ms: number): void {
    const current = new Map<string, KnownIncarnation>();
    for (const endpoint of endpoints) {
      const known = this.#incarnations.get(endpoint.id);
      const isSame = known !== undefined &&
        incarnationOf(known.endpoint) === incarnationOf(endpoint);
      const known_since_ms = isSame ? known.known_since_ms : now_ms;
      current.set(endpoint.id, { endpoint, known_since_ms });
    }
    this.#incarnations = current;
  }

  /** The incarnation of an endpoint; undefined if it has left. */
  find(id: string): KnownIncarnation | undefined {
    return this.#incarnations.get(id);
  }
}

/**
 * Counts how often endpoints have started again under their ids. Pure: callers
 * pass the time in.
 */
import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import { dropOldest } from "../utils/drop_oldest.ts";

/** An endpoint that starts this often within the window fails again and again. */
const MAX_RESTARTS = 2;
const WINDOW_MS = 30_000;
/** Endpoints that are remembered; beyond this the oldest are dropped. */
const MAX_ENDPOINTS = 4_096;

interface KnownEndpoint {
  incarnation: string;
  /** Times at which a new incarnation was first seen, the last ones only. */
  restarts_ms: number[];
}

/** The restarts of all endpoints, as far as they were looked at. */
export class Restarts {
  #endpoints = new Map<string, KnownEndpoint>();

  /** Whether an endpoint has started again and again lately. */
  isUnstable(endpoint: RouteEndpoint, now_ms: number): boolean {
    const incarnation = incarnationOf(endpoint);
    const known = this.#endpoints.get(endpoint.id);
    if (known === undefined) {
      this.#endpoints.set(endpoint.id, { incarnation, restarts_ms: [] });
      dropOldest(this.#endpoints, MAX_ENDPOINTS);
      return false;
    }
    if (known.incarnation !== incarnation) {
      known.incarnation = incarnation;
      known.restarts_ms = [...known.restarts_ms, now_ms].slice(-MAX_RESTARTS);
    }
    const { length, [0]: first_ms = -Infinity } = known.restarts_ms;
    return length === MAX_RESTARTS && now_ms - first_ms < WINDOW_MS;
  }
}

/** The log lines of endpoints whose state changes, one for each endpoint. */
import type { Logger } from "../logging/logger.ts";
import type { RouteEndpoint } from "../routes/types.ts";

/** What a log line says of an endpoint. */
export interface LoggedEndpoint {
  id: string;
  /** Undefined if its entry can't be read or is gone. */
  pool: string | undefined;
  state: string;
}

/**
 * Endpoints whose state differs between two lists. Without any endpoint before,
 * as at a host's start, there are none: the count of the list says enough.
 */
export function changedEndpoints(
  before: readonly RouteEndpoint[],
  after: readonly RouteEndpoint[],
): LoggedEndpoint[] {
  if (before.length === 0) return [];
  const known = new Map(before.map(({ id, state }) => [id, state]));
  const changed = after.filter(({ id, state }) => known.get(id) !== state);
  const present = new Set(after.map(({ id }) => id));
  const removed = before.filter(({ id }) => !present.has(id));
  return [
    ...changed.map(({ id, pool, state }) => ({ id, pool, state })),
    ...removed.map(({ id }) => ({ id, pool: undefined, state: "removed" })),
  ];
}

/** Logs one line for an endpoint. */
export function logEndpoint(
  log: Logger,
  { id, pool, state }: LoggedEndpoint,
): void {
  log.info({ event: "endpoint", endpoint: id, pool, state });
}

import type { RouteEndpoint } from "./types.ts";

/** Identifies one run of an endpoint, from a start to the next. */
export function incarnationOf({ id, born_ms, address }: RouteEndpoint): string {
  return `${id}/${born_ms}/${address}`;
}

/** The address that is part of an incarnation, as `ip:port`. */
export function addressOfIncarnation(incarnation: string): string {
  return incarnation.slice(incarnation.lastIndexOf("/") + 1);
}

/** What an endpoint says of itself in a response. */
import type { ReportedLoad } from "../routing/observed_load.ts";

/** An endpoint's own word, decoded once for each response. */
export interface EndpointReport {
  /** The endpoint's load; undefined if it reported none. */
  load: ReportedLoad | undefined;
  rate_limit: NamedRateLimit;
  /**
   * Rejections a second for want of room, of requests of all hosts together,
   * beyond which it crashes.
   */
  rejection_limit: NamedRateLimit;
  /**
   * Time for which it wants no requests of the host that it refused, in
   * milliseconds; 0 if it named none.
   */
  pause_ms: number;
  /** Whether this incarnation is leaving, which is final. */
  leaving: boolean;
  /**
   * Time for which it stays cold, in milliseconds; undefined if it named none
   * that can be read.
   */
  cold_ms?: number | undefined;
}

/** The rate limit that a response of an endpoint names. */
export type NamedRateLimit =
  | { kind: RateLimitKind.None }
  /** Requests per second that the endpoint takes from all hosts together. */
  | { kind: RateLimitKind.Limited; per_s: number }
  /** Malformed: what the endpoint named before stays in force. */
  | { kind: RateLimitKind.Unreadable };

/** The kinds of {@linkcode NamedRateLimit}. */
export enum RateLimitKind {
  None = "none",
  Limited = "limited",
  Unreadable = "unreadable",
}

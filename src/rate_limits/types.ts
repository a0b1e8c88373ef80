/** Messages about endpoints that limit the rate of requests from all hosts. */
import { z } from "zod";

/** An endpoint that names less is still tried, to learn when that ends. */
export const MIN_PER_S = 0.1;

/** How closely the sends of one host may follow each other. */
export interface SendPace {
  /** Time from one send to the next, in milliseconds. */
  interval_ms: number;
  /** How late a send may be without losing its turn, in milliseconds. */
  burst_ms: number;
}

/**
 * Age, in milliseconds, that a request names for a rate that no endpoint has
 * named: any that one has named is newer.
 */
export const NOT_NAMED_AGE_MS = 3_600_000;

/** A request for permission to send one request to an endpoint. */
export const permitRequestSchema = z.object({
  /** Incarnation of the endpoint, or the key of a cold one. */
  endpoint: z.string(),
  /** The endpoint's limit, in requests per second, as the asking host knows it. */
  per_s: z.number().nonnegative(),
  /** Time since it was named, in milliseconds. */
  age_ms: z.number().nonnegative(),
  /** Of the request that is to be sent; 0 is the most urgent. */
  priority: z.int().nonnegative().default(0),
  /** Longest time that the request may wait for its send, in milliseconds. */
  max_wait_ms: z.number().nonnegative().default(0),
  /**
   * Requests per second that the endpoint tolerates, as it is cold; missing if
   * it is warm.
   */
  cold_per_s: z.number().positive().optional(),
});

/** The reply to a {@linkcode PermitRequest}. */
export const permitReplySchema = z.object({
  granted: z.boolean(),
  /** Time until the send, in milliseconds; 0 unless granted. */
  wait_ms: z.number().nonnegative().default(0),
  /** Time after which to ask again, in milliseconds; 0 if granted. */
  retry_after_ms: z.number().nonnegative(),
  /**
   * Whether the request was held against the bound of a cold endpoint; missing
   * from hosts that don't know it.
   */
  cold: z.boolean().optional(),
  /** Whether the host may grant nothing for a cold endpoint; another one may. */
  no_part: z.boolean().optional(),
});

/** A request for permission to send one request to an endpoint. */
export type PermitRequest = z.infer<typeof permitRequestSchema>;
/** The reply to a {@linkcode PermitRequest}. */
export type PermitReply = z.infer<typeof permitReplySchema>;

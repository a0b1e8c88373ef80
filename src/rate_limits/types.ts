/** Messages about endpoints that limit the rate of requests from all hosts. */
import { z } from "zod";

/** An endpoint that names less is still tried, to learn when that ends. */
export const MIN_PER_S = 0.1;

/** A request for permission to send one request to an endpoint. */
export const permitRequestSchema = z.object({
  /** Incarnation of the endpoint. */
  endpoint: z.string(),
  /** The endpoint's limit, in requests per second, as the asking host knows it. */
  per_s: z.number().nonnegative(),
  /** Time since it was named, in milliseconds. */
  age_ms: z.number().nonnegative(),
  /** Of the request that is to be sent; 0 is the most urgent. */
  priority: z.int().nonnegative().default(0),
  /** Longest time that the request may wait for its send, in milliseconds. */
  max_wait_ms: z.number().nonnegative().default(0),
});

/** The reply to a {@linkcode PermitRequest}. */
export const permitReplySchema = z.object({
  granted: z.boolean(),
  /** Time until the send, in milliseconds; 0 unless granted. */
  wait_ms: z.number().nonnegative().default(0),
  /** Time after which to ask again, in milliseconds; 0 if granted. */
  retry_after_ms: z.number().nonnegative(),
});

/** A request for permission to send one request to an endpoint. */
export type PermitRequest = z.infer<typeof permitRequestSchema>;
/** The reply to a {@linkcode PermitRequest}. */
export type PermitReply = z.infer<typeof permitReplySchema>;

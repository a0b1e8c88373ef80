/** Messages in which hosts ask each other which endpoints they reach. */
import { z } from "zod";

/** Most endpoints in a question that is answered. */
const MAX_ENDPOINTS = 64;
/** Longest incarnation: the names and the address in it are bounded too. */
const MAX_INCARNATION_LENGTH = 1_024;

/** The endpoints that a host asks about. */
export const reachedQuestionSchema = z.array(z.object({
  /** Incarnation of the endpoint. */
  endpoint: z.string().max(MAX_INCARNATION_LENGTH),
  /** Bytes from it count if they came within this time. */
  since_ago_ms: z.number().nonnegative(),
})).max(MAX_ENDPOINTS);

/** How long ago bytes came from each of them; null if none came in that time. */
export const reachedAnswerSchema = z.array(z.number().nonnegative().nullable());

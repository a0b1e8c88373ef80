/** Messages about places, the requests that endpoints may have in flight. */
import { z } from "zod";
import { RampReason } from "./ramp_reason.ts";

/**
 * How a request ended at an endpoint that starts, recovers or fails. The values
 * are sent to other hosts.
 */
export enum PlaceOutcome {
  /** A good response, in time by the pool's usual time to the first byte. */
  InTime = "in_time",
  Late = "late",
  /** No good response. */
  Failed = "failed",
  /** The endpoint had no room for it. */
  Rejected = "rejected",
}

/** A request for one place at an endpoint. */
export const placeRequestSchema = z.object({
  /** Incarnation of the endpoint. */
  endpoint: z.string(),
  /** Address of the host that asks. */
  host: z.string(),
  /** Identifies the place among those of the host. */
  place: z.int().nonnegative(),
  /** Requests that the endpoint works on at a time. */
  slots: z.int().positive(),
  /** Rejections a second that the endpoint can bear. */
  max_rejections_per_s: z.number().nonnegative(),
  /** Of the request that is to be sent; 0 is the most urgent. */
  priority: z.int().nonnegative(),
  /** Longest time that the request may wait for its place, in milliseconds. */
  max_wait_ms: z.number().nonnegative(),
  /**
   * What the host knows of the endpoint's ramp-up; missing without one and from
   * hosts of an earlier release.
   */
  ramp: z.object({
    reason: z.enum(RampReason),
    /** Time since the host has learned of it, in milliseconds. */
    age_ms: z.number().nonnegative(),
    /** Whether the endpoint has named a limit of rejections too. */
    is_bounded: z.boolean(),
  }).optional(),
});

/** The reply to a {@linkcode PlaceRequest}. */
export const placeReplySchema = z.object({
  granted: z.boolean(),
  /** Time after which the host may ask again, in milliseconds. */
  ask_after_ms: z.number().nonnegative(),
  /** Time after which the request may find a place, in milliseconds. */
  retry_after_ms: z.number().nonnegative(),
  /**
   * Whether the endpoint is in ramp-up; missing if it was not, and from hosts of
   * an earlier release.
   */
  ramping: z.boolean().optional(),
});

/** What a host has in flight at an endpoint. */
export const placeReportSchema = z.object({
  /** Incarnation of the endpoint. */
  endpoint: z.string(),
  host: z.string(),
  /** All places that the host holds. */
  held: z.array(z.int().nonnegative()),
  /**
   * Places whose streams have begun since its last report, in time or late;
   * missing without any, and from hosts of an earlier release.
   */
  begun: z.array(z.object({
    place: z.int().nonnegative(),
    outcome: z.enum(PlaceOutcome),
  })).optional(),
  /** Places that it has given back since its last report. */
  released: z.array(z.object({
    place: z.int().nonnegative(),
    /** Requests that had it, one after another. */
    requests: z.int().nonnegative(),
    /** Whether the endpoint rejected the last one for want of room. */
    rejected: z.boolean(),
    /**
     * How the last one ended; missing if that tells nothing of the endpoint, and
     * from hosts of an earlier release.
     */
    outcome: z.enum(PlaceOutcome).optional(),
  })),
});

/** A request for one place at an endpoint. */
export type PlaceRequest = z.infer<typeof placeRequestSchema>;
/** The reply to a {@linkcode PlaceRequest}. */
export type PlaceReply = z.infer<typeof placeReplySchema>;
/** What a host has in flight at an endpoint. */
export type PlaceReport = z.infer<typeof placeReportSchema>;

/** A ramp-up, as a host tells it to one that has just started. */
export const rampNewsSchema = z.object({
  /** Incarnation of the endpoint. */
  endpoint: z.string(),
  reason: z.enum(RampReason),
});

/** A ramp-up, as a host tells it to one that has just started. */
export type RampNews = z.infer<typeof rampNewsSchema>;

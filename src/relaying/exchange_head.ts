/**
 * Heads of exchanges that one host passes on through another: requests and
 * responses of endpoints, as ASCII JSON in one header beside the raw body.
 */
import { z } from "zod";

/** HTTP path for exchanges that other hosts pass on. */
export const EXCHANGE_PATH = "/exchanges";
/** Name of the header that holds the head; in lower case. */
export const HEAD_HEADER = "exchange-head";
/** Statuses that a response with a body can have and Node writes to a caller. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 999;
/** Largest head section between hosts: 512 KiB, as escapes lengthen headers. */
export const MAX_HEAD_BYTES = 524_288;

/** Why a carrier has not sent a request. */
export enum CarrierRefusal {
  /** It doesn't know this incarnation of the endpoint. */
  UnknownEndpoint = "unknown_endpoint",
  /** The endpoint wants no requests of the carrier now. */
  EndpointPauses = "endpoint_pauses",
  EndpointLeaves = "endpoint_leaves",
  /** Its connections to the endpoint are all in use. */
  NoFreeConnection = "no_free_connection",
  /** It carries as many exchanges as it may. */
  CarrierFull = "carrier_full",
  CarrierDrains = "carrier_drains",
  /** It doesn't reach the endpoint either. */
  OutOfReach = "out_of_reach",
  /** The body of the request is too large for its memory. */
  BodyNotHeld = "body_not_held",
}

/** What has come of an exchange at its carrier. */
export enum CarriedOutcome {
  /** The endpoint's response follows. */
  Response = "response",
  /** The carrier has not tried to send the request. */
  Refused = "refused",
  /** The carrier got no connection to the endpoint: the request has not run. */
  NotSent = "not_sent",
  /** The connection broke before a response: the request may have run. */
  Lost = "lost",
}

const requestHeadSchema = z.object({
  /** Incarnation of the endpoint. */
  endpoint: z.string(),
  method: z.string(),
  /** Path and query. */
  target: z.string(),
  /** Alternating names and values. */
  headers: z.array(z.string()),
  /** Id that the response must echo; missing if it names no attempt. */
  attempt_id: z.string().optional(),
});

const failureFields = {
  reason: z.string(),
  /** Whether the carrier's way failed, rather than the endpoint. */
  way_failed: z.boolean().optional(),
};

const responseHeadSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal(CarriedOutcome.Response),
    status: z.int().min(MIN_FINAL_STATUS).max(MAX_STATUS),
    status_text: z.string(),
    headers: z.array(z.string()),
    /** Whether no earlier response came on the carrier's connection. */
    first_on_connection: z.boolean(),
  }),
  z.object({
    kind: z.literal(CarriedOutcome.Refused),
    reason: z.enum(CarrierRefusal),
  }),
  z.object({ kind: z.literal(CarriedOutcome.NotSent), ...failureFields }),
  z.object({ kind: z.literal(CarriedOutcome.Lost), ...failureFields }),
]);

/** Head of a request to an endpoint. */
export type RequestHead = z.infer<typeof requestHeadSchema>;
/** Head of the carrier's response. */
export type ResponseHead = z.infer<typeof responseHeadSchema>;

/** Encodes a head for {@linkcode HEAD_HEADER}. */
export function encodeHead(head: RequestHead | ResponseHead): string {
  return JSON.stringify(head).replace(/[^\x20-\x7e]/g, escapeCharacter);
}

/** Decodes the head of a request; undefined if it is malformed. */
export function decodeRequestHead(
  text: string | string[] | undefined,
): RequestHead | undefined {
  return requestHeadSchema.safeParse(parseJson(text)).data;
}

/** Decodes the head of a response; undefined if it is malformed. */
export function decodeResponseHead(
  text: string | string[] | undefined,
): ResponseHead | undefined {
  return responseHeadSchema.safeParse(parseJson(text)).data;
}

function escapeCharacter(character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`;
}

function parseJson(text: string | string[] | undefined): unknown {
  if (typeof text !== "string") return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

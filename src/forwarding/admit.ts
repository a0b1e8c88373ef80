/**
 * Admission of a request by its headers alone: size, route, metadata and API
 * key. Pure; the load of the host and its endpoints plays no part.
 */
import { headerValue, type RawHeaders } from "../endpoints/exchange.ts";
import { hostnameOf, type RouteTable } from "../routes/route_table.ts";
import type { Route, RouteOrganisation } from "../routes/types.ts";
import type { ProtocolCodec, RequestMetadata } from "./protocol_codec.ts";
import { type Rejection, RejectionReason } from "./rejection.ts";

/** URL and headers of a request. */
export interface RequestHead {
  url: string;
  headers: RawHeaders;
}

/** An admitted request with its route and limits. */
export interface AdmittedRequest {
  route: Route;
  /** Undefined if the key is missing or unknown and the route needs none. */
  organisation: RouteOrganisation | undefined;
  metadata: RequestMetadata;
  /** 0 is the most urgent. */
  priority: number;
  /** Order among requests that wait for stages; the smallest goes first. */
  stage_priority: number;
  max_body_bytes: number;
}

/**
 * Retry delay for callers of a host that has not received a configuration yet.
 */
const UNCONFIGURED_RETRY_AFTER_MS = 300;

/**
 * Admits or rejects a request; `table` is undefined before the first
 * configuration.
 */
export function admit(
  head: RequestHead,
  table: RouteTable | undefined,
  codec: ProtocolCodec,
): { ok: true; admitted: AdmittedRequest } | {
  ok: false;
  rejection: Rejection;
} {
  if (table === undefined) {
    return reject(
      RejectionReason.NotReady,
      "This host has no configuration yet",
      UNCONFIGURED_RETRY_AFTER_MS,
    );
  }
  const { limits } = table.configuration;
  if (headerBytes(head) > limits.header_bytes) {
    return reject(RejectionReason.HeadersTooLarge, "Send smaller headers");
  }
  const hostname = hostnameOf(headerValue(head.headers, "host") ?? "");
  const route = table.find(hostname, head.url);
  if (route === undefined) {
    return reject(RejectionReason.NoRoute, "No route matches");
  }
  const decoded = codec.decodeRequest(head.headers);
  if (!decoded.ok) return reject(RejectionReason.Malformed, decoded.message);
  const { metadata } = decoded;
  const organisation = table.organisationOf(metadata.api_key);
  if (table.requiresKey(route) && organisation === undefined) {
    return reject(RejectionReason.UnknownKey, "The key is missing or unknown");
  }
  const priority = organisation?.priority ?? route.priority;
  return {
    ok: true,
    admitted: {
      route,
      organisation,
      metadata,
      priority,
      stage_priority: stagePriority(priority, route),
      max_body_bytes: limits.body_bytes,
    },
  };
}

/**
 * Orders requests by their priority and those of the same priority, such as all
 * of one organisation, by that of their route.
 */
function stagePriority(priority: number, route: Route): number {
  return priority + route.priority / (route.priority + 1);
}

function reject(
  reason: RejectionReason,
  message: string,
  retry_after_ms?: number,
): { ok: false; rejection: Rejection } {
  return { ok: false, rejection: { reason, message, retry_after_ms } };
}

/**
 * Bytes of the colon, space and line end that each header adds to name and
 * value. Raw headers alternate names and values, so each counts one half.
 */
const HEADER_SEPARATOR_BYTES = 4;

function headerBytes({ url, headers }: RequestHead): number {
  return headers.reduce(
    (total, headerPart) =>
      total + headerPart.length + HEADER_SEPARATOR_BYTES / 2,
    url.length,
  );
}

/**
 * Whether a request may go on, from its head alone: route, key and marks. Pure.
 */
import { headerValue, type RawHeaders } from "../endpoints/exchange.ts";
import { hostnameOf, type RouteTable } from "../routes/route_table.ts";
import type { KeyHolder, Route } from "../routes/types.ts";
import type { ProtocolCodec, RequestMetadata } from "./protocol_codec.ts";
import { type Rejection, RejectionReason } from "./rejection.ts";

/** The head of a request. */
export interface RequestHead {
  url: string;
  headers: RawHeaders;
}

/** A request that may go on. */
export interface AdmittedRequest {
  route: Route;
  organisation: KeyHolder | undefined;
  metadata: RequestMetadata;
  /** 0 is the most urgent. */
  priority: number;
  max_body_bytes: number;
}

/** A host without a configuration expects one within this time. */
const UNCONFIGURED_RETRY_AFTER_MS = 300;

/** Admits a request or says why not. */
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
  const { metadata: marks } = decoded;
  const organisation = table.holderOf(marks.api_key);
  if (table.needsKey(route) && organisation === undefined) {
    return reject(RejectionReason.UnknownKey, "The key is missing or unknown");
  }
  return {
    ok: true,
    admitted: {
      route,
      organisation,
      metadata: marks,
      priority: organisation?.priority ?? route.priority,
      max_body_bytes: limits.body_bytes,
    },
  };
}

function reject(
  reason: RejectionReason,
  message: string,
  retry_after_ms?: number,
): { ok: false; rejection: Rejection } {
  return { ok: false, rejection: { reason, message, retry_after_ms } };
}

/** Bytes of name, colon, space, value and line end of each header. */
const HEADER_SEPARATOR_BYTES = 4;

function headerBytes({ url, headers }: RequestHead): number {
  return headers.reduce(
    (total, headerPart) =>
      total + headerPart.length + HEADER_SEPARATOR_BYTES / 2,
    url.length,
  );
}

/**
 * Whether a request may go on, from its head alone: route, key and marks. Pure.
 */
import { headerValue, type RawHeaders } from "../endpoints/exchange.ts";
import { hostnameOf, type RouteTable } from "../routes/route_table.ts";
import type { Route, RouteOrganisation } from "../routes/types.ts";
import type { Dialect, RequestMarks } from "./dialect.ts";
import { Denial, type Denied } from "./refusal.ts";

/** The head of a request. */
export interface RequestHead {
  url: string;
  headers: RawHeaders;
}

/** A request that may go on. */
export interface Admitted {
  route: Route;
  organisation: RouteOrganisation | undefined;
  marks: RequestMarks;
  /** 0 is the most urgent. */
  priority: number;
  body_limit_bytes: number;
}

/** A host without a configuration expects one within this time. */
const CONFIGURATION_RETRY_MS = 300;

/** Admits a request or says why not. */
export function admit(
  head: RequestHead,
  table: RouteTable | undefined,
  dialect: Dialect,
): { ok: true; admitted: Admitted } | { ok: false; denied: Denied } {
  if (table === undefined) {
    return deny(
      Denial.NotReady,
      "This host has no configuration yet",
      CONFIGURATION_RETRY_MS,
    );
  }
  const { limits } = table.configuration;
  if (sizeOf(head) > limits.header_bytes) {
    return deny(Denial.HeadersTooLarge, "Send smaller headers");
  }
  const hostname = hostnameOf(headerValue(head.headers, "host") ?? "");
  const route = table.find(hostname, head.url);
  if (route === undefined) return deny(Denial.NoRoute, "No route matches");
  const read = dialect.readRequest(head.headers);
  if (!read.ok) return deny(Denial.Malformed, read.message);
  const { marks } = read;
  const organisation = table.organisationOf(marks.api_key);
  if (table.requiresKey(route) && organisation === undefined) {
    return deny(Denial.UnknownKey, "The key is missing or unknown");
  }
  return {
    ok: true,
    admitted: {
      route,
      organisation,
      marks,
      priority: organisation?.priority ?? route.priority,
      body_limit_bytes: limits.body_bytes,
    },
  };
}

function deny(
  denial: Denial,
  message: string,
  retry_after_ms?: number,
): { ok: false; denied: Denied } {
  return { ok: false, denied: { denial, message, retry_after_ms } };
}

/** Bytes of name, colon, space, value and line end of each header. */
const BYTES_BETWEEN = 4;

function sizeOf({ url, headers }: RequestHead): number {
  return headers.reduce(
    (sum, text) => sum + text.length + BYTES_BETWEEN / 2,
    url.length,
  );
}

/**
 * HTTP client of the platform's object API. Conditional writes use ETag,
 * If-Match and If-None-Match; watches are long polls. Every call, watches
 * included, counts towards a rate limit of this host.
 */
import type {
  HttpClient,
  HttpRequest,
  HttpResponse,
} from "../utils/http_client.ts";
import { HttpRequestError } from "../utils/http_client.ts";
import { TokenBucket } from "../utils/token_bucket.ts";
import {
  type Platform,
  type PlatformFailure,
  PlatformFailureKind,
  type PlatformHost,
  type PlatformListing,
  type PlatformObject,
  type PlatformResult,
  type WriteCondition,
} from "./types.ts";

/** Options of {@linkcode createPlatformClient}. */
export interface PlatformClientOptions {
  http: HttpClient;
  reads_per_second: number;
  writes_per_second: number;
  /** Timeout of a call, in addition to the wait of a watch. */
  timeout_ms: number;
  /** Current time in milliseconds. */
  now: () => number;
}

/** Watches have their own limit: ones that end early must not starve reads. */
const WATCHES_PER_SECOND = 10;
const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;
const STATUS_NOT_FOUND = 404;
const STATUS_PRECONDITION_FAILED = 412;

/** Creates a client of the platform's object API. */
export function createPlatformClient(options: PlatformClientOptions): Platform {
  const { http, timeout_ms, now } = options;
  const readLimiter = createRateLimiter(options.reads_per_second, now());
  const writeLimiter = createRateLimiter(options.writes_per_second, now());
  const watchLimiter = createRateLimiter(WATCHES_PER_SECOND, now());

  function rateLimiterFor(
    call: { method: string; wait_ms?: number },
  ): TokenBucket {
    if (call.wait_ms !== undefined) return watchLimiter;
    return call.method === "GET" ? readLimiter : writeLimiter;
  }

  async function send<T>(
    call: Omit<HttpRequest, "timeout_ms"> & { wait_ms?: number },
    read: (response: HttpResponse) => T,
  ): Promise<PlatformResult<T>> {
    const rateLimiter = rateLimiterFor(call);
    if (!rateLimiter.tryTake(now())) return failed(RATE_LIMITED);
    try {
      const total_timeout_ms = timeout_ms + (call.wait_ms ?? 0);
      const response = await http.send({
        ...call,
        timeout_ms: total_timeout_ms,
      });
      if (response.status === STATUS_PRECONDITION_FAILED) {
        return failed(CONFLICT);
      }
      if (!READABLE_STATUSES.has(response.status)) {
        return failed(unexpectedStatus(response));
      }
      return { ok: true, value: read(response) };
    } catch (error) {
      return failed(unavailable(error));
    }
  }

  return {
    get: (key) => send({ method: "GET", path: objectPath(key) }, readObject),
    put: (key, value, condition) =>
      send({
        method: "PUT",
        path: objectPath(key),
        headers: conditionHeaders(condition),
        body: JSON.stringify(value),
      }, (response) => String(response.headers.etag)),
    delete: (key, version) =>
      send({
        method: "DELETE",
        path: objectPath(key),
        headers: conditionHeaders({ version }),
      }, () => undefined),
    watch: (key, { version, wait_ms, signal }) =>
      send({
        method: "GET",
        path: `${objectPath(key)}?after=${version}&wait_ms=${wait_ms}`,
        wait_ms,
        signal,
      }, readObject),
    list: (prefix) =>
      send({ method: "GET", path: `/list?prefix=${prefix}` }, readListing),
    watchPrefix: (prefix, { revision, wait_ms, signal }) =>
      send({
        method: "GET",
        path: `/list?prefix=${prefix}&after=${revision}&wait_ms=${wait_ms}`,
        wait_ms,
        signal,
      }, (response) =>
        response.status === STATUS_NOT_MODIFIED
          ? undefined
          : readListing(response)),
    hosts: () =>
      send(
        { method: "GET", path: "/hosts" },
        (response) => JSON.parse(response.body) as PlatformHost[],
      ),
  };
}

const READABLE_STATUSES = new Set([
  STATUS_OK,
  STATUS_NOT_MODIFIED,
  STATUS_NOT_FOUND,
]);

const RATE_LIMITED: PlatformFailure = {
  kind: PlatformFailureKind.RateLimited,
  sent: false,
  message: "The rate limit for platform calls of this host is exceeded",
};

const CONFLICT: PlatformFailure = {
  kind: PlatformFailureKind.Conflict,
  sent: true,
  message: "The object has another version",
};

function createRateLimiter(
  calls_per_second: number,
  now_ms: number,
): TokenBucket {
  const limits = {
    tokens_per_second: calls_per_second,
    burst_tokens: calls_per_second,
  };
  return new TokenBucket(limits, now_ms);
}

function failed<T>(failure: PlatformFailure): PlatformResult<T> {
  return { ok: false, failure };
}

function unexpectedStatus(response: HttpResponse): PlatformFailure {
  return {
    kind: PlatformFailureKind.Unavailable,
    sent: true,
    message: `The platform answered ${response.status}`,
  };
}

function unavailable(error: unknown): PlatformFailure {
  return {
    kind: PlatformFailureKind.Unavailable,
    sent: error instanceof HttpRequestError ? error.sent : true,
    message: (error as Error).message,
  };
}

function objectPath(key: string): string {
  return `/objects/${key.split("/").map(encodeURIComponent).join("/")}`;
}

function conditionHeaders(condition: WriteCondition): Record<string, string> {
  return "version" in condition
    ? { "if-match": condition.version }
    : { "if-none-match": "*" };
}

function readObject(response: HttpResponse): PlatformObject | undefined {
  if (response.status !== STATUS_OK) return undefined;
  return JSON.parse(response.body) as PlatformObject;
}

function readListing(response: HttpResponse): PlatformListing {
  return JSON.parse(response.body) as PlatformListing;
}

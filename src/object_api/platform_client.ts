/**
 * Client of the platform's object API over HTTP: ETag, If-Match and
 * If-None-Match for conditions, long polls for watches. Every call, a waiting
 * watch included, is charged to this host's budget.
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

/** What the client needs. */
export interface PlatformClientOptions {
  http: HttpClient;
  reads_per_second: number;
  writes_per_second: number;
  timeout_ms: number;
  now: () => number;
}

/** Watches that end early must not use up what other reads need. */
const WATCHES_PER_SECOND = 10;
const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;
const STATUS_NOT_FOUND = 404;
const STATUS_PRECONDITION_FAILED = 412;

/** Creates a client of the platform's object API. */
export function createPlatformClient(options: PlatformClientOptions): Platform {
  const { http, timeout_ms, now } = options;
  const reads = createBudget(options.reads_per_second, now());
  const writes = createBudget(options.writes_per_second, now());
  const watches = createBudget(WATCHES_PER_SECOND, now());

  function budgetFor(call: { method: string; wait_ms?: number }): TokenBucket {
    if (call.wait_ms !== undefined) return watches;
    return call.method === "GET" ? reads : writes;
  }

  async function send<T>(
    call: Omit<HttpRequest, "timeout_ms"> & { wait_ms?: number },
    read: (answer: HttpResponse) => T,
  ): Promise<PlatformResult<T>> {
    const budget = budgetFor(call);
    if (!budget.take(now())) return failure(overBudget);
    try {
      const limit_ms = timeout_ms + (call.wait_ms ?? 0);
      const answer = await http.send({ ...call, timeout_ms: limit_ms });
      if (answer.status === STATUS_PRECONDITION_FAILED) {
        return failure(conflict);
      }
      if (!readable.has(answer.status)) return failure(badStatus(answer));
      return { ok: true, value: read(answer) };
    } catch (error) {
      return failure(unavailable(error));
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
      }, (answer) => String(answer.headers.etag)),
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
      }, (answer) =>
        answer.status === STATUS_NOT_MODIFIED
          ? undefined
          : readListing(answer)),
    hosts: () =>
      send(
        { method: "GET", path: "/hosts" },
        (answer) => JSON.parse(answer.body) as PlatformHost[],
      ),
  };
}

const readable = new Set([STATUS_OK, STATUS_NOT_MODIFIED, STATUS_NOT_FOUND]);

const overBudget: PlatformFailure = {
  kind: PlatformFailureKind.RateLimited,
  sent: false,
  message: "This host has used its rate of platform calls",
};

const conflict: PlatformFailure = {
  kind: PlatformFailureKind.Conflict,
  sent: true,
  message: "The object has another version",
};

function createBudget(calls_per_second: number, now_ms: number): TokenBucket {
  const limits = {
    tokens_per_second: calls_per_second,
    burst_tokens: calls_per_second,
  };
  return new TokenBucket(limits, now_ms);
}

function failure<T>(failure: PlatformFailure): PlatformResult<T> {
  return { ok: false, failure };
}

function badStatus(answer: HttpResponse): PlatformFailure {
  return {
    kind: PlatformFailureKind.Unavailable,
    sent: true,
    message: `The platform answered ${answer.status}`,
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

function readObject(answer: HttpResponse): PlatformObject | undefined {
  if (answer.status !== STATUS_OK) return undefined;
  return JSON.parse(answer.body) as PlatformObject;
}

function readListing(answer: HttpResponse): PlatformListing {
  return JSON.parse(answer.body) as PlatformListing;
}

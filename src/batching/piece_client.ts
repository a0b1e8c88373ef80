/** HTTP client for batched calls to endpoints. */
import { setTimeout as delay } from "node:timers/promises";
import { COLD_ENDPOINT } from "../cold_endpoints/cold_sender.ts";
import type { EndpointReports } from "../endpoint_reports/endpoint_reports.ts";
import {
  ENDPOINT_UNAVAILABLE,
  type EndpointAgents,
} from "../endpoints/endpoint_agents.ts";
import { type BodyLimits, BytesReadKind } from "../bodies/read_bytes.ts";
import {
  discardResponse,
  ExchangeOutcome,
  readFullBody,
} from "../endpoints/exchange.ts";
import type {
  EncodedRequest,
  ProtocolCodec,
  ResponseMetadata,
} from "../forwarding/protocol_codec.ts";
import type { Logger } from "../logging/logger.ts";
import type { SendToEndpoint } from "../relaying/endpoint_sender.ts";
import type { RouteEndpoint, RoutePool } from "../routes/types.ts";
import { startLoopTimeout } from "../utils/loop_timeout.ts";
import {
  type PieceCallOptions,
  type PieceCallResult,
  PieceCallResultKind,
  type PieceClient,
} from "./piece_call.ts";
import { FreePacer } from "./pacing.ts";
import type { PieceRequest, PieceResponse } from "./types.ts";

const HTTP_OK = 200;
/** Maximum size of a response; it contains only handles. */
const MAX_RESPONSE_BYTES = 1_048_576;
/**
 * Results at one endpoint that are freed within this time share a call. Short,
 * since the endpoint's next call may wait for their memory.
 */
const FREE_BATCH_WINDOW_MS = 5;
/**
 * Reason of a call without a response in time, and of its abort; a string, since
 * each Error would capture a stack trace.
 */
const CALL_EXPIRED = "call_expired";
/** Reasons of calls that were not sent since the endpoint takes none now. */
const MAY_BE_SENT_LATER: ReadonlySet<string> = new Set([
  ENDPOINT_UNAVAILABLE,
  COLD_ENDPOINT,
]);
/** Number of handles of each endpoint that are remembered. */
const MAX_RECENT_HANDLES = 512;
/** Timeout of a call that frees results. */
const FREE_TIMEOUT_MS = 1_000;
/** Calls that are made to free results while the endpoint refuses them. */
const MAX_FREE_CALLS = 3;

/** Results that the next call to an endpoint frees. */
interface PendingFree {
  handles: string[];
  /** Resolves to whether the endpoint confirmed it. */
  freed: Promise<boolean>;
}

/** Dependencies of a `PieceClient`. */
export interface PieceClientOptions {
  codec: ProtocolCodec;
  agents: EndpointAgents;
  send: SendToEndpoint;
  /** The pool of this name; undefined if it is not configured. */
  pool: (name: string) => RoutePool | undefined;
  /** The endpoint at an address; undefined if it is unknown. */
  endpointAt: (address: string) => RouteEndpoint | undefined;
  reports: Pick<EndpointReports, "record" | "pauseMs">;
  /**
   * Whether results at an address stay until they expire, as its zone is, or may
   * be, evacuated; never by default.
   */
  keepsResults?: (address: string) => boolean;
  /** Limits of all responses that this host holds. */
  responseLimits: BodyLimits;
  log: Logger;
  /** Monotonic clock, in milliseconds. */
  now: () => number;
}

/** What the handles of an answer tell about it. */
enum AnswerNovelty {
  /** It has results of its own. */
  New = "new",
  /** It has no results, so it may be a copy of an earlier answer. */
  Unknown = "unknown",
  /** It is a copy of an earlier answer. */
  Repeated = "repeated",
}

/**
 * The handles that endpoints returned last. An answer to a call for pieces names
 * no call, but each of its results has a new handle: an answer with a known one
 * is a copy of an earlier answer, sent late on a connection in use again.
 */
class RecentHandles {
  #handles = new Map<string, Set<string>>();

  /** Adds the handles of an answer; returns what they tell about it. */
  add(address: string, responses: PieceResponse[]): AnswerNovelty {
    const known = this.#handles.get(address) ?? new Set();
    this.#handles.set(address, known);
    const handles = responses.flatMap((response) =>
      response.ok ? [response.handle] : []
    );
    if (handles.length === 0) return AnswerNovelty.Unknown;
    if (handles.some((handle) => known.has(handle))) {
      return AnswerNovelty.Repeated;
    }
    for (const handle of handles) known.add(handle);
    for (const oldest of known) {
      if (known.size <= MAX_RECENT_HANDLES) break;
      known.delete(oldest);
    }
    return AnswerNovelty.New;
  }
}

/** Creates a client that calls endpoints over HTTP; its calls never reject. */
export function createPieceClient(options: PieceClientOptions): PieceClient {
  const pendingByAddress = new Map<string, PendingFree>();
  const recentHandles = new RecentHandles();
  const freePacer = new FreePacer(options.now);
  const free = (address: string, handles: string[]) => {
    const pending = pendingByAddress.get(address);
    if (pending !== undefined) {
      pending.handles.push(...handles);
      return pending.freed;
    }
    const batch = [...handles];
    const wait_ms = Math.max(FREE_BATCH_WINDOW_MS, freePacer.take(address));
    const freed = delay(wait_ms)
      .then(() => waitOutPause(address, options))
      .then(() => {
        pendingByAddress.delete(address);
        return freeResults(address, batch, options);
      }).catch((error: Error) => {
        logFault(error, options.log);
        return false;
      });
    pendingByAddress.set(address, { handles: batch, freed });
    return freed;
  };
  return {
    call: (endpoint, requests, limits) =>
      callForPieces(endpoint, requests, {
        ...options,
        ...limits,
        recentHandles,
        freePacer,
      }).catch((error: Error) => {
        logFault(error, options.log);
        return failed(error.message);
      }),
    free,
  };
}

/** An error of this host's own, which must not leave a job without a result. */
function logFault(error: Error, log: Logger): void {
  log.error({ event: "fault", stage: "stage_call", error: error.stack });
}

async function callForPieces(
  endpoint: RouteEndpoint,
  requests: PieceRequest[],
  options: PieceClientOptions & PieceCallOptions & {
    recentHandles: RecentHandles;
    freePacer: FreePacer;
  },
): Promise<PieceCallResult> {
  const { codec, recentHandles, timeout_ms, signal, now } = options;
  const begun_ms = now();
  const response = await callEndpoint({
    address: endpoint.address,
    endpoint,
    encodeCall: () =>
      codec.encodePieceBatch(endpoint, afterWait(requests, now() - begun_ms)),
    timeout_ms,
    signal,
  }, options);
  if (response.kind === "failed") {
    if (signal.aborted) return { kind: PieceCallResultKind.Cancelled };
    if (MAY_BE_SENT_LATER.has(response.reason)) {
      return { kind: PieceCallResultKind.Full };
    }
    return response.reason === CALL_EXPIRED
      ? { kind: PieceCallResultKind.TimedOut }
      : {
        kind: PieceCallResultKind.Failed,
        reason: response.reason,
        broken: response.broken,
        way_failed: response.way_failed === true,
      };
  }
  const { metadata } = response;
  const { rate_limit } = metadata.report;
  options.freePacer.observe(endpoint.address, rate_limit);
  if (metadata.wrong_endpoint) return failed("wrong_endpoint");
  if (metadata.not_run || metadata.report.pause_ms > 0) {
    return { kind: PieceCallResultKind.Full, rate_limit };
  }
  if (response.status !== HTTP_OK) {
    return { ...failed(`status_${response.status}`), rate_limit };
  }
  const responses = codec.decodePieceResults(response.body, requests.length);
  const novelty = responses === undefined
    ? AnswerNovelty.Unknown
    : recentHandles.add(endpoint.address, responses);
  if (novelty !== AnswerNovelty.New) response.closeConnection();
  if (responses === undefined) return failed("unreadable");
  if (novelty === AnswerNovelty.Repeated) return failed("repeated_answer");
  return { kind: PieceCallResultKind.Answered, responses, rate_limit };
}

/** Requests with the time that is left to them after a wait. */
function afterWait(requests: PieceRequest[], wait_ms: number): PieceRequest[] {
  return requests.map((request) => ({
    ...request,
    remaining_ms: Math.max(1, Math.round(request.remaining_ms - wait_ms)),
  }));
}

/** Waits while the endpoint at an address wants no requests. */
async function waitOutPause(
  address: string,
  { endpointAt, reports }: PieceClientOptions,
): Promise<void> {
  while (true) {
    const endpoint = endpointAt(address);
    const wait_ms = endpoint === undefined ? 0 : reports.pauseMs(endpoint);
    if (wait_ms === 0) return;
    await delay(Math.ceil(wait_ms), undefined, { ref: false });
  }
}

async function freeResults(
  address: string,
  handles: string[],
  options: PieceClientOptions,
): Promise<boolean> {
  const free = () =>
    callEndpoint({
      address,
      endpoint: options.endpointAt(address),
      encodeCall: () => options.codec.encodeFreeRequest(address, handles),
      timeout_ms: FREE_TIMEOUT_MS,
    }, options);
  const keepsResults = () => options.keepsResults?.(address) === true;
  if (keepsResults()) return false;
  let response = await free();
  for (let calls = 1; calls < MAX_FREE_CALLS && isHeldBack(response); calls++) {
    await waitOutPause(address, options);
    if (keepsResults()) return false;
    response = await free();
  }
  if (response.kind === "complete" && response.status === HTTP_OK) {
    return true;
  }
  options.log.warn({
    event: "free_failed",
    endpoint_address: address,
    results: handles.length,
    reason: response.kind === "complete" ? response.status : response.reason,
  });
  return false;
}

/** Whether the endpoint wants the same request once more, later. */
function isHeldBack(response: EndpointResponse): boolean {
  return response.kind === "failed"
    ? MAY_BE_SENT_LATER.has(response.reason)
    : response.metadata.report.pause_ms > 0;
}

type EndpointResponse =
  | {
    kind: "complete";
    status: number;
    metadata: ResponseMetadata;
    /** Empty unless the status is 200. */
    body: Buffer;
    /**
     * For a response that may be a copy of an earlier one: the answer to this
     * call may still arrive on the same connection.
     */
    closeConnection: () => void;
  }
  | {
    kind: "failed";
    reason: string;
    /** Whether the endpoint broke the call off after it was sent. */
    broken: boolean;
    /** Whether the way to the endpoint failed, rather than the endpoint. */
    way_failed?: boolean;
  };

/**
 * Calls an endpoint. Its connection is kept only after status 200, since any
 * other response may be a copy of an earlier one, or be followed by a copy.
 */
async function callEndpoint(
  { address, endpoint, encodeCall, timeout_ms, signal }: {
    address: string;
    endpoint: RouteEndpoint | undefined;
    encodeCall: () => EncodedRequest;
    timeout_ms: number;
    signal?: AbortSignal;
  },
  { agents, send, codec, pool, reports, responseLimits }: PieceClientOptions,
): Promise<EndpointResponse> {
  const expiry = new AbortController();
  const signals = signal === undefined
    ? [expiry.signal]
    : [expiry.signal, signal];
  const fail = (reason: string, broken: boolean) => {
    if (signal?.aborted !== true) agents.closeIdleConnections(address);
    return {
      kind: "failed" as const,
      reason: expiry.signal.aborted ? CALL_EXPIRED : reason,
      broken,
    };
  };
  const max_connections = pool(endpoint?.pool ?? "")?.max_connections ?? 1;
  const cancelTimeout = startLoopTimeout(
    timeout_ms,
    () => expiry.abort(CALL_EXPIRED),
  );
  try {
    const either = AbortSignal.any(signals);
    const result = await send(endpoint, () => ({
      address,
      agent: agents.agentFor(address, max_connections),
      ...encodeCall(),
      signal: either,
    }));
    if (result.kind !== ExchangeOutcome.ResponseReceived) {
      return MAY_BE_SENT_LATER.has(result.reason)
        ? { kind: "failed", reason: result.reason, broken: false }
        : {
          ...fail(
            result.reason,
            result.kind === ExchangeOutcome.ResponseLost &&
              result.way_failed !== true,
          ),
          way_failed: result.way_failed === true,
        };
    }
    const { status, headers, socket } = result.response;
    const metadata = codec.decodeResponse(status, headers);
    if (endpoint !== undefined && !metadata.wrong_endpoint) {
      reports.record(endpoint, metadata.report, undefined);
    }
    const complete = {
      kind: "complete" as const,
      status,
      metadata,
      closeConnection: () => void socket.destroy(),
    };
    if (status !== HTTP_OK) {
      discardResponse(result.response);
      return { ...complete, body: Buffer.alloc(0) };
    }
    const read = await readFullBody(result.response, {
      max_bytes: MAX_RESPONSE_BYTES,
      limits: responseLimits,
    });
    if (read.kind !== BytesReadKind.Complete) {
      return fail(read.kind, read.kind === BytesReadKind.BrokenOff);
    }
    read.held?.release();
    return { ...complete, body: read.bytes };
  } finally {
    cancelTimeout();
  }
}

function failed(reason: string): PieceCallResult {
  return { kind: PieceCallResultKind.Failed, reason };
}

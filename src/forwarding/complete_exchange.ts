/**
 * Evaluates the result of an exchange with an endpoint, and relays its response
 * to the caller, if it is valid.
 */
import type { StageResult } from "../batching/types.ts";
import { RateLimitKind } from "../endpoint_reports/endpoint_report.ts";
import { ENDPOINT_UNAVAILABLE } from "../endpoints/endpoint_agents.ts";
import {
  discardResponse,
  type EndpointResponse,
  ExchangeOutcome,
  type ExchangeResult,
  headerValue,
} from "../endpoints/exchange.ts";
import { CallKind, type RouteEndpoint } from "../routes/types.ts";
import { ObservedOutcome } from "../routing/observed_load.ts";
import type { ResponseMetadata } from "./protocol_codec.ts";
import { relayBuffered, type RelayResult, relayStream } from "./relay.ts";
import { originOf, ResponseOrigin } from "./response_origin.ts";
import { ResponseUse, useOf } from "./response_use.ts";
import type { RunContext } from "./run_context.ts";

/** How one send ended, as far as retries are concerned. */
export enum SendOutcome {
  /** The caller has received a response or has disconnected. */
  Answered = "done",
  /** The request has not run: any other endpoint may be tried. */
  NotRun = "elsewhere",
  /** The request may have run: only an idempotent request may be sent again. */
  MayHaveRun = "failed",
  /** Stage results were lost: the stages must run again. */
  InputsLost = "inputs_gone",
}

/** Results of the final stages; `freeResults` frees them at their endpoints. */
export interface StageInputs {
  results: StageResult[];
  freeResults: () => void;
}

/** The outcome of a send with what is learned about the endpoint. */
export interface SendResult {
  outcome: SendOutcome;
  observedOutcome: ObservedOutcome;
  /**
   * Arrival of the first bytes, or time of the failure, on the monotonic clock.
   */
  first_byte_ms: number;
  /** Status or error, for the log. */
  reason: string;
  /** Number of complete events of a stream; undefined without one. */
  event_count?: number;
  /** Requests per second that the response allowed; undefined if not named. */
  limit_per_s?: number;
}

/** Code of the error of a request that this host aborted. */
const ABORTED_CODE = "ABORT_ERR";
/** Reasons of a broken send that don't suggest a crash. */
const REASONS_WITHOUT_CRASH: ReadonlySet<string> = new Set([
  ABORTED_CODE,
  ResponseOrigin.Foreign,
  ResponseOrigin.Unidentified,
]);
/** Reasons of requests that got no response in time. */
const TIMEOUT_REASONS: ReadonlySet<string> = new Set([
  ABORTED_CODE,
  "connect_timeout",
]);
const MIN_REDIRECT_STATUS = 300;
const MIN_SERVER_ERROR_STATUS = 500;
/** Logged for a response that the endpoint broke off. */
const CUT = "cut";
const CONTENT_ENCODING = "content-encoding";

/** Whether the endpoint may have crashed when it began to answer. */
export function mayHaveCrashed(result: SendResult): boolean {
  const { outcome, observedOutcome, event_count = 0, reason } = result;
  return outcome !== SendOutcome.NotRun &&
    observedOutcome === ObservedOutcome.ConnectionFailed &&
    event_count === 0 && !REASONS_WITHOUT_CRASH.has(reason);
}

/**
 * Evaluates the result of an exchange and relays its response, if it is valid.
 */
export async function completeExchange(
  context: RunContext,
  result: ExchangeResult,
  { endpoint, sent_ms, inputs, onResponse }: {
    endpoint: RouteEndpoint;
    sent_ms: number;
    inputs: StageInputs;
    onResponse: () => void;
  },
): Promise<SendResult> {
  const { now, codec, reports, load } = context.dependencies;
  const received_ms = now();
  if (result.kind !== ExchangeOutcome.ResponseReceived) {
    const times = { sent_ms, received_ms };
    return resultWithoutResponse(context, result, { endpoint, ...times });
  }
  load.forEndpoint(endpoint).silence.recordAnswer(received_ms);
  const { response } = result;
  const metadata = codec.decodeResponse(response.status, response.headers);
  const origin = originOf(
    { ...response, metadata },
    context.admitted.metadata.attempt_id,
  );
  const isOwn = origin === ResponseOrigin.Own;
  if (isFromEndpoint(metadata, isOwn)) {
    reports.record(endpoint, metadata.report, isOwn ? sent_ms : undefined);
  }
  if (!isOwn) {
    discardResponse(response);
    return resultAfterFailure(context, SendOutcome.MayHaveRun, {
      first_byte_ms: received_ms,
      reason: origin,
    });
  }
  if (metadata.not_run) {
    // A copy of it may follow where the answer to the next request is due.
    discardResponse(response);
    return {
      ...resultAfterNotRun(metadata, inputs),
      first_byte_ms: received_ms,
      reason: `${response.status}`,
    };
  }
  const use = decideUse(context, response, metadata);
  if (use === ResponseUse.None) {
    discardResponse(response);
    return resultWithoutContinuation(response.status, received_ms);
  }
  onResponse();
  const isStream = use === ResponseUse.Stream;
  const { quarantine } = context.dependencies;
  const recordAnswered = () =>
    quarantine.recordAnswered(context.admitted.metadata.prompt);
  const relayed = isStream
    ? await relayResponseStream(context, response, { inputs, recordAnswered })
    : await relayBuffered(context.inbound.response, response, {
      headers: codec.filterResponseHeaders(response.headers),
      withhold: response.status >= MIN_SERVER_ERROR_STATUS && context.mayRetry,
      closeConnection: context.dependencies.isShuttingDown(),
    });
  if (!isStream && relayed.complete) recordAnswered();
  const sent = resultAfterRelay(context, relayed, {
    first_byte_ms: received_ms,
    status: response.status,
    isPausing: metadata.report.pause_ms > 0,
  });
  const { rate_limit } = metadata.report;
  return rate_limit.kind === RateLimitKind.Limited
    ? { ...sent, limit_per_s: rate_limit.per_s }
    : sent;
}

/** The result of a send without a response. */
function resultWithoutResponse(
  context: RunContext,
  result: Exclude<ExchangeResult, { kind: ExchangeOutcome.ResponseReceived }>,
  { endpoint, sent_ms, received_ms }: {
    endpoint: RouteEndpoint;
    sent_ms: number;
    received_ms: number;
  },
): SendResult {
  const { kind, reason } = result;
  const notSent = kind === ExchangeOutcome.NotSent;
  const failed = resultAfterFailure(
    context,
    notSent ? SendOutcome.NotRun : SendOutcome.MayHaveRun,
    { first_byte_ms: received_ms, reason },
  );
  if (notSent && reason === ENDPOINT_UNAVAILABLE) {
    return { ...failed, observedOutcome: ObservedOutcome.Full };
  }
  if (notSent && result.malformed === true) {
    return { ...failed, observedOutcome: ObservedOutcome.NotSent };
  }
  const { silence } = context.dependencies.load.forEndpoint(endpoint);
  const isSilence = context.stopReason === undefined &&
    TIMEOUT_REASONS.has(reason) &&
    silence.recordTimeout(sent_ms, received_ms);
  return isSilence
    ? { ...failed, observedOutcome: ObservedOutcome.Silent }
    : failed;
}

/**
 * The result of a send without a valid response. It counts against the endpoint
 * unless this host stopped the request itself.
 */
function resultAfterFailure(
  context: RunContext,
  outcome: SendOutcome,
  { first_byte_ms, reason }: { first_byte_ms: number; reason: string },
): SendResult {
  const observedOutcome = context.stopReason === undefined
    ? ObservedOutcome.ConnectionFailed
    : ObservedOutcome.Success;
  return { outcome, observedOutcome, first_byte_ms, reason };
}

/**
 * Whether a response was written by the incarnation that the request was sent
 * to. One that belongs to another request of it bears that request's id.
 */
function isFromEndpoint(
  { wrong_endpoint, attempt_id }: ResponseMetadata,
  isOwn: boolean,
): boolean {
  return !wrong_endpoint && (isOwn || attempt_id !== undefined);
}

/** The result of a send that the endpoint reported as not run. */
function resultAfterNotRun(
  metadata: ResponseMetadata,
  inputs: StageInputs,
): { outcome: SendOutcome; observedOutcome: ObservedOutcome } {
  if (metadata.inputs_gone && inputs.results.length > 0) {
    return {
      outcome: SendOutcome.InputsLost,
      observedOutcome: ObservedOutcome.Success,
    };
  }
  const observedOutcome = metadata.wrong_endpoint
    ? ObservedOutcome.ConnectionFailed
    : ObservedOutcome.Full;
  return { outcome: SendOutcome.NotRun, observedOutcome };
}

function decideUse(
  { admitted, inbound }: RunContext,
  { status, headers }: EndpointResponse,
  { stream }: ResponseMetadata,
): ResponseUse {
  const encoded = headerValue(headers, CONTENT_ENCODING) !== undefined;
  const { headersSent, statusCode } = inbound.response;
  return useOf({ status, stream, encoded }, {
    streaming: admitted.route.kind === CallKind.Streaming,
    sent_status: headersSent ? statusCode : undefined,
  });
}

/** The result of a send whose response can't follow the caller's stream. */
function resultWithoutContinuation(
  status: number,
  first_byte_ms: number,
): SendResult {
  const isClientError = status >= MIN_REDIRECT_STATUS &&
    status < MIN_SERVER_ERROR_STATUS;
  return {
    outcome: SendOutcome.MayHaveRun,
    observedOutcome: isClientError
      ? ObservedOutcome.Success
      : ObservedOutcome.Error,
    first_byte_ms,
    reason: `${ResponseUse.None}_${status}`,
  };
}

/** How a complete response counts for the endpoint's health. */
function observedOutcomeOf(
  status: number,
  isPausing: boolean,
): ObservedOutcome {
  if (isPausing) return ObservedOutcome.Full;
  return status >= MIN_SERVER_ERROR_STATUS
    ? ObservedOutcome.Error
    : ObservedOutcome.Success;
}

async function relayResponseStream(
  context: RunContext,
  response: EndpointResponse,
  { inputs, recordAnswered }: {
    inputs: StageInputs;
    recordAnswered: () => void;
  },
): Promise<RelayResult> {
  const { codec, isShuttingDown } = context.dependencies;
  const relayed = await relayStream(context.inbound.response, response, {
    headers: codec.filterResponseHeaders(response.headers),
    resumable: context.admitted.route.resumable,
    continues_after: context.inbound.response.headersSent
      ? context.lastEventId
      : undefined,
    closeConnection: isShuttingDown(),
    onFirstBytes: inputs.freeResults,
    onFirstEvent: recordAnswered,
  });
  context.lastEventId = relayed.last_event_id ?? context.lastEventId;
  return relayed;
}

function resultAfterRelay(
  context: RunContext,
  relayed: RelayResult,
  { first_byte_ms, status, isPausing }: {
    first_byte_ms: number;
    status: number;
    isPausing: boolean;
  },
): SendResult {
  const { response, progress } = context.inbound;
  context.bufferedError = relayed.buffered ?? context.bufferedError;
  if (relayed.complete) {
    return {
      outcome: relayed.delivered
        ? SendOutcome.Answered
        : SendOutcome.MayHaveRun,
      observedOutcome: observedOutcomeOf(status, isPausing),
      first_byte_ms: relayed.first_byte_ms ?? first_byte_ms,
      reason: `status_${status}`,
      event_count: relayed.event_count,
    };
  }
  const { cut_reason = CUT, event_count, position_known = true } = relayed;
  const mayResume = context.admitted.route.resumable && position_known &&
    context.stopReason === undefined;
  // A truncated response must not look complete, so the connection is
  // destroyed.
  if (!mayResume && response.headersSent) {
    progress.cut(response, context.stopReason ?? "endpoint_broke_off");
  }
  const outcome = response.destroyed
    ? SendOutcome.Answered
    : SendOutcome.MayHaveRun;
  return {
    ...resultAfterFailure(context, outcome, {
      first_byte_ms,
      reason: cut_reason,
    }),
    event_count,
  };
}

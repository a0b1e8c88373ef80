/**
 * Sends a request once to one endpoint, evaluates the response and relays it to
 * the caller.
 */
import type { StageResult } from "../batching/types.ts";
import {
  discardResponse,
  type EndpointResponse,
  ExchangeOutcome,
  type ExchangeResult,
  sendRequest,
} from "../endpoints/exchange.ts";
import { CallKind, type RouteEndpoint } from "../routes/types.ts";
import { ObservedOutcome } from "../routing/observed_load.ts";
import { RateLimitKind, type ResponseMetadata } from "./protocol_codec.ts";
import { relayBuffered, type RelayResult, relayStream } from "./relay.ts";
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
interface SendResult {
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

/**
 * A safe call without a response is retried after this many times the route's
 * target latency.
 */
const SAFE_CALL_TIMEOUT_FACTOR = 2;
/**
 * A resumable stream without its first event is retried after this many times
 * the pool's typical time to first byte, plus `STREAM_TIMEOUT_EXTRA_MS`.
 */
const STREAM_TIMEOUT_FACTOR = 5;
const STREAM_TIMEOUT_EXTRA_MS = 600;
/**
 * Abort reason of one send; a string, as creating an error captures a stack
 * trace.
 */
const ABORT_REASON = "attempt_over";
/** Code of the error of a request that this host aborted. */
const ABORTED_CODE = "ABORT_ERR";
/** Logged for a response that is not this request's. */
const FOREIGN_ANSWER = "foreign_answer";
const MIN_REDIRECT_STATUS = 300;
const MIN_SERVER_ERROR_STATUS = 500;

/**
 * Sends the request to one endpoint and relays its response, if it is valid.
 */
export async function sendOnce(
  context: RunContext,
  endpoint: RouteEndpoint,
  inputs: StageInputs,
): Promise<SendOutcome> {
  const { load, now, metrics, agents } = context.dependencies;
  const endpointLoad = load.forEndpoint(endpoint);
  const started_ms = now();
  endpointLoad.in_flight += 1;
  const sendAbort = new AbortController();
  const sendTimer = startSendTimer(context, sendAbort);
  try {
    const signal = AbortSignal.any([sendAbort.signal, context.signal]);
    const exchange = await sendToEndpoint(context, endpoint, {
      inputs,
      signal,
    });
    const result = await handleExchange(context, exchange, {
      endpoint,
      sent_ms: started_ms,
      inputs,
      onResponse: () => clearTimeout(sendTimer),
    });
    endpointLoad.recordOutcome(result.observedOutcome, now());
    if (result.observedOutcome === ObservedOutcome.Success) {
      load.recordFirstByte(endpoint, result.first_byte_ms - started_ms);
    }
    if (result.observedOutcome === ObservedOutcome.ConnectionFailed) {
      agents.closeIdleConnections(endpoint.address);
    }
    context.crashSuspicion = mayHaveCrashed(result)
      ? reportBrokenSend(context, endpoint)
      : undefined;
    metrics.sends.inc({ outcome: result.observedOutcome });
    logSend(context, endpoint, { result, started_ms });
    if (result.outcome === SendOutcome.Answered) {
      context.recordOutcome(result.observedOutcome);
    }
    return result.outcome;
  } finally {
    clearTimeout(sendTimer);
    sendAbort.abort(ABORT_REASON);
    endpointLoad.in_flight -= 1;
  }
}

/** Whether the endpoint may have crashed when it began to answer. */
function mayHaveCrashed(result: SendResult): boolean {
  const { outcome, observedOutcome, event_count = 0, reason } = result;
  return outcome !== SendOutcome.NotRun &&
    observedOutcome === ObservedOutcome.ConnectionFailed &&
    event_count === 0 && reason !== ABORTED_CODE && reason !== FOREIGN_ANSWER;
}

function reportBrokenSend(
  { admitted, dependencies }: RunContext,
  endpoint: RouteEndpoint,
): Promise<boolean> {
  const { attempt_id, prompt } = admitted.metadata;
  return dependencies.quarantine.recordBroken({ endpoint, attempt_id, prompt });
}

/**
 * Starts the timeout of one send; undefined if the request may not be retried.
 */
function startSendTimer(
  context: RunContext,
  sendAbort: AbortController,
): NodeJS.Timeout | undefined {
  if (!context.mayRetry) return undefined;
  const { kind, target_latency_ms } = context.admitted.route;
  const typical_ms = context.dependencies.load.firstByteMs(context.pool);
  const timeout_ms = kind === CallKind.Idempotent
    ? SAFE_CALL_TIMEOUT_FACTOR * target_latency_ms
    : STREAM_TIMEOUT_FACTOR * typical_ms + STREAM_TIMEOUT_EXTRA_MS;
  return setTimeout(() => sendAbort.abort(ABORT_REASON), timeout_ms);
}

async function sendToEndpoint(
  context: RunContext,
  endpoint: RouteEndpoint,
  { inputs, signal }: { inputs: StageInputs; signal: AbortSignal },
): Promise<ExchangeResult> {
  const { codec, agents, configuration } = context.dependencies;
  const { request } = context.inbound;
  const { metadata, organisation, priority } = context.admitted;
  const pool = configuration.routeTable?.configuration.pools.get(context.pool);
  return await sendRequest({
    address: endpoint.address,
    agent: agents.agentFor(endpoint.address, pool?.max_connections ?? 1),
    method: request.method ?? "GET",
    target: request.url ?? "/",
    headers: codec.encodeRequestHeaders(request.rawHeaders, {
      endpoint,
      remaining_ms: Math.floor(context.remainingMs()),
      organisation: organisation?.name,
      inputs: inputs.results.map((each) => each.handle),
      priority,
      last_event_id: context.lastEventId ?? metadata.last_event_id,
      body_bytes: context.body?.length,
    }),
    body: context.body,
    signal,
  });
}

/**
 * Evaluates the result of an exchange and relays its response, if it is valid.
 */
async function handleExchange(
  context: RunContext,
  result: ExchangeResult,
  { endpoint, sent_ms, inputs, onResponse }: {
    endpoint: RouteEndpoint;
    sent_ms: number;
    inputs: StageInputs;
    onResponse: () => void;
  },
): Promise<SendResult> {
  const { now, codec, load } = context.dependencies;
  const received_ms = now();
  if (result.kind === ExchangeOutcome.NotSent) {
    return resultAfterFailure(context, SendOutcome.NotRun, {
      first_byte_ms: received_ms,
      reason: result.reason,
    });
  }
  if (result.kind === ExchangeOutcome.ResponseLost) {
    return resultAfterFailure(context, SendOutcome.MayHaveRun, {
      first_byte_ms: received_ms,
      reason: result.reason,
    });
  }
  const { response } = result;
  const metadata = codec.decodeResponse(response.status, response.headers);
  const { rate_limit } = metadata;
  if (metadata.load !== undefined) {
    load.forEndpoint(endpoint).recordLoad(metadata.load, received_ms);
  }
  if (
    !isResponseTo(
      context.admitted.metadata.attempt_id,
      response.status,
      metadata,
    )
  ) {
    discardResponse(response);
    return resultAfterFailure(context, SendOutcome.MayHaveRun, {
      first_byte_ms: received_ms,
      reason: FOREIGN_ANSWER,
    });
  }
  context.dependencies.rateLimits.observe(endpoint, { rate_limit, sent_ms });
  if (metadata.not_run) {
    response.body.resume();
    return {
      ...resultAfterNotRun(metadata),
      first_byte_ms: received_ms,
      reason: `${response.status}`,
    };
  }
  onResponse();
  const isStream = metadata.stream &&
    context.admitted.route.kind === CallKind.Streaming;
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
  });
  return rate_limit.kind === RateLimitKind.Limited
    ? { ...sent, limit_per_s: rate_limit.per_s }
    : sent;
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

/** Whether a response belongs to the request with this attempt id. */
function isResponseTo(
  attempt_id: string,
  status: number,
  metadata: ResponseMetadata,
): boolean {
  if (metadata.not_run) return true;
  if (metadata.attempt_id !== undefined && metadata.attempt_id !== attempt_id) {
    return false;
  }
  return status >= MIN_REDIRECT_STATUS ||
    (metadata.signed && metadata.attempt_id === attempt_id);
}

/** The result of a send that the endpoint reported as not run. */
function resultAfterNotRun(
  metadata: ResponseMetadata,
): { outcome: SendOutcome; observedOutcome: ObservedOutcome } {
  if (metadata.inputs_gone) {
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
  { first_byte_ms, status }: { first_byte_ms: number; status: number },
): SendResult {
  const { response } = context.inbound;
  context.bufferedError = relayed.buffered ?? context.bufferedError;
  if (relayed.complete) {
    return {
      outcome: relayed.delivered
        ? SendOutcome.Answered
        : SendOutcome.MayHaveRun,
      observedOutcome: status >= MIN_SERVER_ERROR_STATUS
        ? ObservedOutcome.Error
        : ObservedOutcome.Success,
      first_byte_ms: relayed.first_byte_ms ?? first_byte_ms,
      reason: `status_${status}`,
      event_count: relayed.event_count,
    };
  }
  const mayResume = context.admitted.route.resumable &&
    context.stopReason === undefined;
  // A truncated response must not look complete, so the connection is
  // destroyed.
  if (!mayResume && response.headersSent) response.destroy();
  const outcome = response.destroyed
    ? SendOutcome.Answered
    : SendOutcome.MayHaveRun;
  return {
    ...resultAfterFailure(context, outcome, { first_byte_ms, reason: "cut" }),
    event_count: relayed.event_count,
  };
}

function logSend(
  context: RunContext,
  endpoint: RouteEndpoint,
  { result, started_ms }: { result: SendResult; started_ms: number },
): void {
  const { log, now, load, configuration } = context.dependencies;
  const endpointLoad = load.forEndpoint(endpoint);
  const { prompt } = context.admitted.metadata;
  const failed = result.observedOutcome === ObservedOutcome.ConnectionFailed;
  log.info({
    event: "send",
    attempt: context.admitted.metadata.attempt_id,
    route: context.admitted.route.name,
    configuration: configuration.version,
    endpoint: endpoint.id,
    zone: endpoint.availability_zone,
    send: context.sendCount,
    in_flight: endpointLoad.in_flight,
    failure_share: Number(endpointLoad.failure_share.toFixed(2)),
    first_ms: Math.round(result.first_byte_ms - started_ms),
    elapsed_ms: Math.round(now() - started_ms),
    outcome: result.observedOutcome,
    reason: result.reason,
    events: result.event_count,
    limit_per_s: result.limit_per_s,
    prompt: failed && prompt.length > 0
      ? prompt.map(({ id }) => id).join(",")
      : undefined,
    stopped: context.stopReason,
  });
}

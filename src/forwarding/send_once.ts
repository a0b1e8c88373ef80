/**
 * One send of a request to one endpoint: the exchange, what its answer means,
 * and the answer's way to the caller.
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
import { ExchangeVerdict } from "../routing/observed_load.ts";
import type { ResponseMetadata } from "./protocol_codec.ts";
import { relayBuffered, type RelayResult, relayStream } from "./relay.ts";
import type { RequestContext } from "./request_context.ts";

/** What to do after one send. */
export enum SendOutcome {
  /** The caller has its answer, or is gone. */
  Answered = "done",
  /** It surely has not run: another endpoint may. */
  NotRun = "elsewhere",
  /** It may have run. */
  MayHaveRun = "failed",
  /** Its stages have to be run again. */
  InputsLost = "inputs_gone",
}

/** Results of the last stages, and the means to give them up. */
export interface StageInputs {
  results: StageResult[];
  giveUp: () => void;
}

/** How one send ended. */
interface SendResult {
  outcome: SendOutcome;
  verdict: ExchangeVerdict;
  /** When its first bytes came, or it failed, on the steady clock. */
  first_byte_ms: number;
  reason: string;
}

/** An idempotent call without an answer for this many targets goes elsewhere. */
const SAFE_CALL_TIMEOUT_TARGETS = 2;
/** A stream without its first event for this long goes elsewhere. */
const STREAM_TIMEOUT_FACTOR = 5;
const STREAM_TIMEOUT_EXTRA_MS = 600;
/** Why an attempt's connection is given up; a constant costs no stack trace. */
const ABORT_REASON = "attempt_over";
const MIN_REDIRECT_STATUS = 300;
const MIN_SERVER_ERROR_STATUS = 500;

/** Sends the request once and says what should follow. */
export async function sendOnce(
  run: RequestContext,
  endpoint: RouteEndpoint,
  inputs: StageInputs,
): Promise<SendOutcome> {
  const { load, now, metrics, agents } = run.dependencies;
  const endpointLoad = load.of(endpoint);
  const started_ms = now();
  endpointLoad.inFlight += 1;
  const attempt = new AbortController();
  const attemptTimer = startAttemptTimer(run, attempt);
  try {
    const signal = AbortSignal.any([attempt.signal, run.signal]);
    const result = await sendToEndpoint(run, endpoint, { inputs, signal });
    const end = await handleExchange(run, result, {
      endpoint,
      inputs,
      onResponse: () => clearTimeout(attemptTimer),
    });
    endpointLoad.judge(end.verdict, now());
    if (end.verdict === ExchangeVerdict.Well) {
      load.learnTime(endpoint, end.first_byte_ms - started_ms);
    }
    if (end.verdict === ExchangeVerdict.Broken) {
      agents.closeIdleConnections(endpoint.address);
    }
    metrics.sends.inc({ outcome: end.verdict });
    logSend(run, endpoint, { end, began_ms: started_ms });
    if (end.outcome === SendOutcome.Answered) run.recordOutcome(end.verdict);
    return end.outcome;
  } finally {
    clearTimeout(attemptTimer);
    attempt.abort(ABORT_REASON);
    endpointLoad.inFlight -= 1;
  }
}

/** Gives an idempotent call up, if there is time for another one. */
function startAttemptTimer(
  run: RequestContext,
  attempt: AbortController,
): NodeJS.Timeout | undefined {
  if (!run.mayRetry) return undefined;
  const { kind, target_latency_ms } = run.admitted.route;
  const typical_ms = run.dependencies.load.typicalMs(run.pool);
  const timeout_ms = kind === CallKind.Safe
    ? SAFE_CALL_TIMEOUT_TARGETS * target_latency_ms
    : STREAM_TIMEOUT_FACTOR * typical_ms + STREAM_TIMEOUT_EXTRA_MS;
  return setTimeout(() => attempt.abort(ABORT_REASON), timeout_ms);
}

async function sendToEndpoint(
  run: RequestContext,
  endpoint: RouteEndpoint,
  { inputs, signal }: { inputs: StageInputs; signal: AbortSignal },
): Promise<ExchangeResult> {
  const { codec: dialect, agents, configuration } = run.dependencies;
  const { request } = run.inbound;
  const { metadata: marks, organisation, priority } = run.admitted;
  const pool = configuration.table?.configuration.pools.get(run.pool);
  return await sendRequest({
    address: endpoint.address,
    agent: agents.agentFor(endpoint.address, pool?.max_connections ?? 1),
    method: request.method ?? "GET",
    target: request.url ?? "/",
    headers: dialect.encodeRequestHeaders(request.rawHeaders, {
      endpoint,
      remaining_ms: Math.floor(run.remainingMs()),
      organisation: organisation?.name,
      inputs: inputs.results.map((each) => each.handle),
      priority,
      last_event_id: run.lastEventId ?? marks.last_event_id,
      body_bytes: run.body?.length,
    }),
    body: run.body,
    signal,
  });
}

/** Takes the answer of one exchange to the caller, if it is one. */
async function handleExchange(
  run: RequestContext,
  result: ExchangeResult,
  { endpoint, inputs, onResponse: onAnswer }: {
    endpoint: RouteEndpoint;
    inputs: StageInputs;
    onResponse: () => void;
  },
): Promise<SendResult> {
  const { now, codec: dialect, load } = run.dependencies;
  const first_ms = now();
  if (result.kind === ExchangeOutcome.NotSent) {
    return brokenResult(run, SendOutcome.NotRun, {
      first_ms,
      reason: result.reason,
    });
  }
  if (result.kind === ExchangeOutcome.ResponseLost) {
    return brokenResult(run, SendOutcome.MayHaveRun, {
      first_ms,
      reason: result.reason,
    });
  }
  const { response: answer } = result;
  const marks = dialect.decodeResponse(answer.status, answer.headers);
  if (marks.load !== undefined) {
    load.of(endpoint).report(marks.load, first_ms);
  }
  if (!isResponseTo(run.admitted.metadata.attempt_id, answer.status, marks)) {
    discardResponse(answer);
    return brokenResult(run, SendOutcome.MayHaveRun, {
      first_ms,
      reason: "foreign_answer",
    });
  }
  if (marks.not_run) {
    answer.body.resume();
    return {
      ...resultAfterNotRun(marks),
      first_byte_ms: first_ms,
      reason: `${answer.status}`,
    };
  }
  onAnswer();
  const relayed = marks.stream
    ? await forwardStream(run, answer, inputs)
    : await relayBuffered(run.inbound.response, answer, {
      headers: dialect.filterResponseHeaders(answer.headers),
      withhold: answer.status >= MIN_SERVER_ERROR_STATUS && run.mayRetry,
      closeConnection: run.dependencies.isLeaving(),
    });
  return resultAfterRelay(run, relayed, { first_ms, status: answer.status });
}

/** A send without an answer to trust; the endpoint is at fault, if we went on. */
function brokenResult(
  run: RequestContext,
  outcome: SendOutcome,
  { first_ms, reason }: { first_ms: number; reason: string },
): SendResult {
  const verdict = run.stopReason === undefined
    ? ExchangeVerdict.Broken
    : ExchangeVerdict.Well;
  return { outcome, verdict, first_byte_ms: first_ms, reason };
}

/** Whether an answer is one to the request with this id. */
function isResponseTo(
  attempt_id: string,
  status: number,
  marks: ResponseMetadata,
): boolean {
  if (marks.not_run) return true;
  if (marks.attempt_id !== undefined && marks.attempt_id !== attempt_id) {
    return false;
  }
  return status >= MIN_REDIRECT_STATUS ||
    (marks.signed && marks.attempt_id === attempt_id);
}

/** What follows when an endpoint says that it did not run the request. */
function resultAfterNotRun(
  marks: ResponseMetadata,
): { outcome: SendOutcome; verdict: ExchangeVerdict } {
  if (marks.inputs_gone) {
    return { outcome: SendOutcome.InputsLost, verdict: ExchangeVerdict.Well };
  }
  const verdict = marks.wrong_endpoint
    ? ExchangeVerdict.Broken
    : ExchangeVerdict.Full;
  return { outcome: SendOutcome.NotRun, verdict };
}

async function forwardStream(
  run: RequestContext,
  answer: EndpointResponse,
  inputs: StageInputs,
): Promise<RelayResult> {
  const { codec: dialect, isLeaving: leaving } = run.dependencies;
  const relayed = await relayStream(run.inbound.response, answer, {
    headers: dialect.filterResponseHeaders(answer.headers),
    resumable: run.admitted.route.resumable,
    closeConnection: leaving(),
    onFirstBytes: inputs.giveUp,
  });
  run.lastEventId = relayed.last_event_id ?? run.lastEventId;
  return relayed;
}

function resultAfterRelay(
  run: RequestContext,
  relayed: RelayResult,
  { first_ms, status }: { first_ms: number; status: number },
): SendResult {
  const { response } = run.inbound;
  run.bufferedError = relayed.buffered ?? run.bufferedError;
  if (relayed.complete) {
    return {
      outcome: relayed.delivered
        ? SendOutcome.Answered
        : SendOutcome.MayHaveRun,
      verdict: status >= MIN_SERVER_ERROR_STATUS
        ? ExchangeVerdict.Error
        : ExchangeVerdict.Well,
      first_byte_ms: relayed.first_ms ?? first_ms,
      reason: `status_${status}`,
    };
  }
  const mayResume = run.admitted.route.resumable &&
    run.stopReason === undefined;
  // Half an answer must not look whole.
  if (!mayResume && response.headersSent) response.destroy();
  const outcome = response.destroyed
    ? SendOutcome.Answered
    : SendOutcome.MayHaveRun;
  return brokenResult(run, outcome, { first_ms, reason: "cut" });
}

function logSend(
  run: RequestContext,
  endpoint: RouteEndpoint,
  { end, began_ms }: { end: SendResult; began_ms: number },
): void {
  const { log, now, load, configuration } = run.dependencies;
  const endpointLoad = load.of(endpoint);
  log.info({
    event: "send",
    attempt: run.admitted.metadata.attempt_id,
    route: run.admitted.route.name,
    configuration: configuration.version,
    endpoint: endpoint.id,
    zone: endpoint.availability_zone,
    send: run.sendCount,
    in_flight: endpointLoad.inFlight,
    failure_share: Number(endpointLoad.failureShare.toFixed(2)),
    first_ms: Math.round(end.first_byte_ms - began_ms),
    elapsed_ms: Math.round(now() - began_ms),
    outcome: end.verdict,
    reason: end.reason,
    stopped: run.stopReason,
  });
}

/** Sends a request once to one endpoint and records how that ended. */
import { ExchangeOutcome, type ExchangeResult } from "../endpoints/exchange.ts";
import { CallKind, type RouteEndpoint } from "../routes/types.ts";
import { ObservedOutcome } from "../routing/observed_load.ts";
import { type RunContext, StopReason } from "./run_context.ts";
import { outcomeOfAnswer, placeOutcomeOf } from "./place_outcome.ts";
import { completeExchange } from "./complete_exchange.ts";
import {
  mayHaveCrashed,
  SendOutcome,
  type SendResult,
  type StageInputs,
} from "./send_result.ts";

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

/** Outcomes that a failure on the way to the endpoint may cause. */
const FAILED_OUTCOMES: ReadonlySet<ObservedOutcome> = new Set([
  ObservedOutcome.ConnectionFailed,
  ObservedOutcome.Silent,
]);

/**
 * Sends the request to one endpoint and relays its response, if it is valid.
 */
export async function sendOnce(
  context: RunContext,
  endpoint: RouteEndpoint,
  inputs: StageInputs,
): Promise<SendResult> {
  const { load, now, metrics, agents, serviceTimes } = context.dependencies;
  const endpointLoad = load.forEndpoint(endpoint);
  const started_ms = now();
  const { progress } = context.inbound;
  const { route } = context.admitted;
  const mayHaveRunBefore = progress.mayHaveRun;
  endpointLoad.in_flight += 1;
  const sendAbort = new AbortController();
  const sendTimer = startSendTimer(context, sendAbort);
  try {
    const signal = AbortSignal.any([sendAbort.signal, context.signal]);
    const exchange = await sendToEndpoint(context, endpoint, {
      inputs,
      signal,
    });
    const completed = await completeExchange(context, exchange, {
      endpoint,
      sent_ms: started_ms,
      inputs,
      onResponse: () => clearTimeout(sendTimer),
      onStreamBegun() {
        const usual_ms = load.routeFirstByteMs(route.name);
        context.beginAtPlace(outcomeOfAnswer(now() - started_ms, usual_ms));
      },
    });
    const result = hasWayFailed(context, endpoint, { completed, exchange })
      ? { ...completed, observedOutcome: ObservedOutcome.Unreachable }
      : completed;
    const usual_ms = load.routeFirstByteMs(route.name);
    progress.mayHaveRun = mayHaveRunBefore || !isNotRun(result.outcome);
    endpointLoad.recordOutcome(result.observedOutcome, now());
    if (result.observedOutcome === ObservedOutcome.Success) {
      const first_byte_ms = result.first_byte_ms - started_ms;
      load.recordFirstByte(endpoint, first_byte_ms);
      load.recordRouteFirstByte(route.name, first_byte_ms);
    }
    if (
      result.outcome === SendOutcome.Answered &&
      context.stopReason === undefined
    ) {
      serviceTimes.record(route.name, now() - started_ms);
    }
    if (
      result.observedOutcome === ObservedOutcome.ConnectionFailed ||
      result.observedOutcome === ObservedOutcome.Silent
    ) {
      agents.closeIdleConnections(endpoint.address);
    }
    context.crashSuspicion = mayHaveCrashed(result)
      ? reportBrokenSend(context, endpoint, started_ms)
      : undefined;
    metrics.sends.inc({ outcome: result.observedOutcome });
    recordWorkAfterCallerLeft(context);
    logSend(context, endpoint, { result, started_ms, exchange });
    const sent = { sent_ms: started_ms, usual_ms };
    return { ...result, place_outcome: placeOutcomeOf(result, sent) };
  } finally {
    clearTimeout(sendTimer);
    sendAbort.abort(ABORT_REASON);
    endpointLoad.in_flight -= 1;
  }
}

/** Whether a send failed on its way, which says nothing of the endpoint. */
function hasWayFailed(
  { dependencies }: RunContext,
  endpoint: RouteEndpoint,
  { completed, exchange }: { completed: SendResult; exchange: ExchangeResult },
): boolean {
  if (!FAILED_OUTCOMES.has(completed.observedOutcome)) return false;
  if (exchange.kind !== ExchangeOutcome.ResponseReceived) {
    return exchange.way_failed === true;
  }
  return exchange.response.carrier === undefined &&
    dependencies.routes.isOutOfReach(endpoint);
}

function recordWorkAfterCallerLeft(
  { stopReason, sinceStopMs = 0, dependencies }: RunContext,
): void {
  if (stopReason !== StopReason.CallerDisconnected) return;
  const { workAfterCallerLeft } = dependencies.metrics;
  workAfterCallerLeft.observe({ work: "send" }, sinceStopMs);
}

function isNotRun(outcome: SendOutcome): boolean {
  return outcome === SendOutcome.NotRun || outcome === SendOutcome.InputsLost;
}

function reportBrokenSend(
  { admitted, dependencies, traits }: RunContext,
  endpoint: RouteEndpoint,
  sent_ms: number,
): Promise<boolean> {
  const { attempt_id } = admitted.metadata;
  const { suspected } = dependencies.quarantine.recordBroken({
    endpoint,
    attempt_id,
    traits: traits.own,
    sent_ms,
  });
  return suspected;
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
  const { codec, agents, configuration, send } = context.dependencies;
  const { request, progress } = context.inbound;
  const { metadata, organisation, priority } = context.admitted;
  const pool = configuration.routeTable?.configuration.pools.get(context.pool);
  const formRequest = () => {
    const headers = codec.encodeRequestHeaders(request.rawHeaders, {
      endpoint,
      remaining_ms: Math.floor(context.remainingMs()),
      organisation: organisation?.name,
      inputs: inputs.results.map((each) => each.handle),
      priority,
      last_event_id: context.lastEventId ?? metadata.last_event_id,
      body_bytes: context.body?.length,
    });
    // Until the result is known.
    progress.mayHaveRun = true;
    return {
      address: endpoint.address,
      agent: agents.agentFor(endpoint.address, pool?.max_connections ?? 1),
      method: request.method ?? "GET",
      target: request.url ?? "/",
      headers,
      body: context.body,
      attempt_id: metadata.attempt_id,
      signal,
    };
  };
  const permit = context.sendPermit;
  context.sendPermit = undefined;
  return await send(endpoint, formRequest, permit);
}

function logSend(
  context: RunContext,
  endpoint: RouteEndpoint,
  { result, started_ms, exchange }: {
    result: SendResult;
    started_ms: number;
    exchange: ExchangeResult;
  },
): void {
  const { log, now, load, configuration } = context.dependencies;
  const endpointLoad = load.forEndpoint(endpoint);
  const { prompt } = context.admitted.metadata;
  const { sinceStopMs } = context;
  const failed = result.observedOutcome === ObservedOutcome.ConnectionFailed;
  log.info({
    event: "send",
    attempt: context.admitted.metadata.attempt_id,
    route: context.admitted.route.name,
    configuration: configuration.version,
    endpoint: endpoint.id,
    zone: endpoint.availability_zone,
    carrier: exchange.kind === ExchangeOutcome.ResponseReceived
      ? exchange.response.carrier
      : undefined,
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
    after_stop_ms: sinceStopMs === undefined
      ? undefined
      : Math.round(sinceStopMs),
  });
}

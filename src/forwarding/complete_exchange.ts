/**
 * Evaluates the result of an exchange with an endpoint, and relays its response
 * to the caller, if it is valid.
 */
import { RateLimitKind } from "../endpoint_reports/endpoint_report.ts";
import {
  discardResponse,
  type EndpointResponse,
  ExchangeOutcome,
  type ExchangeResult,
  headerValue,
} from "../endpoints/exchange.ts";
import { CallKind, type RouteEndpoint } from "../routes/types.ts";
import type { ResponseMetadata } from "./protocol_codec.ts";
import { relayBuffered, type RelayResult, relayStream } from "./relay.ts";
import { originOf, ResponseOrigin } from "./response_origin.ts";
import { ResponseUse, useOf } from "./response_use.ts";
import type { RunContext } from "./run_context.ts";
import { recordStreamEnd, recordStreamOrigin } from "./stream_origin.ts";
import {
  MIN_SERVER_ERROR_STATUS,
  resultAfterFailure,
  resultAfterNotRun,
  resultAfterRelay,
  resultWithoutContinuation,
  resultWithoutResponse,
  SendOutcome,
  type SendResult,
  type StageInputs,
} from "./send_result.ts";

const CONTENT_ENCODING = "content-encoding";

/**
 * Evaluates the result of an exchange and relays its response, if it is valid.
 */
export async function completeExchange(
  context: RunContext,
  result: ExchangeResult,
  { endpoint, sent_ms, inputs, onResponse, onStreamBegun }: {
    endpoint: RouteEndpoint;
    sent_ms: number;
    inputs: StageInputs;
    onResponse: () => void;
    /** Called when the first bytes of a stream have come. */
    onStreamBegun: () => void;
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
    quarantine.recordAnswered(context.traits.all, endpoint.address);
  const onFirstEvent = () => {
    recordAnswered();
    recordStreamOrigin(context, endpoint);
  };
  const relayed = isStream
    ? await relayResponseStream(context, response, {
      onFirstBytes() {
        inputs.freeResults();
        onStreamBegun();
      },
      onFirstEvent,
    })
    : await relayBuffered(context.inbound.response, response, {
      headers: codec.filterResponseHeaders(response.headers),
      withhold: response.status >= MIN_SERVER_ERROR_STATUS && context.mayRetry,
      closeConnection: context.dependencies.isShuttingDown(),
      limits: context.dependencies.responseLimits,
      cut: (reason) =>
        context.inbound.progress.cut(context.inbound.response, reason),
    });
  if (!isStream && relayed.complete) recordAnswered();
  if (isStream) recordStreamEnd(context, relayed, endpoint);
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

/** The last event that the caller has, from this response or from another. */
function positionOf(
  { inbound, lastEventId, admitted }: RunContext,
): string | undefined {
  if (inbound.response.headersSent) return lastEventId;
  const { route, metadata } = admitted;
  return route.resumable ? metadata.last_event_id : undefined;
}

async function relayResponseStream(
  context: RunContext,
  response: EndpointResponse,
  { onFirstBytes, onFirstEvent }: {
    onFirstBytes: () => void;
    onFirstEvent: () => void;
  },
): Promise<RelayResult> {
  const { codec, isShuttingDown, responseLimits } = context.dependencies;
  const relayed = await relayStream(context.inbound.response, response, {
    headers: codec.filterResponseHeaders(response.headers),
    resumable: context.admitted.route.resumable,
    continues_after: positionOf(context),
    closeConnection: isShuttingDown(),
    limits: responseLimits,
    onFirstBytes,
    onFirstEvent,
  });
  context.lastEventId = relayed.last_event_id ?? context.lastEventId;
  return relayed;
}

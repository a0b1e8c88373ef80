/** The result of one send of a request, and what it tells of the endpoint. */
import type { StageResult } from "../batching/types.ts";
import { COLD_ENDPOINT } from "../cold_endpoints/cold_sender.ts";
import { ENDPOINT_UNAVAILABLE } from "../endpoints/endpoint_agents.ts";
import {
  ExchangeOutcome,
  type ExchangeResult,
  NO_CONNECTION,
} from "../endpoints/exchange.ts";
import type { PlaceOutcome } from "../endpoint_places/types.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import { ObservedOutcome } from "../routing/observed_load.ts";
import type { ResponseMetadata } from "./protocol_codec.ts";
import { type RelayResult, ResponseCutReason } from "./relay.ts";
import { ResponseOrigin } from "./response_origin.ts";
import { ResponseUse } from "./response_use.ts";
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
  /** How it counts for the endpoint's places; undefined if it tells nothing. */
  place_outcome?: PlaceOutcome | undefined;
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
  ...Object.values(ResponseCutReason),
]);
/** Reasons of requests that were not sent since their endpoint takes none now. */
const FULL_REASONS: ReadonlySet<string> = new Set([
  ENDPOINT_UNAVAILABLE,
  NO_CONNECTION,
  COLD_ENDPOINT,
]);
/** Reasons of requests that got no response in time. */
const TIMEOUT_REASONS: ReadonlySet<string> = new Set([
  ABORTED_CODE,
  "connect_timeout",
]);
const MIN_REDIRECT_STATUS = 300;
/** Lowest status that tells of an error of the endpoint. */
export const MIN_SERVER_ERROR_STATUS = 500;
/** Logged for a response that the endpoint broke off. */
const CUT = "cut";

/** Whether the endpoint may have crashed when it began to answer. */
export function mayHaveCrashed(result: SendResult): boolean {
  const { outcome, observedOutcome, event_count = 0, reason } = result;
  return outcome !== SendOutcome.NotRun &&
    observedOutcome === ObservedOutcome.ConnectionFailed &&
    event_count === 0 && !REASONS_WITHOUT_CRASH.has(reason);
}

/** Whether the endpoint rejected the request for want of room. */
export function isRejection({ observedOutcome, reason }: SendResult): boolean {
  return observedOutcome === ObservedOutcome.Full && !FULL_REASONS.has(reason);
}

/** The result of a send without a response. */
export function resultWithoutResponse(
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
  if (notSent && FULL_REASONS.has(reason)) {
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
export function resultAfterFailure(
  context: RunContext,
  outcome: SendOutcome,
  { first_byte_ms, reason }: { first_byte_ms: number; reason: string },
): SendResult {
  const observedOutcome = context.stopReason === undefined
    ? ObservedOutcome.ConnectionFailed
    : ObservedOutcome.Stopped;
  return { outcome, observedOutcome, first_byte_ms, reason };
}

/** The result of a send that the endpoint reported as not run. */
export function resultAfterNotRun(
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

/** The result of a send whose response can't follow the caller's stream. */
export function resultWithoutContinuation(
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

/** The result of a send whose response was relayed, or broke off. */
export function resultAfterRelay(
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

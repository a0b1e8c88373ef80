/**
 * The way of requests to endpoints: directly, or through another host while that
 * one reaches the endpoint and this one doesn't. What becomes of a request
 * (retries, budgets, deadlines) is decided by the code that sends it.
 */
import { ENDPOINT_UNAVAILABLE } from "../endpoints/endpoint_agents.ts";
import {
  discardResponse,
  type EndpointRequest,
  type EndpointResponse,
  ExchangeOutcome,
  type ExchangeResult,
  NO_CONNECTION,
  sendRequest,
} from "../endpoints/exchange.ts";
import type { SendPermit } from "../rate_limits/rate_limit_service.ts";
import type { EndpointRoutes } from "../reachability/types.ts";
import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import type { CarrierConnections } from "./carrier_connections.ts";
import { sendDirectly } from "./direct_exchange.ts";
import {
  CarriedOutcome,
  CarrierRefusal,
  decodeResponseHead,
  encodeHead,
  EXCHANGE_PATH,
  HEAD_HEADER,
  MAX_HEAD_BYTES,
  type ResponseHead,
} from "./exchange_head.ts";

/**
 * Sends a request to an endpoint, of which undefined is an unknown one at the
 * request's address. The request is formed anew for each way that is tried, as
 * it may tell the time that is left. `permit` was taken for this one send; a
 * request without one is held against the bound of a cold endpoint as well.
 */
export type SendToEndpoint = (
  endpoint: RouteEndpoint | undefined,
  formRequest: () => EndpointRequest,
  permit?: SendPermit,
) => Promise<ExchangeResult>;

/** Dependencies of an endpoint sender. */
export interface EndpointSenderOptions {
  routes: EndpointRoutes;
  carriers: CarrierConnections;
  /** Whether requests to an endpoint may go through another host; true if absent. */
  mayBeCarried?: (endpoint: RouteEndpoint) => boolean;
  /** Called when an exchange through another host has a result. */
  onCarried: (outcome: CarriedResult) => void;
}

/** Results of exchanges through another host. The values appear in metrics. */
export enum CarriedResult {
  Response = "response",
  NotSent = "not_sent",
  Lost = "lost",
  CarrierRefused = "carrier_refused",
  CarrierLost = "carrier_lost",
}

/** Reason of a request that no other host took. */
export const NO_CARRIER = "no_carrier";
/** Reason of a request whose carrier did not tell what came of it. */
export const CARRIER_LOST = "carrier_lost";

/** Carriers that are tried for one request while none has sent it. */
const MAX_CARRIERS = 3;
/** Time in which a carrier confirms the receipt of a request. */
const RECEIPT_TIMEOUT_MS = 400;
const HTTP_OK = 200;
/** Refusals that hold for all endpoints. */
const GENERAL_REFUSALS: ReadonlySet<CarrierRefusal> = new Set([
  CarrierRefusal.CarrierDrains,
  CarrierRefusal.CarrierFull,
]);
/** Refusals that hold for this endpoint until the carrier says otherwise. */
const UNREACHED_REFUSALS: ReadonlySet<CarrierRefusal> = new Set([
  CarrierRefusal.OutOfReach,
  CarrierRefusal.UnknownEndpoint,
]);

/** Creates the function by which all requests go to endpoints. */
export function createEndpointSender(
  options: EndpointSenderOptions,
): SendToEndpoint {
  const { routes, carriers } = options;
  return async (endpoint, formRequest) => {
    if (endpoint === undefined) return await sendRequest(formRequest());
    const avoid = new Set<string>();
    if (routes.carrierFor(endpoint, { avoid }) === undefined) {
      const request = formRequest();
      const result = await sendDirectly(routes, endpoint, request);
      if (!mayGoAnotherWay(result, request)) return result;
      if (options.mayBeCarried?.(endpoint) === false) return result;
      if (routes.carrierFor(endpoint, { avoid }) === undefined) return result;
    }
    while (true) {
      // Asked after the last try as well: without any left, others are looked for.
      const carrier = routes.carrierFor(endpoint, { avoid });
      if (carrier === undefined || avoid.size >= MAX_CARRIERS) break;
      const request = formRequest();
      if (carriers.toEndpoint(endpoint.address) >= request.agent.maxSockets) {
        return { kind: ExchangeOutcome.NotSent, reason: NO_CONNECTION };
      }
      const result = await carry(carrier, { endpoint, request }, options);
      if (result !== undefined) return result;
      avoid.add(carrier);
    }
    return {
      kind: ExchangeOutcome.NotSent,
      reason: NO_CARRIER,
      way_failed: true,
    };
  };
}

/** Whether a request that went directly may be sent through another host. */
function mayGoAnotherWay(
  result: ExchangeResult,
  { signal }: EndpointRequest,
): boolean {
  return result.kind === ExchangeOutcome.NotSent && !signal.aborted &&
    result.malformed !== true && result.reason !== ENDPOINT_UNAVAILABLE;
}

/**
 * Sends a request through another host; resolves to undefined if that host has
 * certainly not sent it and another may be tried.
 */
async function carry(
  carrier: string,
  { endpoint, request }: { endpoint: RouteEndpoint; request: EndpointRequest },
  { routes, carriers, onCarried }: EndpointSenderOptions,
): Promise<ExchangeResult | undefined> {
  const end = carriers.begin(carrier, endpoint.address);
  const silence = setTimeout(
    () => routes.recordCarrierFailure(carrier),
    RECEIPT_TIMEOUT_MS,
  );
  const result = await sendRequest({
    ...encodeRequest(carrier, { endpoint, request, carriers }),
    onInformation: () => clearTimeout(silence),
  });
  clearTimeout(silence);
  if (wasStopped(result)) {
    end();
    return result;
  }
  const carried = readResult(result, carrier, request.signal);
  onCarried(carried.outcome);
  if (carried.carrierFailed && !request.signal.aborted) {
    carriers.closeIdle(carrier);
    routes.recordCarrierFailure(carrier);
  }
  if (carried.endpointUnreached === true) {
    routes.recordCarrierUnreached(carrier, endpoint);
  }
  if (carried.result?.kind === ExchangeOutcome.ResponseReceived) {
    carried.result.response.body.once("close", end);
  } else end();
  return carried.result;
}

/** Whether this host itself did not let a request begin. */
function wasStopped(result: ExchangeResult): boolean {
  return result.kind === ExchangeOutcome.NotSent &&
    result.reason === ENDPOINT_UNAVAILABLE;
}

/** What has come of an exchange through another host. */
interface Carried {
  outcome: CarriedResult;
  /** Undefined if the carrier has certainly not sent the request. */
  result: ExchangeResult | undefined;
  /** Whether the carrier is to be passed over for a while. */
  carrierFailed: boolean;
  /** Whether the carrier says that it doesn't reach the endpoint. */
  endpointUnreached?: boolean;
}

function readResult(
  result: ExchangeResult,
  carrier: string,
  { aborted }: AbortSignal,
): Carried {
  if (result.kind === ExchangeOutcome.ResponseReceived) {
    return readResponse(result.response, carrier);
  }
  const failed = { outcome: CarriedResult.CarrierLost, carrierFailed: true };
  if (result.kind === ExchangeOutcome.ResponseLost) {
    const reason = aborted ? result.reason : CARRIER_LOST;
    return { ...failed, result: lostByCarrier(reason) };
  }
  const isFinal = aborted || result.malformed === true;
  return { ...failed, result: isFinal ? result : undefined };
}

function readResponse(response: EndpointResponse, carrier: string): Carried {
  const head = decodeResponseHead(headOf(response));
  if (response.status !== HTTP_OK || head === undefined) {
    discardResponse(response);
    // With another status, the request has not come to be carried.
    return response.status === HTTP_OK
      ? {
        outcome: CarriedResult.CarrierLost,
        result: lostByCarrier(CARRIER_LOST),
        carrierFailed: true,
      }
      : {
        outcome: CarriedResult.CarrierRefused,
        result: undefined,
        carrierFailed: true,
      };
  }
  if (head.kind === CarriedOutcome.Response) {
    return {
      outcome: CarriedResult.Response,
      result: {
        kind: ExchangeOutcome.ResponseReceived,
        response: carriedResponse(head, response, carrier),
      },
      carrierFailed: false,
    };
  }
  // Its connection can be used again.
  response.body.on("error", () => {}).resume();
  if (head.kind === CarriedOutcome.Refused) {
    return {
      outcome: CarriedResult.CarrierRefused,
      result: undefined,
      carrierFailed: GENERAL_REFUSALS.has(head.reason),
      endpointUnreached: UNREACHED_REFUSALS.has(head.reason),
    };
  }
  const { kind, reason } = head;
  const way_failed = head.way_failed === true;
  return kind === CarriedOutcome.NotSent
    ? {
      outcome: CarriedResult.NotSent,
      result: { kind: ExchangeOutcome.NotSent, reason, way_failed },
      carrierFailed: false,
    }
    : {
      outcome: CarriedResult.Lost,
      result: { kind: ExchangeOutcome.ResponseLost, reason, way_failed },
      carrierFailed: false,
    };
}

function encodeRequest(
  carrier: string,
  { endpoint, request, carriers }: {
    endpoint: RouteEndpoint;
    request: EndpointRequest;
    carriers: CarrierConnections;
  },
): EndpointRequest {
  const { method, target, headers, attempt_id, body, signal, mayBegin } =
    request;
  const head = encodeHead({
    endpoint: incarnationOf(endpoint),
    method,
    target,
    headers,
    attempt_id,
  });
  return {
    address: carrier,
    agent: carriers.agentFor(carrier),
    method: "POST",
    target: EXCHANGE_PATH,
    headers: [
      "Host",
      carrier,
      "Content-Length",
      String(body?.length ?? 0),
      HEAD_HEADER,
      head,
    ],
    body,
    signal,
    ...(mayBegin && { mayBegin }),
    max_header_bytes: MAX_HEAD_BYTES,
  };
}

function headOf({ body }: EndpointResponse): string | string[] | undefined {
  return body.headers[HEAD_HEADER];
}

function carriedResponse(
  head: Extract<ResponseHead, { kind: CarriedOutcome.Response }>,
  { body, socket, isRequestWritten }: EndpointResponse,
  carrier: string,
): EndpointResponse {
  const { status, status_text, headers, first_on_connection } = head;
  return {
    status,
    status_text,
    headers,
    body,
    socket,
    first_on_connection,
    isRequestWritten,
    carrier,
  };
}

function lostByCarrier(reason: string): ExchangeResult {
  return { kind: ExchangeOutcome.ResponseLost, reason, way_failed: true };
}

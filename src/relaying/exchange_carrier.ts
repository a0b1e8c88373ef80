/**
 * Carries exchanges of other hosts with endpoints that they don't reach, over
 * this host's own connections. It only sends directly and at most once: all
 * decisions about a request stay with the host that has the caller.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { PacedBody } from "../bodies/chunk_pacer.ts";
import {
  type BodyLimits,
  BytesReadKind,
  readBytes,
} from "../bodies/read_bytes.ts";
import type { EndpointReports } from "../endpoint_reports/endpoint_reports.ts";
import type { EndpointAgents } from "../endpoints/endpoint_agents.ts";
import {
  discardResponse,
  type EndpointResponse,
  ExchangeOutcome,
  isComplete,
} from "../endpoints/exchange.ts";
import type {
  ProtocolCodec,
  ResponseMetadata,
} from "../forwarding/protocol_codec.ts";
import type { Logger } from "../logging/logger.ts";
import type { EndpointRoutes } from "../reachability/types.ts";
import { addressOfIncarnation, incarnationOf } from "../routes/incarnation.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
  type RoutePool,
} from "../routes/types.ts";
import { sendDirectly } from "./direct_exchange.ts";
import {
  CarriedOutcome,
  CarrierRefusal,
  decodeRequestHead,
  encodeHead,
  EXCHANGE_PATH,
  HEAD_HEADER,
  type RequestHead,
  type ResponseHead,
} from "./exchange_head.ts";

/** Dependencies of an {@linkcode ExchangeCarrier}. */
export interface ExchangeCarrierOptions {
  codec: ProtocolCodec;
  routes: EndpointRoutes;
  /** Connections for carried exchanges, apart from those of own callers. */
  agents: EndpointAgents;
  /** The pool of this name; undefined if it is not configured. */
  pool: (name: string) => RoutePool | undefined;
  /** The endpoint at an address; undefined if it is unknown. */
  endpointAt: (address: string) => RouteEndpoint | undefined;
  reports: Pick<EndpointReports, "record" | "pauseMs">;
  /** Whether nothing may be sent to an endpoint, as its zone is evacuated. */
  isEvacuated?: (endpoint: RouteEndpoint) => boolean;
  /** Whether the endpoint is cold, and takes requests directly only. */
  isCold?: (endpoint: RouteEndpoint) => boolean;
  /** Whether this host takes no more work. */
  isShuttingDown: () => boolean;
  /** Limits of all bodies of requests that this host holds. */
  requestLimits: BodyLimits;
  /** Limits of all responses that this host holds. */
  responseLimits: BodyLimits;
  /** Called when an exchange has a result. */
  onResult: (outcome: CarriedOutcome) => void;
  log: Logger;
  /** Monotonic clock, in milliseconds. */
  now: () => number;
}

/** Exchanges that are carried at a time. */
const MAX_EXCHANGES = 1_024;
const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const MIN_REDIRECT_STATUS = 300;
/** Abort reason of an exchange whose sender has closed its connection. */
const SENDER_LEFT = "sender_left";

/** Whether a request of another host is for this module. */
export function isExchange(request: IncomingMessage): boolean {
  return request.url === EXCHANGE_PATH;
}

/** Carries exchanges for other hosts. */
export class ExchangeCarrier {
  #options: ExchangeCarrierOptions;
  #active = 0;

  constructor(options: ExchangeCarrierOptions) {
    this.#options = options;
  }

  /** Number of exchanges that are carried now. */
  get active(): number {
    return this.#active;
  }

  /** Carries one exchange; never rejects. */
  async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { log } = this.#options;
    const senderLeft = new AbortController();
    response.once("close", () => {
      if (!response.writableFinished) senderLeft.abort(SENDER_LEFT);
    });
    this.#active += 1;
    try {
      await this.#carry(request, response, senderLeft.signal);
    } catch (error) {
      const { stack } = error as Error;
      log.error({ event: "fault", stage: "exchange", error: stack });
      response.destroy();
    } finally {
      this.#active -= 1;
    }
  }

  async #carry(
    request: IncomingMessage,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const { requestLimits, log } = this.#options;
    // So that the sender can tell a slow endpoint from a carrier that is gone.
    response.writeProcessing();
    const read = await readBytes(request, { limits: requestLimits });
    const held = read.kind === BytesReadKind.Complete ? read.held : undefined;
    try {
      if (signal.aborted) return;
      const head = decodeRequestHead(request.headers[HEAD_HEADER]);
      if (head === undefined) {
        log.warn({ event: "peer_message_rejected", path: request.url });
        return void response.writeHead(HTTP_BAD_REQUEST).end();
      }
      if (read.kind !== BytesReadKind.Complete) {
        return this.#refuse(response, head, CarrierRefusal.BodyNotHeld);
      }
      await this.#send(head, { body: read.bytes, response, signal });
    } finally {
      held?.release();
    }
  }

  async #send(
    head: RequestHead,
    { body, response, signal }: {
      body: Buffer;
      response: ServerResponse;
      signal: AbortSignal;
    },
  ): Promise<void> {
    const { routes, agents, pool, now } = this.#options;
    const endpoint = this.#endpointOf(head);
    if (endpoint === undefined) {
      return this.#refuse(response, head, CarrierRefusal.UnknownEndpoint);
    }
    const { address } = endpoint;
    const max_connections = pool(endpoint.pool)?.max_connections ?? 1;
    const agent = agents.agentFor(address, max_connections);
    const refusal = this.#refusalFor(endpoint) ??
      (agent.isFull ? CarrierRefusal.NoFreeConnection : undefined);
    if (refusal !== undefined) return this.#refuse(response, head, refusal);
    const sent_ms = now();
    const { isEvacuated } = this.#options;
    const result = await sendDirectly(routes, endpoint, {
      ...head,
      ...(isEvacuated && { mayBegin: () => !isEvacuated(endpoint) }),
      address,
      agent,
      body: body.length > 0 ? body : undefined,
      signal,
    });
    if (result.kind === ExchangeOutcome.ResponseReceived) {
      return await this.#relay(result.response, response, {
        head,
        endpoint,
        sent_ms,
      });
    }
    const { kind, reason, way_failed } = result;
    if (!signal.aborted) agents.closeIdleConnections(address);
    this.#conclude(response, head, {
      kind: kind === ExchangeOutcome.NotSent
        ? CarriedOutcome.NotSent
        : CarriedOutcome.Lost,
      reason,
      way_failed,
    });
  }

  #endpointOf(
    { endpoint: incarnation }: RequestHead,
  ): RouteEndpoint | undefined {
    const { endpointAt } = this.#options;
    const endpoint = endpointAt(addressOfIncarnation(incarnation));
    return endpoint !== undefined && incarnationOf(endpoint) === incarnation
      ? endpoint
      : undefined;
  }

  /** Why an exchange with an endpoint is not carried now; undefined if it is. */
  #refusalFor(endpoint: RouteEndpoint): CarrierRefusal | undefined {
    const { routes, reports, isCold, isShuttingDown } = this.#options;
    if (isShuttingDown()) return CarrierRefusal.CarrierDrains;
    if (this.#active > MAX_EXCHANGES) return CarrierRefusal.CarrierFull;
    // Senders of an earlier release know no reason of its own for an evacuation.
    if (
      endpoint.state === RouteEndpointState.Leaving ||
      this.#options.isEvacuated?.(endpoint) === true
    ) {
      return CarrierRefusal.EndpointLeaves;
    }
    if (reports.pauseMs(endpoint) > 0) return CarrierRefusal.EndpointPauses;
    // Its sender may not know that it is cold, and may have no permit.
    if (isCold?.(endpoint) === true) return CarrierRefusal.EndpointPauses;
    if (routes.isOutOfReach(endpoint)) return CarrierRefusal.OutOfReach;
    return undefined;
  }

  async #relay(
    endpointResponse: EndpointResponse,
    response: ServerResponse,
    { head, endpoint, sent_ms }: {
      head: RequestHead;
      endpoint: RouteEndpoint;
      sent_ms: number;
    },
  ): Promise<void> {
    const { codec, reports, responseLimits } = this.#options;
    const { status, status_text, headers, first_on_connection } =
      endpointResponse;
    const metadata = codec.decodeResponse(status, headers);
    const isOwn = head.attempt_id !== undefined &&
      metadata.attempt_id === head.attempt_id;
    if (isFromEndpoint(metadata, head)) {
      reports.record(endpoint, metadata.report, isOwn ? sent_ms : undefined);
    }
    if (response.destroyed) return discardResponse(endpointResponse);
    this.#writeHead(response, head, {
      kind: CarriedOutcome.Response,
      status,
      status_text,
      headers,
      first_on_connection,
    });
    response.flushHeaders();
    await relayBody(endpointResponse, response, {
      limits: responseLimits,
      keepConnection: isSuccess(status, metadata) &&
        (isOwn || head.attempt_id === undefined),
    });
  }

  #refuse(
    response: ServerResponse,
    head: RequestHead,
    reason: CarrierRefusal,
  ): void {
    this.#conclude(response, head, { kind: CarriedOutcome.Refused, reason });
  }

  /** Answers without a response of the endpoint. */
  #conclude(
    response: ServerResponse,
    head: RequestHead,
    result: ResponseHead,
  ): void {
    if (response.destroyed) return;
    response.setHeader("content-length", 0);
    this.#writeHead(response, head, result);
    response.end();
  }

  #writeHead(
    response: ServerResponse,
    { endpoint, attempt_id }: RequestHead,
    result: ResponseHead,
  ): void {
    const { onResult, log } = this.#options;
    onResult(result.kind);
    log.info({
      event: "carry",
      incarnation: endpoint,
      attempt: attempt_id,
      outcome: result.kind,
      reason: result.kind === CarriedOutcome.Response
        ? result.status
        : result.reason,
    });
    response.sendDate = false;
    response.writeHead(HTTP_OK, { [HEAD_HEADER]: encodeHead(result) });
  }
}

/** Whether a response was written by the incarnation that was addressed. */
function isFromEndpoint(
  { wrong_endpoint, attempt_id }: ResponseMetadata,
  head: RequestHead,
): boolean {
  return !wrong_endpoint &&
    (head.attempt_id === undefined || attempt_id !== undefined);
}

function isSuccess(status: number, { not_run }: ResponseMetadata): boolean {
  return status < MIN_REDIRECT_STATUS && !not_run;
}

/**
 * Relays a body as it comes; resolves when it has ended in any way. Its end is
 * passed on only if the response was complete. The connection is not used again
 * after a response that may be a copy of an earlier one, or be followed by one.
 */
function relayBody(
  endpointResponse: EndpointResponse,
  response: ServerResponse,
  { limits, keepConnection }: { limits: BodyLimits; keepConnection: boolean },
): Promise<void> {
  const { body, socket } = endpointResponse;
  return new Promise((resolve) => {
    let finished = false;
    const finish = (complete: boolean) => {
      if (finished) return;
      finished = true;
      if (complete) response.end();
      else {
        discardResponse(endpointResponse);
        response.destroy();
      }
      if (!keepConnection) socket.destroy();
      resolve();
    };
    new PacedBody(body, limits.pacer, (bytes) => {
      if (finished || response.destroyed || response.write(bytes)) return;
      body.pause();
      response.once("drain", () => body.resume());
    });
    body.on("end", () => finish(isComplete(endpointResponse)));
    body.on("error", () => finish(false));
    body.on("close", () => finish(false));
    response.once("close", () => finish(false));
  });
}

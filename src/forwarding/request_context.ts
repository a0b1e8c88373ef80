/** The state of one request's run, shared by the steps that serve it. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { CallKind } from "../routes/types.ts";
import { sharedPrefix } from "../routing/choose_route_endpoint.ts";
import type { AdmittedRequest } from "./admit.ts";
import type { ForwardingDependencies } from "./dependencies.ts";
import { type Rejection, sendRejection } from "./rejection.ts";
import type { BufferedResponse } from "./relay.ts";

/** A request as it arrived. */
export interface InboundRequest {
  request: IncomingMessage;
  response: ServerResponse;
  /** When its head was read, on the steady clock. */
  arrived_ms: number;
}

/** Why a run ends before its answer is whole. */
export enum StopReason {
  CallerDisconnected = "caller_gone",
  DeadlinePassed = "timed_out",
}

/** Time by which the answer leaves before the caller stops waiting. */
const RESPONSE_MARGIN_MS = 10;

/** See the module's comment. */
export class RequestContext {
  readonly inbound: InboundRequest;
  readonly admitted: AdmittedRequest;
  readonly body: Buffer | undefined;
  readonly dependencies: ForwardingDependencies;
  /** When the request is of no use any more, on the steady clock. */
  readonly expires_ms: number;
  /** When the caller gives up if there is no byte of an answer yet. */
  readonly first_byte_by_ms: number;
  /** The part of its prompt that others share; undefined if it has none. */
  readonly sharedPromptPrefix: string | undefined;
  /** Pool that it goes to; drawn once by the route's weights. */
  readonly pool: string;
  sendCount = 0;
  /** Whether an endpoint may have run it. */
  mayHaveRun = false;
  /** Id of the last event that the caller got of a broken stream. */
  lastEventId: string | undefined;
  /** A failure of an endpoint, for the case that no other does better. */
  bufferedError: BufferedResponse | undefined;
  #stopController = new AbortController();
  #stopReason: StopReason | undefined;

  constructor(
    inbound: InboundRequest,
    admitted: AdmittedRequest,
    { body, parts }: {
      body: Buffer | undefined;
      parts: ForwardingDependencies;
    },
  ) {
    this.inbound = inbound;
    this.admitted = admitted;
    this.body = body;
    this.dependencies = parts;
    const { route, metadata: marks } = admitted;
    const limit_ms = Math.min(marks.deadline_ms ?? Infinity, route.timeout_ms);
    this.expires_ms = inbound.arrived_ms + limit_ms - RESPONSE_MARGIN_MS;
    const first_byte_limit_ms = Math.min(
      limit_ms,
      route.first_event_within_ms ?? Infinity,
    );
    this.first_byte_by_ms = inbound.arrived_ms + first_byte_limit_ms -
      RESPONSE_MARGIN_MS;
    this.sharedPromptPrefix = sharedPrefix(marks.prompt);
    this.pool = selectWeightedPool(admitted, parts.random);
  }

  /** Why the run ends early; undefined while it goes on. */
  get stopReason(): StopReason | undefined {
    return this.#stopReason;
  }

  /** Fires when the run ends early. */
  get signal(): AbortSignal {
    return this.#stopController.signal;
  }

  /** Ends the run early. */
  stop(reason: StopReason): void {
    this.#stopReason ??= reason;
    this.#stopController.abort(this.#stopReason);
  }

  /** Time left, in milliseconds. */
  remainingMs(): number {
    return Math.max(1, this.expires_ms - this.dependencies.now());
  }

  /** Whether the request may run more than once. */
  get idempotent(): boolean {
    const { kind, resumable } = this.admitted.route;
    return kind === CallKind.Safe ||
      (kind === CallKind.Streaming && resumable);
  }

  /** Whether a failed send may be followed by another one. */
  get mayRetry(): boolean {
    return this.idempotent && this.sendCount < this.admitted.route.max_attempts;
  }

  /** Answers with a denial, unless the caller is gone. */
  reject(rejection: Rejection): void {
    this.recordOutcome(rejection.reason);
    if (this.#stopReason === StopReason.CallerDisconnected) return;
    sendRejection(
      this.inbound.response,
      rejection,
      !this.dependencies.isLeaving(),
    );
  }

  /** Counts the request and writes its last line. */
  recordOutcome(outcome: string): void {
    const { log, now, metrics } = this.dependencies;
    const { route, metadata: marks, priority, organisation } = this.admitted;
    const elapsed_ms = now() - this.inbound.arrived_ms;
    metrics.requests.inc({ kind: route.kind, outcome });
    metrics.requestTime.observe({ kind: route.kind }, elapsed_ms);
    log.info({
      event: "request",
      attempt: marks.attempt_id,
      route: route.name,
      kind: route.kind,
      priority,
      organisation: organisation?.name,
      deadline_ms: marks.deadline_ms,
      elapsed_ms: Math.round(elapsed_ms),
      sends: this.sendCount,
      outcome,
      stopped: this.#stopReason,
    });
  }
}

function selectWeightedPool(
  { route }: AdmittedRequest,
  random: () => number,
): string {
  const total = route.pools.reduce((sum, each) => sum + each.weight, 0);
  let remainder = random() * total;
  for (const { pool, weight } of route.pools) {
    remainder -= weight;
    if (remainder < 0) return pool;
  }
  return route.pools.at(-1)?.pool ?? "";
}

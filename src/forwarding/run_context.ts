/** State of one admitted request, shared by the modules that serve it. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { CallKind, type RouteEndpoint } from "../routes/types.ts";
import { UNNAMED } from "../stream_origins/version_history.ts";
import { RequestTraits } from "../quarantine/request_traits.ts";
import { hostnameOf } from "../routes/route_table.ts";
import {
  type SharedPrefix,
  sharedPrefix,
} from "../routing/choose_route_endpoint.ts";
import type { AdmittedRequest } from "./admit.ts";
import type { Place } from "../endpoint_places/endpoint_places.ts";
import type { PlaceOutcome } from "../endpoint_places/types.ts";
import type { ForwardingDependencies } from "./dependencies.ts";
import type { BufferedResponse } from "./relay.ts";
import type { RequestProgress } from "./request_progress.ts";
import type { SendPermit } from "../rate_limits/rate_limit_service.ts";
import type { ReservedSend } from "./take_endpoint.ts";

/** A caller's request and its pending response. */
export interface InboundRequest {
  request: IncomingMessage;
  response: ServerResponse;
  /** Time at which its headers were read, on the monotonic clock. */
  arrived_ms: number;
  progress: RequestProgress;
}

/**
 * Why a request stopped before its response was complete. The values are
 * logged.
 */
export enum StopReason {
  CallerDisconnected = "caller_gone",
  /** This host closed the connection within the response. */
  ResponseCut = "response_cut",
  DeadlinePassed = "timed_out",
  /** The host is about to stop. */
  HostStopping = "host_stopping",
  /** Its handling threw an error. */
  Faulted = "fault",
}

/** Margin before the caller's deadline for the response to reach the caller. */
const RESPONSE_MARGIN_MS = 10;

/** An admitted request, its limits and its progress. */
export class RunContext {
  readonly inbound: InboundRequest;
  readonly admitted: AdmittedRequest;
  readonly body: Buffer | undefined;
  /** Whether it may reach an endpoint although it is quarantined. */
  isProbe = false;
  readonly dependencies: ForwardingDependencies;
  /** Time after which a response is useless, on the monotonic clock. */
  readonly expires_ms: number;
  /**
   * Time at which the caller gives up if it has received no bytes, on the
   * monotonic clock.
   */
  readonly first_byte_by_ms: number;
  /**
   * The prompt prefix shared with other requests; undefined if there is none.
   */
  readonly sharedPromptPrefix: SharedPrefix | undefined;
  /** What may crash endpoints. */
  readonly traits: RequestTraits;
  /**
   * Pool that serves it, chosen once at random by the route's weights; that of
   * the first event for a stream that its caller resumes.
   */
  pool: string;
  /**
   * Software version that wrote the caller's first event, at which alone the
   * stream may go on; undefined before that event.
   */
  streamVersion: string | undefined;
  /**
   * Endpoint that wrote the stream's first event; undefined before it, and for a
   * stream that its caller resumes.
   */
  firstEventFrom: RouteEndpoint | undefined;
  /** When the last event of a stream came, in monotonic time; or -Infinity. */
  last_event_ms = -Infinity;
  /** Send that is already taken from its endpoint's rate limit. */
  reservedSend: ReservedSend | undefined;
  /** Permit of its next send; each send takes it. */
  sendPermit: SendPermit | undefined;
  /** Its place at the endpoint that it is sent to. */
  #place: Place | undefined;
  /**
   * Resolves to whether the last send may have crashed its endpoint; undefined
   * if it began to answer or did not break.
   */
  crashSuspicion: Promise<boolean> | undefined;
  /** Id of the last event sent to the caller from a stream that broke. */
  lastEventId: string | undefined;
  /**
   * An endpoint's error response, sent if no other endpoint gives a better one.
   */
  bufferedError: BufferedResponse | undefined;
  #stopController = new AbortController();
  #stopReason: StopReason | undefined;
  #stopped_ms = Infinity;
  #stopped = Promise.withResolvers<void>();

  constructor(
    inbound: InboundRequest,
    admitted: AdmittedRequest,
    { body, dependencies }: {
      body: Buffer | undefined;
      dependencies: ForwardingDependencies;
    },
  ) {
    this.inbound = inbound;
    this.admitted = admitted;
    this.body = body;
    this.dependencies = dependencies;
    const { route, metadata } = admitted;
    const limit_ms = Math.min(
      metadata.deadline_ms ?? Infinity,
      route.timeout_ms,
    );
    this.expires_ms = inbound.arrived_ms + limit_ms - RESPONSE_MARGIN_MS;
    const first_byte_limit_ms = Math.min(
      limit_ms,
      route.first_event_within_ms ?? Infinity,
    );
    this.first_byte_by_ms = inbound.arrived_ms + first_byte_limit_ms -
      RESPONSE_MARGIN_MS;
    this.sharedPromptPrefix = sharedPrefix(metadata.prompt);
    const { method = "GET", url = "/", headers } = inbound.request;
    this.traits = new RequestTraits({
      method,
      hostname: hostnameOf(headers.host ?? ""),
      target: url,
      organisation: admitted.organisation?.name,
      body,
      prompt: metadata.prompt,
      stagePools: stagePoolsOf(admitted),
    });
    this.pool = selectWeightedPool(admitted, dependencies.random);
  }

  /** Number of times it was sent to an endpoint. */
  get sendCount(): number {
    return this.inbound.progress.sends;
  }

  /** Whether an endpoint may have run the request. */
  get mayHaveRun(): boolean {
    return this.inbound.progress.mayHaveRun;
  }

  /** Why the request was stopped; undefined if it was not. */
  get stopReason(): StopReason | undefined {
    return this.#stopReason;
  }

  /** Milliseconds since it was stopped; undefined if it was not. */
  get sinceStopMs(): number | undefined {
    return this.#stopReason === undefined
      ? undefined
      : this.dependencies.now() - this.#stopped_ms;
  }

  /** Resolves when the request is stopped. */
  get stopped(): Promise<void> {
    return this.#stopped.promise;
  }

  /** Aborted when the request is stopped. */
  get signal(): AbortSignal {
    return this.#stopController.signal;
  }

  /** Stops the request; the first reason is kept. */
  stop(reason: StopReason): void {
    if (this.#stopReason === undefined) {
      this.#stopReason = reason;
      this.#stopped_ms = this.dependencies.now();
    }
    this.#stopController.abort(this.#stopReason);
    this.#stopped.resolve();
  }

  /** Milliseconds until `expires_ms`, at least 1. */
  remainingMs(): number {
    return Math.max(1, this.expires_ms - this.dependencies.now());
  }

  /** Whether endpoints crash on it, so that it must not be sent. */
  get isQuarantined(): boolean {
    return !this.isProbe &&
      this.dependencies.quarantine.isQuarantined(this.traits);
  }

  /** Whether the request may be run more than once. */
  get idempotent(): boolean {
    const { kind, resumable } = this.admitted.route;
    return kind === CallKind.Idempotent ||
      (kind === CallKind.Streaming && resumable);
  }

  /** Whether the request may be sent again after a failed send. */
  get mayRetry(): boolean {
    return this.idempotent && this.sendCount < this.admitted.route.max_attempts;
  }

  /**
   * Identifies the stream over all attempts of its caller: the first one, which
   * the later ones name.
   */
  get streamKey(): string {
    const { metadata, organisation } = this.admitted;
    const { attempt_id, resumed_attempt_id = attempt_id } = metadata;
    return `${organisation?.name ?? ""}/${resumed_attempt_id}`;
  }

  /** Whether its caller has a part of a stream, and gets no more of it here. */
  get mayBeResumed(): boolean {
    const { response } = this.inbound;
    return this.firstEventFrom !== undefined && !response.writableEnded;
  }

  /** Endpoints that are ready and may serve it, by its software version. */
  readyEndpoints(): RouteEndpoint[] {
    const { endpoints, now } = this.dependencies;
    const ready = endpoints.readyInPool(this.pool, now());
    if (this.streamVersion === undefined) return ready;
    return ready.filter(({ software_version = UNNAMED }) =>
      software_version === this.streamVersion
    );
  }

  /** Whether this host sends to no endpoint of a pool that it needs, by zone. */
  get isEvacuated(): boolean {
    const { endpoints, now } = this.dependencies;
    return [this.pool, ...stagePoolsOf(this.admitted)].some((pool) =>
      endpoints.isPoolEvacuated(pool, now())
    );
  }

  /** Keeps the place at the endpoint that it is sent to next. */
  holdPlace(place: Place): void {
    this.releasePlace(false);
    this.#place = place;
  }

  /** Tells that the endpoint's stream has begun, in time or late. */
  beginAtPlace(outcome: PlaceOutcome): void {
    this.#place?.begin(outcome);
  }

  /**
   * Gives its place back; `rejected` if the endpoint had no room for it.
   * `outcome` is undefined if it tells nothing of the endpoint.
   */
  releasePlace(rejected: boolean, outcome?: PlaceOutcome): void {
    this.#place?.release(rejected, outcome);
    this.#place = undefined;
  }

  /** Records the request's outcome in the metrics and in its final log line. */
  recordOutcome(outcome: string): void {
    const { log, now, metrics } = this.dependencies;
    const { route, metadata, priority, organisation } = this.admitted;
    const elapsed_ms = now() - this.inbound.arrived_ms;
    metrics.requests.inc({ kind: route.kind, outcome });
    metrics.requestTime.observe({ kind: route.kind }, elapsed_ms);
    log.info({
      event: "request",
      attempt: metadata.attempt_id,
      route: route.name,
      kind: route.kind,
      priority,
      organisation: organisation?.name,
      deadline_ms: metadata.deadline_ms,
      elapsed_ms: Math.round(elapsed_ms),
      sends: this.sendCount,
      outcome,
      stopped: this.#stopReason,
    });
  }
}

/** The pools of the stages that it needs. */
function stagePoolsOf({ route, metadata }: AdmittedRequest): string[] {
  return route.stages.filter((_, index) => (metadata.pieces[index] ?? 0) > 0)
    .map(({ pool }) => pool);
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

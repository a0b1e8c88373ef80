/** The state of one request's run, shared by the steps that serve it. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { CallKind } from "../routes/types.ts";
import { sharedPrefix } from "../routing/choose_route_endpoint.ts";
import type { Admitted } from "./admit.ts";
import type { ForwardParts } from "./parts.ts";
import { answerDenied, type Denied } from "./refusal.ts";
import type { HeldAnswer } from "./relay.ts";

/** A request as it arrived. */
export interface Inbound {
  request: IncomingMessage;
  response: ServerResponse;
  /** When its head was read, on the steady clock. */
  arrived_ms: number;
}

/** Why a run ends before its answer is whole. */
export enum Stop {
  CallerGone = "caller_gone",
  TimedOut = "timed_out",
}

/** Time by which the answer leaves before the caller stops waiting. */
const ANSWER_MARGIN_MS = 10;

/** See the module's comment. */
export class RunContext {
  readonly inbound: Inbound;
  readonly admitted: Admitted;
  readonly body: Buffer | undefined;
  readonly parts: ForwardParts;
  /** When the request is of no use any more, on the steady clock. */
  readonly expires_ms: number;
  /** When the caller gives up if there is no byte of an answer yet. */
  readonly first_by_ms: number;
  /** The part of its prompt that others share; undefined if it has none. */
  readonly prefix: string | undefined;
  /** Pool that it goes to; drawn once by the route's weights. */
  readonly pool: string;
  sends = 0;
  /** Whether an endpoint may have run it. */
  mayHaveRun = false;
  /** Id of the last event that the caller got of a broken stream. */
  lastEventId: string | undefined;
  /** A failure of an endpoint, for the case that no other does better. */
  held: HeldAnswer | undefined;
  #stopping = new AbortController();
  #stop: Stop | undefined;

  constructor(
    inbound: Inbound,
    admitted: Admitted,
    { body, parts }: { body: Buffer | undefined; parts: ForwardParts },
  ) {
    this.inbound = inbound;
    this.admitted = admitted;
    this.body = body;
    this.parts = parts;
    const { route, marks } = admitted;
    const limit_ms = Math.min(marks.deadline_ms ?? Infinity, route.timeout_ms);
    this.expires_ms = inbound.arrived_ms + limit_ms - ANSWER_MARGIN_MS;
    const patience_ms = Math.min(
      limit_ms,
      route.first_event_within_ms ?? Infinity,
    );
    this.first_by_ms = inbound.arrived_ms + patience_ms - ANSWER_MARGIN_MS;
    this.prefix = sharedPrefix(marks.prompt);
    this.pool = drawPool(admitted, parts.random);
  }

  /** Why the run ends early; undefined while it goes on. */
  get stop(): Stop | undefined {
    return this.#stop;
  }

  /** Fires when the run ends early. */
  get signal(): AbortSignal {
    return this.#stopping.signal;
  }

  /** Ends the run early. */
  end(stop: Stop): void {
    this.#stop ??= stop;
    this.#stopping.abort(this.#stop);
  }

  /** Time left, in milliseconds. */
  left(): number {
    return Math.max(1, this.expires_ms - this.parts.now());
  }

  /** Whether the request may run more than once. */
  get idempotent(): boolean {
    const { kind, resumable } = this.admitted.route;
    return kind === CallKind.Safe ||
      (kind === CallKind.Streaming && resumable);
  }

  /** Whether a failed send may be followed by another one. */
  get mayTryAgain(): boolean {
    return this.idempotent && this.sends < this.admitted.route.max_attempts;
  }

  /** Answers with a denial, unless the caller is gone. */
  deny(denied: Denied): void {
    this.logEnd(denied.denial);
    if (this.#stop === Stop.CallerGone) return;
    answerDenied(this.inbound.response, denied, !this.parts.leaving());
  }

  /** Counts the request and writes its last line. */
  logEnd(outcome: string): void {
    const { log, now, metrics } = this.parts;
    const { route, marks, priority, organisation } = this.admitted;
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
      sends: this.sends,
      outcome,
      stopped: this.#stop,
    });
  }
}

function drawPool({ route }: Admitted, random: () => number): string {
  const total = route.pools.reduce((sum, each) => sum + each.weight, 0);
  let drawn = random() * total;
  for (const { pool, weight } of route.pools) {
    drawn -= weight;
    if (drawn < 0) return pool;
  }
  return route.pools.at(-1)?.pool ?? "";
}

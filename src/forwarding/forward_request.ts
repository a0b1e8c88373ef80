/**
 * Brings one request through: admission, stages, a send to an endpoint, and the
 * answer back. Whatever happens, the caller gets one whole answer, a refusal
 * that is true, or a connection that visibly broke.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type GraphOutcome, runStages } from "../batching/stage_graph.ts";
import { JobEnd, type StageResult } from "../batching/types.ts";
import {
  dropAnswer,
  type Exchange,
  exchange,
  ExchangeEnd,
} from "../endpoints/exchange.ts";
import { CallKind, type RouteEndpoint } from "../routes/types.ts";
import {
  chooseByPrefix,
  chooseOfTwo,
  sharedPrefix,
} from "../routing/choose_route_endpoint.ts";
import { ExchangeVerdict } from "../routing/observed_load.ts";
import { admit, type Admitted } from "./admit.ts";
import type { AnswerMarks } from "./dialect.ts";
import type { ForwardParts } from "./parts.ts";
import { BodyReadEnd, readBody } from "./read_body.ts";
import { answerDenied, Denial, type Denied } from "./refusal.ts";
import {
  answerWhole,
  type HeldAnswer,
  type RelayEnd,
  relayStream,
  relayWhole,
} from "./relay.ts";

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
/** How often a request that surely has not run may be tried elsewhere. */
const MOST_SENDS = 6;
/** When to come back if every endpoint is full, in milliseconds. */
const FULL_RETRY_MS = 250;
/** An idempotent call without an answer for this many targets goes elsewhere. */
const PATIENCE_TARGETS = 2;
/** A stream without its first event for this long goes elsewhere. */
const PATIENCE_TIMES = 5;
const PATIENCE_EXTRA_MS = 600;
/** Why an attempt's connection is given up; a constant costs no stack trace. */
const ATTEMPT_OVER = "attempt_over";
/** Stages are run again if their results got lost, but not for ever. */
const MOST_STAGE_RUNS = 2;

/** What a host says that stops before a new request could end. */
const LEAVING: Denied = {
  denial: Denial.NotReady,
  message: "This host is stopping",
  retry_after_ms: 20,
};

/** Serves one request to its end. */
export async function forwardRequest(
  inbound: Inbound,
  parts: ForwardParts,
): Promise<void> {
  const { request, response } = inbound;
  const head = { url: request.url ?? "/", headers: request.rawHeaders };
  if (!parts.accepts()) {
    answerDenied(response, LEAVING, false);
    return;
  }
  const admission = admit(head, parts.configuration.table, parts.dialect);
  if (!admission.ok) {
    logDenied(parts, inbound, admission.denied);
    answerDenied(response, admission.denied, !parts.leaving());
    return;
  }
  const { admitted } = admission;
  const read = await readBody(request, admitted.body_limit_bytes);
  if (read.kind === BodyReadEnd.Cut) return;
  if (read.kind === BodyReadEnd.TooLarge) {
    const denied = { denial: Denial.BodyTooLarge, message: "Send less" };
    answerDenied(response, denied, false);
    return;
  }
  await new ForwardRun(inbound, admitted, { body: read.body, parts }).run();
}

function logDenied(
  { log, configuration }: ForwardParts,
  { request }: Inbound,
  { denial, message }: Denied,
): void {
  log.info({
    event: "denied",
    outcome: denial,
    reason: message,
    configuration: configuration.version,
    host_header: request.headers.host,
  });
}

class ForwardRun {
  #inbound: Inbound;
  #admitted: Admitted;
  #body: Buffer | undefined;
  #parts: ForwardParts;
  #stopping = new AbortController();
  #stop: Stop | undefined;
  #expires_ms: number;
  #prefix: string | undefined;
  /** Pool that this request goes to; drawn once by the route's weights. */
  #pool: string;
  #maySomeRun = false;
  #sends = 0;
  #tried = new Set<string>();
  /** Id of the last event that the caller got of a broken stream. */
  #lastEventId: string | undefined;
  /** A failure of an endpoint, for the case that no other does better. */
  #held: HeldAnswer | undefined;

  constructor(
    inbound: Inbound,
    admitted: Admitted,
    { body, parts }: { body: Buffer | undefined; parts: ForwardParts },
  ) {
    this.#inbound = inbound;
    this.#admitted = admitted;
    this.#body = body;
    this.#parts = parts;
    const { route, marks } = admitted;
    const limit_ms = Math.min(marks.deadline_ms ?? Infinity, route.timeout_ms);
    this.#expires_ms = inbound.arrived_ms + limit_ms - ANSWER_MARGIN_MS;
    this.#prefix = sharedPrefix(marks.prompt);
    this.#pool = drawPool(admitted, parts.random);
  }

  async run(): Promise<void> {
    const { response } = this.#inbound;
    const timer = setTimeout(() => this.#end(Stop.TimedOut), this.#left());
    response.once("close", () => {
      if (!response.writableFinished) this.#end(Stop.CallerGone);
    });
    this.#parts.budget.fresh(this.#pool, this.#parts.now());
    try {
      await this.#serve();
    } finally {
      clearTimeout(timer);
    }
  }

  #end(stop: Stop): void {
    this.#stop ??= stop;
    this.#stopping.abort(this.#stop);
  }

  #left(): number {
    return Math.max(1, this.#expires_ms - this.#parts.now());
  }

  get #idempotent(): boolean {
    const { kind, resumable } = this.#admitted.route;
    return kind === CallKind.Safe ||
      (kind === CallKind.Streaming && resumable);
  }

  async #serve(): Promise<void> {
    const { route, marks } = this.#admitted;
    const needed = route.stages.some((_, index) =>
      (marks.pieces[index] ?? 0) > 0
    );
    if (!needed) return void await this.#send([], () => {});
    for (let round = 1; round <= MOST_STAGE_RUNS; round++) {
      const outcome = await this.#runStages();
      if (outcome.kind === JobEnd.InputsGone) continue;
      if (outcome.kind !== JobEnd.Made) return this.#denyUnmade(outcome);
      const gone = await this.#send(outcome.results, outcome.giveUp);
      outcome.giveUp();
      if (!gone) return;
    }
    this.#deny({
      denial: Denial.NoEndpoint,
      message: "Results of its stages were lost",
      retry_after_ms: FULL_RETRY_MS,
    });
  }

  async #runStages(): Promise<GraphOutcome> {
    const { route, marks, priority } = this.#admitted;
    const { stages, metrics, load, now, log } = this.#parts;
    const began_ms = now();
    const home_zone = this.#homeZone();
    const outcome = await runStages({
      attempt_id: marks.attempt_id,
      route,
      priority,
      pieces: marks.pieces,
      piece_key: marks.piece_key,
      home_zone,
      due_ms: this.#inbound.arrived_ms + route.target_latency_ms -
        load.typicalMs(this.#pool),
      expires_ms: this.#expires_ms,
      signal: this.#stopping.signal,
    }, stages);
    const elapsed_ms = now() - began_ms;
    metrics.stagesTime.observe({ outcome: outcome.kind }, elapsed_ms);
    log.info({
      event: "stages",
      attempt: marks.attempt_id,
      route: route.name,
      pieces: marks.pieces.join(","),
      home_zone,
      zones: outcome.kind === JobEnd.Made
        ? [...new Set(outcome.results.map((each) => each.availability_zone))]
          .join(",")
        : undefined,
      elapsed_ms: Math.round(elapsed_ms),
      outcome: outcome.kind,
      reason: outcome.kind === JobEnd.Failed ? outcome.reason : undefined,
    });
    return outcome;
  }

  /** Says that the request has not run, since its stages could not be made. */
  #denyUnmade(
    outcome: Extract<GraphOutcome, { kind: JobEnd.Refused | JobEnd.Failed }>,
  ): void {
    if (outcome.kind === JobEnd.Refused) {
      this.#deny({
        denial: Denial.NoRoom,
        message: "Its stages can't be made in time",
        retry_after_ms: outcome.retry_after_ms,
      });
      return;
    }
    const expired = this.#stop === Stop.TimedOut ||
      outcome.reason === "expired";
    this.#deny({
      denial: expired ? Denial.TooLate : Denial.NoEndpoint,
      message: "Its stages could not be made",
      retry_after_ms: expired ? undefined : FULL_RETRY_MS,
    });
  }

  /** The zone of the endpoint that the request will go to, as of now. */
  #homeZone(): string | undefined {
    if (this.#prefix === undefined) return undefined;
    return this.#choose()?.availability_zone;
  }

  /** Sends until there is an answer; true if inputs are gone. */
  async #send(inputs: StageResult[], giveUp: () => void): Promise<boolean> {
    let attempts = 0;
    while (this.#sends < MOST_SENDS && this.#stop === undefined) {
      const endpoint = this.#choose();
      if (endpoint === undefined) break;
      if (!this.#mayRepeat()) break;
      this.#sends += 1;
      const sent = await this.#sendOnce(endpoint, inputs, giveUp);
      switch (sent.next) {
        case Next.Done:
          return false;
        case Next.InputsGone:
          return true;
        case Next.Elsewhere:
          this.#tried.add(endpoint.id);
          break;
        case Next.Failed:
          this.#tried.add(endpoint.id);
          attempts += 1;
          this.#maySomeRun = true;
          if (
            !this.#idempotent || attempts >= this.#admitted.route.max_attempts
          ) {
            this.#denyLost();
            return false;
          }
          break;
      }
    }
    this.#denyLost();
    return false;
  }

  /** A first send is free; repeats draw on the budget. */
  #mayRepeat(): boolean {
    return this.#sends === 0 ||
      this.#parts.budget.take(this.#pool, this.#parts.now());
  }

  #choose(): RouteEndpoint | undefined {
    const { endpoints, configuration, load, now, random } = this.#parts;
    const now_ms = now();
    const ready = endpoints.readyOf(this.#pool, now_ms);
    const candidates = ready.filter((each) => !this.#tried.has(each.id));
    if (candidates.length === 0) return undefined;
    const choice = { candidates, load, now_ms, random };
    const pool = configuration.table?.configuration.pools.get(this.#pool);
    if (pool?.model_engine === true && this.#prefix !== undefined) {
      return chooseByPrefix(this.#prefix, choice);
    }
    return chooseOfTwo(choice);
  }

  async #sendOnce(
    endpoint: RouteEndpoint,
    inputs: StageResult[],
    giveUp: () => void,
  ): Promise<{ next: Next }> {
    const { load, now, metrics, agents } = this.#parts;
    const view = load.of(endpoint);
    const began_ms = now();
    view.inFlight += 1;
    const attempt = new AbortController();
    const patience = this.#patience(attempt);
    try {
      const result = await this.#exchange(endpoint, inputs, attempt.signal);
      const outcome = await this.#take(result, {
        endpoint,
        giveUp,
        attempt,
        firstByte: () => clearTimeout(patience),
      });
      view.judge(outcome.verdict, now());
      if (outcome.verdict === ExchangeVerdict.Well) {
        load.learnTime(endpoint, outcome.first_ms - began_ms);
      }
      if (outcome.verdict === ExchangeVerdict.Broken) {
        agents.distrust(endpoint.address);
      }
      metrics.sends.inc({ outcome: outcome.verdict });
      this.#logSend(endpoint, outcome, began_ms);
      return outcome;
    } finally {
      clearTimeout(patience);
      attempt.abort(ATTEMPT_OVER);
      view.inFlight -= 1;
    }
  }

  /** Gives an idempotent call up, if there is time for another one. */
  #patience(attempt: AbortController): NodeJS.Timeout | undefined {
    const { kind, target_latency_ms, max_attempts } = this.#admitted.route;
    if (!this.#idempotent || this.#sends >= max_attempts) return undefined;
    const typical_ms = this.#parts.load.typicalMs(this.#pool);
    const patience_ms = kind === CallKind.Safe
      ? PATIENCE_TARGETS * target_latency_ms
      : PATIENCE_TIMES * typical_ms + PATIENCE_EXTRA_MS;
    return setTimeout(() => attempt.abort(ATTEMPT_OVER), patience_ms);
  }

  async #exchange(
    endpoint: RouteEndpoint,
    inputs: StageResult[],
    signal: AbortSignal,
  ): Promise<Exchange> {
    const { dialect, agents, configuration } = this.#parts;
    const { request } = this.#inbound;
    const { marks, organisation, priority } = this.#admitted;
    const pool = configuration.table?.configuration.pools.get(this.#pool);
    return await exchange({
      address: endpoint.address,
      agent: agents.to(endpoint.address, pool?.max_connections ?? 1),
      method: request.method ?? "GET",
      target: request.url ?? "/",
      headers: dialect.requestHeaders(request.rawHeaders, {
        endpoint,
        remaining_ms: Math.floor(this.#left()),
        organisation: organisation?.name,
        inputs: inputs.map((each) => each.handle),
        priority,
        last_event_id: this.#lastEventId ?? marks.last_event_id,
        body_bytes: this.#body?.length,
      }),
      body: this.#body,
      signal: AbortSignal.any([signal, this.#stopping.signal]),
    });
  }

  /** Takes the answer of one exchange to the caller, if it is one. */
  async #take(
    result: Exchange,
    context: {
      endpoint: RouteEndpoint;
      giveUp: () => void;
      attempt: AbortController;
      firstByte: () => void;
    },
  ): Promise<Taken> {
    const { now, dialect, load } = this.#parts;
    const first_ms = now();
    const broken = (next: Next, reason: string): Taken => ({
      next,
      verdict: this.#stop === undefined
        ? ExchangeVerdict.Broken
        : ExchangeVerdict.Well,
      first_ms,
      reason,
    });
    if (result.kind === ExchangeEnd.NotSent) {
      return broken(Next.Elsewhere, result.reason);
    }
    if (result.kind === ExchangeEnd.Lost) {
      return broken(Next.Failed, result.reason);
    }
    const { answer } = result;
    const marks = dialect.readAnswer(answer.status, answer.headers);
    if (marks.load !== undefined) {
      load.of(context.endpoint).report(marks.load, first_ms);
    }
    if (!this.#belongs(answer.status, marks)) {
      dropAnswer(answer);
      return broken(Next.Failed, "foreign_answer");
    }
    if (marks.not_run) {
      answer.body.resume();
      return { ...afterRefusal(marks), first_ms, reason: `${answer.status}` };
    }
    context.firstByte();
    const relayed = marks.stream
      ? await this.#relayStream(result, context.giveUp)
      : await relayWhole(this.#inbound.response, answer, {
        headers: dialect.answerHeaders(answer.headers),
        hold: answer.status >= 500 && this.#mayTryAgain(),
        close: this.#parts.leaving(),
      });
    return this.#judgeRelay(relayed, first_ms, answer.status);
  }

  /** Whether an answer is one to this request. */
  #belongs(status: number, marks: AnswerMarks): boolean {
    if (marks.not_run) return true;
    const { attempt_id } = this.#admitted.marks;
    if (marks.attempt_id !== undefined && marks.attempt_id !== attempt_id) {
      return false;
    }
    return status >= 300 || (marks.signed && marks.attempt_id === attempt_id);
  }

  #mayTryAgain(): boolean {
    return this.#idempotent &&
      this.#sends < this.#admitted.route.max_attempts;
  }

  async #relayStream(
    result: Exchange & { kind: ExchangeEnd.Answered },
    giveUp: () => void,
  ): Promise<RelayEnd> {
    const { dialect, leaving } = this.#parts;
    const relayed = await relayStream(this.#inbound.response, result.answer, {
      headers: dialect.answerHeaders(result.answer.headers),
      resumable: this.#admitted.route.resumable,
      close: leaving(),
      onFirst: giveUp,
    });
    this.#lastEventId = relayed.last_event_id ?? this.#lastEventId;
    return relayed;
  }

  #judgeRelay(relayed: RelayEnd, first_ms: number, status: number): Taken {
    this.#held = relayed.held ?? this.#held;
    if (relayed.whole) {
      const verdict = status >= 500
        ? ExchangeVerdict.Error
        : ExchangeVerdict.Well;
      return {
        next: relayed.delivered ? Next.Done : Next.Failed,
        verdict,
        first_ms: relayed.first_ms ?? first_ms,
        reason: `status_${status}`,
      };
    }
    const resume = this.#admitted.route.resumable &&
      this.#stop === undefined && !this.#inbound.response.destroyed;
    if (!resume && this.#inbound.response.headersSent) {
      this.#inbound.response.destroy();
    }
    return {
      next: this.#inbound.response.destroyed ? Next.Done : Next.Failed,
      verdict: this.#stop === undefined
        ? ExchangeVerdict.Broken
        : ExchangeVerdict.Well,
      first_ms,
      reason: "cut",
    };
  }

  /** Ends the request after its last send; true to what may have run. */
  #denyLost(): void {
    const { response } = this.#inbound;
    if (response.writableEnded || response.destroyed) return;
    if (response.headersSent) return void response.destroy();
    if (this.#held !== undefined) {
      this.#logEnd("error_passed_on");
      return answerWhole(response, this.#held, this.#parts.leaving());
    }
    if (this.#stop === Stop.TimedOut) {
      return this.#deny({
        denial: this.#maySomeRun || this.#sends > 0
          ? Denial.TimedOut
          : Denial.TooLate,
        message: "Its time ran out",
      });
    }
    if (this.#maySomeRun) {
      return this.#deny({
        denial: Denial.EndpointLost,
        message: "The endpoint gave no whole answer",
      });
    }
    this.#deny({
      denial: Denial.NoEndpoint,
      message: "No endpoint can take it now",
      retry_after_ms: FULL_RETRY_MS,
    });
  }

  #deny(denied: Denied): void {
    const { response } = this.#inbound;
    this.#logEnd(denied.denial);
    if (this.#stop === Stop.CallerGone) return;
    answerDenied(response, denied, !this.#parts.leaving());
  }

  #logSend(endpoint: RouteEndpoint, taken: Taken, began_ms: number): void {
    const { log, now, load, configuration } = this.#parts;
    const view = load.of(endpoint);
    log.info({
      event: "send",
      attempt: this.#admitted.marks.attempt_id,
      route: this.#admitted.route.name,
      configuration: configuration.version,
      endpoint: endpoint.id,
      zone: endpoint.availability_zone,
      send: this.#sends,
      in_flight: view.inFlight,
      failure_share: Number(view.failureShare.toFixed(2)),
      first_ms: Math.round(taken.first_ms - began_ms),
      elapsed_ms: Math.round(now() - began_ms),
      outcome: taken.verdict,
      reason: taken.reason,
      stopped: this.#stop,
    });
    if (taken.next === Next.Done) this.#logEnd(taken.verdict);
  }

  #logEnd(outcome: string): void {
    const { log, now, metrics } = this.#parts;
    const { route, marks, priority, organisation } = this.#admitted;
    const elapsed_ms = now() - this.#inbound.arrived_ms;
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
      sends: this.#sends,
      outcome,
      stopped: this.#stop,
    });
  }
}

/** What to do after one send. */
enum Next {
  /** The caller has its answer, or is gone. */
  Done = "done",
  /** It surely has not run: another endpoint may. */
  Elsewhere = "elsewhere",
  /** It may have run. */
  Failed = "failed",
  /** Its stages have to be run again. */
  InputsGone = "inputs_gone",
}

interface Taken {
  next: Next;
  verdict: ExchangeVerdict;
  first_ms: number;
  reason: string;
}

/** What follows when an endpoint says that it did not run the request. */
function afterRefusal(
  marks: AnswerMarks,
): { next: Next; verdict: ExchangeVerdict } {
  if (marks.inputs_gone) {
    return { next: Next.InputsGone, verdict: ExchangeVerdict.Well };
  }
  const verdict = marks.wrong_endpoint
    ? ExchangeVerdict.Broken
    : ExchangeVerdict.Full;
  return { next: Next.Elsewhere, verdict };
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

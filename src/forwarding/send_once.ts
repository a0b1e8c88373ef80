/**
 * One send of a request to one endpoint: the exchange, what its answer means,
 * and the answer's way to the caller.
 */
import type { StageResult } from "../batching/types.ts";
import {
  dropAnswer,
  type EndpointAnswer,
  type Exchange,
  exchange,
  ExchangeEnd,
} from "../endpoints/exchange.ts";
import { CallKind, type RouteEndpoint } from "../routes/types.ts";
import { ExchangeVerdict } from "../routing/observed_load.ts";
import type { AnswerMarks } from "./dialect.ts";
import { type RelayEnd, relayStream, relayWhole } from "./relay.ts";
import type { RunContext } from "./run_context.ts";

/** What to do after one send. */
export enum Next {
  /** The caller has its answer, or is gone. */
  Done = "done",
  /** It surely has not run: another endpoint may. */
  Elsewhere = "elsewhere",
  /** It may have run. */
  Failed = "failed",
  /** Its stages have to be run again. */
  InputsGone = "inputs_gone",
}

/** Results of the last stages, and the means to give them up. */
export interface RunInputs {
  results: StageResult[];
  giveUp: () => void;
}

/** How one send ended. */
interface SendEnd {
  next: Next;
  verdict: ExchangeVerdict;
  /** When its first bytes came, or it failed, on the steady clock. */
  first_ms: number;
  reason: string;
}

/** An idempotent call without an answer for this many targets goes elsewhere. */
const PATIENCE_TARGETS = 2;
/** A stream without its first event for this long goes elsewhere. */
const PATIENCE_TIMES = 5;
const PATIENCE_EXTRA_MS = 600;
/** Why an attempt's connection is given up; a constant costs no stack trace. */
const ATTEMPT_OVER = "attempt_over";
const FIRST_REDIRECT = 300;
const FIRST_SERVER_ERROR = 500;

/** Sends the request once and says what should follow. */
export async function sendOnce(
  run: RunContext,
  endpoint: RouteEndpoint,
  inputs: RunInputs,
): Promise<Next> {
  const { load, now, metrics, agents } = run.parts;
  const view = load.of(endpoint);
  const began_ms = now();
  view.inFlight += 1;
  const attempt = new AbortController();
  const patience = startPatience(run, attempt);
  try {
    const signal = AbortSignal.any([attempt.signal, run.signal]);
    const result = await send(run, endpoint, { inputs, signal });
    const end = await take(run, result, {
      endpoint,
      inputs,
      onAnswer: () => clearTimeout(patience),
    });
    view.judge(end.verdict, now());
    if (end.verdict === ExchangeVerdict.Well) {
      load.learnTime(endpoint, end.first_ms - began_ms);
    }
    if (end.verdict === ExchangeVerdict.Broken) {
      agents.distrust(endpoint.address);
    }
    metrics.sends.inc({ outcome: end.verdict });
    logSend(run, endpoint, { end, began_ms });
    if (end.next === Next.Done) run.logEnd(end.verdict);
    return end.next;
  } finally {
    clearTimeout(patience);
    attempt.abort(ATTEMPT_OVER);
    view.inFlight -= 1;
  }
}

/** Gives an idempotent call up, if there is time for another one. */
function startPatience(
  run: RunContext,
  attempt: AbortController,
): NodeJS.Timeout | undefined {
  if (!run.mayTryAgain) return undefined;
  const { kind, target_latency_ms } = run.admitted.route;
  const typical_ms = run.parts.load.typicalMs(run.pool);
  const patience_ms = kind === CallKind.Safe
    ? PATIENCE_TARGETS * target_latency_ms
    : PATIENCE_TIMES * typical_ms + PATIENCE_EXTRA_MS;
  return setTimeout(() => attempt.abort(ATTEMPT_OVER), patience_ms);
}

async function send(
  run: RunContext,
  endpoint: RouteEndpoint,
  { inputs, signal }: { inputs: RunInputs; signal: AbortSignal },
): Promise<Exchange> {
  const { dialect, agents, configuration } = run.parts;
  const { request } = run.inbound;
  const { marks, organisation, priority } = run.admitted;
  const pool = configuration.routeTable?.configuration.pools.get(run.pool);
  return await exchange({
    address: endpoint.address,
    agent: agents.to(endpoint.address, pool?.max_connections ?? 1),
    method: request.method ?? "GET",
    target: request.url ?? "/",
    headers: dialect.requestHeaders(request.rawHeaders, {
      endpoint,
      remaining_ms: Math.floor(run.left()),
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
async function take(
  run: RunContext,
  result: Exchange,
  { endpoint, inputs, onAnswer }: {
    endpoint: RouteEndpoint;
    inputs: RunInputs;
    onAnswer: () => void;
  },
): Promise<SendEnd> {
  const { now, dialect, load } = run.parts;
  const first_ms = now();
  if (result.kind === ExchangeEnd.NotSent) {
    return broken(run, Next.Elsewhere, { first_ms, reason: result.reason });
  }
  if (result.kind === ExchangeEnd.Lost) {
    return broken(run, Next.Failed, { first_ms, reason: result.reason });
  }
  const { answer } = result;
  const marks = dialect.readAnswer(answer.status, answer.headers);
  if (marks.load !== undefined) {
    load.of(endpoint).report(marks.load, first_ms);
  }
  if (!belongs(run.admitted.marks.attempt_id, answer.status, marks)) {
    dropAnswer(answer);
    return broken(run, Next.Failed, { first_ms, reason: "foreign_answer" });
  }
  if (marks.not_run) {
    answer.body.resume();
    return { ...afterRefusal(marks), first_ms, reason: `${answer.status}` };
  }
  onAnswer();
  const relayed = marks.stream
    ? await passOnStream(run, answer, inputs)
    : await relayWhole(run.inbound.response, answer, {
      headers: dialect.answerHeaders(answer.headers),
      hold: answer.status >= FIRST_SERVER_ERROR && run.mayTryAgain,
      close: run.parts.leaving(),
    });
  return afterRelay(run, relayed, { first_ms, status: answer.status });
}

/** A send without an answer to trust; the endpoint is at fault, if we went on. */
function broken(
  run: RunContext,
  next: Next,
  { first_ms, reason }: { first_ms: number; reason: string },
): SendEnd {
  const verdict = run.stop === undefined
    ? ExchangeVerdict.Broken
    : ExchangeVerdict.Well;
  return { next, verdict, first_ms, reason };
}

/** Whether an answer is one to the request with this id. */
function belongs(
  attempt_id: string,
  status: number,
  marks: AnswerMarks,
): boolean {
  if (marks.not_run) return true;
  if (marks.attempt_id !== undefined && marks.attempt_id !== attempt_id) {
    return false;
  }
  return status >= FIRST_REDIRECT ||
    (marks.signed && marks.attempt_id === attempt_id);
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

async function passOnStream(
  run: RunContext,
  answer: EndpointAnswer,
  inputs: RunInputs,
): Promise<RelayEnd> {
  const { dialect, leaving } = run.parts;
  const relayed = await relayStream(run.inbound.response, answer, {
    headers: dialect.answerHeaders(answer.headers),
    resumable: run.admitted.route.resumable,
    close: leaving(),
    onFirst: inputs.giveUp,
  });
  run.lastEventId = relayed.last_event_id ?? run.lastEventId;
  return relayed;
}

function afterRelay(
  run: RunContext,
  relayed: RelayEnd,
  { first_ms, status }: { first_ms: number; status: number },
): SendEnd {
  const { response } = run.inbound;
  run.held = relayed.held ?? run.held;
  if (relayed.whole) {
    return {
      next: relayed.delivered ? Next.Done : Next.Failed,
      verdict: status >= FIRST_SERVER_ERROR
        ? ExchangeVerdict.Error
        : ExchangeVerdict.Well,
      first_ms: relayed.first_ms ?? first_ms,
      reason: `status_${status}`,
    };
  }
  const resume = run.admitted.route.resumable && run.stop === undefined;
  // Half an answer must not look whole.
  if (!resume && response.headersSent) response.destroy();
  const next = response.destroyed ? Next.Done : Next.Failed;
  return broken(run, next, { first_ms, reason: "cut" });
}

function logSend(
  run: RunContext,
  endpoint: RouteEndpoint,
  { end, began_ms }: { end: SendEnd; began_ms: number },
): void {
  const { log, now, load, configuration } = run.parts;
  const view = load.of(endpoint);
  log.info({
    event: "send",
    attempt: run.admitted.marks.attempt_id,
    route: run.admitted.route.name,
    configuration: configuration.version,
    endpoint: endpoint.id,
    zone: endpoint.availability_zone,
    send: run.sends,
    in_flight: view.inFlight,
    failure_share: Number(view.failureShare.toFixed(2)),
    first_ms: Math.round(end.first_ms - began_ms),
    elapsed_ms: Math.round(now() - began_ms),
    outcome: end.verdict,
    reason: end.reason,
    stopped: run.stop,
  });
}

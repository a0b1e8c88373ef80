/**
 * Runs one request through its pipeline, as the chart pipeline_run says. Each
 * state has a handler that performs its work and returns the next event.
 */
import type { Permit } from "../admission/pool_limiter.ts";
import type { AttemptResult } from "../endpoints/attempt.ts";
import type { EndpointPool, Stage } from "../records/types.ts";
import {
  decideAfterAttempt,
  mayHaveRun,
  NextStep,
} from "./attempt_decision.ts";
import {
  type Outcome,
  OutcomeKind,
  Reason,
  type StageReport,
} from "./outcome.ts";
import {
  ClaimResultKind,
  KeyStatusKind,
  type PipelineDependencies,
  type Route,
} from "./pipeline_dependencies.ts";
import type { PipelineRequest } from "./pipeline_request.ts";
import {
  runChart,
  RunEvent,
  type RunGuardContext,
  RunState,
} from "./run_chart.ts";
import {
  failureFromAbort,
  failureFromAttempt,
  failureWithoutEndpoint,
  type RunFailure,
} from "./run_failure.ts";
import { RetriedTextStream, StreamDiverged } from "./retried_text_stream.ts";

/** Runs a request to its one outcome. */
export async function runPipeline(
  request: PipelineRequest,
  parts: PipelineDependencies,
): Promise<Outcome> {
  try {
    const outcome = await new PipelineRun(request, parts).run();
    parts.observer.onOutcome?.(request, outcome);
    return outcome;
  } finally {
    parts.admission.finish(request);
  }
}

class PipelineRun implements RunGuardContext {
  readonly #request: PipelineRequest;
  readonly #parts: PipelineDependencies;
  readonly #handlers: Partial<Record<RunState, () => Promise<RunEvent>>>;
  readonly #text: RetriedTextStream | undefined;
  #stageNumber = 0;
  #attempts = 0;
  #tried = new Set<string>();
  #grant: Permit | undefined;
  #value: unknown;
  #reports: StageReport[] = [];
  #sent = 0;
  #effectPossible = false;
  #refusal: RunFailure = {
    reason: Reason.EndpointFailed,
    message: "",
  };
  #claimed = false;
  #diverged = false;
  #recorded: Outcome | undefined;

  constructor(request: PipelineRequest, parts: PipelineDependencies) {
    this.#request = request;
    this.#parts = parts;
    this.#value = request.input;
    this.#text = request.sendText && new RetriedTextStream(request.sendText);
    this.#handlers = {
      [RunState.Admitting]: () => this.#admit(),
      [RunState.Checking]: () => this.#check(),
      [RunState.Claiming]: () => this.#claim(),
      [RunState.Waiting]: () => this.#wait(),
      [RunState.Calling]: () => this.#call(),
    };
  }

  get needsClaim(): boolean {
    return this.#request.idempotency_key !== undefined;
  }

  get hasMoreStages(): boolean {
    return this.#stageNumber < this.#request.pipeline.stages.length;
  }

  get anythingSent(): boolean {
    return this.#sent > 0;
  }

  get effectPossible(): boolean {
    return this.#effectPossible;
  }

  async run(): Promise<Outcome> {
    let state = runChart.initial as RunState;
    while (!runChart.isFinal(state)) {
      const handler = this.#handlers[state];
      if (handler === undefined) throw new Error(`No handler for ${state}`);
      const event = await handler();
      state = runChart.next(state, event, this) as RunState;
    }
    const outcome = this.#outcomeIn(state);
    if (this.#claimed) this.#parts.claims.recordOutcome(this.#request, outcome);
    return outcome;
  }

  // deno-lint-ignore require-await
  async #admit(): Promise<RunEvent> {
    if (this.#request.signal.aborted) return this.#abort();
    const verdict = this.#parts.admission.decide(this.#request);
    if (verdict.admitted) return RunEvent.Admitted;
    this.#refusal = verdict;
    return RunEvent.Refused;
  }

  /** A refusal before the claim says "not run" only of an unused key. */
  async #check(): Promise<RunEvent> {
    const use = await this.#parts.claims.checkKey(this.#request);
    switch (use.kind) {
      case KeyStatusKind.Unused:
        return RunEvent.Unused;
      case KeyStatusKind.Recorded:
        this.#recorded = use.outcome;
        return RunEvent.Recorded;
      default:
        return RunEvent.Uncertain;
    }
  }

  async #claim(): Promise<RunEvent> {
    const verdict = await this.#parts.claims.claim(this.#request);
    switch (verdict.kind) {
      case ClaimResultKind.Claimed:
        this.#claimed = true;
        return RunEvent.Claimed;
      case ClaimResultKind.Recorded:
        this.#recorded = verdict.outcome;
        return RunEvent.Recorded;
      case ClaimResultKind.Refused:
        this.#refusal = verdict;
        return RunEvent.Refused;
      case ClaimResultKind.Uncertain:
        this.#refusal = verdict;
        return RunEvent.Uncertain;
    }
  }

  async #wait(): Promise<RunEvent> {
    if (this.#request.signal.aborted) return this.#abort();
    try {
      this.#grant = await this.#parts.admission.acquire(
        this.#request,
        { stage: this.#stage, started: this.anythingSent },
      );
    } catch {
      return this.#abort();
    }
    const stage = this.#stage.name;
    const { waited_ms } = this.#grant;
    this.#parts.observer.onSlotAcquired?.(this.#request, { stage, waited_ms });
    return RunEvent.Granted;
  }

  async #call(): Promise<RunEvent> {
    try {
      return await this.#attempt();
    } finally {
      this.#grant?.release();
      this.#grant = undefined;
    }
  }

  async #attempt(): Promise<RunEvent> {
    const stage = this.#stage;
    if (this.#request.signal.aborted) return this.#abort();
    const route = this.#parts.router.choose(this.#request, {
      stage,
      tried: this.#tried,
    });
    if (route === undefined) {
      this.#refusal = failureWithoutEndpoint(stage);
      return RunEvent.Aborted;
    }
    this.#attempts += 1;
    this.#tried.add(route.endpoint.name);
    const result = await this.#send(stage, route);
    if (result.sent) this.#sent += 1;
    if (!this.#isIdempotent(stage) && mayHaveRun(result, route.pool)) {
      this.#effectPossible = true;
    }
    this.#parts.observer.onAttempt?.(this.#request, {
      stage: stage.name,
      endpoint: route.endpoint,
      attempt: this.#attempts,
      result,
    });
    return this.#afterAttempt(stage, { result, route });
  }

  async #send(stage: Stage, route: Route): Promise<AttemptResult> {
    const { request_id } = this.#request;
    this.#text?.start();
    return await route.call({
      request_id,
      attempt_id: `${request_id}.${this.#stageNumber}.${this.#attempts}`,
      endpoint: route.endpoint,
      pool: route.pool,
      input: this.#value,
      idempotent: this.#isIdempotent(stage),
      ...this.#limitsOf(stage, route.pool),
      onText: this.#isLastStage ? this.#onText : undefined,
    });
  }

  /**
   * A claimed call that must not be repeated goes on after the deadline, so
   * that its answer can be asked for with the key.
   */
  #limitsOf(
    stage: Stage,
    { attempt_timeout_ms }: EndpointPool,
  ): { timeout_ms: number; signal: AbortSignal } {
    const { signal, stop_signal } = this.#request;
    if (this.#claimed && !this.#isIdempotent(stage)) {
      return { timeout_ms: attempt_timeout_ms, signal: stop_signal };
    }
    const timeout_ms = Math.min(this.#remaining_ms, attempt_timeout_ms);
    return { timeout_ms, signal };
  }

  #afterAttempt(
    stage: Stage,
    { result, route }: { result: AttemptResult; route: Route },
  ): RunEvent {
    const next = decideAfterAttempt(result, {
      pool: route.pool,
      idempotent: this.#isIdempotent(stage),
      attempts: this.#attempts,
      remaining_ms: this.#remaining_ms,
      withdrawRetry: route.withdrawRetry,
    });
    if (next === NextStep.StageDone) return this.#finishStage(result, route);
    if (next === NextStep.Retry && !this.#diverged) return RunEvent.Retry;
    if (this.#request.signal.aborted) return this.#abort();
    this.#refusal = failureFromAttempt(
      { stage, endpoint: route.endpoint, result },
      { diverged: this.#diverged, remaining_ms: this.#remaining_ms },
    );
    return RunEvent.Aborted;
  }

  #finishStage(result: AttemptResult, route: Route): RunEvent {
    this.#parts.admission.recordServiceTime(this.#stage, result.elapsed_ms);
    this.#reports.push({
      name: this.#stage.name,
      endpoint: route.endpoint.name,
      elapsed_ms: result.elapsed_ms,
      cost: result.cost,
    });
    this.#value = result.output;
    this.#stageNumber += 1;
    this.#attempts = 0;
    this.#tried.clear();
    return RunEvent.StageDone;
  }

  #onText = (text: string): Promise<void> | void => {
    try {
      return this.#text?.push(text);
    } catch (error) {
      this.#diverged = error instanceof StreamDiverged;
      throw error;
    }
  };

  #abort(): RunEvent {
    this.#refusal = failureFromAbort(this.#request.signal);
    return RunEvent.Aborted;
  }

  get #stage(): Stage {
    const stage = this.#request.pipeline.stages[this.#stageNumber];
    if (stage === undefined) throw new Error("The pipeline has no more stages");
    return stage;
  }

  get #isLastStage(): boolean {
    return this.#stageNumber === this.#request.pipeline.stages.length - 1;
  }

  get #remaining_ms(): number {
    return this.#request.deadline_ms - this.#parts.now();
  }

  #isIdempotent(stage: Stage): boolean {
    return stage.idempotent && !this.#request.non_idempotent;
  }

  #outcomeIn(state: RunState): Outcome {
    const stages = this.#reports;
    switch (state) {
      case RunState.Completed:
        return { kind: OutcomeKind.Completed, output: this.#value, stages };
      case RunState.Replayed:
        return this.#recorded ?? this.#refusalOf(OutcomeKind.Unknown);
      case RunState.Refused:
        return this.#refusalOf(OutcomeKind.NotRun);
      case RunState.Unknown:
        return this.#refusalOf(OutcomeKind.Unknown);
      default:
        return this.#refusalOf(OutcomeKind.Failed);
    }
  }

  #refusalOf(
    kind: OutcomeKind.NotRun | OutcomeKind.Unknown | OutcomeKind.Failed,
  ): Outcome {
    const { reason, message, retry_after_ms } = this.#refusal;
    return { kind, reason, message, retry_after_ms, stages: this.#reports };
  }
}

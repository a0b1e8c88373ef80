/**
 * Runs one request through its pipeline, driven by the state chart
 * `pipeline_run`. The handler of each state does its work and returns the next
 * event.
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
  type SelectedEndpoint,
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

/** Runs a request and returns its outcome; never rejects for a failed call. */
export async function runPipeline(
  request: PipelineRequest,
  dependencies: PipelineDependencies,
): Promise<Outcome> {
  try {
    const outcome = await new PipelineRun(request, dependencies).run();
    dependencies.observer.onOutcome?.(request, outcome);
    return outcome;
  } finally {
    dependencies.admission.finish(request);
  }
}

class PipelineRun implements RunGuardContext {
  readonly #request: PipelineRequest;
  readonly #dependencies: PipelineDependencies;
  readonly #handlers: Partial<Record<RunState, () => Promise<RunEvent>>>;
  readonly #textStream: RetriedTextStream | undefined;
  #stageIndex = 0;
  #attempts = 0;
  #triedEndpoints = new Set<string>();
  #permit: Permit | undefined;
  #stageValue: unknown;
  #reports: StageReport[] = [];
  #sentCalls = 0;
  #effectPossible = false;
  #failure: RunFailure = {
    reason: Reason.EndpointFailed,
    message: "",
  };
  #claimed = false;
  #streamDiverged = false;
  #recordedOutcome: Outcome | undefined;

  constructor(request: PipelineRequest, dependencies: PipelineDependencies) {
    this.#request = request;
    this.#dependencies = dependencies;
    this.#stageValue = request.input;
    this.#textStream = request.sendText &&
      new RetriedTextStream(request.sendText);
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
    return this.#stageIndex < this.#request.pipeline.stages.length;
  }

  get anythingSent(): boolean {
    return this.#sentCalls > 0;
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
    const outcome = this.#outcomeOf(state);
    if (this.#claimed) {
      this.#dependencies.claims.recordOutcome(this.#request, outcome);
    }
    return outcome;
  }

  // deno-lint-ignore require-await
  async #admit(): Promise<RunEvent> {
    if (this.#request.signal.aborted) return this.#abort();
    const result = this.#dependencies.admission.decide(this.#request);
    if (result.admitted) return RunEvent.Admitted;
    this.#failure = result;
    return RunEvent.Refused;
  }

  /**
   * Checks the key of a request that ends before its claim: the outcome may be
   * "not run" only if no earlier attempt can have used the key.
   */
  async #check(): Promise<RunEvent> {
    const status = await this.#dependencies.claims.checkKey(this.#request);
    switch (status.kind) {
      case KeyStatusKind.Unused:
        return RunEvent.Unused;
      case KeyStatusKind.Recorded:
        this.#recordedOutcome = status.outcome;
        return RunEvent.Recorded;
      default:
        return RunEvent.Uncertain;
    }
  }

  async #claim(): Promise<RunEvent> {
    const result = await this.#dependencies.claims.claim(this.#request);
    switch (result.kind) {
      case ClaimResultKind.Claimed:
        this.#claimed = true;
        return RunEvent.Claimed;
      case ClaimResultKind.Recorded:
        this.#recordedOutcome = result.outcome;
        return RunEvent.Recorded;
      case ClaimResultKind.Refused:
        this.#failure = result;
        return RunEvent.Refused;
      case ClaimResultKind.Uncertain:
        this.#failure = result;
        return RunEvent.Uncertain;
    }
  }

  async #wait(): Promise<RunEvent> {
    if (this.#request.signal.aborted) return this.#abort();
    try {
      this.#permit = await this.#dependencies.admission.acquire(
        this.#request,
        { stage: this.#stage, started: this.anythingSent },
      );
    } catch {
      return this.#abort();
    }
    const stage = this.#stage.name;
    const { waited_ms } = this.#permit;
    this.#dependencies.observer.onPermit?.(this.#request, { stage, waited_ms });
    return RunEvent.Granted;
  }

  async #call(): Promise<RunEvent> {
    try {
      return await this.#attempt();
    } finally {
      this.#permit?.release();
      this.#permit = undefined;
    }
  }

  async #attempt(): Promise<RunEvent> {
    const stage = this.#stage;
    if (this.#request.signal.aborted) return this.#abort();
    const selected = this.#dependencies.router.choose(this.#request, {
      stage,
      tried: this.#triedEndpoints,
    });
    if (selected === undefined) {
      this.#failure = failureWithoutEndpoint(stage);
      return RunEvent.Aborted;
    }
    this.#attempts += 1;
    this.#triedEndpoints.add(selected.endpoint.name);
    const result = await this.#send(stage, selected);
    if (result.sent) this.#sentCalls += 1;
    if (!this.#isIdempotent(stage) && mayHaveRun(result, selected.pool)) {
      this.#effectPossible = true;
    }
    this.#dependencies.observer.onAttempt?.(this.#request, {
      stage: stage.name,
      endpoint: selected.endpoint,
      attempt: this.#attempts,
      result,
    });
    return this.#afterAttempt(stage, { result, selected });
  }

  async #send(
    stage: Stage,
    selected: SelectedEndpoint,
  ): Promise<AttemptResult> {
    const { request_id } = this.#request;
    this.#textStream?.startAttempt();
    return await selected.call({
      request_id,
      attempt_id: `${request_id}.${this.#stageIndex}.${this.#attempts}`,
      endpoint: selected.endpoint,
      pool: selected.pool,
      input: this.#stageValue,
      idempotent: this.#isIdempotent(stage),
      ...this.#callLimits(stage, selected.pool),
      onText: this.#isLastStage ? this.#onText : undefined,
    });
  }

  /**
   * A claimed call that must not be repeated continues after the deadline, so
   * that the caller can still get its outcome with the key.
   */
  #callLimits(
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
    { result, selected }: { result: AttemptResult; selected: SelectedEndpoint },
  ): RunEvent {
    const nextStep = decideAfterAttempt(result, {
      pool: selected.pool,
      idempotent: this.#isIdempotent(stage),
      attempts: this.#attempts,
      remaining_ms: this.#remaining_ms,
      tryTakeRetry: selected.tryTakeRetry,
    });
    if (nextStep === NextStep.StageDone) {
      return this.#finishStage(result, selected);
    }
    if (nextStep === NextStep.Retry && !this.#streamDiverged) {
      return RunEvent.Retry;
    }
    if (this.#request.signal.aborted) return this.#abort();
    this.#failure = failureFromAttempt(
      { stage, endpoint: selected.endpoint, result },
      { diverged: this.#streamDiverged, remaining_ms: this.#remaining_ms },
    );
    return RunEvent.Aborted;
  }

  #finishStage(result: AttemptResult, selected: SelectedEndpoint): RunEvent {
    this.#dependencies.admission.recordServiceTime(
      this.#stage,
      result.elapsed_ms,
    );
    this.#reports.push({
      name: this.#stage.name,
      endpoint: selected.endpoint.name,
      elapsed_ms: result.elapsed_ms,
      cost: result.cost,
    });
    this.#stageValue = result.output;
    this.#stageIndex += 1;
    this.#attempts = 0;
    this.#triedEndpoints.clear();
    return RunEvent.StageDone;
  }

  #onText = (text: string): Promise<void> | void => {
    try {
      return this.#textStream?.push(text);
    } catch (error) {
      this.#streamDiverged = error instanceof StreamDiverged;
      throw error;
    }
  };

  #abort(): RunEvent {
    this.#failure = failureFromAbort(this.#request.signal);
    return RunEvent.Aborted;
  }

  get #stage(): Stage {
    const stage = this.#request.pipeline.stages[this.#stageIndex];
    if (stage === undefined) throw new Error("The pipeline has no more stages");
    return stage;
  }

  get #isLastStage(): boolean {
    return this.#stageIndex === this.#request.pipeline.stages.length - 1;
  }

  get #remaining_ms(): number {
    return this.#request.deadline_ms - this.#dependencies.now();
  }

  #isIdempotent(stage: Stage): boolean {
    return stage.idempotent && !this.#request.non_idempotent;
  }

  #outcomeOf(state: RunState): Outcome {
    const stages = this.#reports;
    switch (state) {
      case RunState.Completed:
        return {
          kind: OutcomeKind.Completed,
          output: this.#stageValue,
          stages,
        };
      case RunState.Replayed:
        return this.#recordedOutcome ??
          this.#incompleteOutcome(OutcomeKind.Unknown);
      case RunState.Refused:
        return this.#incompleteOutcome(OutcomeKind.NotRun);
      case RunState.Unknown:
        return this.#incompleteOutcome(OutcomeKind.Unknown);
      default:
        return this.#incompleteOutcome(OutcomeKind.Failed);
    }
  }

  #incompleteOutcome(
    kind: OutcomeKind.NotRun | OutcomeKind.Unknown | OutcomeKind.Failed,
  ): Outcome {
    const { reason, message, retry_after_ms } = this.#failure;
    return { kind, reason, message, retry_after_ms, stages: this.#reports };
  }
}

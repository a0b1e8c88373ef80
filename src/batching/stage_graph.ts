/**
 * Runs the stages of one request as a dependency graph. A stage starts once the
 * stages it depends on have results, and results are freed once the last stage
 * that reads them is done. Results stay at the endpoints that computed them;
 * only their handles are passed on.
 */
import type { StageTime } from "./expected_wait.ts";
import type { PieceStage, Route } from "../routes/types.ts";
import {
  type FinalJobOutcome,
  type FreedResults,
  JobOutcomeKind,
  type LaterStage,
  type Piece,
  type StageJob,
  type StageResult,
} from "./types.ts";

/** The stages of a request, with its priority and deadlines. */
export interface GraphRequest {
  /** Id of the caller's attempt. */
  attempt_id: string;
  /** What tells the request from others, the same for each attempt. */
  fingerprint: string;
  route: Route;
  /** 0 is the most urgent. */
  priority: number;
  /** Number of pieces of each stage; a stage with 0 is skipped. */
  pieces: readonly number[];
  /** What stages without inputs compute their pieces from. */
  piece_key: string;
  /** Availability zone that reads the final results, if it is known. */
  home_zone: string | undefined;
  /**
   * Whether the caller has a part of the response: then it is not weighed against
   * requests that have yet to begin.
   */
  has_begun: boolean;
  /** When the final results must be ready to be on time, in monotonic time. */
  due_ms: number;
  /** When they become useless, in monotonic time. */
  expires_ms: number;
  signal: AbortSignal;
}

/** The outcome of all stages; `freeResults` frees the final results. */
export type GraphOutcome =
  | {
    kind: JobOutcomeKind.Completed;
    results: StageResult[];
    freeResults: () => void;
  }
  | Exclude<FinalJobOutcome, { kind: JobOutcomeKind.Completed }>;

/** A stage that reads or returns less than this may run in any zone. */
const MIN_ZONE_AFFINITY_BYTES = 250_000;

/** Dependencies of `runStages`. */
export interface GraphOptions {
  /** Runs one stage. */
  run: (job: StageJob, signal: AbortSignal) => Promise<FinalJobOutcome>;
  /** Frees results that no stage reads any more. */
  free: (freed: FreedResults) => void;
  /** Minimum and expected duration of a stage; the latter includes its wait. */
  stageTime: (stage: { pool: string; priority: number }) => StageTime;
  /** Monotonic time in milliseconds. */
  now: () => number;
}

/** Runs all stages; on success, the final results are the caller's to free. */
export async function runStages(
  request: GraphRequest,
  options: GraphOptions,
): Promise<GraphOutcome> {
  const graph = new GraphRun(request, options);
  return await graph.run();
}

class GraphRun {
  #request: GraphRequest;
  #options: GraphOptions;
  #stages: PieceStage[];
  #results: (StageResult[] | undefined)[];
  /** Stages whose results are freed, here or by the job that read them last. */
  #freed = new Set<number>();
  /** The first stage's outcome that was no success; others follow from it. */
  #failure:
    | Exclude<FinalJobOutcome, { kind: JobOutcomeKind.Completed }>
    | undefined;
  #aborter = new AbortController();

  constructor(request: GraphRequest, options: GraphOptions) {
    this.#request = request;
    this.#options = options;
    this.#stages = request.route.stages;
    this.#results = this.#stages.map(() => undefined);
  }

  async run(): Promise<GraphOutcome> {
    const excess_ms = this.#excessMs();
    if (excess_ms > 0) {
      return {
        kind: JobOutcomeKind.Refused,
        retry_after_ms: excess_ms,
        wait_ms: excess_ms,
      };
    }
    const running = new Map<number, Promise<void>>();
    const runOnce = (index: number): Promise<void> => {
      const known = running.get(index);
      if (known !== undefined) return known;
      const started = this.#runStage(index, runOnce);
      running.set(index, started);
      return started;
    };
    await Promise.all(this.#stages.map((_, index) => runOnce(index)));
    if (this.#failure !== undefined) {
      this.#freeAll();
      return this.#failure;
    }
    const results = this.#finalStages().flatMap((index) =>
      this.#results[index] ?? []
    );
    return {
      kind: JobOutcomeKind.Completed,
      results,
      freeResults: () => this.#freeAll(),
    };
  }

  /** Runs a stage after its dependencies, unless a stage has failed. */
  async #runStage(
    index: number,
    runOnce: (index: number) => Promise<void>,
  ): Promise<void> {
    const stage = this.#stages[index] as PieceStage;
    await Promise.all(stage.after.map(runOnce));
    if (this.#failure !== undefined) return;
    const pieces = this.#piecesOf(index, stage);
    if (pieces.length === 0) {
      this.#results[index] = [];
      return;
    }
    const { signal } = this.#request;
    const lastRead = stage.after.filter((each) =>
      this.#isLastReader(each, index)
    );
    const outcome = await this.#options.run(
      this.#createJob(index, pieces, lastRead),
      AbortSignal.any([signal, this.#aborter.signal]),
    );
    if (outcome.kind !== JobOutcomeKind.Completed) {
      this.#failure ??= outcome;
      this.#aborter.abort();
      return;
    }
    this.#results[index] = outcome.results;
    if (this.#aborter.signal.aborted) this.#free(index);
    for (const dependency of lastRead) this.#freed.add(dependency);
  }

  /** The pieces of a stage whose dependencies have results. */
  #piecesOf(index: number, stage: PieceStage): Piece[] {
    const inputs = stage.after.flatMap((dependency) =>
      (this.#results[dependency] ?? []).map((result) => result.handle)
    );
    const isRoot = inputs.length === 0;
    return Array.from(
      { length: this.#request.pieces[index] ?? 0 },
      (_, piece) => ({
        index: piece,
        key: isRoot ? this.#request.piece_key : undefined,
        inputs: isRoot ? undefined : inputs,
      }),
    );
  }

  #createJob(index: number, pieces: Piece[], lastRead: number[]): StageJob {
    const stage = this.#stages[index] as PieceStage;
    const { attempt_id, fingerprint, priority, has_begun } = this.#request;
    const { due_ms, expires_ms } = this.#request;
    const now_ms = this.#options.now();
    const remaining = this.#chainAfter(index);
    return {
      attempt_id,
      request: fingerprint,
      pool: stage.pool,
      stage: index,
      pieces,
      result_bytes: stage.result_bytes,
      priority,
      due_in_ms: due_ms - now_ms - remaining.expected_ms,
      expires_in_ms: expires_ms - now_ms - remaining.min_ms,
      home_zone: this.#homeZoneOf(index, pieces.length),
      input_bytes: this.#inputBytes(stage),
      last_read: lastRead.flatMap((dependency) =>
        this.#freedResultsOf(dependency)
      ),
      ...(has_begun
        ? {}
        : { later: remaining.stages, target_in_ms: due_ms - now_ms }),
    };
  }

  /** Zone where a stage should run; undefined if it moves little data. */
  #homeZoneOf(index: number, pieces: number): string | undefined {
    const stage = this.#stages[index] as PieceStage;
    if (pieces * this.#inputBytes(stage) >= MIN_ZONE_AFFINITY_BYTES) {
      return this.#zoneOfInputs(stage);
    }
    const isFinal = this.#dependents(index).length === 0;
    const returned_bytes = isFinal ? pieces * stage.result_bytes : 0;
    return returned_bytes >= MIN_ZONE_AFFINITY_BYTES
      ? this.#request.home_zone
      : undefined;
  }

  /** Bytes that an endpoint reads for each piece of a stage. */
  #inputBytes(stage: PieceStage): number {
    return stage.after.reduce(
      (sum, dependency) =>
        sum + (this.#results[dependency]?.length ?? 0) *
          (this.#stages[dependency]?.result_bytes ?? 0),
      0,
    );
  }

  /** The zone that holds most bytes of a stage's inputs. */
  #zoneOfInputs(stage: PieceStage): string | undefined {
    const bytesByZone = new Map<string, number>();
    for (const dependency of stage.after) {
      const bytes = this.#stages[dependency]?.result_bytes ?? 0;
      for (const { availability_zone } of this.#results[dependency] ?? []) {
        const sum = (bytesByZone.get(availability_zone) ?? 0) + bytes;
        bytesByZone.set(availability_zone, sum);
      }
    }
    return [...bytesByZone].sort(([, a], [, b]) => b - a)[0]?.[0];
  }

  /** The longest chain of stages that depend on this one, and its duration. */
  #chainAfter(index: number): StageTime & { stages: LaterStage[] } {
    let longest = { min_ms: 0, expected_ms: 0, stages: [] as LaterStage[] };
    for (const dependent of this.#dependents(index)) {
      const pieces = this.#request.pieces[dependent] ?? 0;
      if (pieces === 0) continue;
      const own = this.#stageTime(dependent);
      const after = this.#chainAfter(dependent);
      const expected_ms = own.expected_ms + after.expected_ms;
      const pool = this.#stages[dependent]?.pool ?? "";
      longest = {
        min_ms: Math.max(longest.min_ms, own.min_ms + after.min_ms),
        expected_ms: Math.max(longest.expected_ms, expected_ms),
        stages: expected_ms > longest.expected_ms
          ? [{ pool, pieces }, ...after.stages]
          : longest.stages,
      };
    }
    return longest;
  }

  #stageTime(index: number): StageTime {
    const pool = this.#stages[index]?.pool ?? "";
    return this.#options.stageTime({
      pool,
      priority: this.#request.priority,
    });
  }

  /** How long after expiry the stages are expected to end; 0 if in time. */
  #excessMs(): number {
    const { expires_ms, pieces } = this.#request;
    const remaining_ms = expires_ms - this.#options.now();
    const paths_ms = this.#stages.map((_, index) =>
      (pieces[index] ?? 0) === 0 ? 0 : this.#stageTime(index).expected_ms +
        this.#chainAfter(index).expected_ms
    );
    return Math.max(0, Math.max(...paths_ms) - remaining_ms);
  }

  #dependents(index: number): number[] {
    return this.#stages.flatMap((stage, other) =>
      stage.after.includes(index) ? [other] : []
    );
  }

  #finalStages(): number[] {
    return this.#stages.flatMap((_, index) =>
      this.#dependents(index).length === 0 ? [index] : []
    );
  }

  /** Whether every other stage that reads the results has ended. */
  #isLastReader(index: number, reader: number): boolean {
    return this.#dependents(index)
      .every((each) => each === reader || this.#results[each] !== undefined);
  }

  #freedResultsOf(index: number): FreedResults[] {
    const pool = this.#stages[index]?.pool ?? "";
    const byAddress = Map.groupBy(
      this.#results[index] ?? [],
      (result) => result.address,
    );
    return [...byAddress].map(([address, results]) => ({
      pool,
      address,
      handles: results.map((result) => result.handle),
    }));
  }

  #free(index: number): void {
    if (this.#freed.has(index) || this.#results[index] === undefined) return;
    this.#freed.add(index);
    for (const freed of this.#freedResultsOf(index)) {
      this.#options.free(freed);
    }
  }

  #freeAll(): void {
    for (const index of this.#stages.keys()) this.#free(index);
  }
}

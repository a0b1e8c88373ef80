/**
 * Runs the stages of one request as a graph: a stage starts when the stages it
 * needs have their results, and results are given up as soon as the last stage
 * that reads them is done. Results stay at their makers and travel as handles.
 */
import type { StageTime } from "./expected_wait.ts";
import type { PieceStage, Route } from "../routes/types.ts";
import {
  type FinalJobOutcome,
  type FreedResults,
  JobOutcomeKind,
  type Piece,
  type StageJob,
  type StageResult,
} from "./types.ts";

/** A request's stages and what limits them. */
export interface GraphRequest {
  attempt_id: string;
  route: Route;
  priority: number;
  /** Number of pieces of each stage; 0 leaves the stage out. */
  pieces: readonly number[];
  /** What stages without inputs make their pieces from. */
  piece_key: string;
  home_zone: string | undefined;
  /** When the last results are on time, on the steady clock. */
  due_ms: number;
  /** When they are of no use any more. */
  expires_ms: number;
  signal: AbortSignal;
}

/** How the stages ended. */
export type GraphOutcome =
  | {
    kind: JobOutcomeKind.Completed;
    results: StageResult[];
    freeResults: () => void;
  }
  | Exclude<FinalJobOutcome, { kind: JobOutcomeKind.Completed }>;

/** What a stage reads below this may come from another zone. */
const ZONE_AFFINITY_MIN_BYTES = 250_000;

/** What running a graph needs. */
export interface GraphDependencies {
  run: (job: StageJob, signal: AbortSignal) => Promise<FinalJobOutcome>;
  free: (freed: FreedResults) => void;
  /** Time that a stage takes, in milliseconds, its wait included. */
  stageTime: (stage: { pool: string; priority: number }) => StageTime;
  now: () => number;
}

/** Runs all stages; on success the caller gives up the last results. */
export async function runStages(
  request: GraphRequest,
  parts: GraphDependencies,
): Promise<GraphOutcome> {
  const run = new GraphRun(request, parts);
  return await run.finish();
}

class GraphRun {
  #request: GraphRequest;
  #dependencies: GraphDependencies;
  #stages: PieceStage[];
  #results: (StageResult[] | undefined)[];
  #freed = new Set<number>();
  #abort = new AbortController();

  constructor(request: GraphRequest, parts: GraphDependencies) {
    this.#request = request;
    this.#dependencies = parts;
    this.#stages = request.route.stages;
    this.#results = this.#stages.map(() => undefined);
  }

  async finish(): Promise<GraphOutcome> {
    const excess_ms = this.#excessMs();
    if (excess_ms > 0) {
      return {
        kind: JobOutcomeKind.Refused,
        retry_after_ms: excess_ms,
        wait_ms: excess_ms,
      };
    }
    const running = new Map<number, Promise<FinalJobOutcome | undefined>>();
    const stageDone = (index: number): Promise<FinalJobOutcome | undefined> => {
      const known = running.get(index);
      if (known !== undefined) return known;
      const started = this.#runStage(index, stageDone);
      running.set(index, started);
      return started;
    };
    const ends = await Promise.all(
      this.#stages.map((_, index) => stageDone(index)),
    );
    const failed = ends.find((end) => end !== undefined);
    if (failed !== undefined && failed.kind !== JobOutcomeKind.Completed) {
      this.#freeAll();
      return failed;
    }
    const results = this.#lastStages().flatMap((index) =>
      this.#results[index] ?? []
    );
    return {
      kind: JobOutcomeKind.Completed,
      results,
      freeResults: () => this.#freeAll(),
    };
  }

  /** Runs one stage after those it needs; undefined if it went well. */
  async #runStage(
    index: number,
    stageDone: (index: number) => Promise<FinalJobOutcome | undefined>,
  ): Promise<FinalJobOutcome | undefined> {
    const stage = this.#stages[index] as PieceStage;
    const before = await Promise.all(stage.after.map(stageDone));
    const failed = before.find((end) => end !== undefined);
    if (failed !== undefined) return failed;
    const pieces = this.#piecesOf(index, stage);
    if (pieces.length === 0) {
      this.#results[index] = [];
      return undefined;
    }
    const { signal } = this.#request;
    const lastRead = stage.after.filter((each) =>
      this.#isLastReader(each, index)
    );
    const outcome = await this.#dependencies.run(
      this.#job(index, pieces, lastRead),
      AbortSignal.any([signal, this.#abort.signal]),
    );
    if (outcome.kind !== JobOutcomeKind.Completed) {
      this.#abort.abort();
      return outcome;
    }
    this.#results[index] = outcome.results;
    if (this.#abort.signal.aborted) this.#free(index);
    for (const earlier of lastRead) this.#freed.add(earlier);
    return undefined;
  }

  #piecesOf(index: number, stage: PieceStage): Piece[] {
    const inputs = stage.after.flatMap((earlier) =>
      (this.#results[earlier] ?? []).map((result) => result.handle)
    );
    const root = inputs.length === 0;
    return Array.from(
      { length: this.#request.pieces[index] ?? 0 },
      (_, piece) => ({
        index: piece,
        key: root ? this.#request.piece_key : undefined,
        inputs: root ? undefined : inputs,
      }),
    );
  }

  #job(index: number, pieces: Piece[], lastRead: number[]): StageJob {
    const stage = this.#stages[index] as PieceStage;
    const { attempt_id, priority, due_ms, expires_ms } = this.#request;
    const now_ms = this.#dependencies.now();
    const later = this.#timeOfFollowers(index);
    return {
      attempt_id,
      pool: stage.pool,
      stage: index,
      pieces,
      result_bytes: stage.result_bytes,
      priority,
      due_in_ms: due_ms - now_ms - later.expected_ms,
      expires_in_ms: expires_ms - now_ms - later.min_ms,
      home_zone: this.#homeZoneOf(index, pieces.length),
      input_bytes: this.#inputBytes(stage),
      last_read: lastRead.flatMap((earlier) => this.#freedResultsOf(earlier)),
    };
  }

  /** Where a stage should run; undefined if little is read either way. */
  #homeZoneOf(index: number, pieces: number): string | undefined {
    const stage = this.#stages[index] as PieceStage;
    if (pieces * this.#inputBytes(stage) >= ZONE_AFFINITY_MIN_BYTES) {
      return this.#zoneOfInputs(stage);
    }
    const last = this.#followers(index).length === 0;
    const read = last ? pieces * stage.result_bytes : 0;
    return read >= ZONE_AFFINITY_MIN_BYTES
      ? this.#request.home_zone
      : undefined;
  }

  /** Bytes that are read for each piece of a stage. */
  #inputBytes(stage: PieceStage): number {
    return stage.after.reduce(
      (sum, earlier) =>
        sum + (this.#results[earlier]?.length ?? 0) *
          (this.#stages[earlier]?.result_bytes ?? 0),
      0,
    );
  }

  /** The zone in which most bytes of a stage's inputs lie. */
  #zoneOfInputs(stage: PieceStage): string | undefined {
    const counts = new Map<string, number>();
    for (const earlier of stage.after) {
      const bytes = this.#stages[earlier]?.result_bytes ?? 0;
      for (const { availability_zone } of this.#results[earlier] ?? []) {
        const sum = (counts.get(availability_zone) ?? 0) + bytes;
        counts.set(availability_zone, sum);
      }
    }
    return [...counts].sort(([, a], [, b]) => b - a)[0]?.[0];
  }

  /** The time that the stages after this one take. */
  #timeOfFollowers(index: number): StageTime {
    let longest: StageTime = { min_ms: 0, expected_ms: 0 };
    for (const follower of this.#followers(index)) {
      if ((this.#request.pieces[follower] ?? 0) === 0) continue;
      const own = this.#stageTime(follower);
      const after = this.#timeOfFollowers(follower);
      longest = {
        min_ms: Math.max(longest.min_ms, own.min_ms + after.min_ms),
        expected_ms: Math.max(
          longest.expected_ms,
          own.expected_ms + after.expected_ms,
        ),
      };
    }
    return longest;
  }

  #stageTime(index: number): StageTime {
    const pool = this.#stages[index]?.pool ?? "";
    return this.#dependencies.stageTime({
      pool,
      priority: this.#request.priority,
    });
  }

  /** By how much all stages together would be too late; 0 if they are not. */
  #excessMs(): number {
    const { expires_ms, pieces } = this.#request;
    const left_ms = expires_ms - this.#dependencies.now();
    const paths_ms = this.#stages.map((_, index) =>
      (pieces[index] ?? 0) === 0 ? 0 : this.#stageTime(index).expected_ms +
        this.#timeOfFollowers(index).expected_ms
    );
    return Math.max(0, Math.max(...paths_ms) - left_ms);
  }

  #followers(index: number): number[] {
    return this.#stages.flatMap((stage, other) =>
      stage.after.includes(index) ? [other] : []
    );
  }

  #lastStages(): number[] {
    return this.#stages.flatMap((_, index) =>
      this.#followers(index).length === 0 ? [index] : []
    );
  }

  /** Whether `reader` is the only stage that still reads the results. */
  #isLastReader(index: number, reader: number): boolean {
    return this.#followers(index)
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
      this.#dependencies.free(freed);
    }
  }

  #freeAll(): void {
    for (const index of this.#stages.keys()) this.#free(index);
  }
}

/**
 * Admission of a request at its first stage, for all of its stages. A pool's
 * batcher knows its own queue exactly and asks for those of the later stages, so
 * that a request which a later stage can't serve in time is refused before any
 * work is done for it. Does no I/O and reads no clock: callers pass the time in.
 *
 * A later stage works off what waits there and what is on its way there. A new
 * request arrives after the stages before, and goes after what is due earlier.
 */
import type { BatchLimits, RoutePool } from "../routes/types.ts";
import { AdmittedPieces } from "./admitted_pieces.ts";
import {
  isFirstStage,
  type JobRefusal,
  type LaterWait,
  reportableWaitMs,
} from "./admit_job.ts";
import {
  expectedJobMs,
  expectedLateJobMs,
  type PoolLoad,
} from "./expected_wait.ts";
import { piecesDueBy, type PoolLoadReport } from "./pool_load_report.ts";
import { JobOutcomeKind, type LaterStage, type StageJob } from "./types.ts";

/** Share of a pool's rate that is left to less urgent or late work in a burst. */
const MIN_SPARE_SHARE = 0.1;

/**
 * Share of a pool's rate that less urgent requests are planned with. If more of
 * them were admitted than can be done, they would delay urgent ones once they
 * are due.
 */
const PLANNED_SHARE = 0.95;

/** Dependencies of `PipelineAdmission`. */
export interface PipelineAdmissionOptions {
  /** The pool of this name; undefined if it is not configured. */
  pool: (name: string) => RoutePool | undefined;
  /** The load of the pool of a later stage; undefined if it is not known. */
  laterLoad: (pool: string) => PoolLoadReport | undefined;
}

/** Load and limits of the pool of the first stage. */
export interface FirstStage {
  load: PoolLoad;
  limits: BatchLimits;
  now_ms: number;
}

/** When a request is expected to have passed all of its stages. */
interface PipelineTimes {
  /** If what is due earlier goes first, in milliseconds from now. */
  on_time_ms: number;
  /** If all else goes first, later arrivals included. */
  late_ms: number;
  /** When it arrives at each stage after the first, in milliseconds from now. */
  arrivals_ms: number[];
  /** The last stage in which it is expected to wait; undefined if in none. */
  waits_in: LaterWait | undefined;
}

/** A stage that follows, with its pool's load and when it must have ended. */
interface KnownStage extends LaterStage {
  load: PoolLoadReport;
  /** Time left until it must have ended, in milliseconds. */
  due_in_ms: number;
}

/** Admits requests at their first stage. */
export class PipelineAdmission {
  #admitted = new Map<string, AdmittedPieces>();
  #options: PipelineAdmissionOptions;

  constructor(options: PipelineAdmissionOptions) {
    this.#options = options;
  }

  /**
   * Refuses a job of a first stage if the request would be late and, once it
   * yields to all others, would not be served before it expires. Undefined for
   * an admitted one and while the load of a later stage is not known.
   */
  check(job: StageJob, first: FirstStage): JobRefusal | undefined {
    const { target_in_ms } = job;
    const stages = this.#knownStages(job);
    if (stages === undefined || target_in_ms === undefined) return undefined;
    const { load, limits, now_ms } = first;
    for (const { pool, pieces } of stages) {
      this.#admittedTo(pool).recordOffered(pieces, job.priority, now_ms);
    }
    const expected = this.#expect(job, stages, first);
    const { on_time_ms, late_ms } = expected;
    const isOnTime = on_time_ms <= target_in_ms;
    if (isOnTime || late_ms <= this.#expiresInMs(job, stages)) {
      this.#recordAdmitted(stages, expected.arrivals_ms, now_ms);
      return undefined;
    }
    return {
      outcome: {
        kind: JobOutcomeKind.Refused,
        retry_after_ms: Math.min(
          Math.max(on_time_ms - target_in_ms, limits.call_ms),
          limits.retention_ms,
        ),
        wait_ms: reportableWaitMs(load, limits),
      },
      expected_ms: on_time_ms,
      waits_in: expected.waits_in,
    };
  }

  /**
   * The stages after a first stage; undefined if one has an unknown load, or no
   * endpoint that accepts calls now: it may have one when the request arrives.
   */
  #knownStages(
    { pieces, later = [], target_in_ms }: StageJob,
  ): KnownStage[] | undefined {
    if (!isFirstStage({ pieces }) || later.length === 0) return undefined;
    let due_in_ms = target_in_ms ?? Infinity;
    const stages: KnownStage[] = [];
    for (const stage of later.toReversed()) {
      const load = this.#options.laterLoad(stage.pool);
      if (load === undefined || load.pieces_per_ms === 0) return undefined;
      stages.unshift({ ...stage, load, due_in_ms });
      due_in_ms -= load.call_ms;
    }
    return stages;
  }

  #expect(
    { pieces, priority }: StageJob,
    stages: readonly KnownStage[],
    { load, limits, now_ms }: FirstStage,
  ): PipelineTimes {
    let on_time_ms = expectedJobMs(pieces.length, load, limits);
    let late_ms = expectedLateJobMs(pieces.length, load, limits);
    const arrivals_ms: number[] = [];
    let waits_in: LaterWait | undefined;
    for (const stage of stages) {
      arrivals_ms.push(on_time_ms);
      const pieces_waiting = waitingPieces(stage, stage.due_in_ms);
      const pieces_on_the_way = this.#onTheWay(stage, stage.due_in_ms, now_ms);
      const ahead = pieces_waiting + pieces_on_the_way;
      const all = waitingPieces(stage, Infinity) +
        this.#onTheWay(stage, Infinity, now_ms);
      const spare_per_ms = this.#spareRate(stage, priority, now_ms);
      const late_per_ms = this.#spareRate(stage, Infinity, now_ms);
      const { call_ms, pieces_per_ms } = stage.load;
      if (ahead / spare_per_ms > on_time_ms) {
        waits_in = {
          pool: stage.pool,
          pieces_waiting,
          pieces_on_the_way,
          pieces_per_ms,
          spare_per_ms,
        };
      }
      on_time_ms = Math.max(on_time_ms, ahead / spare_per_ms) + call_ms;
      late_ms = Math.max(late_ms, all / late_per_ms) + call_ms;
    }
    return { on_time_ms, late_ms, arrivals_ms, waits_in };
  }

  /** Pieces that have yet to arrive and are due no later than the stage's. */
  #onTheWay({ pool }: KnownStage, due_in_ms: number, now_ms: number): number {
    return this.#admittedTo(pool).onTheWay(now_ms + due_in_ms, now_ms);
  }

  /** Rate that more urgent pieces leave to a priority. */
  #spareRate(
    { pool, load: { pieces_per_ms } }: KnownStage,
    priority: number,
    now_ms: number,
  ): number {
    const offered = this.#admittedTo(pool).offeredPerMs(priority, now_ms);
    const planned_per_ms = offered > 0
      ? PLANNED_SHARE * pieces_per_ms
      : pieces_per_ms;
    return Math.max(planned_per_ms - offered, MIN_SPARE_SHARE * pieces_per_ms);
  }

  /** Time left until all stages must have ended, in milliseconds. */
  #expiresInMs(
    { expires_in_ms }: StageJob,
    stages: readonly LaterStage[],
  ): number {
    return stages.reduce(
      (sum, { pool }) => sum + (this.#options.pool(pool)?.batch?.call_ms ?? 0),
      expires_in_ms,
    );
  }

  #recordAdmitted(
    stages: readonly KnownStage[],
    arrivals_ms: readonly number[],
    now_ms: number,
  ): void {
    for (const [index, { pool, pieces, due_in_ms }] of stages.entries()) {
      this.#admittedTo(pool).recordAdmitted({
        pieces,
        due_ms: now_ms + due_in_ms,
        arrives_ms: now_ms + (arrivals_ms[index] ?? 0),
      });
    }
  }

  #admittedTo(pool: string): AdmittedPieces {
    const known = this.#admitted.get(pool);
    if (known !== undefined) return known;
    const created = new AdmittedPieces();
    this.#admitted.set(pool, created);
    return created;
  }
}

/** Pieces that wait and are due no later than the stage's, its own included. */
function waitingPieces(
  { pieces, load }: KnownStage,
  due_in_ms: number,
): number {
  return pieces + piecesDueBy(load, due_in_ms);
}

/**
 * What a batcher tells other batchers of a pool's queue. The batcher of a first
 * stage admits a request for all of its stages, and needs to know how much waits
 * at the later ones. Has no side effects.
 */
import type { BatchLimits } from "../routes/types.ts";
import { fullCallMs } from "./plan_call.ts";
import { type PoolLoad, serviceRate } from "./expected_wait.ts";

/** Waiting pieces are counted by the time that is left, in steps of this. */
const DUE_STEP_MS = 250;
/** Number of counts; the last one has all that is due later. */
const DUE_STEPS = 16;

/** The queue of a pool, or of one shard of it. */
export interface PoolLoadReport {
  /** Rate at which calls take pieces; 0 if no endpoint accepts calls. */
  pieces_per_ms: number;
  /** Expected time of a call, in milliseconds. */
  call_ms: number;
  /**
   * Waiting pieces by the time until they are due, in steps of `DUE_STEP_MS`; the
   * first has late ones too.
   */
  waiting_by_due: number[];
}

/** Pieces that wait, with the time until they are due in milliseconds. */
export interface DuePieces {
  pieces: number;
  due_in_ms: number;
}

/** Reports a queue with this load. */
export function createLoadReport(
  load: PoolLoad,
  limits: BatchLimits,
  waiting: Iterable<DuePieces>,
): PoolLoadReport {
  const waiting_by_due = Array.from({ length: DUE_STEPS }, () => 0);
  for (const { pieces, due_in_ms } of waiting) {
    const step = Math.floor(due_in_ms / DUE_STEP_MS);
    const index = Math.min(DUE_STEPS - 1, Math.max(0, step));
    waiting_by_due[index] = (waiting_by_due[index] ?? 0) + pieces;
  }
  return {
    pieces_per_ms: load.endpoints === 0 ? 0 : serviceRate(load, limits),
    call_ms: fullCallMs(limits) * load.slowness,
    waiting_by_due,
  };
}

/** Number of reported pieces that are due no later than a time. */
export function piecesDueBy(
  { waiting_by_due }: PoolLoadReport,
  due_in_ms: number,
): number {
  const steps = Math.min(
    DUE_STEPS,
    Math.max(1, Math.floor(due_in_ms / DUE_STEP_MS) + 1),
  );
  return waiting_by_due.slice(0, steps).reduce((sum, each) => sum + each, 0);
}

/** The load of all shards of a pool together. */
export function combineReports(reports: PoolLoadReport[]): PoolLoadReport {
  return {
    pieces_per_ms: reports.reduce((sum, each) => sum + each.pieces_per_ms, 0),
    call_ms: Math.max(...reports.map((each) => each.call_ms)),
    waiting_by_due: Array.from(
      { length: DUE_STEPS },
      (_, step) =>
        reports.reduce(
          (sum, { waiting_by_due }) => sum + (waiting_by_due[step] ?? 0),
          0,
        ),
    ),
  };
}

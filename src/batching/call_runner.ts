/** Runs a batcher's calls to endpoints and handles what comes of them. */
import type { Logger } from "../logging/logger.ts";
import type { BatchLimits } from "../routes/types.ts";
import type { TakenPieces } from "./backlog_rates.ts";
import { type BrokenCall, recordCrash } from "./crashed_calls.ts";
import type { EndedCall, EndpointTracker } from "./endpoint_tracker.ts";
import type { FinishJob } from "./finish_job.ts";
import {
  describeFaults,
  type PieceCallResult,
  PieceCallResultKind,
  type PieceClient,
} from "./piece_call.ts";
import type { PlannedPieces } from "./plan_call.ts";
import {
  countWaitingPieces,
  type PoolQueue,
  type QueuedJob,
} from "./pool_queue.ts";
import type { ResultMemory } from "./result_memory.ts";
import { SharedCall } from "./shared_call.ts";
import {
  ENDPOINTS_CRASH,
  type FreedResults,
  JobOutcomeKind,
  type Piece,
  PieceFault,
  type PieceRequest,
  type PieceResponse,
  type StageJob,
  type StageResult,
} from "./types.ts";

/** Dependencies of a `CallRunner`. */
export interface CallRunnerOptions {
  client: PieceClient;
  memory: ResultMemory;
  finishJob: FinishJob;
  /** Called when a call has ended, so that the next one can start. */
  onCallEnded: (queue: PoolQueue) => void;
  /** Expected wait of a job that arrives now, for the host that sends it. */
  reportableWaitMs: (job: StageJob, queue: PoolQueue) => number;
  /** Frees results through the batcher that accounts for their memory. */
  freeAtBatcher: (freed: FreedResults) => void;
  /**
   * Reports a call that its endpoint broke off; resolves to whether the endpoint
   * has crashed.
   */
  hasCrashed: (call: BrokenCall) => Promise<boolean>;
  /** Called when endpoints have computed all pieces of a job. */
  onCompleted: (job: StageJob) => void;
  /** Receives how long a call went on for nobody, in milliseconds. */
  onUnwantedCall: (unwanted_ms: number) => void;
  log: Logger;
  /** Monotonic time in milliseconds. */
  now: () => number;
}

/** A call that is about to start. */
export interface PlannedCall {
  queue: PoolQueue;
  tracker: EndpointTracker;
  planned: PlannedPieces<QueuedJob>[];
  limits: BatchLimits;
}

/** A call that was sent, and the pieces that were taken for it. */
interface StartedCall extends PlannedCall {
  batch: TakenPiece[];
  /** Memory that is reserved for its results. */
  bytes: number;
  started_ms: number;
  shared: SharedCall;
}

interface TakenPiece {
  queued: QueuedJob;
  piece: Piece;
}

/**
 * Retries before a job fails, as an average over its pieces: a job of n pieces
 * fails at the first failure beyond 4n.
 */
const MAX_RETRIES_PER_PIECE = 4;
/**
 * Calls of one job that may be lost with their way before further ones count as
 * failures, so that a way that fails at once is not tried without end.
 */
const MAX_LOST_CALLS = 2;
/** Delay before a full endpoint is called again. */
const FULL_RETRY_DELAY_MS = 40;

/** Runs calls to endpoints. */
export class CallRunner {
  #options: CallRunnerOptions;

  constructor(options: CallRunnerOptions) {
    this.#options = options;
  }

  /** Calls an endpoint for planned pieces and handles what comes of it. */
  async run(planned: PlannedCall): Promise<void> {
    const { client, onCallEnded } = this.#options;
    const call = this.#start(planned);
    const { tracker, batch, limits } = call;
    const result = await client.call(
      tracker.endpoint,
      batch.map((taken) => createPieceRequest(taken, call.started_ms)),
      {
        timeout_ms: tracker.callTimeoutMs(batch.length, limits),
        signal: call.shared.signal,
      },
    );
    call.shared.end();
    this.#record(call, result);
    await this.#handleResult(call, result);
    onCallEnded(call.queue);
  }

  /** Takes the planned pieces from their jobs. */
  #start(call: PlannedCall): StartedCall {
    const { queue, tracker, planned, limits } = call;
    const { now, memory } = this.#options;
    const started_ms = now();
    queue.rates.recordCall({
      ...takenPieces(planned, limits),
      waiting_pieces: countWaitingPieces(queue.jobs),
    }, started_ms);
    const batch = planned.flatMap(({ job: queued, pieces }) =>
      queued.waiting.splice(0, pieces).map((piece) => ({ queued, piece }))
    );
    const bytes = batch.reduce(
      (sum, { queued }) => sum + queued.result_bytes,
      0,
    );
    const pieces = batch.length;
    tracker.startCall({ bytes, pieces, now_ms: started_ms }, limits);
    memory.offerInputs(planned, limits);
    memory.freeIfShort(queue, tracker);
    const shared = new SharedCall(planned.map(({ job }) => job), now);
    return { ...call, batch, bytes, started_ms, shared };
  }

  #record(
    { queue, tracker, planned, limits, batch, started_ms, shared }: StartedCall,
    result: PieceCallResult,
  ): void {
    const { now, log, onUnwantedCall } = this.#options;
    const now_ms = now();
    const { unwantedMs } = shared;
    log.info({
      event: "stage_call",
      pool: queue.pool,
      shard: queue.shard,
      endpoint: tracker.endpoint.id,
      zone: tracker.endpoint.availability_zone,
      pieces: batch.length,
      jobs: planned.length,
      late: batch.filter(({ queued }) => queued.due_ms < now_ms).length,
      waiting: countWaitingPieces(queue.jobs),
      room_bytes: tracker.freeResultBytes(now_ms, limits),
      slowness: Number(tracker.slowness.toFixed(2)),
      elapsed_ms: Math.round(now_ms - started_ms),
      outcome: result.kind,
      reason: result.kind === PieceCallResultKind.Failed
        ? result.reason
        : undefined,
      faults: describeFaults(result),
      unwanted_ms: unwantedMs === undefined
        ? undefined
        : Math.round(unwantedMs),
    });
    if (unwantedMs !== undefined) onUnwantedCall(unwantedMs);
    if (result.rate_limit !== undefined) {
      tracker.recordRateLimit(result.rate_limit);
    }
  }

  async #handleResult(
    call: StartedCall,
    result: PieceCallResult,
  ): Promise<void> {
    const { tracker, limits, batch, bytes, started_ms } = call;
    const now_ms = this.#options.now();
    const ended: EndedCall = {
      bytes,
      pieces: batch.length,
      elapsed_ms: now_ms - started_ms,
    };
    if (isLost(call, result)) {
      tracker.loseCall(ended);
      for (const { job } of call.planned) job.lost_calls += 1;
      for (const { queued, piece } of batch) queued.waiting.unshift(piece);
      return;
    }
    switch (result.kind) {
      case PieceCallResultKind.Answered:
        tracker.recordAnswer(now_ms);
        tracker.completeCall(ended, limits);
        batch.forEach((taken, index) =>
          this.#handlePieceResponse(call, taken, result.responses[index])
        );
        return;
      case PieceCallResultKind.Full:
        tracker.recordAnswer(now_ms);
        tracker.rejectCall(bytes, now_ms + FULL_RETRY_DELAY_MS);
        for (const { queued, piece } of batch) queued.waiting.unshift(piece);
        return;
      case PieceCallResultKind.Cancelled:
        tracker.cancelCall(ended, { limits, now_ms });
        return;
      case PieceCallResultKind.TimedOut:
        tracker.timeOutCall(ended, { limits, now_ms });
        return this.#retryAll(call);
      case PieceCallResultKind.Failed:
        tracker.failCall(ended, { limits, now_ms });
        if (result.broken === true) await this.#handleBroken(call);
        return this.#retryAll(call);
    }
  }

  /** Finds out whether the endpoint has crashed, and limits what its jobs may do. */
  async #handleBroken(
    { queue, tracker, planned, started_ms }: StartedCall,
  ): Promise<void> {
    const { hasCrashed, finishJob } = this.#options;
    const jobs = planned.map(({ job }) => job);
    const { endpoint } = tracker;
    if (!await hasCrashed({ endpoint, jobs, sent_ms: started_ms })) return;
    for (const queued of recordCrash(jobs)) {
      finishJob(queued, queue, {
        kind: JobOutcomeKind.Failed,
        reason: ENDPOINTS_CRASH,
      });
    }
  }

  #handlePieceResponse(
    call: StartedCall,
    taken: TakenPiece,
    response: PieceResponse | undefined,
  ): void {
    const { queue, tracker } = call;
    const { finishJob, now } = this.#options;
    const { queued, piece } = taken;
    if (response === undefined) return this.#retry(queue, taken);
    if (response.ok) {
      return this.#handlePieceResult(call, taken, response.handle);
    }
    switch (response.fault) {
      case PieceFault.DeadlinePassed:
        return finishJob(queued, queue, {
          kind: JobOutcomeKind.Failed,
          reason: "expired",
        });
      case PieceFault.InputsGone:
        return finishJob(queued, queue, { kind: JobOutcomeKind.InputsGone });
      case PieceFault.OutOfMemory:
        tracker.addUntrackedResult(queued.result_bytes, now());
        queued.waiting.unshift(piece);
        return;
      case PieceFault.Error:
        return this.#retry(queue, taken);
    }
  }

  #handlePieceResult(
    { queue, tracker, limits }: StartedCall,
    { queued, piece }: TakenPiece,
    handle: string,
  ): void {
    const { now, memory } = this.#options;
    const { address, availability_zone } = tracker.endpoint;
    tracker.addResult(handle, {
      bytes: queued.result_bytes,
      expires_ms: now() + limits.retention_ms,
    });
    if (queued.ended) {
      const { pool } = queue;
      return memory.free(queue, { pool, address, handles: [handle] });
    }
    const index = queued.job.pieces.indexOf(piece);
    queued.results[index] = { handle, address, availability_zone };
    queued.unfinished -= 1;
    if (queued.unfinished === 0) this.#complete(queue, queued);
  }

  #complete(queue: PoolQueue, queued: QueuedJob): void {
    const { job } = queued;
    const { freeAtBatcher, onCompleted, reportableWaitMs } = this.#options;
    for (const freed of job.last_read) freeAtBatcher(freed);
    onCompleted(job);
    this.#options.finishJob(queued, queue, {
      kind: JobOutcomeKind.Completed,
      results: queued.results as StageResult[],
      wait_ms: reportableWaitMs(job, queue),
    });
  }

  #retryAll({ queue, batch }: StartedCall): void {
    for (const taken of batch) this.#retry(queue, taken);
  }

  #retry(queue: PoolQueue, { queued, piece }: TakenPiece): void {
    queued.failures += 1;
    if (queued.failures <= MAX_RETRIES_PER_PIECE * queued.job.pieces.length) {
      queued.waiting.unshift(piece);
      return;
    }
    this.#options.finishJob(queued, queue, {
      kind: JobOutcomeKind.Failed,
      reason: "endpoints_fail",
    });
  }
}

/** Whether a call failed with its way, and may be repeated without a count. */
function isLost({ planned }: StartedCall, result: PieceCallResult): boolean {
  return result.kind === PieceCallResultKind.Failed &&
    result.way_failed === true &&
    planned.every(({ job }) => job.lost_calls < MAX_LOST_CALLS);
}

/** How many pieces a planned call takes, and whether it is limited in that. */
function takenPieces(
  planned: readonly PlannedPieces<QueuedJob>[],
  { pieces_per_call }: BatchLimits,
): Pick<TakenPieces, "pieces" | "limited"> {
  const pieces = planned.reduce((sum, each) => sum + each.pieces, 0);
  const splitsJob = planned.some(({ job, pieces: taken }) =>
    taken < job.waiting.length
  );
  return { pieces, limited: splitsJob || pieces === pieces_per_call };
}

function createPieceRequest(
  { queued, piece }: TakenPiece,
  now_ms: number,
): PieceRequest {
  return {
    ...piece,
    attempt_id: queued.job.attempt_id,
    stage: queued.job.stage,
    remaining_ms: Math.max(1, Math.round(queued.expires_ms - now_ms)),
  };
}

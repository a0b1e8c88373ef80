/**
 * A batcher's view of one endpoint: calls in flight, memory taken by results,
 * backoff after failures, and how its call times compare with the pool's
 * configured times. Does no I/O and reads no clock: callers pass the time in.
 */
import type { NamedRateLimit } from "../endpoint_reports/endpoint_report.ts";
import type { BatchLimits, RouteEndpoint } from "../routes/types.ts";
import { EndpointSilence } from "../endpoints/endpoint_silence.ts";
import { CALL_SHARE, intervalMs } from "./pacing.ts";

/** Weight of the newest call in the moving average of slowness. */
const SLOWNESS_SMOOTHING = 0.3;
/** A call that is faster counts as this fast. */
const MIN_SLOWNESS = 0.5;
/** Backoff doubles with each consecutive failure, between these bounds. */
const INITIAL_BACKOFF_MS = 300;
const MAX_BACKOFF_MS = 4_000;
/**
 * Time after which the memory of untracked results, which other hosts' calls
 * left at the endpoint, is assumed to be free again.
 */
const UNTRACKED_RESULT_LIFETIME_MS = 600;
/** Results are evicted while less than this share of memory is free. */
const MIN_FREE_MEMORY_SHARE = 0.5;
/** A call times out after this many times its expected time, plus a margin. */
const CALL_TIMEOUT_FACTOR = 1.8;
const CALL_TIMEOUT_MARGIN_MS = 150;

interface StoredResult {
  bytes: number;
  /** When its memory counts as free again, in monotonic milliseconds. */
  expires_ms: number;
  /** Whether it has been read and may be freed when memory is short. */
  evictable?: boolean;
}

/** A call that has ended, successfully or not. */
export interface EndedCall {
  /** Memory that was reserved for its results. */
  bytes: number;
  pieces: number;
  elapsed_ms: number;
}

/** Tracks the calls, result memory, backoff and slowness of one endpoint. */
export class EndpointTracker {
  endpoint: RouteEndpoint;
  /** Moving average of actual to configured call time; 1 is as configured. */
  slowness = 1;
  /** Whether the slowness follows from calls without an answer, not from a measure. */
  #slownessAssumed = false;
  #silence = new EndpointSilence();
  /** Slowness that calls since the last timeout are given time for. */
  #patience = 1;
  #callsInFlight = 0;
  #consecutiveFailures = 0;
  #backoffUntil_ms = 0;
  /** Until when the endpoint itself wants no calls. */
  #pausedUntil_ms = -Infinity;
  #expectedCallEnd_ms = 0;
  #lastCallStart_ms = -Infinity;
  /** Shortest time between the starts of calls; 0 without a rate limit. */
  #callInterval_ms = 0;
  #reservedBytes = 0;
  #results = new Map<string, StoredResult>();
  /** Number of untracked results so far; makes their keys unique. */
  #untrackedResults = 0;

  constructor(endpoint: RouteEndpoint) {
    this.endpoint = endpoint;
  }

  /** Whether it is not backing off and has capacity for another call. */
  canStartCall(now_ms: number, limits: BatchLimits): boolean {
    return this.#callsInFlight < limits.concurrent_calls &&
      now_ms >= this.#earliestCall_ms;
  }

  /** Time since the last call was started, in milliseconds. */
  sinceCallMs(now_ms: number): number {
    return now_ms - this.#lastCallStart_ms;
  }

  /** Records what a response says about the endpoint's rate limit. */
  recordRateLimit(rate_limit: NamedRateLimit): void {
    this.#callInterval_ms = intervalMs(rate_limit, {
      share: CALL_SHARE,
      current_ms: this.#callInterval_ms,
    });
  }

  /** Records until when the endpoint itself wants no calls. */
  pauseUntil(until_ms: number): void {
    this.#pausedUntil_ms = until_ms;
  }

  /** Time until its pause ends, in milliseconds; 0 without one. */
  pauseMs(now_ms: number): number {
    return Math.max(0, this.#pausedUntil_ms - now_ms);
  }

  /** Whether it neither backs off nor pauses; it may still be at capacity. */
  acceptsCalls(now_ms: number): boolean {
    return now_ms >= this.#backoffUntil_ms && this.pauseMs(now_ms) === 0;
  }

  /** Expected time until a call can start, in milliseconds. */
  availableInMs(now_ms: number, limits: BatchLimits): number {
    const wait_ms = Math.max(0, this.#earliestCall_ms - now_ms);
    if (this.#callsInFlight < limits.concurrent_calls) return wait_ms;
    return Math.max(wait_ms, this.#expectedCallEnd_ms - now_ms, 0);
  }

  /** Memory left for further results, in bytes; drops expired results. */
  freeResultBytes(now_ms: number, limits: BatchLimits): number {
    for (const [handle, { expires_ms }] of this.#results) {
      if (expires_ms <= now_ms) this.removeResult(handle);
    }
    return limits.room_bytes - this.#reservedBytes;
  }

  /** Timeout of a call with this many pieces, in milliseconds. */
  callTimeoutMs(pieces: number, limits: BatchLimits): number {
    const configured_ms = limits.call_ms + pieces * limits.piece_ms;
    const expected_slowness = Math.max(1, this.slowness, this.#patience);
    return configured_ms * expected_slowness * CALL_TIMEOUT_FACTOR +
      CALL_TIMEOUT_MARGIN_MS;
  }

  /** Records the start of a call and reserves memory for its results. */
  startCall(
    call: { bytes: number; pieces: number; now_ms: number },
    limits: BatchLimits,
  ): void {
    this.#callsInFlight += 1;
    this.#lastCallStart_ms = call.now_ms;
    this.#reservedBytes += call.bytes;
    const configured_ms = limits.call_ms + call.pieces * limits.piece_ms;
    this.#expectedCallEnd_ms = call.now_ms + configured_ms * this.slowness;
  }

  /**
   * Records a successful call. A call that took less than half its configured
   * time counts as half, which bounds how far slowness can fall. The measured time
   * replaces what was assumed from calls without an answer.
   */
  completeCall(call: EndedCall, limits: BatchLimits): void {
    this.#endCall(call.bytes);
    this.#consecutiveFailures = 0;
    this.#patience = 1;
    const ratio = Math.max(slownessOf(call, limits), MIN_SLOWNESS);
    const weight = this.#slownessAssumed ? 1 : SLOWNESS_SMOOTHING;
    this.slowness += weight * (ratio - this.slowness);
    this.#slownessAssumed = false;
  }

  /** Records a failed call; returns the resulting backoff in milliseconds. */
  failCall(
    call: EndedCall,
    { limits, now_ms }: { limits: BatchLimits; now_ms: number },
  ): number {
    this.#endCall(call.bytes);
    const backoff_ms = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** this.#consecutiveFailures,
    );
    this.#consecutiveFailures += 1;
    this.#backoffUntil_ms = now_ms + backoff_ms;
    this.#assumeSlowness(slownessOf(call, limits));
    return backoff_ms;
  }

  /**
   * Records a call without a response in time. While the endpoint may only be
   * silent for a moment, it is called again soon, with more time, and does not
   * count as slow.
   */
  timeOutCall(
    call: EndedCall,
    { limits, now_ms }: { limits: BatchLimits; now_ms: number },
  ): void {
    const sent_ms = now_ms - call.elapsed_ms;
    if (!this.#silence.recordTimeout(sent_ms, now_ms)) {
      this.failCall(call, { limits, now_ms });
      return;
    }
    this.#endCall(call.bytes);
    const until_ms = now_ms + INITIAL_BACKOFF_MS;
    this.#backoffUntil_ms = Math.max(this.#backoffUntil_ms, until_ms);
    this.#patience = Math.max(this.#patience, slownessOf(call, limits));
  }

  /**
   * Records a call that this host has ended. The endpoint may go on with it, and
   * its results take memory that nobody can free.
   */
  cancelCall(
    { bytes }: Pick<EndedCall, "bytes">,
    { limits, now_ms }: { limits: BatchLimits; now_ms: number },
  ): void {
    this.#endCall(bytes);
    const busyUntil_ms = Math.max(now_ms, this.#expectedCallEnd_ms);
    this.#backoffUntil_ms = Math.max(this.#backoffUntil_ms, busyUntil_ms);
    this.#addUnknownResult(bytes, busyUntil_ms + limits.retention_ms);
  }

  /** Records a call that was lost with this host's way to the endpoint. */
  loseCall({ bytes }: Pick<EndedCall, "bytes">): void {
    this.#endCall(bytes);
  }

  /** Forgets failures that were this host's own and not the endpoint's. */
  forgetFailures(): void {
    this.#silence = new EndpointSilence();
    this.#patience = 1;
    this.#consecutiveFailures = 0;
    this.#backoffUntil_ms = 0;
    if (!this.#slownessAssumed) return;
    this.slowness = 1;
    this.#slownessAssumed = false;
  }

  /** Records a response to any call. */
  recordAnswer(now_ms: number): void {
    this.#silence.recordAnswer(now_ms);
  }

  /** Records that the endpoint rejected a call, full of other hosts' calls. */
  rejectCall(bytes: number, retry_at_ms: number): void {
    this.#endCall(bytes);
    this.#backoffUntil_ms = Math.max(this.#backoffUntil_ms, retry_at_ms);
  }

  /** Records that memory presumed free is taken by another host's result. */
  addUntrackedResult(bytes: number, now_ms: number): void {
    this.#addUnknownResult(bytes, now_ms + UNTRACKED_RESULT_LIFETIME_MS);
  }

  /** Records a result that takes memory until it is removed or expires. */
  addResult(handle: string, result: StoredResult): void {
    this.#results.set(handle, result);
    this.#reservedBytes += result.bytes;
  }

  /** Allows a result to be evicted when memory is short. */
  markEvictable(handle: string): void {
    const result = this.#results.get(handle);
    if (result !== undefined) result.evictable = true;
  }

  /**
   * Returns the handles of all evictable results if memory is short, for the
   * caller to free at the endpoint, each once. They take memory until they are
   * removed.
   */
  takeEvictable(now_ms: number, limits: BatchLimits): string[] {
    const min_free_bytes = limits.room_bytes * MIN_FREE_MEMORY_SHARE;
    if (this.freeResultBytes(now_ms, limits) >= min_free_bytes) return [];
    const evictable = [...this.#results]
      .filter(([, result]) => result.evictable);
    for (const [, result] of evictable) result.evictable = false;
    return evictable.map(([handle]) => handle);
  }

  /** Removes a result; unknown handles are ignored. */
  removeResult(handle: string): void {
    const result = this.#results.get(handle);
    if (result === undefined) return;
    this.#results.delete(handle);
    this.#reservedBytes -= result.bytes;
  }

  /** When backoff, pause and rate limit allow the next call. */
  get #earliestCall_ms(): number {
    return Math.max(
      this.#backoffUntil_ms,
      this.#pausedUntil_ms,
      this.#lastCallStart_ms + this.#callInterval_ms,
    );
  }

  #assumeSlowness(ratio: number): void {
    if (ratio <= this.slowness) return;
    this.slowness = ratio;
    this.#slownessAssumed = true;
  }

  #addUnknownResult(bytes: number, expires_ms: number): void {
    this.#untrackedResults += 1;
    this.addResult(`unknown ${this.#untrackedResults}`, { bytes, expires_ms });
  }

  #endCall(bytes: number): void {
    this.#callsInFlight -= 1;
    this.#reservedBytes -= bytes;
  }
}

/** Ratio of a call's actual time to its configured time. */
function slownessOf(
  { pieces, elapsed_ms }: EndedCall,
  { call_ms, piece_ms }: BatchLimits,
): number {
  return elapsed_ms / (call_ms + pieces * piece_ms);
}

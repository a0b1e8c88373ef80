/**
 * What the batcher of a pool knows of one endpoint: its calls, the memory that
 * results take there, and how it keeps its times. Pure: time comes in.
 */
import type { BatchLimits, RouteEndpoint } from "../routes/types.ts";

/** Weight of the newest call in the learned slowness. */
const SLOWNESS_SMOOTHING = 0.3;
/** First and longest rest of an endpoint that failed, in milliseconds. */
const INITIAL_BACKOFF_MS = 300;
const MAX_BACKOFF_MS = 4_000;
/** How long results of which nothing is known are taken to stay. */
const UNTRACKED_RESULT_LIFETIME_MS = 600;
/** Share of the memory for results that is kept free for the next call. */
const MIN_FREE_MEMORY_SHARE = 0.5;
/** A call that takes this many times what was learned counts as lost. */
const CALL_TIMEOUT_FACTOR = 1.8;
const CALL_TIMEOUT_MARGIN_MS = 150;

interface StoredResult {
  bytes: number;
  expires_ms: number;
  /** Whether it was read and may be given up. */
  evictable?: boolean;
}

/** A call that has ended, well or not. */
export interface EndedCall {
  bytes: number;
  pieces: number;
  elapsed_ms: number;
}

/** See the module's comment. */
export class EndpointTracker {
  endpoint: RouteEndpoint;
  /** Learned ratio of a call's time to what the pool promises. */
  slowness = 1;
  #callsInFlight = 0;
  #consecutiveFailures = 0;
  #backoffUntil_ms = 0;
  #expectedCallEnd_ms = 0;
  #reservedBytes = 0;
  #results = new Map<string, StoredResult>();
  /** Results that this host knows nothing of but the room they take. */
  #untrackedResults = 0;

  constructor(endpoint: RouteEndpoint) {
    this.endpoint = endpoint;
  }

  /** Whether it can take a call now. */
  hasFreeSlot(now_ms: number, limits: BatchLimits): boolean {
    return this.#callsInFlight < limits.concurrent_calls &&
      now_ms >= this.#backoffUntil_ms;
  }

  /** Whether it takes calls at all, now or when the present ones end. */
  acceptsCalls(now_ms: number): boolean {
    return now_ms >= this.#backoffUntil_ms;
  }

  /** Time until it can take a call, in milliseconds, by what it promised. */
  availableInMs(now_ms: number, limits: BatchLimits): number {
    const rest_ms = Math.max(0, this.#backoffUntil_ms - now_ms);
    if (this.#callsInFlight < limits.concurrent_calls) return rest_ms;
    return Math.max(rest_ms, this.#expectedCallEnd_ms - now_ms, 0);
  }

  /** Memory that further results may take, in bytes. */
  freeResultBytes(now_ms: number, limits: BatchLimits): number {
    for (const [handle, { expires_ms: until_ms }] of this.#results) {
      if (until_ms <= now_ms) this.removeResult(handle);
    }
    return limits.room_bytes - this.#reservedBytes;
  }

  /** How long a call may take before it counts as lost, in milliseconds. */
  callTimeoutMs(pieces: number, limits: BatchLimits): number {
    const promised_ms = limits.call_ms + pieces * limits.piece_ms;
    const learned = Math.max(1, this.slowness);
    return promised_ms * learned * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_MARGIN_MS;
  }

  /** A call begins; its results take `bytes` from now on. */
  startCall(
    call: { bytes: number; pieces: number; now_ms: number },
    limits: BatchLimits,
  ): void {
    this.#callsInFlight += 1;
    this.#reservedBytes += call.bytes;
    const promised_ms = limits.call_ms + call.pieces * limits.piece_ms;
    this.#expectedCallEnd_ms = call.now_ms + promised_ms * this.slowness;
  }

  /** A call ended well. */
  completeCall(call: EndedCall, limits: BatchLimits): void {
    this.#endCall(call.bytes);
    this.#consecutiveFailures = 0;
    const ratio = slownessOf(call, limits);
    this.slowness += SLOWNESS_SMOOTHING *
      (Math.max(ratio, 0.5) - this.slowness);
  }

  /** A call failed; the endpoint rests, longer each time. */
  failCall(
    call: EndedCall,
    { limits, now_ms }: { limits: BatchLimits; now_ms: number },
  ): number {
    this.#endCall(call.bytes);
    const rest_ms = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** this.#consecutiveFailures,
    );
    this.#consecutiveFailures += 1;
    this.#backoffUntil_ms = now_ms + rest_ms;
    this.slowness = Math.max(this.slowness, slownessOf(call, limits));
    return rest_ms;
  }

  /** The endpoint turned a call away, since calls of others are there. */
  rejectCall(bytes: number, until_ms: number): void {
    this.#endCall(bytes);
    this.#backoffUntil_ms = Math.max(this.#backoffUntil_ms, until_ms);
  }

  /** Memory that was counted as free is taken by results of another host. */
  addUntrackedResult(bytes: number, now_ms: number): void {
    this.#untrackedResults += 1;
    const until_ms = now_ms + UNTRACKED_RESULT_LIFETIME_MS;
    this.addResult(`unknown ${this.#untrackedResults}`, {
      bytes,
      expires_ms: until_ms,
    });
  }

  /** A result stays there until it is released or expires. */
  addResult(handle: string, held: StoredResult): void {
    this.#results.set(handle, held);
    this.#reservedBytes += held.bytes;
  }

  /** A result may be given up when its memory is needed. */
  markEvictable(handle: string): void {
    const held = this.#results.get(handle);
    if (held !== undefined) held.evictable = true;
  }

  /** Releases and returns what may be given up, if memory is short. */
  evict(now_ms: number, limits: BatchLimits): string[] {
    const wanted_bytes = limits.room_bytes * MIN_FREE_MEMORY_SHARE;
    if (this.freeResultBytes(now_ms, limits) >= wanted_bytes) return [];
    const handles = [...this.#results]
      .filter(([, held]) => held.evictable)
      .map(([handle]) => handle);
    for (const handle of handles) this.removeResult(handle);
    return handles;
  }

  /** A result takes no memory any more. */
  removeResult(handle: string): void {
    const held = this.#results.get(handle);
    if (held === undefined) return;
    this.#results.delete(handle);
    this.#reservedBytes -= held.bytes;
  }

  #endCall(bytes: number): void {
    this.#callsInFlight -= 1;
    this.#reservedBytes -= bytes;
  }
}

/** How much longer than promised a call took. */
function slownessOf(
  { pieces, elapsed_ms }: EndedCall,
  { call_ms, piece_ms }: BatchLimits,
): number {
  return elapsed_ms / (call_ms + pieces * piece_ms);
}

/**
 * What the batcher of a pool knows of one endpoint: its calls, the memory that
 * results take there, and how it keeps its times. Pure: time comes in.
 */
import type { BatchLimits, RouteEndpoint } from "../routes/types.ts";

/** Weight of the newest call in the learned slowness. */
const SLOWNESS_GAIN = 0.3;
/** First and longest rest of an endpoint that failed, in milliseconds. */
const FIRST_REST_MS = 300;
const LONGEST_REST_MS = 4_000;
/** How long results of which nothing is known are taken to stay. */
const UNKNOWN_RESULT_MS = 600;
/** Share of the memory for results that is kept free for the next call. */
const ROOM_KEPT_SHARE = 0.5;
/** A call that takes this many times what was learned counts as lost. */
const LOST_AFTER_TIMES = 1.8;
const LOST_AFTER_EXTRA_MS = 150;

interface HeldResult {
  bytes: number;
  until_ms: number;
  /** Whether it was read and may be given up. */
  spare?: boolean;
}

/** A call that has ended, well or not. */
export interface EndedCall {
  bytes: number;
  pieces: number;
  elapsed_ms: number;
}

/** See the module's comment. */
export class EndpointCalls {
  endpoint: RouteEndpoint;
  /** Learned ratio of a call's time to what the pool promises. */
  slowness = 1;
  #calls = 0;
  #failures = 0;
  #restsUntil_ms = 0;
  #expectedEnd_ms = 0;
  #heldBytes = 0;
  #held = new Map<string, HeldResult>();
  /** Results that this host knows nothing of but the room they take. */
  #unknown = 0;

  constructor(endpoint: RouteEndpoint) {
    this.endpoint = endpoint;
  }

  /** Whether it can take a call now. */
  free(now_ms: number, limits: BatchLimits): boolean {
    return this.#calls < limits.concurrent_calls &&
      now_ms >= this.#restsUntil_ms;
  }

  /** Whether it takes calls at all, now or when the present ones end. */
  takesCalls(now_ms: number): boolean {
    return now_ms >= this.#restsUntil_ms;
  }

  /** Time until it can take a call, in milliseconds, by what it promised. */
  freeInMs(now_ms: number, limits: BatchLimits): number {
    const rest_ms = Math.max(0, this.#restsUntil_ms - now_ms);
    if (this.#calls < limits.concurrent_calls) return rest_ms;
    return Math.max(rest_ms, this.#expectedEnd_ms - now_ms, 0);
  }

  /** Memory that further results may take, in bytes. */
  roomBytes(now_ms: number, limits: BatchLimits): number {
    for (const [handle, { until_ms }] of this.#held) {
      if (until_ms <= now_ms) this.release(handle);
    }
    return limits.room_bytes - this.#heldBytes;
  }

  /** How long a call may take before it counts as lost, in milliseconds. */
  patienceMs(pieces: number, limits: BatchLimits): number {
    const promised_ms = limits.call_ms + pieces * limits.piece_ms;
    const learned = Math.max(1, this.slowness);
    return promised_ms * learned * LOST_AFTER_TIMES + LOST_AFTER_EXTRA_MS;
  }

  /** A call begins; its results take `bytes` from now on. */
  begin(
    call: { bytes: number; pieces: number; now_ms: number },
    limits: BatchLimits,
  ): void {
    this.#calls += 1;
    this.#heldBytes += call.bytes;
    const promised_ms = limits.call_ms + call.pieces * limits.piece_ms;
    this.#expectedEnd_ms = call.now_ms + promised_ms * this.slowness;
  }

  /** A call ended well. */
  succeed(call: EndedCall, limits: BatchLimits): void {
    this.#end(call.bytes);
    this.#failures = 0;
    const ratio = slownessOf(call, limits);
    this.slowness += SLOWNESS_GAIN * (Math.max(ratio, 0.5) - this.slowness);
  }

  /** A call failed; the endpoint rests, longer each time. */
  fail(
    call: EndedCall,
    { limits, now_ms }: { limits: BatchLimits; now_ms: number },
  ): number {
    this.#end(call.bytes);
    const rest_ms = Math.min(
      LONGEST_REST_MS,
      FIRST_REST_MS * 2 ** this.#failures,
    );
    this.#failures += 1;
    this.#restsUntil_ms = now_ms + rest_ms;
    this.slowness = Math.max(this.slowness, slownessOf(call, limits));
    return rest_ms;
  }

  /** The endpoint turned a call away, since calls of others are there. */
  turnedAway(bytes: number, until_ms: number): void {
    this.#end(bytes);
    this.#restsUntil_ms = Math.max(this.#restsUntil_ms, until_ms);
  }

  /** Memory that was counted as free is taken by results of another host. */
  foundFull(bytes: number, now_ms: number): void {
    this.#unknown += 1;
    const until_ms = now_ms + UNKNOWN_RESULT_MS;
    this.hold(`unknown ${this.#unknown}`, { bytes, until_ms });
  }

  /** A result stays there until it is released or expires. */
  hold(handle: string, held: HeldResult): void {
    this.#held.set(handle, held);
    this.#heldBytes += held.bytes;
  }

  /** A result may be given up when its memory is needed. */
  offer(handle: string): void {
    const held = this.#held.get(handle);
    if (held !== undefined) held.spare = true;
  }

  /** Releases and returns what may be given up, if memory is short. */
  takeSpare(now_ms: number, limits: BatchLimits): string[] {
    const wanted_bytes = limits.room_bytes * ROOM_KEPT_SHARE;
    if (this.roomBytes(now_ms, limits) >= wanted_bytes) return [];
    const handles = [...this.#held]
      .filter(([, held]) => held.spare)
      .map(([handle]) => handle);
    for (const handle of handles) this.release(handle);
    return handles;
  }

  /** A result takes no memory any more. */
  release(handle: string): void {
    const held = this.#held.get(handle);
    if (held === undefined) return;
    this.#held.delete(handle);
    this.#heldBytes -= held.bytes;
  }

  #end(bytes: number): void {
    this.#calls -= 1;
    this.#heldBytes -= bytes;
  }
}

/** How much longer than promised a call took. */
function slownessOf(
  { pieces, elapsed_ms }: EndedCall,
  { call_ms, piece_ms }: BatchLimits,
): number {
  return elapsed_ms / (call_ms + pieces * piece_ms);
}

/** Endpoints of a pool, simulated on a virtual clock. */
import {
  type PieceCallResult,
  PieceCallResultKind,
} from "../../src/batching/piece_call.ts";
import {
  PieceFault,
  type PieceRequest,
  type PieceResponse,
} from "../../src/batching/types.ts";
import type { BatchLimits, RouteEndpoint } from "../../src/routes/types.ts";

/** Time of a message between two hosts or to an endpoint. */
export const MESSAGE_MS = 2;

/** What simulated endpoints share. */
export interface SimulatedWorld {
  now: () => number;
  /** By address. */
  endpoints: Map<string, SimulatedEndpoint>;
  /** Size of the result of a piece. */
  resultBytes: (request: PieceRequest) => number;
}

/** Waits on the mocked timers. */
export function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/**
 * An endpoint that computes one call at a time. A result takes memory from the
 * start of its call until it is freed or expires.
 */
export class SimulatedEndpoint {
  #results = new Map<string, { bytes: number; expires_ms: number }>();
  #lastCall: Promise<unknown> = Promise.resolve();
  #created = 0;

  constructor(
    readonly endpoint: RouteEndpoint,
    readonly limits: BatchLimits,
    readonly world: SimulatedWorld,
  ) {}

  /** Computes the pieces of a call, after the calls before it. */
  async call(requests: PieceRequest[]): Promise<PieceCallResult> {
    const previous = this.#lastCall;
    const { promise, resolve } = Promise.withResolvers<void>();
    this.#lastCall = promise;
    await wait(MESSAGE_MS);
    await previous;
    const started = requests.map((each) => this.#start(each));
    const { call_ms, piece_ms } = this.limits;
    await wait(call_ms + requests.length * piece_ms);
    resolve();
    const responses = started.map((each) => this.#complete(each));
    await wait(MESSAGE_MS);
    return { kind: PieceCallResultKind.Answered, responses };
  }

  /** Frees results. */
  free(handles: string[]): void {
    for (const handle of handles) this.#results.delete(handle);
  }

  #holds(handle: string): boolean {
    const result = this.#results.get(handle);
    return result !== undefined && result.expires_ms > this.world.now();
  }

  #usedBytes(): number {
    let used_bytes = 0;
    for (const [handle, { bytes, expires_ms }] of this.#results) {
      if (expires_ms <= this.world.now()) this.#results.delete(handle);
      else used_bytes += bytes;
    }
    return used_bytes;
  }

  /** Returns the handle of the result, or why it can't be computed. */
  #start(request: PieceRequest): PieceFault | string {
    const { endpoints, resultBytes } = this.world;
    const hasInputs = (request.inputs ?? []).every((handle) => {
      const [address = ""] = handle.split("/");
      const holder = endpoints.get(address);
      return holder !== undefined && holder.#holds(handle);
    });
    if (!hasInputs) return PieceFault.InputsGone;
    const bytes = resultBytes(request);
    if (this.#usedBytes() + bytes > this.limits.room_bytes) {
      return PieceFault.OutOfMemory;
    }
    this.#created += 1;
    const handle = `${this.endpoint.address}/${this.#created}`;
    this.#results.set(handle, { bytes, expires_ms: Infinity });
    return handle;
  }

  #complete(started: PieceFault | string): PieceResponse {
    const result = this.#results.get(started);
    if (result === undefined) {
      return { ok: false, fault: started as PieceFault };
    }
    result.expires_ms = this.world.now() + this.limits.retention_ms;
    return { ok: true, handle: started };
  }
}

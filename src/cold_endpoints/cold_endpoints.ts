/**
 * How long endpoints stay cold, as far as this host knows. Only the time that
 * has passed since a report arrived counts, never the time of day. Does no I/O
 * and reads no clock: callers pass monotonic time in.
 */
import { incarnationOf } from "../routes/incarnation.ts";
import type { ColdLimits, RouteEndpoint } from "../routes/types.ts";
import { dropOldest } from "../utils/drop_oldest.ts";

/** From what a host learns that an endpoint is cold. The values are logged. */
export enum ColdSource {
  Entry = "entry",
  Answer = "answer",
  Peer = "peer",
  /** It has just started, and its entry doesn't say. */
  Start = "start",
}

/** Dependencies of {@linkcode ColdEndpoints}. */
export interface ColdEndpointsOptions {
  /** What the configuration says of a pool's cold endpoints. */
  limitsOf: (pool: string) => ColdLimits | undefined;
  /** Called when an endpoint with a limit turns cold. */
  onCold?: (
    endpoint: RouteEndpoint,
    told: { remaining_ms: number; source: ColdSource },
  ) => void;
  /** Called when the endpoints of a zone are presumed to be cold. */
  onPresumed?: (zone: string) => void;
}

interface KnownColdness {
  /** Until when it is cold by its last entry. */
  entry_until_ms: number;
  /** Until when it is cold by its responses. */
  answer_until_ms: number;
  /** When its last entry that names a time arrived. */
  told_ms: number;
  /** The time that its last entry named. */
  told_remaining_ms: number | undefined;
}

interface Presumption {
  since_ms: number;
  until_ms: number;
}

/** Longest time that counts; a longer one is told again before it is over. */
export const MAX_COLD_MS = 60_000;
/** Longest time for which endpoints count as cold after an evacuation. */
export const PRESUMED_MS = 3_000;
/** Incarnations that are remembered; beyond this the oldest are dropped. */
const MAX_ENDPOINTS = 4_096;

/** The endpoints that are cold. */
export class ColdEndpoints {
  #options: ColdEndpointsOptions;
  #known = new Map<string, KnownColdness>();
  #presumed = new Map<string, Presumption>();

  constructor(options: ColdEndpointsOptions) {
    this.#options = options;
  }

  /**
   * Records an entry that has arrived. The entries of an incarnation arrive in
   * their order, so the last one replaces what earlier ones said.
   */
  observeEntry(endpoint: RouteEndpoint, now_ms: number): void {
    const incarnation = incarnationOf(endpoint);
    const isNew = !this.#known.has(incarnation);
    const known = this.#knownOf(incarnation);
    const { cold_remaining_ms } = endpoint;
    if (cold_remaining_ms === undefined) {
      if (isNew) this.#recordStart(endpoint, known, now_ms);
      return;
    }
    this.#change(endpoint, ColdSource.Entry, now_ms, () => {
      known.entry_until_ms = now_ms + bounded(cold_remaining_ms);
      known.told_ms = now_ms;
      known.told_remaining_ms = cold_remaining_ms;
    });
  }

  /**
   * Records an entry of a list, which may be older than what is known: it never
   * shortens the time, and one that was recorded before says nothing.
   */
  observeListed(endpoint: RouteEndpoint, now_ms: number): void {
    const { cold_remaining_ms } = endpoint;
    const known = this.#knownOf(incarnationOf(endpoint));
    if (cold_remaining_ms === undefined) return;
    if (known.told_remaining_ms === cold_remaining_ms) return;
    this.#change(endpoint, ColdSource.Entry, now_ms, () => {
      const until_ms = now_ms + bounded(cold_remaining_ms);
      known.entry_until_ms = Math.max(known.entry_until_ms, until_ms);
      known.told_ms = now_ms;
      known.told_remaining_ms = cold_remaining_ms;
    });
  }

  /**
   * Records what a response says. Responses overtake each other, so the longest
   * time counts, also against that of the entry. Returns by how much it is longer
   * than what was known, in milliseconds.
   */
  observeAnswer(
    endpoint: RouteEndpoint,
    cold_ms: number,
    now_ms: number,
    source = ColdSource.Answer,
  ): number {
    const known = this.#knownOf(incarnationOf(endpoint));
    const until_ms = now_ms + bounded(cold_ms);
    const known_ms = Math.max(now_ms, untilOf(known));
    if (until_ms <= known_ms) return 0;
    this.#change(endpoint, source, now_ms, () => {
      known.answer_until_ms = until_ms;
    });
    return until_ms - known_ms;
  }

  /**
   * Presumes, at the end of an evacuation, that the zone's endpoints have turned
   * cold, until an entry that arrives later says more.
   */
  presume(zone: string, now_ms: number): void {
    this.#presumed.set(zone, {
      since_ms: now_ms,
      until_ms: now_ms + PRESUMED_MS,
    });
    this.#options.onPresumed?.(zone);
  }

  /** Time for which the endpoint stays cold, in milliseconds; 0 if it is warm. */
  remainingMs(endpoint: RouteEndpoint, now_ms: number): number {
    const known = this.#known.get(incarnationOf(endpoint));
    const told_ms = known === undefined ? 0 : untilOf(known) - now_ms;
    return Math.max(0, told_ms, this.#presumedMs(endpoint, known, now_ms));
  }

  /**
   * Requests per second that it tolerates from all hosts together; undefined if
   * it is warm, or its pool names no limit.
   */
  limitPerS(endpoint: RouteEndpoint, now_ms: number): number | undefined {
    const per_s = this.#limitOf(endpoint);
    return per_s > 0 && this.remainingMs(endpoint, now_ms) > 0
      ? per_s
      : undefined;
  }

  /** Whether an entry of this incarnation has arrived. */
  isKnown(endpoint: RouteEndpoint): boolean {
    return this.#known.has(incarnationOf(endpoint));
  }

  /** Whether the pool's endpoints tolerate few requests while they are cold. */
  hasLimit(endpoint: RouteEndpoint): boolean {
    return this.#limitOf(endpoint) > 0;
  }

  #limitOf({ pool }: RouteEndpoint): number {
    return this.#options.limitsOf(pool)?.per_s ?? 0;
  }

  #presumedMs(
    endpoint: RouteEndpoint,
    known: KnownColdness | undefined,
    now_ms: number,
  ): number {
    const presumed = this.#presumed.get(endpoint.availability_zone);
    if (presumed === undefined || !this.hasLimit(endpoint)) return 0;
    const isTold = known !== undefined && known.told_ms > presumed.since_ms;
    return isTold ? 0 : presumed.until_ms - now_ms;
  }

  /** Takes an incarnation that is new to this host to have just started. */
  #recordStart(
    endpoint: RouteEndpoint,
    known: KnownColdness,
    now_ms: number,
  ): void {
    const start_ms = this.#options.limitsOf(endpoint.pool)?.start_ms ?? 0;
    this.#change(endpoint, ColdSource.Start, now_ms, () => {
      known.entry_until_ms = now_ms + bounded(start_ms);
    });
  }

  #change(
    endpoint: RouteEndpoint,
    source: ColdSource,
    now_ms: number,
    change: () => void,
  ): void {
    const wasCold = this.remainingMs(endpoint, now_ms) > 0;
    change();
    const remaining_ms = this.remainingMs(endpoint, now_ms);
    if (wasCold || remaining_ms === 0 || !this.hasLimit(endpoint)) return;
    this.#options.onCold?.(endpoint, { remaining_ms, source });
  }

  #knownOf(incarnation: string): KnownColdness {
    const known = this.#known.get(incarnation) ?? {
      entry_until_ms: -Infinity,
      answer_until_ms: -Infinity,
      told_ms: -Infinity,
      told_remaining_ms: undefined,
    };
    // The incarnation that was observed last stands last in the map.
    this.#known.delete(incarnation);
    this.#known.set(incarnation, known);
    dropOldest(this.#known, MAX_ENDPOINTS);
    return known;
  }
}

function untilOf({ entry_until_ms, answer_until_ms }: KnownColdness): number {
  return Math.max(entry_until_ms, answer_until_ms);
}

function bounded(remaining_ms: number): number {
  return Math.min(MAX_COLD_MS, Math.max(0, remaining_ms));
}

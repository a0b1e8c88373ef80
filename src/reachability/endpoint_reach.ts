/**
 * Whether this host reaches one endpoint. Does no I/O and reads no clock: callers
 * pass the time in.
 */
import type { RouteEndpoint } from "../routes/types.ts";

/** How this host stands to an endpoint. */
export enum ReachState {
  /** Nothing speaks against it. */
  Reached = "reached",
  /** Exchanges failed or are silent, and it isn't known whether for all hosts. */
  Doubted = "doubted",
  /** Others reach it and this host doesn't. */
  Lost = "lost",
}

/** What came of an attempt to reach an endpoint. */
export enum ProbeOutcome {
  /** Bytes came from it. */
  Reached = "reached",
  /** A connection was refused or reset; open ones may live on. */
  Refused = "refused",
  /** No connection came about in time. */
  NoConnection = "no_connection",
  /** It was connected, but no bytes came. */
  Silent = "silent",
}

/** An attempt that did not reach the endpoint. */
export interface FailedAttempt {
  outcome: Exclude<ProbeOutcome, ProbeOutcome.Reached>;
  from_ms: number;
  until_ms: number;
}

/** A direct exchange that has not ended. */
export interface OpenExchange {
  reach: EndpointReach;
  began_ms: number;
  /** When its last bytes came; -Infinity before the first. */
  heard_ms: number;
  /** Called if the endpoint proves out of reach while it is silent. */
  onLost: () => void;
}

/** An endpoint that was tried and is sound may be silent for this long again. */
const SOUND_SILENCE_MS = 2_000;
/** An exchange without bytes counts for this long after its end. */
const UNANSWERED_LIFETIME_MS = 1_000;
/** Another host's question gives rise to a doubt once in this time. */
const HEARSAY_INTERVAL_MS = 5_000;
/** Attempts after such a question. */
const MAX_HEARSAY_ATTEMPTS = 2;
/** Pauses between attempts at an endpoint that is doubted, doubling. */
const MIN_DOUBT_PAUSE_MS = 250;
const MAX_DOUBT_PAUSE_MS = 2_000;
/** Pause between attempts at an endpoint that is lost. */
const RETURN_PAUSE_MS = 1_000;
/** Longest such pause, at an endpoint that was lost again after its return. */
const MAX_RETURN_PAUSE_MS = 8_000;
/** A loss this soon after a return doubles the pause. */
const SOON_MS = 5_000;

/** What this host knows of one endpoint. */
export class EndpointReach {
  state = ReachState.Reached;
  endpoint: RouteEndpoint;
  readonly exchanges = new Set<OpenExchange>();
  /** When bytes last came on any direct way. */
  heard_ms = -Infinity;
  /** Start of the attempt under way; undefined without one. */
  probing_since_ms: number | undefined;
  /** The last attempt without bytes; undefined if bytes have come since. */
  failed: FailedAttempt | undefined;
  /** Start of the first attempt without bytes since some came. */
  failing_since_ms = -Infinity;
  /** Start of the attempt without bytes that showed its loss. */
  lost_from_ms = -Infinity;
  /** When it was known to be lost. */
  lost_ms = -Infinity;
  /** Questions to other hosts during or after the last attempt. */
  questions = 0;
  /** When other hosts were last asked about it. */
  asked_ms = -Infinity;
  /** Whether an exchange found no host to carry it since others were asked. */
  lacksCarrier = false;
  /** When the next attempt is due. */
  next_probe_ms = -Infinity;
  /** When the first exchange began that got no bytes, unless some came since. */
  #quietSince_ms = -Infinity;
  /** When an exchange last ended without bytes. */
  #unanswered_ms = -Infinity;
  /** Whether only another host's question gave rise to the doubt. */
  #isHearsay = false;
  #hearsay_ms = -Infinity;
  #failures = 0;
  /** When an attempt last got bytes. */
  #probed_ms = -Infinity;
  #returned_ms = -Infinity;
  #returnPause_ms = RETURN_PAUSE_MS;

  constructor(endpoint: RouteEndpoint) {
    this.endpoint = endpoint;
  }

  /** Records that a direct exchange began. */
  open(exchange: OpenExchange): void {
    const { began_ms } = exchange;
    const isQuiet = this.exchanges.size > 0 || this.#isUnanswered(began_ms);
    if (!isQuiet) this.#quietSince_ms = began_ms;
    this.exchanges.add(exchange);
  }

  /** Records that a direct exchange ended. */
  close(exchange: OpenExchange, now_ms: number): void {
    if (!this.exchanges.delete(exchange)) return;
    if (this.heard_ms < exchange.began_ms) this.#unanswered_ms = now_ms;
  }

  /**
   * Time for which no bytes came although exchanges waited, also one after the
   * other; 0 if none waits and none was given up lately.
   */
  quietMs(now_ms: number): number {
    const isUsed = this.exchanges.size > 0 || this.#isUnanswered(now_ms);
    if (!isUsed) return 0;
    return now_ms - Math.max(this.heard_ms, this.#quietSince_ms);
  }

  /** Whether an exchange was given up without bytes lately. */
  #isUnanswered(now_ms: number): boolean {
    return this.#unanswered_ms > this.heard_ms &&
      now_ms - this.#unanswered_ms < UNANSWERED_LIFETIME_MS;
  }

  /** Records the start of an attempt. */
  startProbe(now_ms: number): void {
    this.probing_since_ms = now_ms;
    this.questions = 0;
  }

  /**
   * Makes an attempt due, since exchanges failed or are silent; not at once if one
   * has just got bytes.
   */
  doubt(now_ms: number): void {
    if (this.state !== ReachState.Reached) return;
    this.state = ReachState.Doubted;
    this.#isHearsay = false;
    const earliest_ms = this.#probed_ms + MIN_DOUBT_PAUSE_MS;
    this.next_probe_ms = Math.max(now_ms, earliest_ms);
  }

  /** Doubts it since another host does, and this one got no bytes either. */
  doubtByHearsay(now_ms: number): void {
    if (this.state !== ReachState.Reached) return;
    if (now_ms - this.#hearsay_ms < HEARSAY_INTERVAL_MS) return;
    this.doubt(now_ms);
    this.#isHearsay = true;
    this.#hearsay_ms = now_ms;
  }

  /** Records that an attempt got bytes; silence is no reason for one until then. */
  recordSound(now_ms: number): void {
    this.#probed_ms = now_ms;
    this.next_probe_ms = now_ms + SOUND_SILENCE_MS;
  }

  /** Records bytes; returns whether the endpoint was lost and is reached again. */
  recordReached(now_ms: number): boolean {
    const wasLost = this.state === ReachState.Lost;
    this.heard_ms = now_ms;
    this.state = ReachState.Reached;
    this.failed = undefined;
    this.#failures = 0;
    if (wasLost) this.#returned_ms = now_ms;
    return wasLost;
  }

  /** Records an attempt that did not reach the endpoint. */
  recordFailed(failed: FailedAttempt): void {
    if (this.failed === undefined) this.failing_since_ms = failed.from_ms;
    this.failed = failed;
    if (this.state === ReachState.Lost) {
      this.next_probe_ms = failed.until_ms + this.#returnPause_ms;
      return;
    }
    this.state = ReachState.Doubted;
    const pause_ms = Math.min(
      MAX_DOUBT_PAUSE_MS,
      MIN_DOUBT_PAUSE_MS * 2 ** this.#failures,
    );
    this.#failures += 1;
    this.next_probe_ms = failed.until_ms + pause_ms;
  }

  /** Records that others reach the endpoint and this host doesn't. */
  recordLost(now_ms: number): void {
    this.state = ReachState.Lost;
    this.lost_ms = now_ms;
    this.lost_from_ms = this.failed?.from_ms ?? now_ms;
    this.#returnPause_ms = now_ms - this.#returned_ms < SOON_MS
      ? Math.min(MAX_RETURN_PAUSE_MS, 2 * this.#returnPause_ms)
      : RETURN_PAUSE_MS;
    this.next_probe_ms = now_ms + this.#returnPause_ms;
  }

  /** Makes the next attempt due, unless its return has just failed. */
  hastenReturn(now_ms: number): void {
    if (this.#returnPause_ms === RETURN_PAUSE_MS) this.next_probe_ms = now_ms;
  }

  /** Leaves it to exchanges to show whether it answers, after hearsay. */
  settleHearsay(): void {
    const isSettled = this.state === ReachState.Doubted && this.#isHearsay &&
      this.exchanges.size === 0 && this.#failures >= MAX_HEARSAY_ATTEMPTS;
    if (!isSettled) return;
    this.state = ReachState.Reached;
    this.failed = undefined;
    this.#failures = 0;
  }
}

/**
 * Finds out which endpoints this host reaches and through which hosts exchanges
 * with the others go. It asks other hosts only while own exchanges fail or are
 * silent, and answers them from what it has seen, or from one attempt of its own.
 */
import type { Logger } from "../logging/logger.ts";
import { addressOfIncarnation, incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import { abortableDelay } from "../utils/delay.ts";
import { type OpenExchange, ProbeOutcome } from "./endpoint_reach.ts";
import type { ProbeReach } from "./probe_reach.ts";
import {
  type AskedEndpoint,
  ReachableEndpoints,
  type ReachableEndpointsOptions,
  type ReachedQuestion,
} from "./reachable_endpoints.ts";
import { reachedAnswerSchema } from "./reached_question.ts";
import type { DirectExchange, EndpointRoutes, ReachedAge } from "./types.ts";

/** Calls to other hosts; they reject if the host does not respond. */
export interface ReachabilityPeers {
  /** Asks how long ago bytes came from endpoints. */
  askReached(
    address: string,
    endpoints: AskedEndpoint[],
  ): Promise<unknown>;
}

/** Dependencies of a {@linkcode ReachabilityService}. */
export interface ReachabilityServiceOptions
  extends Omit<ReachableEndpointsOptions, "isInService" | "onReturn"> {
  /** The ready endpoints of a pool. */
  readyIn: (pool: string) => readonly RouteEndpoint[];
  /** Addresses of the other hosts. */
  otherHosts: () => readonly string[];
  /** The endpoint at an address; undefined if it is unknown. */
  endpointAt: (address: string) => RouteEndpoint | undefined;
  peers: ReachabilityPeers;
  probe: ProbeReach;
  /**
   * Resolves to undefined if an endpoint may not be tried now, else to what is
   * asked again once the attempt has its connection. If absent, it may always.
   */
  permitProbe?: (
    endpoint: RouteEndpoint,
  ) => Promise<(() => boolean) | undefined>;
  /** Called with what came of each attempt. */
  onProbe: (outcome: ProbeOutcome) => void;
  log: Logger;
  /** Monotonic time in milliseconds. */
  now: () => number;
  /** Aborts when this host stops. */
  signal: AbortSignal;
}

const STEP_INTERVAL_MS = 100;
/** A step that is this late shows that this host stood still. */
const MAX_STEP_DELAY_MS = 200;
/** Reason of a failure that may be this host's own. */
const STOOD_STILL = "stood_still";
/** Attempts for other hosts at a time. */
const MAX_PROBES_FOR_OTHERS = 8;
/** An attempt for others that failed holds for this long. */
const FAILED_PROBE_LIFETIME_MS = 500;
/** Time in which an answer is of use to the host that asks. */
const ANSWER_WITHIN_MS = 300;
/** Reason of an abort; a string, as creating an error captures a stack trace. */
const OUT_OF_REACH = "out_of_reach";

/** Knows how exchanges with endpoints go from this host. */
export class ReachabilityService implements EndpointRoutes {
  #options: ReachabilityServiceOptions;
  #endpoints: ReachableEndpoints;
  #stepIsDue = false;
  #stepped_ms = Infinity;
  /** When this host last went on after a stand-still. */
  #stoodStill_ms = -Infinity;
  /** Attempts for others under way or failed lately, by incarnation. */
  #probesForOthers = new Map<string, Promise<ProbeOutcome>>();

  constructor(options: ReachabilityServiceOptions) {
    this.#options = options;
    this.#endpoints = new ReachableEndpoints({
      ...options,
      isInService: (endpoint) => this.#isInService(endpoint),
      onLost: (endpoint, outcome) => this.#recordLost(endpoint, outcome),
      onReturn: (endpoint, lost_ms) => this.#recordReturn(endpoint, lost_ms),
    });
  }

  /** Watches exchanges until this host stops. */
  async run(): Promise<void> {
    const { signal, now } = this.#options;
    this.#stepped_ms = now();
    while (!signal.aborted) {
      await abortableDelay(STEP_INTERVAL_MS, signal);
      if (this.#stoodStillSince(now())) this.#stoodStill_ms = now();
      this.#stepped_ms = now();
      this.#step();
    }
  }

  /** Whether this host stood still at a time or since. */
  #stoodStillSince(since_ms: number): boolean {
    const late_ms = this.#options.now() - this.#stepped_ms - STEP_INTERVAL_MS;
    return late_ms > MAX_STEP_DELAY_MS || this.#stoodStill_ms >= since_ms;
  }

  #hasJustStoodStill(): boolean {
    return this.#stoodStillSince(this.#options.now() - STEP_INTERVAL_MS);
  }

  /** The host through which an exchange goes; undefined if it goes directly. */
  carrierFor(
    endpoint: RouteEndpoint,
    { avoid }: { avoid: ReadonlySet<string> },
  ): string | undefined {
    const now_ms = this.#options.now();
    return this.#endpoints.carrierFor(endpoint, { avoid, now_ms });
  }

  /** Records that a direct exchange began. */
  begin(endpoint: RouteEndpoint): DirectExchange {
    const { now } = this.#options;
    const lost = new AbortController();
    const exchange: OpenExchange = this.#endpoints.begin(endpoint, {
      now_ms: now(),
      onLost: () => lost.abort(OUT_OF_REACH),
    });
    return {
      lost: lost.signal,
      recordBytes: () => this.#endpoints.recordBytes(exchange, now()),
      recordFailure: (reason) => {
        // After a stand-still, connections time out that were made meanwhile.
        const known = this.#hasJustStoodStill() ? STOOD_STILL : reason;
        this.#endpoints.recordFailure(exchange, known, now());
        this.#stepSoon();
      },
      end: () => this.#endpoints.end(exchange, now()),
    };
  }

  /** Records that a carrier did not respond, or refused. */
  recordCarrierFailure(address: string): void {
    // After a stand-still, what carriers wrote meanwhile is not read yet.
    if (this.#hasJustStoodStill()) return;
    this.#endpoints.carriers.recordFailure(address, this.#options.now());
  }

  /** Records that a carrier doesn't reach an endpoint. */
  recordCarrierUnreached(address: string, endpoint: RouteEndpoint): void {
    const incarnation = incarnationOf(endpoint);
    this.#endpoints.carriers.recordUnreached(address, incarnation);
  }

  /** Whether this host has lost nearly all endpoints of a pool. */
  isCutOff(pool: string): boolean {
    return this.isCutOffFrom(this.#options.readyIn(pool));
  }

  /** Whether this host has lost nearly all of these endpoints. */
  isCutOffFrom(endpoints: readonly RouteEndpoint[]): boolean {
    return this.#endpoints.isCutOffFrom(endpoints, this.#options.now());
  }

  /** Whether others reach an endpoint and this host doesn't. */
  isOutOfReach(endpoint: RouteEndpoint): boolean {
    return this.#endpoints.isOutOfReach(endpoint, this.#options.now());
  }

  /** Number of endpoints that others reach and this host doesn't. */
  get lostCount(): number {
    return this.#endpoints.lostCount;
  }

  /** Answers how long ago bytes came from endpoints, for another host. */
  answer(endpoints: readonly AskedEndpoint[]): Promise<ReachedAge[]> {
    return Promise.all(endpoints.map((asked) => this.#ageOf(asked)));
  }

  async #ageOf(
    { endpoint: incarnation, since_ago_ms }: AskedEndpoint,
  ): Promise<ReachedAge> {
    const { endpointAt, now, signal } = this.#options;
    const since_ms = now() - since_ago_ms;
    const endpoint = endpointAt(addressOfIncarnation(incarnation));
    if (endpoint === undefined || incarnationOf(endpoint) !== incarnation) {
      return null;
    }
    const reached_ms = this.#endpoints.reachedMs(endpoint) ?? -Infinity;
    if (reached_ms >= since_ms) return Math.round(now() - reached_ms);
    if (this.#endpoints.isOutOfReach(endpoint, now())) return null;
    const outcome = await Promise.race([
      this.#probeForOthers(endpoint),
      abortableDelay(ANSWER_WITHIN_MS, signal),
    ]);
    return outcome === ProbeOutcome.Reached
      ? Math.round(now() - (this.#endpoints.reachedMs(endpoint) ?? now()))
      : null;
  }

  #probeForOthers(endpoint: RouteEndpoint): Promise<ProbeOutcome> {
    const { now, signal } = this.#options;
    const incarnation = incarnationOf(endpoint);
    const known = this.#probesForOthers.get(incarnation);
    if (known !== undefined) return known;
    if (this.#probesForOthers.size >= MAX_PROBES_FOR_OTHERS) {
      return Promise.resolve(ProbeOutcome.Silent);
    }
    const started = this.#attempt(endpoint).then((outcome) => {
      // An endpoint that may not be tried has told nothing.
      if (outcome === undefined) return ProbeOutcome.Silent;
      this.#endpoints.recordAttempt(endpoint, outcome, now());
      this.#stepSoon();
      return outcome;
    }).then((outcome) => {
      const lifetime_ms = outcome === ProbeOutcome.Reached
        ? 0
        : FAILED_PROBE_LIFETIME_MS;
      void abortableDelay(lifetime_ms, signal).then(() =>
        this.#probesForOthers.delete(incarnation)
      );
      return outcome;
    });
    this.#probesForOthers.set(incarnation, started);
    return started;
  }

  #isInService(endpoint: RouteEndpoint): boolean {
    const known = this.#options.endpointAt(endpoint.address);
    return known !== undefined &&
      incarnationOf(known) === incarnationOf(endpoint);
  }

  /** Steps once for all that failed at the same time. */
  #stepSoon(): void {
    if (this.#stepIsDue) return;
    this.#stepIsDue = true;
    setImmediate(() => {
      this.#stepIsDue = false;
      this.#step();
    });
  }

  #step(): void {
    const { now, otherHosts, signal } = this.#options;
    if (signal.aborted) return;
    for (const endpoint of this.#endpoints.takeProbes(now())) {
      void this.#probe(endpoint);
    }
    const question = this.#endpoints.takeQuestion(otherHosts, now());
    if (question === undefined) return;
    for (const address of question.addresses) {
      void this.#ask(address, question);
    }
  }

  /** Tries an endpoint; resolves to undefined if it may not be tried now. */
  async #attempt(endpoint: RouteEndpoint): Promise<ProbeOutcome | undefined> {
    const { probe, permitProbe = permitAlways, onProbe } = this.#options;
    const mayBegin = await permitProbe(endpoint);
    if (mayBegin === undefined) return undefined;
    const outcome = await probe(endpoint.address, mayBegin);
    if (outcome !== undefined) onProbe(outcome);
    return outcome;
  }

  async #probe(endpoint: RouteEndpoint): Promise<void> {
    const { now } = this.#options;
    const started_ms = now();
    const outcome = await this.#attempt(endpoint);
    if (outcome === undefined) {
      return this.#endpoints.recordInterrupted(endpoint, now());
    }
    const tellsNothing = outcome !== ProbeOutcome.Reached &&
      this.#stoodStillSince(started_ms);
    if (tellsNothing) this.#endpoints.recordInterrupted(endpoint, now());
    else this.#endpoints.recordProbe(endpoint, outcome, now());
    this.#step();
  }

  async #ask(address: string, { endpoints }: ReachedQuestion): Promise<void> {
    const { peers, log, now } = this.#options;
    try {
      const ages = reachedAnswerSchema.parse(
        await peers.askReached(address, endpoints),
      );
      this.#endpoints.recordAnswer(address, { endpoints, ages, now_ms: now() });
      this.#stepSoon();
    } catch (error) {
      this.recordCarrierFailure(address);
      log.warn({
        event: "reach_unanswered",
        peer: address,
        error: (error as Error).message,
      });
    }
  }

  #recordLost(endpoint: RouteEndpoint, outcome: ProbeOutcome): void {
    const { log, onLost } = this.#options;
    log.warn({
      event: "endpoint_out_of_reach",
      endpoint: endpoint.id,
      pool: endpoint.pool,
      zone: endpoint.availability_zone,
      reason: outcome,
    });
    onLost(endpoint, outcome);
  }

  #recordReturn(endpoint: RouteEndpoint, lost_ms: number): void {
    const { log, now } = this.#options;
    log.info({
      event: "endpoint_reached_again",
      endpoint: endpoint.id,
      pool: endpoint.pool,
      elapsed_ms: Math.round(now() - lost_ms),
    });
  }
}

function permitAlways(): Promise<() => boolean> {
  return Promise.resolve(() => true);
}

/**
 * The ramp-ups of endpoints, as one host sees them: it detects starts in the
 * endpoint feed, learns of recoveries from other hosts, and as an issuer detects
 * them from the troubles that hosts report.
 */
import type { Logger } from "../logging/logger.ts";
import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import { EndpointStarts } from "./endpoint_starts.ts";
import { type KnownRamp, KnownRamps } from "./known_ramps.ts";
import type { RampChange } from "./place_ledger.ts";
import { PoolTraffic } from "./pool_traffic.ts";
import { RampReason } from "./ramp_reason.ts";
import { RecoveryWatch } from "./recovery_watch.ts";
import { PlaceOutcome, type PlaceReport, type RampNews } from "./types.ts";

/** What the ramp-ups of endpoints need of the host. */
export interface RampOptions {
  /** Whether endpoints of a pool are ramped up. */
  isOn: (pool: string) => boolean;
  /** Whether any pool is on. */
  isAnyOn: () => boolean;
  allEndpoints: () => RouteEndpoint[];
  /** Tells all hosts, this one included, that an endpoint is in ramp-up. */
  tellHosts: (endpoint: RouteEndpoint, reason: RampReason) => void;
  /** Asks another host for the ramp-ups; rejects if it does not know them. */
  askRamps: (address: string) => Promise<RampNews[]>;
  /** Called when a ramp-up begins or ends that this host looks after. */
  onChange: (change: RampChange) => void;
  /** Called when this host learns that an endpoint's ramp-up is over. */
  onRecovered: (endpoint: RouteEndpoint) => void;
  /** Resolves early when the signal aborts. */
  delay: (delay_ms: number, signal: AbortSignal) => Promise<void>;
  random: () => number;
}

/** Dependencies of an {@linkcode EndpointRamps}. */
export interface EndpointRampsOptions {
  /** Undefined if no endpoint is ramped up. */
  ramps: RampOptions | undefined;
  self: string;
  hosts: () => string[];
  log: Logger;
  now: () => number;
  signal: AbortSignal;
}

/** Outcomes that may mean that an endpoint has begun to fail. */
const TROUBLES: ReadonlySet<PlaceOutcome | undefined> = new Set([
  PlaceOutcome.Late,
  PlaceOutcome.Failed,
]);
/**
 * Times after its first endpoints at which a host that has just started asks
 * another one for the ramp-ups, which may have begun before.
 */
const ASK_AFTER_MS = [500, 3_000];
/**
 * Share of a pool's endpoints that may recover at a time. If more are in trouble,
 * it is the pool that has too much to do, and to take endpoints from it would
 * refuse requests.
 */
const MAX_RECOVERING_SHARE = 1 / 3;

/** The ramp-ups that a host knows of. */
export class EndpointRamps {
  #options: EndpointRampsOptions;
  #known = new KnownRamps();
  #starts = new EndpointStarts();
  #watch = new RecoveryWatch();
  #traffic = new PoolTraffic();

  constructor(options: EndpointRampsOptions) {
    this.#options = options;
  }

  /** Whether no ramp-up is known. */
  get isEmpty(): boolean {
    return this.#known.size === 0;
  }

  /** Whether endpoints of a pool are ramped up. */
  isOn(pool: string): boolean {
    return this.#options.ramps?.isOn(pool) === true;
  }

  /** Whether the issuer of an endpoint is to be told how a request ended. */
  isTrouble(pool: string, outcome: PlaceOutcome | undefined): boolean {
    return TROUBLES.has(outcome) && this.isOn(pool);
  }

  /**
   * Takes in endpoints, all of them without an argument; those of a new
   * incarnation are in ramp-up.
   */
  observeEndpoints(changed?: readonly RouteEndpoint[]): void {
    const { ramps } = this.#options;
    if (ramps === undefined) return;
    const isFirst = !this.#starts.hasFirst;
    const endpoints = changed ?? ramps.allEndpoints();
    for (const endpoint of this.#starts.observe(endpoints)) {
      if (!ramps.isOn(endpoint.pool)) continue;
      this.learn(incarnationOf(endpoint), RampReason.Start);
    }
    if (isFirst && this.#starts.hasFirst) void this.#askOthers(ramps);
  }

  /** Records that an endpoint is in ramp-up; false if that was known. */
  learn(incarnation: string, reason: RampReason): boolean {
    const { ramps, log, now } = this.#options;
    if (ramps === undefined) return false;
    const isNew = this.#known.learn(incarnation, reason, now());
    if (isNew) log.info({ event: "ramp_known", endpoint: incarnation, reason });
    return isNew;
  }

  /** The ramp-up of an endpoint; undefined if it is in none. */
  find(endpoint: RouteEndpoint): KnownRamp | undefined {
    if (this.isEmpty) return undefined;
    return this.#known.find(incarnationOf(endpoint), this.#options.now());
  }

  /** Whether an incarnation is in ramp-up. */
  has(incarnation: string): boolean {
    return this.#known.find(incarnation, this.#options.now()) !== undefined;
  }

  /** Whether no issuer replies, so that this host bounds its requests itself. */
  isAlone(endpoint: RouteEndpoint): boolean {
    return this.#known.isAlone(incarnationOf(endpoint), this.#options.now());
  }

  /**
   * Records that an issuer has not replied, or does not know ramp-ups. Returns
   * whether this host now bounds its requests there itself; at once if `isUrgent`.
   */
  recordUnanswered(endpoint: RouteEndpoint, isUrgent: boolean): boolean {
    const options = { now_ms: this.#options.now(), isUrgent };
    return this.#known.recordUnanswered(incarnationOf(endpoint), options);
  }

  /** Takes in whether the issuer says that a ramp-up goes on. */
  confirm(endpoint: RouteEndpoint, goesOn: boolean): void {
    const incarnation = incarnationOf(endpoint);
    if (goesOn) {
      this.learn(incarnation, RampReason.Recovery);
      this.#known.confirm(incarnation, this.#options.now());
    } else if (this.#known.end(incarnation)) {
      this.#options.ramps?.onRecovered(endpoint);
    }
  }

  /** Takes in that a ramp-up has begun or ended that this host looks after. */
  recordChange(incarnation: string, change: RampChange): void {
    const { ramps } = this.#options;
    ramps?.onChange(change);
    this.#logChange(incarnation, change);
    if (change.end === undefined) this.learn(incarnation, change.reason);
    else {
      const endpoint = this.#endpointOf(incarnation);
      if (endpoint !== undefined) this.confirm(endpoint, false);
    }
  }

  /** Records that a request is sent to a pool. */
  recordSend(pool: string): void {
    if (this.isOn(pool)) this.#traffic.record(pool, this.#options.now());
  }

  /**
   * As the issuer, takes in the troubles that a host reports; tells all hosts that
   * the endpoint is in ramp-up if it has begun to fail.
   */
  recordTroubles({ endpoint: incarnation, released }: PlaceReport): void {
    const { ramps, log, now } = this.#options;
    const count = released.filter((each) => TROUBLES.has(each.outcome)).length;
    if (ramps === undefined || count === 0) return;
    const endpoint = this.#endpointOf(incarnation);
    if (endpoint === undefined || !ramps.isOn(endpoint.pool)) return;
    const expected_per_s = this.#expectedPerS(endpoint.pool);
    const troubles = { count, expected_per_s };
    if (!this.#watch.record(incarnation, troubles, now())) return;
    if (this.#isPoolInTrouble(endpoint.pool)) {
      log.info({ event: "ramp_withheld", endpoint: incarnation });
    } else ramps.tellHosts(endpoint, RampReason.Recovery);
  }

  /** The ramp-ups, for a host that has just started. */
  news(): RampNews[] {
    const now_ms = this.#options.now();
    return this.#known.incarnations().flatMap((endpoint) => {
      const ramp = this.#known.find(endpoint, now_ms);
      return ramp === undefined ? [] : [{ endpoint, reason: ramp.reason }];
    });
  }

  /** Forgets ramp-ups that no issuer has confirmed for long. */
  forgetOld(): void {
    this.#known.forgetOld(this.#options.now());
  }

  /** Whether as many endpoints of a pool recover as may at a time. */
  #isPoolInTrouble(pool: string): boolean {
    const { ramps, now } = this.#options;
    const endpoints = ramps?.allEndpoints()
      .filter((each) => each.pool === pool) ?? [];
    const recovering = endpoints.filter((each) =>
      this.#known.find(incarnationOf(each), now())?.reason ===
        RampReason.Recovery
    );
    const max = Math.max(1, MAX_RECOVERING_SHARE * endpoints.length);
    return recovering.length + 1 > max;
  }

  /** Requests a second that an endpoint is expected to get from all hosts. */
  #expectedPerS(pool: string): number {
    const { ramps, hosts, now } = this.#options;
    const endpoints = ramps?.allEndpoints()
      .filter((each) => each.pool === pool).length ?? 0;
    const per_s = this.#traffic.perS(pool, now()) * hosts().length;
    return per_s / Math.max(1, endpoints);
  }

  #endpointOf(incarnation: string): RouteEndpoint | undefined {
    return this.#options.ramps?.allEndpoints()
      .find((each) => incarnationOf(each) === incarnation);
  }

  async #askOthers(ramps: RampOptions): Promise<void> {
    const { self, hosts, log, signal } = this.#options;
    let waited_ms = 0;
    for (const at_ms of ASK_AFTER_MS) {
      await ramps.delay(at_ms - waited_ms, signal);
      waited_ms = at_ms;
      const others = hosts().filter((host) => host !== self);
      const peer = others[Math.floor(ramps.random() * others.length)];
      if (signal.aborted || peer === undefined || !ramps.isAnyOn()) continue;
      try {
        for (const { endpoint, reason } of await ramps.askRamps(peer)) {
          this.learn(endpoint, reason);
        }
      } catch (error) {
        const { message } = error as Error;
        log.info({ event: "ramps_unknown", peer, error: message });
      }
    }
  }

  #logChange(incarnation: string, { reason, bound, end }: RampChange): void {
    const { log, now } = this.#options;
    if (end === undefined) {
      log.info({
        event: "ramp_started",
        endpoint: incarnation,
        reason,
        takeover: bound.isTakeover,
      });
      return;
    }
    log.info({
      event: "ramp_ended",
      endpoint: incarnation,
      reason,
      end,
      limit: bound.limit,
      elapsed_ms: Math.round(now() - bound.started_ms),
      ...bound.counts,
    });
  }
}

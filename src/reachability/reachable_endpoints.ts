/**
 * Decides which endpoints this host reaches. One that fails or is silent is
 * doubted and tried apart; it counts as lost once other hosts got bytes from it
 * while this one's attempt got none. Exchanges with lost ones go through those
 * hosts, until an attempt gets bytes. Does no I/O and reads no clock: callers pass
 * the time in.
 */
import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import {
  EndpointReach,
  type FailedAttempt,
  type OpenExchange,
  ProbeOutcome,
  ReachState,
} from "./endpoint_reach.ts";
import { KnownCarriers, type KnownCarriersOptions } from "./known_carriers.ts";
import type { ReachedAge } from "./types.ts";

/** Dependencies of {@linkcode ReachableEndpoints}. */
export interface ReachableEndpointsOptions extends KnownCarriersOptions {
  /** Whether an incarnation is still in service. */
  isInService: (endpoint: RouteEndpoint) => boolean;
  /** Called when this host has lost an endpoint that others reach. */
  onLost: (endpoint: RouteEndpoint, outcome: ProbeOutcome) => void;
  /** Called when this host reaches it again, with the time of the loss. */
  onReturn: (endpoint: RouteEndpoint, lost_ms: number) => void;
}

/** A question to other hosts. */
export interface ReachedQuestion {
  /** Addresses of the hosts that are asked. */
  addresses: string[];
  endpoints: AskedEndpoint[];
}

/** An endpoint that other hosts are asked about. */
export interface AskedEndpoint {
  /** Its incarnation. */
  endpoint: string;
  /** Bytes from it count if they came within this time. */
  since_ago_ms: number;
}

/** No bytes from any endpoint for this long, with two or more in use. */
const HOST_SILENCE_MS = 300;
/** Upper bound when such silences have proved sound. */
const MAX_HOST_SILENCE_MS = 1_000;
/** A silence that proved sound raises the bound for this long. */
const SOUND_SILENCE_LIFETIME_MS = 10_000;
/** No bytes from one endpoint in use for this long. */
const ENDPOINT_SILENCE_MS = 1_000;
/** Attempts at doubted endpoints at a time. */
const MAX_PROBES = 4;
/** Attempts after silence, while none is open for long. */
const MAX_SILENCE_PROBES = 2;
/** Pause between two attempts at lost endpoints. */
const RETURN_SPACING_MS = 250;
/** Time after a return in which the other lost endpoints are tried at once. */
const RETURN_BURST_MS = 1_000;
/** Other hosts are asked once an attempt is open for this long. */
const ASK_AFTER_MS = 100;
/** Bytes that came to others this long before an attempt ended count. */
const SILENT_MARGIN_MS = 300;
/** The same if the attempt got no connection. */
const NO_CONNECTION_MARGIN_MS = 200;
/** Least time between questions, with doubted endpoints and without. */
const QUESTION_INTERVAL_MS = 100;
const REFRESH_INTERVAL_MS = 1_000;
/** Hosts that are asked at a time, first and again. */
const ASKED_HOSTS = 3;
const REFRESH_HOSTS = 2;
const MAX_ASKED_ENDPOINTS = 12;
const MAX_QUESTIONS_PER_ATTEMPT = 2;
/** Least time between two questions about one endpoint. */
const ASK_AGAIN_AFTER_MS = 250;
/** More carriers than this are not looked for. */
const ENOUGH_CARRIERS = 3;
/** A host is cut off from a pool if it has lost this share of its endpoints. */
const CUT_OFF_SHARE = 0.8;
/** Endpoints lost in one silence from which the others count as lost too. */
const MIN_LOST_OF_ALL = 2;
/** Reached endpoints that were not used for this long are forgotten. */
const FORGET_AFTER_MS = 60_000;
/** A connection was not made in time; other reasons may be the endpoint's. */
const NO_CONNECTION_REASONS: ReadonlySet<string> = new Set([
  "connect_timeout",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ETIMEDOUT",
]);
const REFUSED_REASON = "ECONNREFUSED";

/** Which endpoints this host reaches, and who reaches the others. */
export class ReachableEndpoints {
  readonly carriers: KnownCarriers;
  #reaches = new Map<string, EndpointReach>();
  #lost = new Set<EndpointReach>();
  #options: ReachableEndpointsOptions;
  /** When bytes last came directly from any endpoint. */
  #heard_ms = -Infinity;
  /** The same, by pool. */
  #poolHeard_ms = new Map<string, number>();
  #hostSilence_ms = HOST_SILENCE_MS;
  /** When a silence last proved sound. */
  #soundSilence_ms = -Infinity;
  #asked_ms = -Infinity;
  #returnProbe_ms = -Infinity;
  #returned_ms = -Infinity;

  constructor(options: ReachableEndpointsOptions) {
    this.#options = options;
    this.carriers = new KnownCarriers(options);
  }

  /** Records that a direct exchange began. */
  begin(
    endpoint: RouteEndpoint,
    { now_ms, onLost }: { now_ms: number; onLost: () => void },
  ): OpenExchange {
    const reach = this.#reachOf(endpoint);
    const exchange = { reach, began_ms: now_ms, heard_ms: -Infinity, onLost };
    reach.open(exchange);
    return exchange;
  }

  /** Records bytes of a direct exchange. */
  recordBytes(exchange: OpenExchange, now_ms: number): void {
    const { reach, began_ms } = exchange;
    exchange.heard_ms = now_ms;
    // A connection from before the loss may live on while new ones are refused.
    const isOld = began_ms <= reach.lost_from_ms;
    if (reach.state === ReachState.Lost && isOld) return;
    this.#recordReached(reach, now_ms);
  }

  /** Records that a direct exchange failed. */
  recordFailure(
    { reach }: OpenExchange,
    reason: string,
    now_ms: number,
  ): void {
    if (reason !== REFUSED_REASON && !NO_CONNECTION_REASONS.has(reason)) {
      return reach.doubt(now_ms);
    }
    if (reach.state === ReachState.Lost || reach.failed !== undefined) return;
    const outcome = reason === REFUSED_REASON
      ? ProbeOutcome.Refused
      : ProbeOutcome.NoConnection;
    reach.questions = 0;
    reach.recordFailed({ outcome, from_ms: now_ms, until_ms: now_ms });
    if (outcome === ProbeOutcome.NoConnection) reach.next_probe_ms = now_ms;
  }

  /** Records that a direct exchange has ended. */
  end(exchange: OpenExchange, now_ms: number): void {
    exchange.reach.close(exchange, now_ms);
  }

  /** Takes the endpoints that are to be tried now. */
  takeProbes(now_ms: number): RouteEndpoint[] {
    if (this.#reaches.size === 0) return [];
    this.#forget(now_ms);
    this.#doubtSilent(now_ms);
    const probing = this.#probing();
    const due = [...this.#reaches.values()].filter((reach) =>
      reach.probing_since_ms === undefined && reach.next_probe_ms <= now_ms
    ).sort((a, b) => a.next_probe_ms - b.next_probe_ms);
    const doubted = due.filter(({ state }) => state === ReachState.Doubted)
      .slice(0, Math.max(0, MAX_PROBES - probing.length));
    const taken = [...doubted, ...this.#dueReturns(due, probing, now_ms)];
    for (const reach of taken) reach.startProbe(now_ms);
    return taken.map(({ endpoint }) => endpoint);
  }

  /** Records what came of an attempt. */
  recordProbe(
    endpoint: RouteEndpoint,
    outcome: ProbeOutcome,
    now_ms: number,
  ): void {
    const reach = this.#reachOf(endpoint);
    const from_ms = reach.probing_since_ms ?? now_ms;
    reach.probing_since_ms = undefined;
    if (outcome === ProbeOutcome.Reached) {
      this.#recordSoundSilence(reach, now_ms);
      this.#recordReached(reach, now_ms);
      reach.recordSound(now_ms);
      return;
    }
    // Bytes came on another way meanwhile.
    if (reach.state === ReachState.Reached && reach.heard_ms >= from_ms) return;
    reach.recordFailed({ outcome, from_ms, until_ms: now_ms });
    this.#decide(reach, now_ms);
    reach.settleHearsay();
  }

  /** Records an attempt that tells nothing, as this host stood still. */
  recordInterrupted(endpoint: RouteEndpoint, now_ms: number): void {
    const reach = this.#reachOf(endpoint);
    reach.probing_since_ms = undefined;
    reach.next_probe_ms = now_ms;
  }

  /** Takes the question that is to be asked now; undefined if none is. */
  takeQuestion(
    hosts: () => readonly string[],
    now_ms: number,
  ): ReachedQuestion | undefined {
    const elapsed_ms = now_ms - this.#asked_ms;
    if (elapsed_ms < QUESTION_INTERVAL_MS) return undefined;
    const doubted = [...this.#reaches.values()].filter((reach) =>
      isQuestionDue(reach, now_ms)
    ).slice(0, MAX_ASKED_ENDPOINTS);
    const asked = doubted.length > 0
      ? doubted
      : this.#withFewCarriers(now_ms, elapsed_ms >= REFRESH_INTERVAL_MS);
    if (asked.length === 0) return undefined;
    const addresses = this.#hostsToAsk(hosts(), {
      count: doubted.some(({ questions }) => questions === 0)
        ? ASKED_HOSTS
        : REFRESH_HOSTS,
      now_ms,
    });
    if (addresses.length === 0) return undefined;
    this.#asked_ms = now_ms;
    const endpoints = asked.map((reach) => {
      reach.questions += 1;
      reach.asked_ms = now_ms;
      reach.lacksCarrier = false;
      return {
        endpoint: incarnationOf(reach.endpoint),
        since_ago_ms: Math.round(
          reach.state === ReachState.Lost
            ? REFRESH_INTERVAL_MS
            : now_ms - attemptStart(reach, now_ms),
        ),
      };
    });
    return { addresses, endpoints };
  }

  /** Records a host's answer to a question. */
  recordAnswer(
    address: string,
    { endpoints, ages, now_ms }: {
      endpoints: readonly AskedEndpoint[];
      ages: readonly ReachedAge[];
      now_ms: number;
    },
  ): void {
    endpoints.forEach(({ endpoint }, index) => {
      const age_ms = ages[index] ?? null;
      this.carriers.recordAnswer(address, endpoint, {
        reached_ms: age_ms === null ? undefined : now_ms - age_ms,
        now_ms,
      });
    });
    for (const { endpoint } of endpoints) {
      const reach = this.#reaches.get(endpoint);
      if (reach !== undefined) this.#decide(reach, now_ms);
    }
  }

  /** The host through which an exchange goes; undefined if it goes directly. */
  carrierFor(
    endpoint: RouteEndpoint,
    { avoid, now_ms }: { avoid: ReadonlySet<string>; now_ms: number },
  ): string | undefined {
    if (!this.#isLost(endpoint)) return undefined;
    const incarnation = incarnationOf(endpoint);
    const carrier = this.carriers.choose(incarnation, { avoid, now_ms });
    if (carrier === undefined) this.#reachOf(endpoint).lacksCarrier = true;
    return carrier;
  }

  /** Whether others reach an endpoint and this host doesn't. */
  isOutOfReach(endpoint: RouteEndpoint, now_ms: number): boolean {
    return this.#isLost(endpoint) &&
      this.carriers.carriersOf(incarnationOf(endpoint), now_ms).length > 0;
  }

  /** Whether this host has lost nearly all of these endpoints. */
  isCutOffFrom(ready: readonly RouteEndpoint[], now_ms: number): boolean {
    if (this.#lost.size === 0) return false;
    const lost = ready.filter((endpoint) =>
      this.isOutOfReach(endpoint, now_ms)
    );
    const down = ready.filter((endpoint) =>
      !lost.includes(endpoint) &&
      this.#reaches.get(incarnationOf(endpoint))?.failed !== undefined
    );
    return lost.length > 0 &&
      lost.length >= CUT_OFF_SHARE * (ready.length - down.length);
  }

  /** When bytes last came directly from an endpoint; undefined if it is lost. */
  reachedMs(endpoint: RouteEndpoint): number | undefined {
    const reach = this.#reaches.get(incarnationOf(endpoint));
    return reach === undefined || reach.state === ReachState.Lost
      ? undefined
      : reach.heard_ms;
  }

  /** Records an attempt that was made for another host. */
  recordAttempt(
    endpoint: RouteEndpoint,
    outcome: ProbeOutcome,
    now_ms: number,
  ): void {
    const reach = this.#reachOf(endpoint);
    if (outcome === ProbeOutcome.Reached) this.#recordReached(reach, now_ms);
    else reach.doubtByHearsay(now_ms);
  }

  /** Number of endpoints that are lost. */
  get lostCount(): number {
    return this.#lost.size;
  }

  #reachOf(endpoint: RouteEndpoint): EndpointReach {
    const key = incarnationOf(endpoint);
    const known = this.#reaches.get(key);
    if (known !== undefined) return known;
    const created = new EndpointReach(endpoint);
    this.#reaches.set(key, created);
    return created;
  }

  #probing(): EndpointReach[] {
    return [...this.#reaches.values()].filter((reach) =>
      reach.probing_since_ms !== undefined
    );
  }

  /**
   * Whether an endpoint is lost or must be taken for it; it is then tried apart, so
   * that a sound one is used directly again.
   */
  #isLost(endpoint: RouteEndpoint): boolean {
    if (this.#lost.size === 0) return false;
    const reach = this.#reachOf(endpoint);
    if (reach.state === ReachState.Lost) return true;
    if (!this.#hasLostAllOf(endpoint.pool)) return false;
    reach.doubt(reach.next_probe_ms);
    return true;
  }

  /**
   * Whether the others of a pool must be taken for lost as well: several were lost
   * since bytes last came from any endpoint, or from any of the pool.
   */
  #hasLostAllOf(pool: string): boolean {
    const poolHeard_ms = this.#poolHeard_ms.get(pool) ?? -Infinity;
    let lostOfAll = 0;
    let lostOfPool = 0;
    for (const { endpoint, lost_from_ms } of this.#lost) {
      if (lost_from_ms >= this.#heard_ms) lostOfAll += 1;
      if (endpoint.pool === pool && lost_from_ms >= poolHeard_ms) {
        lostOfPool += 1;
      }
    }
    return Math.max(lostOfAll, lostOfPool) >= MIN_LOST_OF_ALL;
  }

  #recordReached(reach: EndpointReach, now_ms: number): void {
    this.#heard_ms = now_ms;
    this.#poolHeard_ms.set(reach.endpoint.pool, now_ms);
    const { lost_from_ms } = reach;
    if (!reach.recordReached(now_ms)) return;
    this.#lost.delete(reach);
    this.carriers.forget(incarnationOf(reach.endpoint));
    this.#returned_ms = now_ms;
    for (const each of this.#lost) each.hastenReturn(now_ms);
    this.#options.onReturn(reach.endpoint, lost_from_ms);
  }

  /** Decides whether an endpoint that got no bytes is lost. */
  #decide(reach: EndpointReach, now_ms: number): void {
    const { failed, state, endpoint } = reach;
    if (failed === undefined || state !== ReachState.Doubted) return;
    const incarnation = incarnationOf(endpoint);
    const from_ms = reach.failing_since_ms;
    const until_ms = lastEvidenceMs(failed);
    if (!this.carriers.hasReached(incarnation, { from_ms, until_ms })) {
      // It may have come back meanwhile: the next attempt tells.
      const until_ms = Infinity;
      if (this.carriers.hasReached(incarnation, { from_ms, until_ms })) {
        reach.next_probe_ms = now_ms;
      }
      return;
    }
    reach.recordLost(now_ms);
    this.#lost.add(reach);
    this.#options.onLost(endpoint, failed.outcome);
    this.#doubtUnheardSince(failed.from_ms, now_ms);
    if (failed.outcome === ProbeOutcome.Refused) return;
    for (const exchange of [...reach.exchanges]) {
      if (exchange.heard_ms < failed.from_ms) exchange.onLost();
    }
  }

  /** Doubts endpoints that may be lost for the same cause. */
  #doubtUnheardSince(since_ms: number, now_ms: number): void {
    for (const reach of this.#reaches.values()) {
      const isUnheard = reach.heard_ms < since_ms &&
        now_ms >= reach.next_probe_ms;
      if (isUnheard) reach.doubt(now_ms);
    }
  }

  /** Allows a silence again that exchanges waited through and that was sound. */
  #recordSoundSilence(reach: EndpointReach, now_ms: number): void {
    if (this.#heard_ms === -Infinity) return;
    const sound_ms = Math.min(now_ms - this.#heard_ms, reach.quietMs(now_ms));
    if (sound_ms < HOST_SILENCE_MS) return;
    this.#hostSilence_ms = Math.min(
      MAX_HOST_SILENCE_MS,
      Math.max(this.#hostSilence_ms, 1.5 * sound_ms),
    );
    this.#soundSilence_ms = now_ms;
  }

  /** Doubts endpoints that say nothing although exchanges wait for them. */
  #doubtSilent(now_ms: number): void {
    if (now_ms - this.#soundSilence_ms >= SOUND_SILENCE_LIFETIME_MS) {
      this.#hostSilence_ms = HOST_SILENCE_MS;
    }
    const quiet = [...this.#reaches.values()].filter((reach) =>
      reach.quietMs(now_ms) >= this.#hostSilence_ms
    );
    const isHostSilent = quiet.length >= 2 &&
      now_ms - this.#heard_ms >= this.#hostSilence_ms;
    const silent = quiet.filter((reach) =>
      reach.state === ReachState.Reached && now_ms >= reach.next_probe_ms &&
      (isHostSilent || reach.quietMs(now_ms) >= ENDPOINT_SILENCE_MS)
    );
    const isAlarmed = quiet.some(({ failed, probing_since_ms = Infinity }) =>
      failed !== undefined || now_ms - probing_since_ms >= ASK_AFTER_MS
    );
    const count = isAlarmed
      ? silent.length
      : MAX_SILENCE_PROBES - this.#probing().length;
    for (const reach of silent.slice(0, Math.max(0, count))) {
      reach.doubt(now_ms);
    }
  }

  /** Lost endpoints to try: one at a time, but several after a return. */
  #dueReturns(
    due: EndpointReach[],
    probing: EndpointReach[],
    now_ms: number,
  ): EndpointReach[] {
    const lost = due.filter(({ state }) => state === ReachState.Lost);
    const open =
      probing.filter(({ state }) => state === ReachState.Lost).length;
    const isBurst = now_ms - this.#returned_ms < RETURN_BURST_MS;
    if (!isBurst && now_ms - this.#returnProbe_ms < RETURN_SPACING_MS) {
      return [];
    }
    const taken = lost.slice(0, Math.max(0, (isBurst ? MAX_PROBES : 1) - open));
    if (taken.length > 0) this.#returnProbe_ms = now_ms;
    return taken;
  }

  /** Lost endpoints to ask about: all with few carriers, or those in need. */
  #withFewCarriers(now_ms: number, isRefreshDue: boolean): EndpointReach[] {
    return [...this.#lost].filter((reach) => {
      const { endpoint, lacksCarrier, asked_ms } = reach;
      const isNeeded = lacksCarrier && now_ms - asked_ms >= ASK_AGAIN_AFTER_MS;
      if (isNeeded) return true;
      return isRefreshDue &&
        this.carriers.countSound(incarnationOf(endpoint), now_ms) <
          ENOUGH_CARRIERS;
    }).sort((a, b) => a.questions - b.questions).slice(0, MAX_ASKED_ENDPOINTS);
  }

  /** Hosts to ask: one of this zone, as it is the better carrier, and others. */
  #hostsToAsk(
    hosts: readonly string[],
    { count, now_ms }: { count: number; now_ms: number },
  ): string[] {
    const { zone, zoneOf } = this.#options;
    const sound = hosts.filter((host) => this.carriers.isSound(host, now_ms));
    const near = this.carriers.pickRandom(
      sound.filter((host) => zoneOf(host) === zone),
      1,
    );
    const others = sound.filter((host) => zoneOf(host) !== zone);
    const far = this.carriers.pickRandom(others, count - near.length);
    const rest = sound.filter((host) =>
      !near.includes(host) && !far.includes(host)
    );
    const missing = count - near.length - far.length;
    return [...near, ...far, ...this.carriers.pickRandom(rest, missing)];
  }

  #forget(now_ms: number): void {
    for (const [key, reach] of this.#reaches) {
      const { state, exchanges, heard_ms, probing_since_ms, endpoint } = reach;
      if (probing_since_ms !== undefined || exchanges.size > 0) continue;
      const isIdle = state === ReachState.Reached &&
        now_ms - heard_ms > FORGET_AFTER_MS;
      if (!isIdle && this.#options.isInService(endpoint)) continue;
      this.#reaches.delete(key);
      this.#lost.delete(reach);
      this.carriers.forget(key);
    }
  }
}

/**
 * Last time at which others must have got bytes for a loss: an endpoint that
 * answered them then would have answered the attempt as well.
 */
function lastEvidenceMs({ outcome, from_ms, until_ms }: FailedAttempt): number {
  switch (outcome) {
    case ProbeOutcome.Refused:
      return from_ms;
    case ProbeOutcome.NoConnection:
      return until_ms - NO_CONNECTION_MARGIN_MS;
    case ProbeOutcome.Silent:
      return until_ms - SILENT_MARGIN_MS;
  }
}

function isQuestionDue(reach: EndpointReach, now_ms: number): boolean {
  const { state, failed, probing_since_ms, questions, asked_ms } = reach;
  if (state !== ReachState.Doubted) return false;
  if (now_ms - asked_ms < ASK_AGAIN_AFTER_MS) return false;
  if (questions >= MAX_QUESTIONS_PER_ATTEMPT) return false;
  if (probing_since_ms !== undefined) {
    return now_ms - probing_since_ms >= ASK_AFTER_MS;
  }
  return failed !== undefined;
}

/** Start of the attempt under way, or of the last one. */
function attemptStart(
  { probing_since_ms, failed }: EndpointReach,
  now_ms: number,
): number {
  return probing_since_ms ?? failed?.from_ms ?? now_ms;
}

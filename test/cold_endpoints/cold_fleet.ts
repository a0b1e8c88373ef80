/** Several hosts that bound the requests to cold endpoints, without a network. */
import {
  type ColdBound,
  divideBound,
  MAX_SEND_DELAY_MS,
} from "../../src/cold_endpoints/divide_bound.ts";
import { paceOf } from "../../src/cold_endpoints/host_pace.ts";
import {
  HostStanding,
  type RegisteredHost,
} from "../../src/cold_endpoints/host_standing.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { rankCandidates } from "../../src/membership/rendezvous_hash.ts";
import {
  coldKeyOf,
  RateLimitService,
} from "../../src/rate_limits/rate_limit_service.ts";
import type { PermitReply } from "../../src/rate_limits/types.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";

/** What endpoints tolerate in the tests, as in the page of this work. */
export const PER_S = 19;
export const BOUND: ColdBound = { over: 1.5, slack: 5 };
/** Most requests that may arrive in any second. */
export const MOST = PER_S * BOUND.over + BOUND.slack;

const STEP_MS = 10;
const WINDOW_MS = 1_000;
const LOG = createLogger({ level: "fatal", host: "h", writeLine: () => {} });

/** Creates an endpoint that differs from the others by its number. */
export function createEndpoint(number = 1): RouteEndpoint {
  return {
    id: `e-${number}`,
    pool: "models",
    address: `10.1.0.${number}:1`,
    availability_zone: "az-1",
    slots: 8,
    state: RouteEndpointState.Ready,
    born_ms: 1,
  };
}

/** One process of a host. */
interface ColdHost extends RegisteredHost {
  service: RateLimitService;
  standing: HostStanding;
  /** The hosts that it knows. */
  known: RegisteredHost[];
  /** Whether it is of a release that doesn't know the bound. */
  isOld: boolean;
}

/** The hosts, the store's list of them and what arrives at endpoints. */
export class ColdFleet {
  now_ms = 0;
  /** Live processes by address. */
  readonly hosts = new Map<string, ColdHost>();
  /** Hosts that neither respond nor send. */
  readonly frozen = new Set<string>();
  /** Hosts that get no news from the store. */
  readonly cutFromStore = new Set<string>();
  /** Pairs of hosts that don't reach each other. */
  reaches: (from: string, to: string) => boolean = () => true;
  /** What a host takes an endpoint to tolerate; undefined if it is warm. */
  limitPerS: (host: string, endpoint: RouteEndpoint) => number | undefined =
    () => PER_S;
  readonly arrivals_ms = new Map<string, number[]>();
  #registered = new Map<string, RegisteredHost>();
  #random: () => number;
  #starts = 0;

  constructor(count: number, random: () => number) {
    this.#random = random;
    for (let n = 1; n <= count; n++) this.start(addressOf(n));
  }

  /** Starts a process at an address and registers it. */
  start(address: string, { isOld = false } = {}): void {
    this.#starts += 1;
    const self = { address, started_ms: this.#starts };
    const standing = new HostStanding(self);
    const service = new RateLimitService({
      self: address,
      hosts: () =>
        [...new Set([address, ...host.known.map((each) => each.address)])]
          .sort(),
      peers: {
        requestPermit: async (to, request) => {
          const issuer = this.#reach(address, to);
          const reply = issuer.service.handleRequest(request);
          if (!issuer.isOld) return await Promise.resolve(reply);
          // A host that doesn't know the field grants at the rate it is given.
          const old: PermitReply = { ...reply, granted: true, cold: undefined };
          return { ...old, no_part: undefined };
        },
      },
      cold: {
        limitPerS: (endpoint) => this.limitPerS(address, endpoint),
        paceOf: (key, per_s) =>
          paceOf(divideBound(per_s, BOUND), {
            rank: standing.rankOf(key, this.now_ms),
            hostCount: standing.hostCount(this.now_ms),
          }),
        max_delay_ms: MAX_SEND_DELAY_MS,
        onPermit: () => {},
      },
      log: LOG,
      now: () => this.now_ms,
    });
    const host: ColdHost = { ...self, service, standing, known: [], isOld };
    this.hosts.set(address, host);
    this.#registered.set(address, self);
  }

  /** Ends a process; its entry stays. */
  kill(address: string): void {
    this.hosts.delete(address);
  }

  /** Has a process drain and leave. */
  leave(address: string): void {
    this.hosts.get(address)?.standing.shutDown();
    this.hosts.delete(address);
    this.#registered.delete(address);
  }

  /** Addresses in the ranking of an endpoint. */
  ranking(endpoint: RouteEndpoint): string[] {
    return rankCandidates(coldKeyOf(endpoint), [...this.#registered.keys()]);
  }

  /** Has all hosts work for a time; `demand` is the share of steps that send. */
  async run(
    for_ms: number,
    endpoints: RouteEndpoint[],
    { demand = 1 } = {},
  ): Promise<void> {
    const end_ms = this.now_ms + for_ms;
    for (; this.now_ms < end_ms; this.now_ms += STEP_MS) {
      if (this.now_ms % 100 === 0) this.#exchangeNews();
      for (const host of this.#active()) {
        for (const endpoint of endpoints) {
          if (this.#random() < demand) await this.#send(host, endpoint);
        }
      }
    }
  }

  /** Most requests that arrived within a second between two times. */
  most(
    endpoint: RouteEndpoint,
    { from_ms = 0, until_ms = Infinity } = {},
  ): number {
    const arrivals_ms = this.#arrivalsAt(endpoint)
      .filter((at_ms) => at_ms >= from_ms && at_ms < until_ms)
      .sort((a, b) => a - b);
    let most = 0;
    let first = 0;
    for (const [index, at_ms] of arrivals_ms.entries()) {
      while (at_ms - (arrivals_ms[first] ?? 0) >= WINDOW_MS) first += 1;
      most = Math.max(most, index - first + 1);
    }
    return most;
  }

  /** Requests a second that arrived since a time, up to now. */
  ratePerS(endpoint: RouteEndpoint, from_ms: number): number {
    const arrived = this.#arrivalsAt(endpoint)
      .filter((at_ms) => at_ms >= from_ms && at_ms < this.now_ms);
    return arrived.length / (this.now_ms - from_ms) * 1_000;
  }

  #active(): ColdHost[] {
    return [...this.hosts.values()].filter(({ address, isOld }) =>
      !isOld && !this.frozen.has(address)
    );
  }

  async #send(host: ColdHost, endpoint: RouteEndpoint): Promise<void> {
    if (host.service.waitMs(endpoint) > 0) return;
    const max_wait_ms = this.#random() < 0.3 ? 1_000 * this.#random() : 0;
    const waiting = { priority: 0, max_wait_ms };
    const permit = await host.service.takePermit(endpoint, waiting);
    if (permit === undefined) return;
    // As late as it may be, to the next tenth of a second: most come together.
    const late_ms = Math.ceil(permit.at_ms / 100) * 100;
    const isBunched = late_ms < permit.expires_ms && this.#random() < 0.7;
    this.#arrivalsAt(endpoint).push(isBunched ? late_ms : permit.at_ms);
  }

  #arrivalsAt({ id }: RouteEndpoint): number[] {
    const known = this.arrivals_ms.get(id) ?? [];
    this.arrivals_ms.set(id, known);
    return known;
  }

  /** Hosts read the store's list, and ask others whether these list them. */
  #exchangeNews(): void {
    const registered = [...this.#registered.values()];
    for (const host of this.#active()) {
      if (this.cutFromStore.has(host.address)) continue;
      if (!isSame(host.known, registered)) {
        host.known = registered;
        host.standing.updateHosts(registered, this.now_ms);
      }
      host.standing.confirm(this.now_ms);
    }
    for (const host of this.#active()) {
      for (const unaware of host.standing.unaware) this.#ask(host, unaware);
    }
  }

  #ask(host: ColdHost, { address }: RegisteredHost): void {
    try {
      const asked = this.#reach(host.address, address);
      const isListed = asked.isOld ||
        asked.known.some(({ address, started_ms }) =>
          address === host.address && started_ms === host.started_ms
        );
      if (isListed) host.standing.recordAware(asked, this.now_ms);
    } catch {
      // It is asked again.
    }
  }

  #reach(from: string, to: string): ColdHost {
    const host = this.hosts.get(to);
    const isReached = host !== undefined && !this.frozen.has(to) &&
      this.reaches(from, to) && this.reaches(to, from);
    if (!isReached) throw new Error("no response");
    return host;
  }
}

/** Address of a host by its number. */
export function addressOf(number: number): string {
  return `10.0.${Math.floor(number / 250)}.${number % 250 + 1}:1`;
}

function isSame(
  known: readonly RegisteredHost[],
  registered: readonly RegisteredHost[],
): boolean {
  return known.length === registered.length &&
    known.every((each, index) => each === registered[index]);
}

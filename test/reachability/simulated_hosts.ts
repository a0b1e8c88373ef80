/** Hosts and endpoints in simulated time, without I/O. */
import {
  type OpenExchange,
  ProbeOutcome,
} from "../../src/reachability/endpoint_reach.ts";
import { ReachableEndpoints } from "../../src/reachability/reachable_endpoints.ts";
import { incarnationOf } from "../../src/routes/incarnation.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";
import { createRandom } from "../../stand_ins/seeded_random.ts";

/** What becomes of a host's traffic to an endpoint. */
export enum Path {
  Open = "open",
  /** Nothing passes, without an error. */
  Hangs = "hangs",
  /** Connections are made, but no bytes pass. */
  Swallows = "swallows",
  /** Connections are refused at once. */
  Refuses = "refuses",
}

/** Time of one step, in milliseconds. */
const STEP_MS = 10;
/** Interval at which a host looks at its exchanges, in milliseconds. */
const WATCH_MS = 100;
const ROUND_TRIP_MS = 2;
const CONNECT_TIMEOUT_MS = 400;
const PROBE_TIMEOUT_MS = 800;
/** A peer that is asked tries an endpoint for this long. */
const ANSWER_WITHIN_MS = 300;

/** Creates an endpoint of a pool. */
export function createEndpoint(pool: string, n: number): RouteEndpoint {
  return {
    id: `${pool}-${n}`,
    pool,
    address: `127.0.0.1:${7_000 + n}`,
    availability_zone: `az-${n % 3}`,
    slots: 8,
    state: RouteEndpointState.Ready,
    born_ms: 1,
    software_version: undefined,
  };
}

interface Timed {
  at_ms: number;
  run: () => void;
}

/** One host: its state, and what it sent. */
export class SimulatedHost {
  readonly state: ReachableEndpoints;
  probes = 0;
  questions = 0;
  question_bytes = 0;
  /** Times of losses and returns, by endpoint. */
  losses = new Map<string, number[]>();
  returns = new Map<string, number[]>();
  /** Exchanges that were ended since their endpoint is lost. */
  endedAsLost = 0;

  constructor(
    readonly address: string,
    readonly zone: string,
    fleet: SimulatedFleet,
  ) {
    this.state = new ReachableEndpoints({
      zone,
      zoneOf: (address) => fleet.hostAt(address)?.zone,
      carriedInFlight: () => 0,
      isInService: () => true,
      onLost: ({ id }) => addTo(this.losses, id, fleet.now_ms),
      onReturn: ({ id }) => addTo(this.returns, id, fleet.now_ms),
      random: fleet.random,
    });
  }
}

/** A fleet whose paths and endpoints can be disturbed. */
export class SimulatedFleet {
  now_ms = 1_000;
  readonly random = createRandom(46);
  readonly hosts: SimulatedHost[];
  /** What becomes of a host's traffic to an endpoint; open by default. */
  path: (host: SimulatedHost, endpoint: RouteEndpoint) => Path = () =>
    Path.Open;
  /** Whether an endpoint answers at all. */
  answers: (endpoint: RouteEndpoint) => boolean = () => true;
  /** Time until an exchange gets its first bytes. */
  work_ms = 50;
  /** Time after which a host gives up an exchange without bytes. */
  patience_ms = Infinity;
  #timed: Timed[] = [];
  #byAddress: Map<string, SimulatedHost>;

  constructor(hosts: number, readonly endpoints: RouteEndpoint[]) {
    this.hosts = Array.from(
      { length: hosts },
      (_, n) => new SimulatedHost(`10.0.0.${n}:1`, `az-${n % 3}`, this),
    );
    this.#byAddress = new Map(this.hosts.map((host) => [host.address, host]));
  }

  /** Whether a host has lost a pool. */
  isCutOff(host: SimulatedHost, pool: string): boolean {
    const ready = this.endpoints.filter((each) => each.pool === pool);
    return host.state.isCutOffFrom(ready, this.now_ms);
  }

  /** The host at an address. */
  hostAt(address: string): SimulatedHost | undefined {
    return this.#byAddress.get(address);
  }

  /** Finds a host; throws if absent. */
  host(n: number): SimulatedHost {
    const host = this.hosts[n];
    if (host === undefined) throw new Error(`No host ${n}`);
    return host;
  }

  /**
   * Lets time pass while each of these hosts begins direct exchanges at random
   * endpoints, at a rate per second.
   */
  run(
    duration_ms: number,
    { per_s, hosts = this.hosts, pool }: {
      per_s: number;
      hosts?: SimulatedHost[];
      pool?: string;
    },
  ): void {
    const end_ms = this.now_ms + duration_ms;
    while (this.now_ms < end_ms) {
      this.now_ms += STEP_MS;
      for (const timed of this.#takeDue()) timed.run();
      for (const host of hosts) {
        if (this.random() < per_s * STEP_MS / 1_000) this.#send(host, pool);
      }
      if (this.now_ms % WATCH_MS !== 0) continue;
      for (const host of this.hosts) this.#step(host);
    }
  }

  #takeDue(): Timed[] {
    const due = this.#timed.filter(({ at_ms }) => at_ms <= this.now_ms);
    this.#timed = this.#timed.filter(({ at_ms }) => at_ms > this.now_ms);
    return due.sort((a, b) => a.at_ms - b.at_ms);
  }

  #after(delay_ms: number, run: () => void): void {
    this.#timed.push({ at_ms: this.now_ms + delay_ms, run });
  }

  #send(host: SimulatedHost, pool?: string): void {
    const usable = this.endpoints.filter((each) =>
      pool === undefined || each.pool === pool
    );
    const endpoint = usable[Math.floor(this.random() * usable.length)];
    if (endpoint === undefined) return;
    const { state } = host;
    const context = { avoid: new Set<string>(), now_ms: this.now_ms };
    if (state.carrierFor(endpoint, context) !== undefined) return;
    let isOpen = true;
    const end = () => {
      isOpen = false;
      state.end(exchange, this.now_ms);
    };
    const exchange: OpenExchange = state.begin(endpoint, {
      now_ms: this.now_ms,
      onLost: () => {
        host.endedAsLost += 1;
        end();
      },
    });
    const fail = (reason: string) => {
      if (!isOpen) return;
      state.recordFailure(exchange, reason, this.now_ms);
      end();
      this.#step(host);
    };
    if (this.path(host, endpoint) === Path.Refuses) {
      return this.#after(ROUND_TRIP_MS, () => fail("ECONNREFUSED"));
    }
    const receive = () => {
      if (!isOpen) return;
      if (this.now_ms - exchange.began_ms >= this.patience_ms) return end();
      if (this.path(host, endpoint) !== Path.Open || !this.answers(endpoint)) {
        return this.#after(STEP_MS, receive);
      }
      state.recordBytes(exchange, this.now_ms);
      end();
    };
    this.#after(this.work_ms, receive);
  }

  #step(host: SimulatedHost): void {
    for (const endpoint of host.state.takeProbes(this.now_ms)) {
      host.probes += 1;
      this.#attempt(host, endpoint, PROBE_TIMEOUT_MS, (outcome) => {
        host.state.recordProbe(endpoint, outcome, this.now_ms);
        this.#step(host);
      });
    }
    const others = () =>
      this.hosts.map(({ address }) => address)
        .filter((address) => address !== host.address);
    const question = host.state.takeQuestion(others, this.now_ms);
    if (question === undefined) return;
    for (const address of question.addresses) {
      host.questions += 1;
      host.question_bytes += JSON.stringify(question.endpoints).length;
      this.#ask(host, address, question.endpoints);
    }
  }

  #ask(
    host: SimulatedHost,
    address: string,
    endpoints: { endpoint: string; since_ago_ms: number }[],
  ): void {
    const peer = this.hostAt(address);
    if (peer === undefined) return;
    const reached_ms: (number | null)[] = endpoints.map(() => null);
    let open = endpoints.length;
    const settle = () => {
      open -= 1;
      if (open > 0) return;
      const now_ms = this.now_ms;
      const ages = reached_ms.map((at) => at === null ? null : now_ms - at);
      host.state.recordAnswer(address, { endpoints, ages, now_ms });
      this.#step(host);
    };
    endpoints.forEach(({ endpoint: incarnation, since_ago_ms }, index) => {
      const endpoint = this.endpoints.find((each) =>
        incarnationOf(each) === incarnation
      );
      if (endpoint === undefined) return settle();
      const known_ms = peer.state.reachedMs(endpoint) ?? -Infinity;
      if (known_ms >= this.now_ms - since_ago_ms) {
        reached_ms[index] = known_ms;
        return this.#after(ROUND_TRIP_MS, settle);
      }
      if (peer.state.isOutOfReach(endpoint, this.now_ms)) return settle();
      this.#attempt(peer, endpoint, ANSWER_WITHIN_MS, (outcome) => {
        peer.state.recordAttempt(endpoint, outcome, this.now_ms);
        this.#step(peer);
        if (outcome === ProbeOutcome.Reached) reached_ms[index] = this.now_ms;
        settle();
      });
    });
  }

  #attempt(
    host: SimulatedHost,
    endpoint: RouteEndpoint,
    timeout_ms: number,
    done: (outcome: ProbeOutcome) => void,
  ): void {
    const end_ms = this.now_ms + timeout_ms;
    const path = this.path(host, endpoint);
    if (path === Path.Refuses) {
      return this.#after(ROUND_TRIP_MS, () => done(ProbeOutcome.Refused));
    }
    if (path === Path.Hangs) {
      return this.#after(
        Math.min(CONNECT_TIMEOUT_MS, timeout_ms),
        () => done(ProbeOutcome.NoConnection),
      );
    }
    const receive = () => {
      const isOpen = this.path(host, endpoint) === Path.Open &&
        this.answers(endpoint);
      if (isOpen) return done(ProbeOutcome.Reached);
      if (this.now_ms >= end_ms) return done(ProbeOutcome.Silent);
      this.#after(STEP_MS, receive);
    };
    this.#after(ROUND_TRIP_MS, receive);
  }
}

function addTo(map: Map<string, number[]>, id: string, at_ms: number): void {
  map.set(id, [...map.get(id) ?? [], at_ms]);
}

/**
 * Hosts and one endpoint in ramp-up, joined without a network, in virtual time.
 * Requests that get no place at the endpoint count as sent elsewhere.
 */
import type { TestContext } from "node:test";
import { setImmediate as settle } from "node:timers/promises";
import {
  EndpointPlaces,
  type Place,
} from "../../src/endpoint_places/endpoint_places.ts";
import type { RampChange } from "../../src/endpoint_places/place_ledger.ts";
import {
  PlaceOutcome,
  type PlaceReply,
  type PlaceReport,
} from "../../src/endpoint_places/types.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { rankCandidates } from "../../src/membership/rendezvous_hash.ts";
import { incarnationOf } from "../../src/routes/incarnation.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";

export const POOL = "desks";
export const SLOTS = 16;
/** Time that a request takes at a sound endpoint. */
export const WORK_MS = 100;
/** Requests a second that a sound endpoint serves. */
export const CAPACITY_PER_S = SLOTS * 1_000 / WORK_MS;
/** Time of a message from host to host. */
const MESSAGE_MS = 1;
const LATE_MS = 3 * WORK_MS + 15;

/** An endpoint of the pool. */
export function endpointOf(id: string, born_ms = 1): RouteEndpoint {
  return {
    id,
    pool: POOL,
    address: "10.1.0.1:1",
    availability_zone: "az-1",
    slots: SLOTS,
    state: RouteEndpointState.Ready,
    born_ms,
  };
}

/** How a request at the endpoint ends. */
export interface Service {
  elapsed_ms: number;
  /** Until the first byte of a stream; undefined for other responses. */
  first_byte_ms?: number;
  failed?: boolean;
}

/** The endpoint as it responds. */
export interface EndpointModel {
  /** Called when a request arrives, with those in flight before it. */
  serve(now_ms: number, in_flight: number): Service;
}

/** How the peers of a host behave. */
export interface HostFaults {
  /** Hosts that get no message and send none. */
  lost: Set<string>;
  /** Hosts of an earlier release. */
  old: Set<string>;
}

/** What a fleet has seen. */
export interface FleetFigures {
  outcomes: Record<PlaceOutcome, number>;
  elsewhere: number;
  messages: number;
  maxInFlight: number;
}

/** Several hosts that send requests to one endpoint. */
export class RampedFleet {
  readonly services = new Map<string, EndpointPlaces>();
  readonly faults: HostFaults = { lost: new Set(), old: new Set() };
  readonly changes: { host: string; at_ms: number; change: RampChange }[] = [];
  /** The endpoints in the feeds of all hosts. */
  endpoints: RouteEndpoint[] = [];
  /** Addresses of the hosts, as each of them knows them. */
  hosts: string[] = [];
  /** The hosts that send requests; all by default. */
  senders: string[] | undefined;
  /** Whether no message gets from one host to another. */
  isCut: (from: string, to: string) => boolean = () => false;
  now_ms = 100_000;
  in_flight = 0;
  /** Requests in flight at the end of each millisecond. */
  inFlightAt: number[] = [];
  lateAt_ms: number[] = [];
  figures: FleetFigures = {
    outcomes: { in_time: 0, late: 0, failed: 0, rejected: 0 },
    elsewhere: 0,
    messages: 0,
    maxInFlight: 0,
  };
  #t: TestContext;
  #seed = 1;
  #stopped = new AbortController();
  #isOn: boolean;
  #log = createLogger({ level: "error", host: "h", writeLine: () => {} });

  constructor(t: TestContext, hosts: number, { isOn = true } = {}) {
    this.#t = t;
    this.#isOn = isOn;
    t.mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    t.after(() => this.#stopped.abort());
    for (let n = 1; n <= hosts; n++) {
      this.addHost(`10.0.${n >> 8}.${n & 255}:1`);
    }
  }

  /** The hosts, the issuer of the endpoint first. */
  ranked(endpoint: RouteEndpoint): string[] {
    return rankCandidates(incarnationOf(endpoint), this.hosts);
  }

  host(address: string): EndpointPlaces {
    return this.services.get(address) as EndpointPlaces;
  }

  addHost(self: string): void {
    this.hosts.push(self);
    const service = new EndpointPlaces({
      self,
      hosts: () => this.hosts,
      peers: {
        requestPlace: async (address, { ramp, ...request }) => {
          const to = await this.#message(self, address);
          const isOld = this.faults.old.has(address);
          const sent = isOld ? request : { ...request, ramp };
          const reply = await to.handleRequest(sent);
          await this.#wait(MESSAGE_MS);
          return isOld ? withoutRamp(reply) : reply;
        },
        reportPlaces: async (address, report) => {
          const to = await this.#message(self, address);
          const isOld = this.faults.old.has(address);
          to.handleReport(isOld ? withoutOutcomes(report) : report);
        },
      },
      ramps: {
        isOn: () => this.#isOn,
        isAnyOn: () => this.#isOn,
        allEndpoints: () => this.endpoints,
        tellHosts: (endpoint, reason) => {
          const notice = {
            endpoint: incarnationOf(endpoint),
            ramp: { reason },
          };
          for (const [address, each] of this.services) {
            if (this.faults.old.has(address)) continue;
            if (address !== self) this.figures.messages += 1;
            if (!this.faults.lost.has(address)) each.applyRamp(notice);
          }
        },
        askRamps: (address) => Promise.resolve(this.host(address).rampNews()),
        onChange: (change) =>
          this.changes.push({ host: self, at_ms: this.now_ms, change }),
        onRecovered: () => {},
        delay: (delay_ms) => this.#wait(delay_ms),
        random: () => this.random(),
      },
      log: this.#log,
      now: () => this.now_ms,
      signal: this.#stopped.signal,
    });
    this.services.set(self, service);
  }

  /** All hosts learn from their feeds of these endpoints. */
  feed(endpoints: RouteEndpoint[]): void {
    this.endpoints = endpoints;
    for (const [address, service] of this.services) {
      if (!this.faults.old.has(address)) service.observeEndpoints(endpoints);
    }
  }

  /** Sends `per_s` requests a second, each from a host chosen at random. */
  async load(
    endpoint: RouteEndpoint,
    { per_s, for_ms, model, max_wait_ms = 0 }: {
      per_s: number;
      for_ms: number;
      model: EndpointModel;
      max_wait_ms?: number;
    },
  ): Promise<void> {
    let due = 0;
    for (let ms = 0; ms < for_ms; ms++) {
      due += per_s / 1_000;
      for (; due >= 1; due -= 1) {
        const hosts = this.senders ?? this.hosts;
        const host = hosts[Math.floor(this.random() * hosts.length)];
        if (host === undefined || this.faults.lost.has(host)) continue;
        void this.#send(host, endpoint, { model, max_wait_ms });
      }
      await this.tick();
    }
  }

  /** A millisecond passes. */
  async tick(): Promise<void> {
    this.now_ms += 1;
    this.#t.mock.timers.tick(1);
    await settle();
    this.inFlightAt.push(this.in_flight);
    const { figures } = this;
    figures.maxInFlight = Math.max(figures.maxInFlight, this.in_flight);
  }

  async pass(for_ms: number): Promise<void> {
    for (let ms = 0; ms < for_ms; ms++) await this.tick();
  }

  /** Uniform in [0, 1), the same in each run. */
  random(): number {
    this.#seed = (Math.imul(this.#seed, 1_664_525) + 1_013_904_223) >>> 0;
    return this.#seed / 2 ** 32;
  }

  async #send(
    host: string,
    endpoint: RouteEndpoint,
    { model, max_wait_ms }: { model: EndpointModel; max_wait_ms: number },
  ): Promise<void> {
    const places = this.host(host);
    const isOld = this.faults.old.has(host);
    const mayAsk = isOld || places.waitMs(endpoint) === 0;
    const place = isOld
      ? places.takeUnbounded(endpoint)
      : mayAsk && await places.take(endpoint, { priority: 0, max_wait_ms });
    if (place === undefined || place === false) {
      this.figures.elsewhere += 1;
      return;
    }
    await this.#serve(endpoint, place, model);
  }

  async #serve(
    _endpoint: RouteEndpoint,
    place: Place,
    model: EndpointModel,
  ): Promise<void> {
    const { elapsed_ms, first_byte_ms = elapsed_ms, failed = false } = model
      .serve(this.now_ms, this.in_flight);
    this.in_flight += 1;
    await this.#wait(first_byte_ms);
    if (first_byte_ms < elapsed_ms) {
      place.begin(outcomeOf(first_byte_ms));
      await this.#wait(elapsed_ms - first_byte_ms);
    }
    this.in_flight -= 1;
    const outcome = failed ? PlaceOutcome.Failed : outcomeOf(first_byte_ms);
    this.figures.outcomes[outcome] += 1;
    if (outcome !== PlaceOutcome.InTime) this.lateAt_ms.push(this.now_ms);
    place.release(false, outcome);
  }

  async #message(from: string, to: string): Promise<EndpointPlaces> {
    this.figures.messages += 1;
    const { lost } = this.faults;
    if (lost.has(from) || lost.has(to) || this.isCut(from, to)) {
      await this.#wait(400);
      throw new Error("no response");
    }
    await this.#wait(MESSAGE_MS);
    return this.host(to);
  }

  #wait(wait_ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, wait_ms));
  }
}

function outcomeOf(first_byte_ms: number): PlaceOutcome {
  return first_byte_ms > LATE_MS ? PlaceOutcome.Late : PlaceOutcome.InTime;
}

function withoutRamp({ ramping: _, ...reply }: PlaceReply): PlaceReply {
  return reply;
}

function withoutOutcomes(report: PlaceReport): PlaceReport {
  const released = report.released
    .map(({ outcome: _, ...place }) => place);
  return { ...report, begun: undefined, released };
}

/** Several hosts' places at one endpoint, joined without a network. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, test } from "node:test";
import { RateLimitKind } from "../../src/endpoint_reports/endpoint_report.ts";
import {
  EndpointPlaces,
  type Place,
} from "../../src/endpoint_places/endpoint_places.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { rankCandidates } from "../../src/membership/rendezvous_hash.ts";
import { incarnationOf } from "../../src/routes/incarnation.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";

const ENDPOINT: RouteEndpoint = {
  id: "e",
  pool: "desks",
  address: "10.1.0.1:1",
  availability_zone: "az-1",
  slots: 6,
  state: RouteEndpointState.Ready,
  born_ms: 1,
};
/** The same endpoint after a crash. */
const RESTARTED: RouteEndpoint = { ...ENDPOINT, born_ms: 2 };
const MAX_REJECTIONS_PER_S = 1;
const HOSTS = 9;
/** Time until an issuer grants all places. */
const WARM_UP_MS = 700;
/** Time until a place of a host that died is free again. */
const EXPIRY_MS = 2_100;
/** Time after a rejection in which a crash is put down to it. */
const REJECTION_LIFETIME_MS = 1_500;

let cluster: Cluster;

class Cluster {
  readonly services = new Map<string, EndpointPlaces>();
  readonly lost = new Set<string>();
  calls = 0;
  #stopped = new AbortController();
  #log = createLogger({ level: "error", host: "h", writeLine: () => {} });

  constructor() {
    for (let n = 1; n <= HOSTS; n++) this.#start(`10.0.0.${n}:1`);
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** The hosts, the issuer first. */
  get ranked(): string[] {
    return rankCandidates(incarnationOf(ENDPOINT), [...this.services.keys()]);
  }

  host(address: string): EndpointPlaces {
    return this.services.get(address) as EndpointPlaces;
  }

  /** Tells all hosts that the endpoint bears few rejections. */
  announce(): void {
    for (const service of this.services.values()) {
      service.apply({
        endpoint: incarnationOf(ENDPOINT),
        rejection_limit: { pool: ENDPOINT.pool, per_s: MAX_REJECTIONS_PER_S },
      });
    }
  }

  /** Every host asks for so many places; resolves to those that were granted. */
  async takeAll(
    count: number,
    { endpoint = ENDPOINT, hosts = [...this.services.keys()] } = {},
  ): Promise<Place[]> {
    const request = { priority: 0, max_wait_ms: 0 };
    const taken = hosts.flatMap((host) =>
      Array.from(
        { length: count },
        () => this.host(host).take(endpoint, request),
      )
    );
    return (await Promise.all(taken)).filter((place) => place !== undefined);
  }

  #start(self: string): void {
    const at = (address: string) => {
      this.calls += 1;
      const service = this.services.get(address);
      if (
        service === undefined || this.lost.has(address) || this.lost.has(self)
      ) throw new Error("no response");
      return service;
    };
    const service = new EndpointPlaces({
      self,
      hosts: () => [...this.services.keys()].sort(),
      peers: {
        requestPlace: async (address, request) =>
          await at(address).handleRequest(request),
        reportPlaces: async (address, report) =>
          await at(address).handleReport(report),
      },
      log: this.#log,
      now: () => performance.now(),
      signal: this.#stopped.signal,
    });
    this.services.set(self, service);
  }
}

afterEach(() => cluster.stop());

test("a pool whose endpoints name no limit costs no message", async () => {
  cluster = new Cluster();
  const places = await cluster.takeAll(10);
  assert.equal(places.length, 10 * HOSTS);
  for (const place of places) place.release(true);
  await sleep(50);
  assert.equal(cluster.calls, 0);
});

test("all hosts together hold no more than the endpoint's slots", async () => {
  cluster = new Cluster();
  cluster.announce();
  const early = await cluster.takeAll(2);
  assert.equal(early.length, ENDPOINT.slots / 2);
  await sleep(WARM_UP_MS);
  const late = await cluster.takeAll(2);
  assert.equal(early.length + late.length, ENDPOINT.slots);
});

test("what was in flight before the limit was named counts", async () => {
  cluster = new Cluster();
  const [, first = "", second = ""] = cluster.ranked;
  await cluster.takeAll(2, { hosts: [first, second] });
  cluster.announce();
  await sleep(WARM_UP_MS);
  const places = await cluster.takeAll(2);
  assert.equal(places.length, ENDPOINT.slots - 4);
});

test("a place that is given back goes to a request that waits for it", async () => {
  cluster = new Cluster();
  cluster.announce();
  const [place] = await cluster.takeAll(2);
  const [, , , last = ""] = cluster.ranked;
  const waiting = cluster.host(last).take(ENDPOINT, {
    priority: 0,
    max_wait_ms: 200,
  });
  await sleep(20);
  place?.release(false);
  assert.ok(await waiting !== undefined);
});

test("places of a host that died are free again", async () => {
  cluster = new Cluster();
  cluster.announce();
  const [, dead = ""] = cluster.ranked;
  const held = await cluster.takeAll(9, { hosts: [dead] });
  assert.equal(held.length, ENDPOINT.slots / 2);
  cluster.lost.add(dead);
  await sleep(EXPIRY_MS);
  const hosts = [...cluster.services.keys()].filter((host) => host !== dead);
  const places = await cluster.takeAll(2, { hosts });
  assert.equal(places.length, ENDPOINT.slots);
});

test("hosts that are cut off from the issuer get no more than a few places beside it", async () => {
  cluster = new Cluster();
  cluster.announce();
  const issuer = { hosts: cluster.ranked.slice(0, 1) };
  const early = await cluster.takeAll(9, issuer);
  await sleep(WARM_UP_MS);
  const held = await cluster.takeAll(9, issuer);
  assert.equal(early.length + held.length, ENDPOINT.slots);
  cluster.lost.add(cluster.ranked[0] ?? "");
  const hosts = cluster.ranked.slice(1);
  await cluster.takeAll(1, { hosts });
  await sleep(WARM_UP_MS);
  const places = await cluster.takeAll(2, { hosts });
  assert.ok(places.length <= ENDPOINT.slots / 4, `${places.length} places`);
});

test("an endpoint that comes back is bounded before it says so itself", async () => {
  cluster = new Cluster();
  cluster.announce();
  const places = await cluster.takeAll(2, { endpoint: RESTARTED });
  assert.equal(places.length, ENDPOINT.slots / 2);
});

test("an endpoint is known to have rejected if it has named a limit", async () => {
  cluster = new Cluster();
  const [issuer = "", host = "", other = ""] = cluster.ranked;
  const [early] = await cluster.takeAll(1, { hosts: [host] });
  early?.release(true);
  assert.ok(!cluster.host(host).hasRejectedLately(ENDPOINT));
  cluster.announce();
  const [place] = await cluster.takeAll(1, { hosts: [host] });
  place?.release(true);
  await sleep(50);
  assert.ok(cluster.host(host).hasRejectedLately(ENDPOINT));
  assert.ok(cluster.host(issuer).hasRejectedLately(ENDPOINT));
  assert.ok(!cluster.host(other).hasRejectedLately(ENDPOINT));
  assert.ok(!cluster.host(host).hasRejectedLately(RESTARTED));
  await sleep(REJECTION_LIFETIME_MS);
  assert.ok(!cluster.host(host).hasRejectedLately(ENDPOINT));
});

test("the bound ends with an answer that names no limit", async () => {
  cluster = new Cluster();
  cluster.announce();
  for (const service of cluster.services.values()) {
    service.observe(ENDPOINT, {
      rejection_limit: { kind: RateLimitKind.None },
      sent_ms: performance.now() + 1,
    });
  }
  cluster.calls = 0;
  assert.equal((await cluster.takeAll(2)).length, 2 * HOSTS);
  assert.equal(cluster.calls, 0);
});

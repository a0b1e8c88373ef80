/** Several hosts' rate limit services, joined without a network. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import {
  type NamedRateLimit,
  RateLimitKind,
} from "../../src/endpoint_reports/endpoint_report.ts";
import { EndpointNotices } from "../../src/endpoint_reports/endpoint_notices.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { rankCandidates } from "../../src/membership/rendezvous_hash.ts";
import { incarnationOf } from "../../src/routes/incarnation.ts";
import { RateLimitService } from "../../src/rate_limits/rate_limit_service.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";

const ENDPOINT: RouteEndpoint = {
  id: "e",
  pool: "models",
  address: "10.1.0.1:1",
  availability_zone: "az-1",
  slots: 8,
  state: RouteEndpointState.Ready,
  born_ms: 1,
};
const NONE: NamedRateLimit = { kind: RateLimitKind.None };

function limited(per_s: number): NamedRateLimit {
  return { kind: RateLimitKind.Limited, per_s };
}

/** Asks for a send now; resolves to whether it was permitted. */
async function isPermitted(service: RateLimitService): Promise<boolean> {
  const waiting = { priority: 0, max_wait_ms: 0 };
  return await service.takePermit(ENDPOINT, waiting) !== undefined;
}

class Cluster {
  readonly services = new Map<string, RateLimitService>();
  readonly notices = new Map<RateLimitService, EndpointNotices>();
  readonly lost = new Set<string>();
  now_ms = 0;
  calls = 0;
  #log = createLogger({ level: "error", host: "h", writeLine: () => {} });

  constructor(count: number) {
    for (let n = 1; n <= count; n++) this.#start(`10.0.0.${n}:1`);
  }

  #start(self: string): void {
    const at = (address: string) => {
      this.calls += 1;
      const service = this.services.get(address);
      if (service === undefined || this.lost.has(address)) {
        throw new Error("no response");
      }
      return service;
    };
    const service = new RateLimitService({
      self,
      hosts: () => [...this.services.keys()].sort(),
      peers: {
        requestPermit: async (address, request) =>
          await at(address).handleRequest(request),
      },
      log: this.#log,
      now: () => this.now_ms,
    });
    const noticesAt = (address: string) =>
      this.notices.get(at(address)) as EndpointNotices;
    this.services.set(self, service);
    this.notices.set(
      service,
      new EndpointNotices({
        self,
        hosts: () => [...this.services.keys()].sort(),
        peers: {
          reportEndpoint: async (address, notice) =>
            await noticesAt(address).handleReport(notice),
          announceEndpoint: async (address, notice, targets) =>
            await noticesAt(address).handleNotice(notice, targets),
        },
        apply: (notice) => service.apply(notice),
        log: this.#log,
        now: () => this.now_ms,
        signal: new AbortController().signal,
      }),
    );
  }

  /** Has a host get a response, and tell the others what is new. */
  observe(
    service: RateLimitService | undefined,
    observed: { rate_limit: NamedRateLimit; sent_ms: number },
  ): void {
    if (service === undefined) throw new Error("no such host");
    const notice = service.observe(ENDPOINT, observed);
    if (notice !== undefined) this.notices.get(service)?.report(notice);
  }

  get live(): RateLimitService[] {
    return [...this.services].filter(([address]) => !this.lost.has(address))
      .map(([_, service]) => service);
  }

  /** All live hosts ask as often as they may; resolves to the sends granted. */
  async sendAll(for_ms: number): Promise<number> {
    let granted = 0;
    const end_ms = this.now_ms + for_ms;
    for (; this.now_ms < end_ms; this.now_ms += 20) {
      for (const service of this.live) {
        if (service.waitMs(ENDPOINT) > 0) continue;
        if (await isPermitted(service)) granted += 1;
      }
    }
    return granted;
  }
}

for (
  const [count, per_s] of [[1, 3.5], [7, 3.5], [60, 3.5], [60, 0.5]] as const
) {
  test(`${count} hosts together keep to ${per_s} a second and use it`, async () => {
    const cluster = new Cluster(count);
    const rate_limit = limited(per_s);
    cluster.observe(cluster.live[0], { rate_limit, sent_ms: 0 });
    await sleep(10);
    assert.ok(cluster.live.every((service) => service.isLimited(ENDPOINT)));
    cluster.calls = 0;
    const granted = await cluster.sendAll(20_000);
    assert.ok(granted <= per_s * 20 * 1.1 + 2, `${granted} granted`);
    assert.ok(granted >= per_s * 20 * 0.8, `only ${granted} granted`);
    // A refused host asks again after 5 s at the latest, or when it is its turn.
    const maxCalls = count * 20 / 5 + 2 * per_s * 20;
    assert.ok(cluster.calls <= maxCalls, `${cluster.calls} calls`);
  });
}

test("an answer without a limit ends it at all hosts", async () => {
  const cluster = new Cluster(7);
  const observed = { rate_limit: limited(3), sent_ms: 0 };
  cluster.observe(cluster.live[0], observed);
  await sleep(10);
  cluster.now_ms = 100;
  cluster.observe(cluster.live[5], { rate_limit: NONE, sent_ms: 50 });
  await sleep(10);
  assert.ok(cluster.live.every((service) => !service.isLimited(ENDPOINT)));
});

test("the loss of the issuer moves its duty to another host", async () => {
  const cluster = new Cluster(5);
  const observed = { rate_limit: limited(2), sent_ms: 0 };
  for (const service of cluster.live) cluster.observe(service, observed);
  await sleep(10);
  const [first] = [...cluster.services.keys()];
  for (const lost of cluster.services.keys()) {
    cluster.lost.clear();
    cluster.lost.add(lost);
    if (lost === first) continue;
    const granted = await cluster.sendAll(8_000);
    assert.ok(granted >= 2 * 8 * 0.7 && granted <= 2 * 8 * 1.5 + 5);
  }
});

test("a malformed reply of the issuer is no permit", async () => {
  const cluster = new Cluster(2);
  const observed = { rate_limit: limited(2), sent_ms: 0 };
  for (const service of cluster.live) cluster.observe(service, observed);
  await sleep(10);
  for (const service of cluster.live) {
    Object.assign(service, { handleRequest: () => ({ granted: "yes" }) });
  }
  for (const service of cluster.live) {
    assert.equal(await isPermitted(service), false);
    assert.ok(service.waitMs(ENDPOINT) > 0);
  }
});

test("a host that reaches no issuer sends nothing, and asks again soon", async () => {
  const cluster = new Cluster(7);
  const observed = { rate_limit: limited(2), sent_ms: 0 };
  for (const service of cluster.live) cluster.observe(service, observed);
  await sleep(10);
  const ranking = rankCandidates(incarnationOf(ENDPOINT), [
    ...cluster.services.keys(),
  ]);
  // The last of the ranking does not come to ask itself.
  const asking = cluster.services.get(ranking.at(-1) ?? "");
  for (const address of ranking.slice(0, -1)) cluster.lost.add(address);
  assert.ok(asking !== undefined);
  assert.equal(await isPermitted(asking), false);
  assert.equal(asking.waitMs(ENDPOINT), 500);
});

/** Several hosts' quarantine services, joined without a network. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { createLogger } from "../../src/logging/logger.ts";
import { rankCandidates } from "../../src/membership/rendezvous_hash.ts";
import {
  QuarantineDecision,
  QuarantineService,
} from "../../src/quarantine/quarantine_service.ts";
import {
  type QuarantinedParts,
  quarantineName,
} from "../../src/quarantine/types.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";

const HOUR_MS = 3_600_000;

class Cluster {
  readonly services = new Map<string, QuarantineService>();
  readonly lost = new Set<string>();
  readonly stored = new Map<string, QuarantinedParts>();
  storeAvailable = true;
  refused = true;
  /** Endpoints that reject more requests than they can bear. */
  readonly overloaded = new Set<string>();
  random = 0.5;
  onWrite = () => Promise.resolve();
  now_ms = 0;
  notices = 0;
  #attempts = 0;
  #log = createLogger({ level: "error", host: "h", writeLine: () => {} });

  constructor(count: number) {
    for (let n = 1; n <= count; n++) this.start(`10.0.0.${n}:1`);
  }

  start(self: string): QuarantineService {
    const at = (address: string) => {
      const service = this.services.get(address);
      if (service === undefined || this.lost.has(address)) {
        throw new Error("no response");
      }
      return service;
    };
    const inStore = async (change: () => void) => {
      if (!this.storeAvailable) throw new Error("away");
      await this.onWrite();
      change();
    };
    const service = new QuarantineService({
      self,
      hosts: () => [...this.services.keys()].sort(),
      peers: {
        reportCrash: async (address, report) =>
          await at(address).handleReport(report),
        reportAnswered: async (address, parts) =>
          await at(address).handleAnswered(parts),
        notify: async (address, notice, route) => {
          this.notices += 1;
          return await at(address).handleNotice(notice, route);
        },
      },
      store: {
        writeQuarantined: (name, quarantined) =>
          inStore(() => this.stored.set(name, quarantined)),
        removeQuarantined: (name) => inStore(() => this.stored.delete(name)),
      },
      onCrash: () => {},
      isRefused: () => Promise.resolve(this.refused),
      isOverloaded: ({ id }) => this.overloaded.has(id),
      log: this.#log,
      now: () => this.now_ms,
      random: () => this.random,
      signal: new AbortController().signal,
    });
    this.services.set(self, service);
    return service;
  }

  get live(): QuarantineService[] {
    return [...this.services].filter(([address]) => !this.lost.has(address))
      .map(([_, service]) => service);
  }

  /** The host that is ledger number `rank`. */
  ledger(rank: number): string {
    return rankCandidates("crashes", [...this.services.keys()])[rank] ?? "";
  }

  /** One endpoint crashes under requests of these hosts. */
  async crash(number: number, parts: string[], hosts = [number]) {
    this.now_ms += 1_000;
    return await Promise.all(
      hosts.map((host) =>
        this.live[host % this.live.length]?.recordBroken({
          endpoint: endpoint(number),
          attempt_id: `attempt-${this.#attempts++}`,
          traits: parts,
          sent_ms: this.now_ms - 500,
        }).suspected
      ),
    );
  }

  /** For each live host, whether it rejects requests with these parts. */
  rejects(parts: string[]): boolean[] {
    return this.live.map((service) =>
      service.admit(parts) === QuarantineDecision.Reject
    );
  }
}

function endpoint(number: number): RouteEndpoint {
  return {
    id: `e${number}`,
    pool: "models",
    address: `10.1.0.${number}:1`,
    availability_zone: "az-1",
    slots: 8,
    state: RouteEndpointState.Ready,
    born_ms: 1,
  };
}

async function crashThrice(cluster: Cluster, parts: string[]): Promise<void> {
  for (const number of [1, 2, 3]) await cluster.crash(number, parts);
  await sleep(20);
}

for (const count of [1, 7, 60]) {
  test(`${count} hosts reject a part after three crashes that different hosts saw`, async () => {
    const cluster = new Cluster(count);
    await crashThrice(cluster, ["a", "x"]);
    assert.ok(cluster.rejects(["a", "x"]).every((rejects) => rejects));
    assert.ok(cluster.rejects(["a"]).every((rejects) => !rejects));
    assert.deepEqual([...cluster.stored.values()], [
      { parts: ["a", "x"], probes: 0 },
    ]);
  });
}

test("crashes of endpoints that rejected too many requests say nothing of what they held", async () => {
  const cluster = new Cluster(3);
  for (const number of [1, 2, 3]) cluster.overloaded.add(`e${number}`);
  assert.deepEqual(await cluster.crash(1, ["x"]), [false]);
  assert.deepEqual(await cluster.crash(2, ["x"]), [false]);
  assert.deepEqual(await cluster.crash(3, ["x"]), [false]);
  await sleep(20);
  assert.ok(cluster.rejects(["x"]).every((rejects) => !rejects));
});

test("crashes of other endpoints count as before, beside those by overload", async () => {
  const cluster = new Cluster(3);
  cluster.overloaded.add("e9");
  await cluster.crash(9, ["x"]);
  await crashThrice(cluster, ["x"]);
  assert.ok(cluster.rejects(["x"]).every((rejects) => rejects));
});

test("a request in a second crash is suspected", async () => {
  const cluster = new Cluster(3);
  assert.deepEqual(await cluster.crash(1, ["x"]), [false]);
  assert.deepEqual(await cluster.crash(2, ["x"]), [true]);
});

test("parts that got an answer at another host are not suspected", async () => {
  const cluster = new Cluster(7);
  for (const number of [1, 2, 3, 4, 5]) {
    await cluster.crash(number, ["a", "x"]);
    cluster.live[(number + 3) % 7]?.recordAnswered(["a", "b"]);
  }
  assert.ok(cluster.rejects(["a", "x"]).every((rejects) => rejects));
  assert.ok(cluster.rejects(["a", "b"]).every((rejects) => !rejects));
  assert.ok(cluster.rejects(["a"]).every((rejects) => !rejects));
});

test("a broken connection to an endpoint that still listens is no crash", async () => {
  const cluster = new Cluster(3);
  cluster.refused = false;
  await crashThrice(cluster, ["x"]);
  assert.ok(cluster.rejects(["x"]).every((rejects) => !rejects));
});

test("the loss of both ledgers between crashes delays the quarantine, and does not prevent it", async () => {
  const cluster = new Cluster(7);
  await cluster.crash(1, ["x"]);
  for (const rank of [0, 1]) cluster.lost.add(cluster.ledger(rank));
  await crashThrice(cluster, ["x"]);
  assert.ok(cluster.rejects(["x"]).every((rejects) => rejects));
});

test("the loss of one ledger loses no evidence", async () => {
  const cluster = new Cluster(7);
  await cluster.crash(1, ["x"]);
  await cluster.crash(2, ["x"]);
  cluster.lost.add(cluster.ledger(0));
  await cluster.crash(3, ["x"]);
  await sleep(20);
  assert.ok(cluster.rejects(["x"]).every((rejects) => rejects));
});

test("the store learns of a quarantine once it answers again", async () => {
  const cluster = new Cluster(3);
  cluster.storeAvailable = false;
  await crashThrice(cluster, ["x"]);
  assert.ok(cluster.rejects(["x"]).every((rejects) => rejects));
  assert.equal(cluster.stored.size, 0);
  cluster.storeAvailable = true;
  await sleep(300);
  assert.equal(cluster.stored.size, 1);
});

test("a host that missed the notice learns from the store, and a deletion there ends the entry", async () => {
  const cluster = new Cluster(3);
  await crashThrice(cluster, ["x"]);
  const late = cluster.start("10.0.0.9:1");
  late.replaceStored([...cluster.stored.values()]);
  assert.equal(late.admit(["x"]), QuarantineDecision.Reject);
  late.replaceStored([]);
  assert.equal(late.admit(["x"]), QuarantineDecision.Admit);
});

test("a notice that a host does not receive is delivered again", async () => {
  const cluster = new Cluster(7);
  const deaf = cluster.ledger(4);
  await cluster.crash(1, ["x"], [0]);
  await cluster.crash(2, ["x"], [0]);
  cluster.lost.add(deaf);
  await cluster.crash(3, ["x"], [0]);
  await sleep(100);
  cluster.lost.clear();
  await sleep(800);
  assert.ok(cluster.rejects(["x"]).every((rejects) => rejects));
});

test("a host that missed the notice learns of it from its first report", async () => {
  const cluster = new Cluster(3);
  await crashThrice(cluster, ["x"]);
  const late = cluster.start("10.0.0.9:1");
  assert.equal(late.admit(["x"]), QuarantineDecision.Admit);
  await cluster.crash(4, ["x"], [cluster.live.indexOf(late)]);
  assert.equal(late.admit(["x"]), QuarantineDecision.Reject);
});

test("malformed replies and entries change nothing and break nothing", async () => {
  const cluster = new Cluster(3);
  const [first, second, third] = cluster.live;
  for (const ledger of [second, third]) {
    Object.assign(ledger ?? {}, {
      handleReport: () => Promise.resolve({ suspects: 7, quarantined: [{}] }),
      handleNotice: () => Promise.resolve({ parts: null }),
    });
  }
  for (const number of [1, 2, 3]) await cluster.crash(number, ["x"], [0]);
  const malformed = [null, {}, { parts: "x" }, { parts: [], probes: 0 }];
  first?.replaceStored(malformed);
  first?.addFromPeer(malformed);
  first?.applyStoredChanges(
    malformed.map((value, n) => ({ name: `${n}`, value, deleted: false })),
  );
  assert.deepEqual(
    first?.entries.all().filter(({ parts }) => parts[0] !== "x"),
    [],
  );
  assert.equal(first?.admit(["a"]), QuarantineDecision.Admit);
});

test("a ledger writes an entry that the store lacks", async () => {
  const cluster = new Cluster(3);
  cluster.services.get(cluster.ledger(1))?.addFromPeer([
    { parts: ["x"], probes: 0 },
  ]);
  for (const service of cluster.live) service.replaceStored([]);
  await sleep(10);
  assert.deepEqual([...cluster.stored.keys()], [quarantineName(["x"])]);
});

/** The store goes back to this content, and every host reads it. */
function restore(cluster: Cluster, content: QuarantinedParts[]): void {
  cluster.stored.clear();
  for (const entry of content) {
    cluster.stored.set(quarantineName(entry.parts), entry);
  }
  for (const service of cluster.live) {
    service.markRestored();
    service.replaceStored([...cluster.stored.values()]);
  }
}

test("an entry that the store lost with its latest changes stays in force and is written again", async () => {
  const cluster = new Cluster(7);
  await crashThrice(cluster, ["x"]);
  for (const service of cluster.live) {
    service.replaceStored([...cluster.stored.values()]);
  }
  restore(cluster, []);
  assert.ok(cluster.rejects(["x"]).every((rejects) => rejects));
  await sleep(20);
  assert.equal(cluster.stored.size, 1);
  for (const service of cluster.live) service.replaceStored([]);
  assert.ok(cluster.rejects(["x"]).every((rejects) => rejects));
});

test("an entry that was released is not in force again when the store's older copy has it", async () => {
  const cluster = new Cluster(7);
  await crashThrice(cluster, ["x"]);
  const copy = [...cluster.stored.values()];
  cluster.live[3]?.recordAnswered(["x"]);
  await sleep(50);
  assert.equal(cluster.stored.size, 0);
  restore(cluster, copy);
  assert.ok(cluster.rejects(["x"]).every((rejects) => !rejects));
  cluster.live[3]?.addFromPeer(copy);
  assert.ok(cluster.rejects(["x"]).every((rejects) => !rejects));
  await sleep(20);
  assert.equal(cluster.stored.size, 0);
});

test("an entry that is written late, after its release, ends everywhere", async () => {
  const cluster = new Cluster(7);
  await crashThrice(cluster, ["x"]);
  const [late] = [...cluster.stored.values()];
  assert.ok(late !== undefined);
  cluster.live[3]?.recordAnswered(["x"]);
  await sleep(50);
  const name = quarantineName(late.parts);
  cluster.stored.set(name, late);
  for (const service of cluster.live) {
    service.applyStoredChanges([{ name, value: late, deleted: false }]);
  }
  assert.ok(cluster.rejects(["x"]).every((rejects) => !rejects));
  await sleep(20);
  assert.equal(cluster.stored.size, 0);
});

test("an entry that only a host without the ledgers' part knows is written again", async () => {
  const cluster = new Cluster(7);
  cluster.random = 0;
  const entry = { parts: ["x"], probes: 0 };
  cluster.services.get(cluster.ledger(4))?.replaceStored([entry]);
  restore(cluster, []);
  const end_ms = performance.now() + 15_000;
  while (cluster.stored.size === 0 && performance.now() < end_ms) {
    await sleep(50);
  }
  assert.deepEqual([...cluster.stored.values()], [entry]);
});

test("many entries that the store lost are written one by one", async () => {
  const cluster = new Cluster(1);
  const entries = Array.from(
    { length: 100 },
    (_, n) => ({ parts: [`p${n}`], probes: 0 }),
  );
  const [only] = cluster.live;
  only?.replaceStored(entries);
  let running = 0;
  let most = 0;
  cluster.onWrite = async () => {
    running += 1;
    most = Math.max(most, running);
    await sleep(0);
    running -= 1;
  };
  restore(cluster, []);
  const end_ms = performance.now() + 5_000;
  while (cluster.stored.size < 100 && performance.now() < end_ms) {
    await sleep(5);
  }
  assert.equal(cluster.stored.size, 100);
  assert.equal(most, 1);
});

test("an answer to a quarantined part releases it everywhere, and narrows an entry of several parts", async () => {
  const cluster = new Cluster(7);
  await crashThrice(cluster, ["x", "y"]);
  cluster.live[4]?.recordAnswered(["y"]);
  await sleep(50);
  assert.ok(cluster.rejects(["x"]).every((rejects) => rejects));
  assert.ok(cluster.rejects(["y"]).every((rejects) => !rejects));
  cluster.live[2]?.recordAnswered(["x"]);
  await sleep(50);
  assert.ok(cluster.rejects(["x"]).every((rejects) => !rejects));
  assert.equal(cluster.stored.size, 0);
});

test("ledgers that started anew narrow an entry of the store, and do not drop it", async () => {
  const cluster = new Cluster(3);
  cluster.stored.set(quarantineName(["x", "y"]), {
    parts: ["x", "y"],
    probes: 1,
  });
  for (const service of cluster.live) {
    service.replaceStored([...cluster.stored.values()]);
  }
  cluster.live[0]?.recordAnswered(["y"]);
  await sleep(50);
  assert.ok(cluster.rejects(["x"]).every((rejects) => rejects));
  assert.ok(cluster.rejects(["y"]).every((rejects) => !rejects));
  assert.deepEqual([...cluster.stored.values()], [{ parts: ["x"], probes: 1 }]);
});

test("a host that has answers contradicts a quarantine whose question it missed", async () => {
  const cluster = new Cluster(7);
  const others = cluster.live.filter((service) =>
    ![0, 1].some((rank) =>
      service === cluster.services.get(cluster.ledger(rank))
    )
  );
  await cluster.crash(1, ["x"]);
  await cluster.crash(2, ["x"]);
  others[0]?.recordAnswered(["x"]);
  cluster.lost.add(
    [...cluster.services].find(([_, s]) => s === others[0])?.[0] ?? "",
  );
  await cluster.crash(3, ["x"]);
  cluster.lost.clear();
  const notice = {
    kind: "quarantine",
    quarantined: { parts: ["x"], probes: 0 },
    within_ms: 5_000,
  } as Parameters<QuarantineService["handleNotice"]>[0];
  const answered = await others[0]?.handleNotice(notice, {
    targets: [],
    wait_ms: 0,
  });
  assert.deepEqual(answered, ["x"]);
  assert.equal(others[0]?.admit(["x"]), QuarantineDecision.Admit);
});

test("only the first ledger lets a probe through, and all hosts know of it", async () => {
  const cluster = new Cluster(7);
  await crashThrice(cluster, ["x"]);
  cluster.now_ms += HOUR_MS;
  const probes = () =>
    cluster.live.filter((service) =>
      service.admit(["x"]) === QuarantineDecision.AdmitAsProbe
    ).length;
  assert.equal(probes(), 1);
  await sleep(20);
  assert.equal(probes(), 0);
  cluster.now_ms += HOUR_MS;
  assert.equal(probes(), 1);
  await sleep(20);
  cluster.now_ms += 100 * HOUR_MS;
  assert.equal(probes(), 0);
  assert.deepEqual([...cluster.stored.values()], [{ parts: ["x"], probes: 2 }]);
});

test("a quarantine reaches 360 hosts without one message more than it takes", async () => {
  const cluster = new Cluster(360);
  await cluster.crash(1, ["x"]);
  await cluster.crash(2, ["x"]);
  cluster.notices = 0;
  await cluster.crash(3, ["x"]);
  await sleep(100);
  assert.ok(cluster.rejects(["x"]).every((rejects) => rejects));
  // At most, each of two ledgers asks all others and tells all others.
  assert.ok(cluster.notices <= 4 * 359, `${cluster.notices} notices`);
});

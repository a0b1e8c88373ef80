/**
 * Many requests while endpoints answer oddly, configurations change, odd entries
 * come and hosts drain or stop. Each ends as a whole answer, a refusal, or a cut
 * connection that some host's log accounts for. The seeds are printed;
 * SESAMEQUAY_SOAK_SEEDS, separated by commas, replaces them.
 */
import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { EngineFault } from "../../stand_ins/deployment/engine.ts";
import {
  defaultEngines,
  GatewayFleet,
  type RunningGateway,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  CallerView,
  RawCaller,
  rawRequest,
} from "../../stand_ins/deployment/raw_caller.ts";
import { createRandom } from "../../stand_ins/seeded_random.ts";

const SEEDS = (process.env.SESAMEQUAY_SOAK_SEEDS ?? "1,2,3").split(",")
  .map(Number);
const DURATION_MS = 7_000;
const CALLERS = 12;
const DEADLINE_MS = 1_200;
/** Longest time after its deadline at which a request may end. */
const LATE_MS = 1_000;
/** Time after its caller's in which a host writes of a cut. */
const HOST_LINE_MS = 100;
const HOSTS = 3;
const PATHS = ["/stamp/x", "/lookup/x", "/review/x", "/draft/x", "/gone/x"];

/** Heads that no endpoint should send. */
const RAW_RESPONSES = [
  "HTTP/1.1 099 Odd\r\nx-attempt-id: {id}\r\nx-response-signature: s\r\n\r\n",
  "HTTP/1.1 101 Switching Protocols\r\nupgrade: odd\r\nconnection: upgrade\r\n\r\n",
  "HTTP/1.1 200 O\x01K\r\nx-attempt-id: {id}\r\nx-response-signature: s\r\ncontent-length: 2\r\n\r\nok",
  "HTTP/1.1 204 No Content\r\nx-attempt-id: {id}\r\nx-response-signature: s\r\n\r\nmore",
  "no response at all\r\n\r\n",
  "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: s\r\ncontent-length: 999\r\n\r\nshort",
  "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
];
const FAULTS = Object.values(EngineFault);

let fleet: GatewayFleet;

afterEach(() => fleet.stop());

interface Soak {
  /** Hosts that callers open connections to, as a load balancer chooses them. */
  inRotation: RunningGateway[];
  random: () => number;
  end_ms: number;
  /** Ends by what the callers saw. */
  ends: Map<string, number>;
  /** Attempt ids of requests that ended with less than a whole response. */
  unfinished: string[];
  /** Requests that ended too late. */
  late: string[];
}

function pick<T>({ random }: Soak, values: readonly T[]): T {
  return values[Math.floor(random() * values.length)] as T;
}

/** Whether a request crossed the close of its kept connection, not passed on. */
function mayHaveCrossedClose(
  { attempt, view, isReused }: {
    attempt: string;
    view: CallerView;
    isReused: boolean;
  },
): boolean {
  return isReused && view === CallerView.Nothing &&
    ![...fleet.engines.values()].flat()
      .flatMap(({ receivedRequests }) => receivedRequests)
      .some(({ headers }) => headers["x-attempt-id"] === attempt);
}

async function runCaller(soak: Soak, name: string): Promise<void> {
  let caller: RawCaller | undefined;
  for (let n = 0; performance.now() < soak.end_ms; n++) {
    const attempt = `${name}-${n}`;
    const { callers } = pick(soak, soak.inRotation);
    let isReused: boolean;
    try {
      isReused = caller !== undefined && !caller.closed &&
        soak.random() > 0.3;
      if (!isReused) {
        caller?.close();
        caller = await RawCaller.open(callers);
      }
    } catch {
      caller = undefined;
      await sleep(20);
      continue;
    }
    const started_ms = performance.now();
    if (caller === undefined) continue;
    caller.write(rawRequest(pick(soak, PATHS), {
      "x-attempt-id": attempt,
      "x-deadline-ms": String(DEADLINE_MS),
      "x-prompt-prefix": `aa:100,${n % 7}b:50,cc:10`,
    }));
    const { view, status, text } = await caller.outcome();
    const end = `${view} ${status}`;
    soak.ends.set(end, (soak.ends.get(end) ?? 0) + 1);
    if (performance.now() - started_ms > DEADLINE_MS + LATE_MS) {
      soak.late.push(`${attempt} ${end}`);
    }
    if (view !== CallerView.Complete) {
      if (!mayHaveCrossedClose({ attempt, view, isReused })) {
        soak.unfinished.push(attempt);
      }
      caller.close();
    } else if (/connection: close/i.test(text)) caller.close();
  }
  caller?.close();
}

async function disturbEngines(soak: Soak): Promise<void> {
  const engines = [...fleet.engines.values()].flat();
  while (performance.now() < soak.end_ms) {
    const engine = pick(soak, engines);
    engine.fault = pick(soak, FAULTS);
    engine.remainingFaults = 1 + Math.floor(soak.random() * 4);
    engine.raw_response = soak.random() < 0.3
      ? pick(soak, RAW_RESPONSES)
      : undefined;
    engine.rate_limit_per_s = soak.random() < 0.1 ? 20 : undefined;
    await sleep(30 + 100 * soak.random());
  }
  for (const engine of engines) {
    engine.fault = EngineFault.None;
    engine.raw_response = undefined;
  }
}

async function changeConfiguration(soak: Soak): Promise<void> {
  const changes: Record<string, unknown>[] = [
    {},
    { services: [] },
    { tenants: [{ name: "Žižkov", api_keys: ["key-docks"] }] },
    { tenants: [] },
    {
      limits: {
        max_header_bytes: 8_192,
        max_body_bytes: 20_000,
        header_timeout_ms: 500,
        idle_timeout_ms: 30,
      },
    },
    { routes: "odd" },
  ];
  while (performance.now() < soak.end_ms) {
    fleet.publishManifest(pick(soak, changes));
    await sleep(50 + 200 * soak.random());
  }
}

async function writeOddEntries(soak: Soak): Promise<void> {
  const specs = [
    { address: "127.0.0.1:99999" },
    { address: "999.1.1.1:80" },
    { slots: 1e308 },
    { service: "x".repeat(5_000) },
    { state: "odd" },
  ];
  while (performance.now() < soak.end_ms) {
    const service = pick(soak, Object.values(Service));
    const name = `odd-${Math.floor(soak.random() * 5)}`;
    fleet.store.put("servers", name, {
      service,
      address: "127.0.0.1:1",
      zone: "az-1",
      slots: 4,
      state: "ready",
      born: 1,
      ...pick(soak, specs),
    });
    await sleep(100);
    fleet.store.remove("servers", name);
  }
}

/** Drains one host and starts another in its place. */
async function replaceHosts(soak: Soak): Promise<void> {
  let number = HOSTS;
  while (performance.now() < soak.end_ms - 4_000) {
    await sleep(500 * soak.random());
    soak.inRotation.shift()?.gateway.drain();
    number += 1;
    const started = await fleet.startGateway(number);
    await waitUntil(() =>
      started.logLines.some((line) => line.includes("state=ready"))
    );
    soak.inRotation.push(started);
    await sleep(2_000);
  }
}

/** Bytes of bodies that hosts hold, from their metrics. */
async function heldBodyBytes(): Promise<number> {
  let sum = 0;
  for (const { metrics, logLines } of fleet.gateways) {
    if (logLines.some((line) => line.includes("event=drained"))) continue;
    const text = await (await fetch(`http://${metrics}/metrics`)).text();
    const values = text.matchAll(/^sesamequay_held_body_bytes\{.*\} (\d+)/gm);
    for (const [, value] of values) sum += Number(value);
  }
  return sum;
}

function logLines(): string[] {
  return fleet.gateways.flatMap(({ logLines }) => logLines);
}

for (const seed of SEEDS) {
  test(`each request has one end, seed ${seed}`, async (t) => {
    const engines = defaultEngines();
    engines[Service.Model] = [
      { id: "model-1", events: 12, work_ms: 20, crash_part: "3b" },
      { id: "model-2", events: 12, work_ms: 20 },
    ];
    fleet = new GatewayFleet({ gateways: HOSTS, engines, drain_timeout_s: 4 });
    await fleet.start();
    const soak: Soak = {
      random: createRandom(seed),
      inRotation: [...fleet.gateways],
      end_ms: performance.now() + DURATION_MS,
      ends: new Map(),
      unfinished: [],
      late: [],
    };
    await Promise.all([
      ...Array.from({ length: CALLERS }, (_, n) => runCaller(soak, `c${n}`)),
      disturbEngines(soak),
      changeConfiguration(soak),
      writeOddEntries(soak),
      replaceHosts(soak),
    ]);
    t.diagnostic(`seed ${seed}: ${JSON.stringify([...soak.ends])}`);
    // In one process, a caller sees a cut before its host does.
    await sleep(HOST_LINE_MS);
    const lines = logLines();
    const cuts = lines.filter((line) => line.includes("event=request_cut"));
    const unaccounted = soak.unfinished.filter((attempt) =>
      !cuts.some((line) => line.includes(`attempt=${attempt} `))
    );
    for (const attempt of unaccounted) {
      const own = lines.filter((line) => line.includes(`attempt=${attempt} `));
      t.diagnostic([`${attempt} has no line of its cut:`, ...own].join("\n"));
    }
    const faults = lines.filter((line) =>
      /event=fault|end=no_outcome/.test(line)
    );
    const heldBytes = await heldBodyBytes();
    assert.deepEqual({ faults, unaccounted, late: soak.late, heldBytes }, {
      faults: [],
      unaccounted: [],
      late: [],
      heldBytes: 0,
    });
  });
}

/**
 * Streams that callers resume, while endpoints of several software versions
 * crash, start again with other software and are replaced, and hosts drain or
 * vanish. No stream is joined from two versions, ends as a whole one without all
 * of its events, or has them out of order. The seeds are printed;
 * SESAMEQUAY_SOAK_SEEDS, separated by commas, replaces them.
 */
import assert from "node:assert/strict";
import { afterEach, test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Engine, EngineFault } from "../../stand_ins/deployment/engine.ts";
import {
  GatewayFleet,
  type RunningGateway,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { callStream } from "../../stand_ins/deployment/stream_caller.ts";
import { createRandom } from "../../stand_ins/seeded_random.ts";

const SEEDS = (process.env.SESAMEQUAY_SOAK_SEEDS ?? "1,2,3").split(",")
  .map(Number);
const DURATION_MS = 8_000;
const CALLERS = 12;
const HOSTS = 4;
const ENDPOINTS = 6;
const EVENTS = 12;
const DEADLINE_MS = 4_000;
const MAX_RESUMPTIONS = 4;
/** The users' rule: more than two streams of a day break it. */
const MAX_JOINED = 2;
/** Time for which an endpoint that leaves still serves. */
const LINGER_MS = 600;

let fleet: GatewayFleet;

afterEach(() => fleet.stop());

interface Soak {
  /** Whether crashed endpoints may start anew, under their ids, with newer software. */
  restartsAnew: boolean;
  random: () => number;
  end_ms: number;
  /** Hosts that callers open connections to. */
  inRotation: RunningGateway[];
  /** Number of the newest software version. */
  newest: number;
  began: number;
  whole: number;
  resumed: number;
  wentOn: number;
  /** First attempts of streams with events of several versions. */
  joined: string[];
  /** First attempts of streams whose events are not in order, or not all there. */
  broken: string[];
}

function pick<T>({ random }: Soak, values: readonly T[]): T {
  return values[Math.floor(random() * values.length)] as T;
}

async function runCaller(soak: Soak, name: string): Promise<void> {
  for (let n = 0; performance.now() < soak.end_ms; n++) {
    await readStream(soak, `${name}-${n}`);
  }
}

/** Reads one stream, and resumes it as often as it breaks. */
async function readStream(soak: Soak, first: string): Promise<void> {
  const deadline_ms = performance.now() + DEADLINE_MS;
  const event_ids: number[] = [];
  const versions = new Set<string>();
  let isWhole = false;
  for (let attempt = 0; attempt <= MAX_RESUMPTIONS && !isWhole; attempt++) {
    const last = event_ids.length;
    const seen = await callStream(pick(soak, soak.inRotation).callers, {
      attempt_id: attempt === 0 ? first : `${first}-${attempt}`,
      resumes: last === 0 ? undefined : first,
      last_event_id: last === 0 ? undefined : last,
      deadline_ms: Math.max(1, Math.round(deadline_ms - performance.now())),
    });
    // Without an event the stream has not begun, and begins anew.
    if (last === 0 && seen.event_ids.length === 0) {
      await sleep(50);
      if (attempt === 0) return;
      break;
    }
    if (last > 0) soak.resumed += 1;
    if (last > 0 && seen.event_ids.length > 0) soak.wentOn += 1;
    event_ids.push(...seen.event_ids);
    for (const version of seen.versions) versions.add(version);
    isWhole = seen.status === 200 && seen.complete;
    await sleep(20 + 80 * soak.random());
  }
  recordStream(soak, { first, event_ids, versions, isWhole });
}

function recordStream(
  soak: Soak,
  { first, event_ids, versions, isWhole }: {
    first: string;
    event_ids: number[];
    versions: ReadonlySet<string>;
    isWhole: boolean;
  },
): void {
  soak.began += 1;
  if (isWhole) soak.whole += 1;
  if (versions.size > 1) soak.joined.push(`${first} ${[...versions]}`);
  const inOrder = event_ids.every((id, index) => id === index + 1);
  if (!inOrder || (isWhole && event_ids.length !== EVENTS)) {
    soak.broken.push(`${first} ${event_ids}`);
  }
}

function models(): Engine[] {
  return fleet.engines.get(Service.Model) ?? [];
}

/** Writes an endpoint's entry with its software version. */
function register(endpoint: Engine, changes: object = {}): void {
  fleet.registerEngine(Service.Model, endpoint, {
    version: endpoint.software_version,
    ...changes,
  });
}

/** Breaks streams off, crashes endpoints and lets some start with new software. */
async function disturbEndpoints(soak: Soak): Promise<void> {
  while (performance.now() < soak.end_ms) {
    const endpoint = pick(soak, models());
    const chance = soak.random();
    if (chance < 0.2) {
      if (soak.restartsAnew && soak.random() < 0.3) {
        endpoint.onRestart = () => {
          endpoint.software_version = `v${soak.newest}`;
          register(endpoint);
        };
      }
      endpoint.crash();
    } else {
      endpoint.fault = EngineFault.StreamTruncated;
      endpoint.remainingFaults = 1 + Math.floor(soak.random() * 4);
    }
    await sleep(40 + 120 * soak.random());
  }
  for (const endpoint of models()) endpoint.fault = EngineFault.None;
}

/** Replaces endpoints by those of newer versions; the new one starts first. */
async function release(soak: Soak): Promise<void> {
  const leaving: Engine[] = [];
  let number = ENDPOINTS;
  while (performance.now() < soak.end_ms) {
    await sleep(300 + 700 * soak.random());
    if (soak.random() < 0.3) soak.newest += 1;
    await startEndpoint(soak, `model-${number}`);
    number += 1;
    const old = models()[0] as Engine;
    register(old, { state: "draining" });
    models().splice(0, 1);
    leaving.push(old);
    await sleep(LINGER_MS);
    fleet.store.remove("servers", old.id);
    await sleep(LINGER_MS * soak.random());
    old.stop();
  }
  for (const endpoint of leaving) endpoint.stop();
}

async function startEndpoint({ newest }: Soak, id: string): Promise<void> {
  const endpoint = new Engine({ id, events: EVENTS, work_ms: 15 });
  endpoint.software_version = `v${newest}`;
  endpoint.onRestart = () => register(endpoint);
  await endpoint.start();
  models().push(endpoint);
  register(endpoint);
}

/** Drains hosts or stops them at once, sometimes all, and starts others. */
async function replaceHosts(soak: Soak): Promise<void> {
  let number = HOSTS;
  while (performance.now() < soak.end_ms - 3_000) {
    await sleep(300 + 700 * soak.random());
    const count = soak.random() < 0.2 ? HOSTS : 1;
    const leaving = soak.inRotation.slice(0, count);
    for (const { gateway } of leaving) {
      if (count === 1 && soak.random() < 0.5) gateway.drain();
      else gateway.stop();
    }
    const started: RunningGateway[] = [];
    for (let n = 0; n < count; n++) {
      number += 1;
      started.push(await fleet.startGateway(number));
    }
    await waitUntil(() =>
      started.every(({ logLines }) =>
        logLines.some((line) => line.includes("state=ready"))
      )
    );
    soak.inRotation.splice(0, count);
    soak.inRotation.push(...started);
  }
}

async function playSoak(
  t: TestContext,
  { seed, restartsAnew }: { seed: number; restartsAnew: boolean },
): Promise<void> {
  fleet = new GatewayFleet({
    gateways: HOSTS,
    timeout_ms: DEADLINE_MS,
    drain_timeout_s: 3,
    engines: {
      [Service.Desk]: [{ id: "desk-1" }],
      [Service.Model]: [],
      [Service.Encode]: [],
      [Service.Rank]: [],
    },
  });
  await fleet.start();
  const soak: Soak = {
    restartsAnew,
    random: createRandom(seed),
    end_ms: performance.now() + DURATION_MS,
    inRotation: [...fleet.gateways],
    newest: 1,
    began: 0,
    whole: 0,
    resumed: 0,
    wentOn: 0,
    joined: [],
    broken: [],
  };
  for (let n = 0; n < ENDPOINTS; n++) {
    soak.newest = 1 + n % 2;
    await startEndpoint(soak, `model-${n}`);
  }
  await Promise.all([
    ...Array.from({ length: CALLERS }, (_, n) => runCaller(soak, `c${n}`)),
    disturbEndpoints(soak),
    release(soak),
    replaceHosts(soak),
  ]);
  const { began, whole, resumed, wentOn, joined, broken } = soak;
  t.diagnostic(
    `seed ${seed}: ${began} streams, ${whole} whole, ${resumed} resumed, ` +
      `${wentOn} went on, joined: ${joined}`,
  );
  const lines = fleet.gateways.flatMap(({ logLines }) => logLines);
  for (const stream of [...joined, ...broken]) {
    const [first = ""] = stream.split(" ");
    const own = lines.filter((line) =>
      line.includes(`attempt=${first} `) || line.includes(`attempt=${first}-`)
    );
    t.diagnostic([`${stream}:`, ...own].join("\n"));
  }
  assert.deepEqual(broken, []);
  assert.ok(joined.length <= MAX_JOINED, joined.join("; "));
  assert.ok(wentOn > 0, "no stream went on");
}

for (const seed of SEEDS) {
  test(`no stream is joined from two versions, seed ${seed}`, (t) =>
    playSoak(t, { seed, restartsAnew: false }));

  test(`no stream is joined while endpoints start anew with other software, seed ${seed}`, (t) =>
    playSoak(t, { seed, restartsAnew: true }));
}

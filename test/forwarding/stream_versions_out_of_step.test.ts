/**
 * A host that is out of step while endpoints of another software version join
 * lets no stream of theirs go on at the version that it knows.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Engine } from "../../stand_ins/deployment/engine.ts";
import {
  GatewayFleet,
  type RunningGateway,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  callStream,
  type SeenStream,
} from "../../stand_ins/deployment/stream_caller.ts";
import { Direction, TcpLink } from "../../stand_ins/tcp_link.ts";

const STREAMS = 24;
const ROUTE_TIMEOUT_MS = 1_500;
/** Longer than a stream can be old, with the margin that hosts add. */
const STREAM_LIFE_MS = ROUTE_TIMEOUT_MS + 1_100;
/** Longer than the tests, so that a silent watch doesn't end by itself. */
const WATCH_MS = 20_000;

/** Two endpoints of `v1`, and a third that has not registered yet. */
async function startFleet(
  t: TestContext,
  gateways: number,
  readers?: number,
): Promise<GatewayFleet> {
  const model = (n: number) => ({ id: `model-${n}`, events: 6, work_ms: 20 });
  const fleet = new GatewayFleet({
    gateways,
    readers,
    timeout_ms: ROUTE_TIMEOUT_MS,
    watch_ms: WATCH_MS,
    engines: {
      [Service.Desk]: [{ id: "desk-1" }],
      [Service.Model]: [model(0), model(1), model(2)],
      [Service.Encode]: [],
      [Service.Rank]: [],
    },
  });
  t.after(() => fleet.stop());
  await fleet.start();
  await fleet.waitForMembers();
  fleet.store.remove("servers", "model-2");
  await waitForLine(fleet.gateways, /endpoint=model-2 .*state=removed/);
  return fleet;
}

async function waitForLine(
  hosts: readonly RunningGateway[],
  line: RegExp,
): Promise<void> {
  await waitUntil(() =>
    hosts.every(({ logLines }) => logLines.some((each) => line.test(each)))
  );
}

/** Registers the third endpoint with other software. */
function release(fleet: GatewayFleet): void {
  const version = { version: "v2", sequence: 2 };
  fleet.registerEngine(Service.Model, fleet.engine(Service.Model, 2), version);
}

/** Streams that are begun at some hosts, left, and resumed at another. */
async function resumeAt(
  host: RunningGateway,
  beginAt: readonly RunningGateway[],
  { series = "" } = {},
): Promise<SeenStream[]> {
  const first = await Promise.all(
    Array.from({ length: STREAMS }, (_, n) => {
      const { callers } = beginAt[n % beginAt.length] as RunningGateway;
      const attempt_id = `${series}first-${n}`;
      return callStream(callers, { attempt_id, leaves_after: 2 });
    }),
  );
  return await Promise.all(
    first.map(({ event_ids }, n) =>
      callStream(host.callers, {
        attempt_id: `${series}second-${n}`,
        resumes: `${series}first-${n}`,
        last_event_id: event_ids.length,
        deadline_ms: 1_000,
      })
    ),
  );
}

function countGoneOn(resumed: readonly SeenStream[]): number {
  return resumed.filter(({ status, complete }) => status === 200 && complete)
    .length;
}

/** Number of streams that ran at the third endpoint and at another one. */
function countJoined(fleet: GatewayFleet): number {
  const models = fleet.engines.get(Service.Model) ?? [];
  const ran = ({ receivedRequests }: Engine, attempt: string) =>
    receivedRequests.some(({ headers }) => headers["x-attempt-id"] === attempt);
  return Array.from({ length: STREAMS }).filter((_, n) => {
    const usedNew = models.map((model, index) => {
      const isUsed = [`first-${n}`, `second-${n}`]
        .some((attempt) => ran(model, attempt));
      return isUsed ? index === 2 : undefined;
    });
    return usedNew.includes(true) && usedNew.includes(false);
  }).length;
}

/** Starts a host that reads the store through a link of its own. */
async function startBehindLink(
  t: TestContext,
  fleet: GatewayFleet,
): Promise<{ host: RunningGateway; link: TcpLink }> {
  const link = new TcpLink(fleet.store.address);
  t.after(() => link.stop());
  const store_address = await link.start();
  const host = await fleet.startGateway(9, [], { store_address });
  await waitForLine([host], /state=ready/);
  await waitForLine([host], /event=endpoints /);
  await waitForLine([host], /event=members count=[23]/);
  return { host, link };
}

test("a host that is cut off, and doesn't know it yet, joins no streams of a version that it hasn't heard of", async (t) => {
  const fleet = await startFleet(t, 2);
  const { host, link } = await startBehindLink(t, fleet);
  await sleep(STREAM_LIFE_MS);
  link.cut(Direction.Both);
  const others = fleet.gateways.splice(0, 2);
  for (const { gateway } of others) gateway.stop();
  const beginAt = [await fleet.startGateway(5), await fleet.startGateway(6)];
  release(fleet);
  await waitForLine(beginAt, /state=ready/);
  await waitForLine(beginAt, /pool=model versions=v1,v2/);
  await resumeAt(host, beginAt);
  assert.equal(countJoined(fleet), 0);
});

test("streams go on at a host whose source is silent, while other hosts know of one version only", async (t) => {
  const fleet = await startFleet(t, 2);
  const { host, link } = await startBehindLink(t, fleet);
  await sleep(STREAM_LIFE_MS);
  link.cut(Direction.Both);
  const resumed = await resumeAt(host, fleet.gateways.slice(0, 2));
  assert.equal(countGoneOn(resumed), STREAMS);
});

test("streams go on at hosts that follow another one's reading of the store", async (t) => {
  const fleet = await startFleet(t, 3, 1);
  await sleep(STREAM_LIFE_MS);
  for (const host of fleet.gateways) {
    const series = `at-${host.callers.replace(":", "-")}-`;
    const resumed = await resumeAt(host, fleet.gateways, { series });
    assert.equal(countGoneOn(resumed), STREAMS);
  }
});

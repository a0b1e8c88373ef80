/**
 * RECOVER: some hosts lose their links to all endpoints for some seconds, while
 * callers and the other hosts still reach them. Their callers are served nearly
 * as often as those of the other hosts.
 */
import assert from "node:assert/strict";
import { request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import {
  EndpointLinks,
  LinkCut,
} from "../../stand_ins/deployment/endpoint_links.ts";
import { getJson } from "../../stand_ins/json_client.ts";
import {
  ApiKey,
  GatewayFleet,
  Service,
} from "../../stand_ins/deployment/gateway_fleet.ts";

const HOSTS = 5;
/** Time from a cut from which the rule counts. */
const CONTACT_MS = 3_000;
const COUNTED_MS = 3_000;
/** From the cut's end until all exchanges go directly again. */
const RETURN_MS = 3_000;
const REQUESTS_PER_S = 8;
const DEADLINE_MS = 1_400;
/** Connections of a cut host to endpoints in that time: four a second. */
const MAX_ATTEMPTS = 4 * COUNTED_MS / 1_000 + 1;
/** Least ratio between the shares served at cut hosts and at the others. */
const MIN_RATIO = 2 / 3;

/** Least share that is served once the cut has ended, on the way back too. */
const MIN_SERVED_AFTER = 0.9;

enum Path {
  Safe = "/lookup/x",
  Unsafe = "/stamp/x",
  Stream = "/draft/x",
  Staged = "/review/x",
}

const STREAM_PATHS: ReadonlySet<Path> = new Set([Path.Stream, Path.Staged]);

interface Sent {
  gateway: number;
  path: Path;
  id: string;
  sent_ms: number;
  status: number;
  complete: boolean;
  text: string;
}

let attempts = 0;

function call(address: string, gateway: number, path: Path): Promise<Sent> {
  const [host, port] = address.split(":");
  const id = `cut-${attempts++}`;
  const sent: Sent = {
    gateway,
    path,
    id,
    sent_ms: performance.now(),
    status: 0,
    complete: false,
    text: "",
  };
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port,
      path,
      method: "POST",
      agent: false,
      headers: {
        host: "fleet.example",
        "x-attempt-id": id,
        "x-key": ApiKey.Docks,
        "x-deadline-ms": String(DEADLINE_MS),
        "x-pieces": "1,1",
        "x-piece-key": id,
      },
    });
    outgoing.on("error", () => resolve(sent));
    outgoing.on("response", (incoming) => {
      sent.status = incoming.statusCode ?? 0;
      incoming.setEncoding("utf8");
      incoming.on("data", (text: string) => sent.text += text);
      incoming.on("error", () => {});
      incoming.on("close", () => {
        sent.complete = incoming.complete;
        resolve(sent);
      });
    });
    outgoing.end(id);
  });
}

interface Load {
  /** Stops sending; resolves to all that was sent. */
  finish(): Promise<Sent[]>;
}

/** Sends each kind of request to each host at a steady rate. */
function startLoad(t: TestContext, fleet: GatewayFleet): Load {
  const pending: Promise<Sent>[] = [];
  const paths = Object.values(Path);
  let turn = 0;
  const timer = setInterval(() => {
    const path = paths[turn++ % paths.length] ?? Path.Safe;
    fleet.gateways.forEach(({ callers }, index) =>
      pending.push(call(callers, index + 1, path))
    );
  }, 1_000 / REQUESTS_PER_S / paths.length);
  t.after(() => clearInterval(timer));
  return {
    finish() {
      clearInterval(timer);
      return Promise.all(pending);
    },
  };
}

function isServed({ status, complete, path, text }: Sent): boolean {
  if (status !== 200 || !complete) return false;
  return !STREAM_PATHS.has(path) || text.endsWith("\n\n");
}

function servedShare(sent: Sent[]): number {
  return sent.filter(isServed).length / Math.max(1, sent.length);
}

/** Exchanges that went through other hosts so far. */
async function carriedExchanges(fleet: GatewayFleet): Promise<number> {
  let sum = 0;
  for (const { metrics } of fleet.gateways) {
    const { text } = await getJson(metrics, "/metrics");
    const counts = text.matchAll(
      /^sesamequay_carried_exchanges_total\{side="sender".*\} (\d+)$/gm,
    );
    for (const [, count] of counts) sum += Number(count);
  }
  return sum;
}

async function playCut(t: TestContext, cutHosts: number[], cut: LinkCut) {
  const links = new EndpointLinks();
  const fleet = new GatewayFleet({
    gateways: HOSTS,
    engineLinks: links.connect,
  });
  t.after(() => {
    fleet.stop();
    links.stop();
  });
  await fleet.start();
  await fleet.waitForMembers();
  const load = startLoad(t, fleet);
  await sleep(1_500);
  const cut_ms = performance.now();
  for (const gateway of cutHosts) links.cut(gateway, cut);
  await sleep(CONTACT_MS);
  const before = cutHosts.map((gateway) => links.connections(gateway));
  await sleep(COUNTED_MS);
  const attempts = cutHosts.map((gateway, index) =>
    links.connections(gateway) - (before[index] ?? 0)
  );
  for (const count of attempts) {
    assert.ok(count <= MAX_ATTEMPTS, `${count} connections during the cut`);
  }
  for (const gateway of cutHosts) links.heal(gateway);
  const healed_ms = performance.now();
  await sleep(RETURN_MS);
  const carried = await carriedExchanges(fleet);
  await sleep(1_000);
  const sent = await load.finish();
  assert.ok(carried > 0 || cut === LinkCut.RefuseNew);
  assert.equal(await carriedExchanges(fleet), carried, "go direct again");
  for (const { text, path, complete, status } of sent) {
    if (!STREAM_PATHS.has(path) || status !== 200) continue;
    const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    assert.deepEqual(ids, ids.map((_, index) => index + 1));
    if (complete) assert.deepEqual(ids, [1, 2, 3, 4, 5]);
  }
  const runs = new Map<string, number>();
  for (const engine of fleet.engines.get(Service.Desk) ?? []) {
    for (const { target, body } of engine.receivedRequests) {
      if (target !== Path.Unsafe) continue;
      runs.set(body, (runs.get(body) ?? 0) + 1);
    }
  }
  const repeated = [...runs].filter(([, count]) => count > 1);
  assert.deepEqual(repeated, [], "unsafe requests run more than once");
  for (const { id, path, status, text } of sent) {
    const claimsNotRun = status === 503 && !text.includes("may have");
    if (path !== Path.Unsafe || !claimsNotRun) continue;
    assert.ok(!runs.has(id), `${id} is told as not run: ${text}`);
  }
  const returned = sent.filter(({ sent_ms, gateway }) =>
    sent_ms > healed_ms && cutHosts.includes(gateway)
  );
  const served = returned.filter(isServed).length;
  const figures = `${served} of ${returned.length} after the cut`;
  t.diagnostic(figures);
  assert.ok(served >= MIN_SERVED_AFTER * returned.length, figures);
  return { sent, cut_ms };
}

/** The shares served at cut hosts and at the others, by kind. */
function assertRecovered(
  sent: Sent[],
  cutHosts: number[],
  from_ms: number,
): void {
  const counted = sent.filter(({ sent_ms }) =>
    sent_ms >= from_ms && sent_ms < from_ms + COUNTED_MS - DEADLINE_MS
  );
  for (const path of Object.values(Path)) {
    const of = (isCut: boolean) =>
      counted.filter((each) =>
        each.path === path && cutHosts.includes(each.gateway) === isCut
      );
    const [cut, others] = [of(true), of(false)];
    const figures = `${path}: ${cut.filter(isServed).length} of ${cut.length}` +
      ` at cut hosts, ${others.filter(isServed).length} of ${others.length}`;
    assert.ok(others.length > 0 && servedShare(others) > 0.9, figures);
    assert.ok(
      servedShare(cut) >= MIN_RATIO * servedShare(others),
      figures,
    );
  }
}

for (const cut of Object.values(LinkCut)) {
  test(`callers of three hosts that lost all endpoints are served: ${cut}`, async (t) => {
    const hosts = [1, 2, 4];
    const { sent, cut_ms } = await playCut(t, hosts, cut);
    assertRecovered(sent, hosts, cut_ms + CONTACT_MS);
  });
}

for (const cut of [LinkCut.Hang, LinkCut.Reset]) {
  test(`callers of all hosts of a zone that lost all endpoints are served: ${cut}`, async (t) => {
    const hosts = [1, 3, 5];
    const { sent, cut_ms } = await playCut(t, hosts, cut);
    assertRecovered(sent, hosts, cut_ms + CONTACT_MS);
  });
}

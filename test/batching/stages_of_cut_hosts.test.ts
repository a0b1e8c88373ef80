/**
 * RECOVER: the hosts that batch for the stages' pools lose their links to all
 * endpoints. The callers of all hosts are served, and no piece is computed twice.
 */
import assert from "node:assert/strict";
import { request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import {
  EndpointLinks,
  LinkCut,
} from "../../stand_ins/deployment/endpoint_links.ts";
import {
  ApiKey,
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";

const HOSTS = 5;
/** Time from a cut from which the rule counts. */
const CONTACT_MS = 3_000;
const COUNTED_MS = 3_000;
const REQUESTS_PER_S = 12;
const PIECES = 3;
/** At most this share of all first tries may fail, and ten more. */
const MAX_FAILED_SHARE = 1 / 50;
const MAX_FAILED = 10;

interface Sent {
  id: string;
  sent_ms: number;
  isServed: boolean;
}

let attempts = 0;

function review(address: string): Promise<Sent> {
  const [host, port] = address.split(":");
  const id = `staged-${attempts++}`;
  const sent_ms = performance.now();
  return new Promise((resolve) => {
    const end = (isServed: boolean) => resolve({ id, sent_ms, isServed });
    const outgoing = request({
      host,
      port,
      path: "/review/x",
      method: "POST",
      agent: false,
      headers: {
        host: "fleet.example",
        "x-attempt-id": id,
        "x-key": ApiKey.Docks,
        "x-deadline-ms": "1400",
        "x-pieces": `${PIECES},${PIECES}`,
        "x-piece-key": id,
      },
    });
    outgoing.on("error", () => end(false));
    outgoing.on("response", (incoming) => {
      let text = "";
      incoming.setEncoding("utf8");
      incoming.on("data", (chunk: string) => text += chunk);
      incoming.on("error", () => {});
      incoming.on(
        "close",
        () => end(incoming.statusCode === 200 && /^id: 5$/m.test(text)),
      );
    });
    outgoing.end(id);
  });
}

/** Numbers of the hosts that called an endpoint for pieces lately. */
function batchingHosts(fleet: GatewayFleet): number[] {
  return fleet.gateways.flatMap(({ logLines }, index) =>
    logLines.some((line) => line.includes("event=stage_call"))
      ? [index + 1]
      : []
  );
}

/** How often each piece of an attempt was asked for, over all endpoints. */
function piecesOf(fleet: GatewayFleet): Map<string, number> {
  const counts = new Map<string, number>();
  for (const service of [Service.Encode, Service.Rank]) {
    for (const engine of fleet.engines.get(service) ?? []) {
      for (const { id, stage, piece } of engine.pieceCalls.flat()) {
        const key = `${id} ${stage}/${piece}`;
        counts.set(key, (counts.get(key) ?? 0) + 1);
      }
    }
  }
  return counts;
}

for (const cut of Object.values(LinkCut)) {
  test(`stages go on while their batchers are cut off: ${cut}`, async (t) => {
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
    const pending: Promise<Sent>[] = [];
    let turn = 0;
    const load = setInterval(() => {
      const gateway = fleet.gateways[turn++ % HOSTS];
      if (gateway !== undefined) pending.push(review(gateway.callers));
    }, 1_000 / REQUESTS_PER_S);
    t.after(() => clearInterval(load));
    await sleep(1_500);
    const cutHosts = batchingHosts(fleet);
    assert.ok(cutHosts.length > 0 && cutHosts.length < HOSTS);
    const cut_ms = performance.now();
    for (const host of cutHosts) links.cut(host, cut);
    await sleep(CONTACT_MS + COUNTED_MS);
    for (const host of cutHosts) links.heal(host);
    await waitUntil(
      () => cutHosts.every((host) => isDirectAgain(fleet, host)),
      5_000,
    );
    clearInterval(load);
    const sent = await Promise.all(pending);
    const counted = sent.filter(({ sent_ms }) =>
      sent_ms >= cut_ms + CONTACT_MS
    );
    const failed = counted.filter(({ isServed }) => !isServed);
    t.diagnostic(
      `${failed.length} of ${counted.length} failed; since the cut ` +
        `${sent.filter((each) => !each.isServed).length} of ${sent.length}`,
    );
    assert.ok(
      failed.length <= MAX_FAILED + MAX_FAILED_SHARE * counted.length,
      `${failed.length} of ${counted.length} failed`,
    );
    const ids = new Set(counted.map(({ id }) => id));
    const twice = [...piecesOf(fleet)].filter(([key, count]) =>
      count > 1 && ids.has(key.split(" ")[0] ?? "")
    );
    assert.deepEqual(twice, [], "pieces were computed twice");
  });
}

/** Whether a host has no endpoint left that only others reach. */
function isDirectAgain(fleet: GatewayFleet, host: number): boolean {
  const lines = fleet.gateways[host - 1]?.logLines ?? [];
  const count = (event: string) =>
    lines.filter((line) => line.includes(`event=${event} `)).length;
  return count("endpoint_out_of_reach") === count("endpoint_reached_again");
}

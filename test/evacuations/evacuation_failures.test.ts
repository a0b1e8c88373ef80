/** What hosts do as things fail around an evacuation: the table of the design. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";
import {
  type GatewayFleet,
  type RunningGateway,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { StoreFault } from "../../stand_ins/deployment/object_store.ts";
import { Direction, TcpLink } from "../../stand_ins/tcp_link.ts";
import {
  call,
  firstGateway,
  IN_FORCE_MS,
  KIND,
  receivedBy,
  startFleet,
  waitForLine,
} from "./evacuating_fleet.ts";

function hasLine({ logLines }: RunningGateway, ...texts: string[]): boolean {
  return logLines.some((line) => texts.every((text) => line.includes(text)));
}

/** Sends requests through every host; resolves to how many came to a zone. */
async function countArrivals(
  fleet: GatewayFleet,
  { index, requests = 10 }: { index: number; requests?: number },
): Promise<number> {
  const before = receivedBy(fleet, Service.Desk, index);
  for (let n = 0; n < requests; n++) {
    for (const gateway of fleet.gateways) {
      assert.equal((await call(gateway, "/stamp/1")).status, 200);
    }
  }
  return receivedBy(fleet, Service.Desk, index) - before;
}

test("hosts go on as before while the store is unavailable, and learn of the change when it returns", async (t) => {
  const fleet = await startFleet(t, { gateways: 2 });
  fleet.store.fault = StoreFault.Unavailable;
  await waitForLine(fleet, "event=source_lost source=evacuations");
  fleet.store.put(KIND, "az-1", {});
  await sleep(IN_FORCE_MS);
  assert.ok(await countArrivals(fleet, { index: 0 }) > 0);
  fleet.store.fault = StoreFault.None;
  await waitForLine(fleet, "event=evacuation zone=az-1 state=begun");
  assert.equal(await countArrivals(fleet, { index: 0 }), 0);
  fleet.store.fault = StoreFault.Unavailable;
  fleet.store.remove(KIND, "az-1");
  await sleep(IN_FORCE_MS);
  assert.equal(await countArrivals(fleet, { index: 0 }), 0);
  fleet.store.fault = StoreFault.None;
  await waitForLine(fleet, "event=evacuation zone=az-1 state=ended");
});

test("a host that is cut off from the store learns of an evacuation, and of its end, from peers", async (t) => {
  const fleet = await startFleet(t);
  const link = new TcpLink(fleet.store.address);
  const store_address = await link.start();
  t.after(() => link.stop());
  const cutOff = await fleet.startGateway(2, [], { store_address });
  await fleet.waitForMembers();
  link.cut(Direction.Both);
  await waitUntil(
    () => hasLine(cutOff, "event=source_lost", "source=evacuations"),
    10_000,
  );
  fleet.store.put(KIND, "az-1", {});
  // A watch at the other host told of it, so requests leave gradually.
  const inForce = "event=evacuations_in_force zones=az-1";
  await waitUntil(
    () => fleet.gateways.every((gateway) => hasLine(gateway, inForce)),
    IN_FORCE_MS,
  );
  assert.equal(await countArrivals(fleet, { index: 0 }), 0);
  fleet.store.remove(KIND, "az-1");
  const ended = "event=evacuation zone=az-1 state=ended";
  await waitUntil(() => hasLine(cutOff, ended));
});

test("a host that starts while the store is unavailable takes the evacuations from a peer before it sends", async (t) => {
  const fleet = await startFleet(t);
  fleet.store.put(KIND, "az-1", {});
  await waitForLine(fleet, "event=evacuations_in_force zones=az-1");
  fleet.store.fault = StoreFault.Unavailable;
  const peers = fleet.gateways.map(({ logLines }) =>
    /peers=(\S+)/.exec(logLines.join("\n"))?.[1] ?? ""
  );
  const started = await fleet.startGateway(2, peers);
  await waitUntil(() => hasLine(started, "state=ready"));
  const before = receivedBy(fleet, Service.Desk, 0);
  await waitUntil(() => hasLine(started, "event=evacuations_confirmed"));
  for (let n = 0; n < 20; n++) {
    assert.equal((await call(started, "/stamp/1")).status, 200);
  }
  assert.equal(receivedBy(fleet, Service.Desk, 0), before);
  assert.ok(hasLine(started, "event=evacuations_confirmed", "cause=start"));
});

test("an evacuation stays in force while the store has an older copy without it, until it is written again", async (t) => {
  const fleet = await startFleet(t, { gateways: 2 });
  const copy = fleet.store.copy();
  fleet.store.put(KIND, "az-1", {});
  await waitForLine(fleet, "event=evacuations_in_force zones=az-1");
  fleet.store.restore(copy);
  await waitForLine(fleet, "event=evacuations_kept");
  assert.equal(await countArrivals(fleet, { index: 0 }), 0);
  await sleep(2_000);
  fleet.store.put(KIND, "az-1", {});
  await sleep(10_000);
  assert.equal(await countArrivals(fleet, { index: 0 }), 0);
  assert.ok(!hasLine(firstGateway(fleet), "state=ended"));
});

test("an evacuation that an older copy of the store brings back is in force", async (t) => {
  const fleet = await startFleet(t, { gateways: 2 });
  fleet.store.put(KIND, "az-1", {});
  const copy = fleet.store.copy();
  fleet.store.remove(KIND, "az-1");
  fleet.store.put(KIND, "az-2", {});
  await waitForLine(fleet, "zone=az-2 state=begun");
  fleet.store.restore(copy);
  await waitUntil(() =>
    fleet.gateways.every(({ logLines }) =>
      logLines.findLast((line) => line.includes("zone=az-1"))
        ?.includes("state=begun") ?? false
    )
  );
});

test("a host that was frozen over the begin of an evacuation lists before it sends", async (t) => {
  const fleet = await startFleet(t);
  const gateway = firstGateway(fleet);
  assert.ok(await countArrivals(fleet, { index: 0 }) > 0);
  fleet.store.put(KIND, "az-1", {});
  // Blocks the loop of this process, and so all that run in it.
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 2_600);
  assert.equal(await countArrivals(fleet, { index: 0 }), 0);
  assert.ok(hasLine(gateway, "event=evacuations_doubted", "cause=pause"));
  assert.ok(hasLine(gateway, "event=evacuations_confirmed", "cause=pause"));
});

test("an evacuation that begins and ends in one delivery has no effect", async (t) => {
  const fleet = await startFleet(t);
  fleet.store.put(KIND, "az-1", {});
  fleet.store.remove(KIND, "az-1");
  await sleep(500);
  assert.ok(!hasLine(firstGateway(fleet), "event=evacuation "));
  assert.ok(await countArrivals(fleet, { index: 0 }) > 0);
});

test("while two zones are evacuated, the end of one has no effect on the other", async (t) => {
  const fleet = await startFleet(t);
  fleet.store.put(KIND, "az-1", {});
  fleet.store.put(KIND, "az-2", {});
  await waitForLine(fleet, "event=evacuations_in_force zones=az-1,az-2");
  const refused = await call(firstGateway(fleet), "/stamp/1");
  assert.deepEqual([refused.status, refused.headers["retry-after"]], [
    503,
    "1.000",
  ]);
  fleet.store.remove(KIND, "az-2");
  await waitForLine(fleet, "event=evacuation zone=az-2 state=ended");
  await sleep(2_100);
  assert.equal(await countArrivals(fleet, { index: 0 }), 0);
});

test("endpoints that start during an evacuation are judged by the zone that their entries name now", async (t) => {
  const fleet = await startFleet(t);
  fleet.store.put(KIND, "az-1", {});
  await waitForLine(fleet, "event=evacuations_in_force zones=az-1");
  const [first, second] = [0, 1].map((n) => fleet.engine(Service.Desk, n));
  assert.ok(first !== undefined && second !== undefined);
  fleet.registerEngine(Service.Desk, first, { zone: "az-2" });
  fleet.registerEngine(Service.Desk, second, { zone: "az-1" });
  await sleep(600);
  assert.equal(await countArrivals(fleet, { index: 1 }), 0);
  assert.ok(await countArrivals(fleet, { index: 0 }) > 0);
});

test("a zone that no endpoint names, or a name that can't be one, gives one warning", async (t) => {
  const fleet = await startFleet(t);
  fleet.store.put(KIND, "nowhere", {});
  fleet.store.put(KIND, "x".repeat(600), {});
  fleet.store.put(KIND, "az-1", "odd");
  await waitForLine(fleet, "zone=az-1 state=begun");
  await sleep(1_000);
  const { logLines, metrics } = firstGateway(fleet);
  const ignored = logLines.filter((line) =>
    line.includes("evacuation_ignored")
  );
  assert.equal(ignored.length, 2, ignored.join("\n"));
  assert.equal(await countArrivals(fleet, { index: 0 }), 0);
  const { text } = await sendJsonRequest(metrics, "/metrics", {
    method: "GET",
  });
  assert.ok(text.includes('sesamequay_zone_share{zone="az-1"} 0'), text);
  assert.ok(text.includes('sesamequay_zone_exchanges{zone="az-2"} 0'), text);
});

for (const gateways of [1, 10]) {
  test(`${gateways} hosts learn of an evacuation in time although their connections to the store fell silent`, async (t) => {
    let link: TcpLink | undefined;
    const fleet = await startFleet(t, {
      gateways,
      readers: 3,
      watch_ms: 8_000,
      in_force_ms: 5_000,
      storeLink(address) {
        link = new TcpLink(address);
        return link.start();
      },
    });
    t.after(() => link?.stop());
    await sleep(600);
    link?.silenceOpen(Direction.Both);
    fleet.store.put(KIND, "az-1", {});
    await sleep(5_000);
    assert.equal(await countArrivals(fleet, { index: 0, requests: 4 }), 0);
  });
}

test("a store that doesn't know the kind leaves the other feeds to their readers", async (t) => {
  const readers = 2;
  const gateways = 5;
  const fleet = await startFleet(t, { gateways: 1, readers, watch_ms: 20_000 });
  fleet.store.unknownKinds.add(KIND);
  const [{ logLines = [] } = {}] = fleet.gateways;
  const seeds = [/peers=(\S+)/.exec(logLines.join("\n"))?.[1] ?? ""];
  for (let n = 2; n <= gateways; n++) await fleet.startGateway(n, seeds);
  await fleet.waitForMembers();
  await sleep(3_000);
  const version = fleet.version;
  fleet.publishManifest({});
  await waitForLine(fleet, `event=configuration version=${version}`);
  assert.ok(await countArrivals(fleet, { index: 0 }) > 0);
  // Four feeds are watched by the readers, and none by the other hosts.
  await waitUntil(() => fleet.store.openWatches <= readers * 4, 20_000);
});

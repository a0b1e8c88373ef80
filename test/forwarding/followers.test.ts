/** Gateway hosts that receive the store's feeds from peers that read it. */
import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import {
  GatewayFleet,
  type RunningGateway,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { StoreFault } from "../../stand_ins/deployment/object_store.ts";

const GATEWAYS = 7;
const READERS = 2;
/** Longer than the tests, so that store calls are caused by changes. */
const WATCH_MS = 20_000;
/** Time within which a change must be active on every host. */
const MAX_PROPAGATION_MS = 2_000;

let fleet: GatewayFleet;

afterEach(() => fleet.stop());

async function startFleet(): Promise<void> {
  fleet = new GatewayFleet({
    gateways: GATEWAYS,
    readers: READERS,
    watch_ms: WATCH_MS,
  });
  await fleet.start();
  // Every host knows all others; those that are not readers follow a reader.
  await waitUntil(() =>
    fleet.gateways.every(({ logLines }) =>
      logLines.some((line) => line.includes(`event=members count=${GATEWAYS}`))
    )
  );
}

function allLogged(gateways: RunningGateway[], text: string): boolean {
  return gateways.every(({ logLines }) =>
    logLines.some((line) => line.includes(text))
  );
}

test("a change reaches every host, and only the reader hosts call the store", async () => {
  await startFleet();
  await new Promise((resolve) => setTimeout(resolve, 2_500));
  const callsBefore = fleet.store.calls;
  const changes = 5;
  for (let change = 0; change < changes; change++) {
    fleet.publishManifest({});
    const version = fleet.version - 1;
    await waitUntil(
      () =>
        allLogged(fleet.gateways, `event=configuration version=${version} `),
      MAX_PROPAGATION_MS,
    );
  }
  // Each reader reads each change once. Its watches last 1.5 s, as other hosts
  // follow it, and add a few calls.
  const maxCalls = READERS * (changes + 4);
  assert.ok(
    fleet.store.calls - callsBefore <= maxCalls,
    `${fleet.store.calls - callsBefore}`,
  );
});

test("hosts that began to watch the store before they knew the fleet leave it", async () => {
  await startFleet();
  const feeds = 4;
  await waitUntil(
    () => fleet.store.openWatches <= READERS * feeds,
    MAX_PROPAGATION_MS,
  );
});

test("every host learns of a draining endpoint within the time limit", async () => {
  await startFleet();
  const engine = fleet.engine(Service.Desk);
  fleet.registerEngine(Service.Desk, engine, { state: "draining" });
  await waitUntil(
    () =>
      allLogged(
        fleet.gateways,
        `event=endpoint endpoint=${engine.id} pool=desk state=leaving`,
      ),
    MAX_PROPAGATION_MS,
  );
});

test("followers of stopped hosts receive changes from other hosts", async () => {
  await startFleet();
  for (const { gateway } of fleet.gateways.slice(0, 3)) gateway.stop();
  fleet.publishManifest({});
  await waitUntil(
    () => allLogged(fleet.gateways.slice(3), "event=configuration version=2 "),
    4_000,
  );
});

test("followers receive changes after an outage of the store", async () => {
  await startFleet();
  fleet.store.fault = StoreFault.Unavailable;
  await waitUntil(() => allLogged(fleet.gateways, "event=source_lost"), 6_000);
  fleet.store.fault = StoreFault.None;
  fleet.publishManifest({});
  await waitUntil(
    () => allLogged(fleet.gateways, "event=configuration version=2 "),
    4_000,
  );
});

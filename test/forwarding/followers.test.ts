/** Gateways that follow the store's feeds from others that read it. */
import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import {
  GatewayFleet,
  type RunningGateway,
  Service,
  until,
} from "../../stand_ins/users_platform/gateway_fleet.ts";
import { StoreFault } from "../../stand_ins/users_platform/object_store.ts";

const GATEWAYS = 7;
const READERS = 2;
/** Long, so that calls within a test are those that changes cause. */
const WATCH_MS = 20_000;
/** A configuration must be in force everywhere within this time. */
const IN_FORCE_MS = 2_000;

let fleet: GatewayFleet;

afterEach(() => fleet.stop());

async function startFleet(): Promise<void> {
  fleet = new GatewayFleet({
    gateways: GATEWAYS,
    readers: READERS,
    watch_ms: WATCH_MS,
  });
  await fleet.start();
  // Every host knows all others, and those beyond the readers follow.
  await until(() =>
    fleet.gateways.every(({ lines }) =>
      lines.some((line) => line.includes(`event=members count=${GATEWAYS}`))
    )
  );
}

function heard(gateways: RunningGateway[], text: string): boolean {
  return gateways.every(({ lines }) =>
    lines.some((line) => line.includes(text))
  );
}

test("a change reaches every host, and costs the store calls of the readers", async () => {
  await startFleet();
  await new Promise((resolve) => setTimeout(resolve, 2_500));
  const before = fleet.store.calls;
  const changes = 5;
  for (let change = 0; change < changes; change++) {
    fleet.configure({});
    const version = fleet.version - 1;
    await until(
      () => heard(fleet.gateways, `event=configuration version=${version} `),
      IN_FORCE_MS,
    );
  }
  // Each reader reads each change once, and its watches of 1.5 s end in between.
  const most = READERS * (changes + 4);
  assert.ok(
    fleet.store.calls - before <= most,
    `${fleet.store.calls - before}`,
  );
});

test("a leaving engine is known everywhere within the time allowed", async () => {
  await startFleet();
  const engine = fleet.engine(Service.Desk);
  fleet.register(Service.Desk, engine, { state: "draining" });
  await until(
    () =>
      heard(
        fleet.gateways,
        `event=endpoint endpoint=${engine.id} pool=desk state=leaving`,
      ),
    IN_FORCE_MS,
  );
});

test("followers of hosts that stopped hear of changes from others", async () => {
  await startFleet();
  for (const { gateway } of fleet.gateways.slice(0, 3)) gateway.stop();
  fleet.configure({});
  await until(
    () => heard(fleet.gateways.slice(3), "event=configuration version=2 "),
    4_000,
  );
});

test("followers hear of changes after an outage of the store", async () => {
  await startFleet();
  fleet.store.fault = StoreFault.Busy;
  await until(() => heard(fleet.gateways, "event=source_lost"), 6_000);
  fleet.store.fault = StoreFault.None;
  fleet.configure({});
  await until(
    () => heard(fleet.gateways, "event=configuration version=2 "),
    4_000,
  );
});

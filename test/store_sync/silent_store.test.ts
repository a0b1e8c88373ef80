/**
 * Guards against hosts that go on with an old configuration, or with an endpoint
 * that leaves, since their connections to the store have fallen silent: a watch
 * was given up only after up to 8.7 s, and then followed a peer that was as blind.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  GatewayFleet,
  type RunningGateway,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { Direction, TcpLink } from "../../stand_ins/tcp_link.ts";

/** As `object_store.silence_ms`, which the deployment platform sets. */
const SILENCE_MS = 3_000;
/** A change must be in force this long after its confirmation. */
const APPLY_MS = 2_000;
/** By now the watches have lasted for some time. */
const WATCHES_LAST_MS = 600;

async function startSilencedFleet(
  t: TestContext,
  gateways: number,
): Promise<{ fleet: GatewayFleet; silence: () => void }> {
  let link: TcpLink | undefined;
  const fleet = new GatewayFleet({
    gateways,
    watch_ms: 8_000,
    storeLink(address) {
      link = new TcpLink(address);
      return link.start();
    },
  });
  t.after(() => {
    fleet.stop();
    link?.stop();
  });
  await fleet.start();
  return { fleet, silence: () => link?.silenceOpen(Direction.Both) };
}

function hasLine({ logLines }: RunningGateway, ...texts: string[]): boolean {
  return logLines.some((line) => texts.every((text) => line.includes(text)));
}

for (const gateways of [1, 2, 10]) {
  for (const changeAfter_ms of [0, 200, 1_500]) {
    test(`${gateways} hosts learn of changes ${changeAfter_ms} ms after their connections to the store fell silent`, async (t) => {
      const { fleet, silence } = await startSilencedFleet(t, gateways);
      fleet.publishManifest({});
      await new Promise((resolve) => setTimeout(resolve, WATCHES_LAST_MS));
      silence();
      const silent_ms = performance.now();
      await new Promise((resolve) => setTimeout(resolve, changeAfter_ms));
      const version = fleet.version;
      fleet.publishManifest({});
      fleet.registerEngine(Service.Desk, fleet.engine(Service.Desk), {
        state: "draining",
        sequence: 2,
      });
      const due_ms = Math.max(
        silent_ms + SILENCE_MS,
        performance.now() + APPLY_MS,
      );
      const isInForce = (gateway: RunningGateway) =>
        hasLine(gateway, "event=configuration ", `version=${version}`) &&
        hasLine(gateway, "event=endpoint ", "desk-1", "state=leaving");
      await waitUntil(
        () => fleet.gateways.every(isInForce),
        due_ms - performance.now(),
      );
    });
  }
}

test("the silence of one connection to the store ends the watches of all feeds", async (t) => {
  const { fleet, silence } = await startSilencedFleet(t, 1);
  await new Promise((resolve) => setTimeout(resolve, WATCHES_LAST_MS));
  silence();
  await waitUntil(
    () =>
      ["gateways", "quarantined"].every((source) =>
        fleet.gateways.every((gateway) =>
          hasLine(gateway, "event=watch_in_doubt", `source=${source}`)
        )
      ),
    SILENCE_MS,
  );
  assert.ok(
    fleet.gateways.every((gateway) => !hasLine(gateway, "event=source_lost")),
  );
});

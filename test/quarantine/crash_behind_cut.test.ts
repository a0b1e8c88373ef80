/**
 * BUDGET: a request that crashes endpoints comes at a host that is cut off from
 * them by silent links, and goes to them through other hosts.
 */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import {
  EndpointLinks,
  LinkCut,
} from "../../stand_ins/deployment/endpoint_links.ts";
import {
  ApiKey,
  defaultEngines,
  GatewayFleet,
  Service,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";

const CRASH_BODY = "deadly";
const CUT_HOST = 1;
/** Longer than the test: each endpoint crashes once. */
const RESTART_MS = 60_000;
/** Crashes after which the request must reach no endpoint any more. */
const MAX_CRASHES = 3;
const HTTP_OK = 200;

test("a request that crashes endpoints behind a cut is kept away after three crashes", async (t) => {
  const links = new EndpointLinks();
  const fleet = new GatewayFleet({
    gateways: 3,
    engines: {
      ...defaultEngines(),
      [Service.Desk]: [1, 2, 3, 4, 5, 6].map((number) => ({
        id: `desk-${number}`,
        work_ms: 20,
        crash_body: CRASH_BODY,
        restart_ms: RESTART_MS,
      })),
    },
    // A link would accept connections for an engine that is down.
    engineLinks: (gateway, engines) =>
      gateway === CUT_HOST
        ? links.connect(gateway, engines)
        : Promise.resolve((address) => address),
  });
  t.after(() => {
    fleet.stop();
    links.stop();
  });
  await fleet.start();
  await fleet.waitForMembers();
  const host = fleet.gateways[CUT_HOST - 1];
  let attempts = 0;
  const call = async (body: string) => {
    const { status } = await sendJsonRequest(host?.callers ?? "", "/stamp/x", {
      method: "POST",
      text: body,
      headers: {
        host: "fleet.example",
        "x-attempt-id": `attempt-${attempts++}`,
        "x-key": ApiKey.Docks,
        "x-deadline-ms": "1000",
      },
    });
    return status;
  };
  links.cut(CUT_HOST, LinkCut.Hang);
  let served = 0;
  for (let n = 0; n < 100 && served < 10; n++) {
    const statuses = await Promise.all([1, 2, 3, 4].map(() => call("sound")));
    served = statuses.every((each) => each === HTTP_OK) ? served + 1 : 0;
  }
  assert.ok(served >= 10, "served through other hosts");
  for (let n = 0; n < 10; n++) {
    await call(CRASH_BODY);
    await sleep(300);
  }
  const crashes = (fleet.engines.get(Service.Desk) ?? [])
    .reduce((sum, engine) => sum + engine.crashes, 0);
  assert.equal(crashes, MAX_CRASHES);
});

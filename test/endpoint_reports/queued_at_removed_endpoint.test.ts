/** Requests that wait for a connection to an endpoint whose entry ends its use. */
import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import {
  defaultEngines,
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { callFleet } from "./fleet_calls.ts";

const REQUESTS = 8;
const WORK_MS = 500;

let fleet: GatewayFleet;

afterEach(() => fleet.stop());

for (
  const { name, endUse } of [
    {
      name: "says that it is leaving",
      endUse: (id: string) =>
        fleet.registerEngine(
          Service.Desk,
          fleet.engines.get(Service.Desk)?.find((engine) => engine.id === id) ??
            fleet.engine(Service.Desk),
          { state: "draining" },
        ),
    },
    {
      name: "is removed",
      endUse: (id: string) => fleet.store.remove("servers", id),
    },
  ]
) {
  test(`no request that waits reaches an endpoint whose entry ${name}`, async () => {
    fleet = new GatewayFleet({
      max_connections: 1,
      engines: {
        ...defaultEngines(),
        [Service.Desk]: [{ id: "desk-1", work_ms: WORK_MS }, { id: "desk-2" }],
      },
    });
    await fleet.start();
    const engine = fleet.engine(Service.Desk);
    const answers = Array.from(
      { length: REQUESTS },
      () => callFleet(fleet, "/stamp/x", { deadline_ms: 1_900 }),
    );
    await waitUntil(() => engine.arrivals_ms.length > 0);
    endUse(engine.id);
    const { logLines } = fleet.gateways[0] ?? assert.fail();
    await waitUntil(() =>
      logLines.some((line) =>
        line.includes("event=endpoint ") &&
        line.includes(`endpoint=${engine.id}`) &&
        /state=(leaving|removed)/.test(line)
      )
    );
    const before = engine.arrivals_ms.length;
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    assert.equal(engine.arrivals_ms.length, before);
    assert.deepEqual(new Set(statuses), new Set([200]));
  });
}

/** Odd entries beside sound ones, in hosts that read the store and that follow. */
import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import {
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  CallerView,
  RawCaller,
  rawRequest,
} from "../../stand_ins/deployment/raw_caller.ts";

const ODD_VALUES: Record<string, unknown>[] = [
  { address: "127.0.0.1:99999" },
  { address: "999.1.1.1:80" },
  { address: "127.0.0.1:0" },
  { slots: 1e308 },
  { slots: -1 },
  { born: 1e300 },
  { service: ["desk"] },
  { zone: "x".repeat(100_000) },
  { state: "odd" },
];
const REQUESTS_PER_HOST = 10;

let fleet: GatewayFleet;

afterEach(() => fleet.stop());

function putOddEntries(): void {
  const engine = fleet.engine(Service.Desk);
  for (const [index, change] of ODD_VALUES.entries()) {
    fleet.store.put("servers", `odd-${index}`, {
      service: Service.Desk,
      address: engine.address,
      zone: "az-1",
      slots: 8,
      state: "ready",
      born: 1,
      ...change,
    });
  }
  fleet.store.put("servers", "odd\nname", { service: Service.Desk });
  const host = { availability_zone: "az-1", cores: 64, started_ms: 1 };
  fleet.store.put("gateways", "odd-host", {
    ...host,
    address: "127.0.0.1:99999",
  });
  fleet.store.put("gateways", "odd-host-2", { ...host, address: 7 });
  fleet.store.put("quarantines", "odd-parts", { parts: "cc", probes: -1 });
  fleet.store.put("config", "main", { version: 1e308, routes: "odd" });
}

function hasSeen(pattern: string): boolean {
  return fleet.gateways.every(({ logLines }) =>
    logLines.some((line) => new RegExp(pattern).test(line))
  );
}

test("odd entries cost no request and no endpoint its health", async () => {
  fleet = new GatewayFleet({ gateways: 3, readers: 1 });
  await fleet.start();
  putOddEntries();
  // A host learns of the entries by changes or by a list.
  const count = fleet.store.listNames("servers").length;
  await waitUntil(() =>
    hasSeen(`endpoint=odd-8|event=endpoints count=${count}`)
  );
  await waitUntil(() => hasSeen("event=unreadable source=configuration"));
  for (const { callers, logLines } of fleet.gateways) {
    const caller = await RawCaller.open(callers);
    for (let n = 0; n < REQUESTS_PER_HOST; n++) {
      caller.write(rawRequest("/stamp/x"));
      const outcome = await caller.outcome();
      assert.deepEqual([outcome.view, outcome.status], [
        CallerView.Complete,
        200,
      ]);
    }
    caller.close();
    const sends = logLines.filter((line) => line.includes("event=send "));
    assert.equal(sends.length, REQUESTS_PER_HOST);
    assert.ok(sends.every((line) => line.includes("failure_share=0 ")));
    assert.deepEqual(
      logLines.filter((line) => line.includes("event=fault")),
      [],
    );
  }
});

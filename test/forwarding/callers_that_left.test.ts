/** Callers that close their connection while their request is served. */
import assert from "node:assert/strict";
import { afterEach, mock, test } from "node:test";
import { ObservedLoad } from "../../src/routing/observed_load.ts";
import type { EngineOptions } from "../../stand_ins/deployment/engine.ts";
import {
  defaultEngines,
  GatewayFleet,
  type GatewayFleetOptions,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  RawCaller,
  rawRequest,
} from "../../stand_ins/deployment/raw_caller.ts";
import { getJson } from "../../stand_ins/json_client.ts";

let fleet: GatewayFleet;

afterEach(() => {
  mock.restoreAll();
  fleet.stop();
});

async function start(
  service: Service,
  engines: EngineOptions[],
  options: GatewayFleetOptions = {},
): Promise<RawCaller> {
  fleet = new GatewayFleet({
    ...options,
    engines: { ...defaultEngines(), [service]: engines },
  });
  await fleet.start();
  return await RawCaller.open(fleet.gateways[0]?.callers ?? "");
}

function findLine(pattern: RegExp): string | undefined {
  return fleet.gateways.flatMap(({ logLines }) => logLines)
    .find((line) => pattern.test(line));
}

async function readMetric(pattern: RegExp): Promise<number> {
  const { text } = await getJson(fleet.gateways[0]?.metrics ?? "", "/metrics");
  return Number(pattern.exec(text)?.[1] ?? 0);
}

test("one that leaves while its stages run isn't counted as refused", async () => {
  const caller = await start(Service.Encode, [{
    id: "encode-1",
    call_ms: 300,
  }]);
  caller.write(rawRequest("/review/x", { "x-attempt-id": "left" }));
  await waitUntil(() => fleet.engine(Service.Encode).pieceCalls.length === 1);
  caller.close();
  await waitUntil(() => findLine(/event=request attempt=left/) !== undefined);
  assert.match(
    findLine(/event=request attempt=left/) ?? "",
    /outcome=caller_gone stopped=caller_gone/,
  );
  const counted = await readMetric(
    /sesamequay_forwarded_requests_total\{kind="streaming",outcome="caller_gone"\} (\d+)/,
  );
  assert.equal(counted, 1);
});

/** Time after a caller's close in which endpoints must be left. */
const LEAVE_MS = 500;

for (const gateways of [1, 4]) {
  test(`a call for pieces ends after its only caller has left, with ${gateways} hosts`, async () => {
    const call_ms = 1_500;
    const engines = [{ id: "encode-1", call_ms }];
    const caller = await start(Service.Encode, engines, { gateways, call_ms });
    const headers = { "x-pieces": "2,0", "x-deadline-ms": "4000" };
    caller.write(rawRequest("/review/x", headers));
    const engine = fleet.engine(Service.Encode);
    await waitUntil(() => engine.pieceCalls.length === 1);
    caller.close();
    await waitUntil(() => engine.abortedCalls === 1, LEAVE_MS);
    await waitUntil(() => findLine(/event=stage_call/) !== undefined);
    assert.match(
      findLine(/event=stage_call/) ?? "",
      /outcome=cancelled unwanted_ms=\d+/,
    );
  });
}

test("one that leaves within its answer isn't counted as answered", async () => {
  const caller = await start(Service.Model, [
    { id: "model-1", events: 20, work_ms: 20 },
  ]);
  caller.write(rawRequest("/draft/x", { "x-attempt-id": "left" }));
  await waitUntil(() => caller.received.includes("id: 2"));
  caller.close();
  await waitUntil(() => findLine(/event=request attempt=left/) !== undefined);
  assert.match(
    findLine(/event=request attempt=left/) ?? "",
    /outcome=caller_gone stopped=caller_gone/,
  );
});

test("an answer that is cut at its deadline isn't counted as answered", async () => {
  const caller = await start(Service.Model, [
    { id: "model-1", events: 20, work_ms: 50 },
  ]);
  const headers = { "x-attempt-id": "cut", "x-deadline-ms": "400" };
  caller.write(rawRequest("/draft/x", headers));
  await caller.outcome();
  await waitUntil(() => findLine(/event=request attempt=cut/) !== undefined);
  assert.match(
    findLine(/event=request attempt=cut/) ?? "",
    /outcome=cut stopped=timed_out/,
  );
});

test("the time until a send ends after its caller has left is measured", async () => {
  const caller = await start(Service.Desk, [{ id: "desk-1", work_ms: 400 }]);
  caller.write(rawRequest("/stamp/x", { "x-attempt-id": "left" }));
  await waitUntil(() =>
    fleet.engine(Service.Desk).receivedRequests.length === 1
  );
  caller.close();
  await waitUntil(() =>
    findLine(
      /event=send attempt=left .*stopped=caller_gone after_stop_ms=\d/,
    ) !==
      undefined
  );
  const counted = await readMetric(
    /sesamequay_work_after_caller_left_ms_count\{work="send"\} (\d+)/,
  );
  assert.equal(counted, 1);
});

test("a send that its caller has ended doesn't count as well served", async () => {
  const recordFirstByte = mock.method(
    ObservedLoad.prototype,
    "recordFirstByte",
  );
  const caller = await start(Service.Desk, [{ id: "desk-1", work_ms: 400 }]);
  caller.write(rawRequest("/stamp/x", { "x-attempt-id": "left" }));
  await waitUntil(() =>
    fleet.engine(Service.Desk).receivedRequests.length === 1
  );
  caller.close();
  await waitUntil(() => findLine(/event=send attempt=left/) !== undefined);
  assert.match(findLine(/event=send attempt=left/) ?? "", /outcome=stopped/);
  assert.equal(recordFirstByte.mock.callCount(), 0);
});

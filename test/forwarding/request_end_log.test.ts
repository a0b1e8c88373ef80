/** How the end of a request shows in the log and in the metrics. */
import assert from "node:assert/strict";
import { afterEach, mock, test } from "node:test";
import { QuarantineService } from "../../src/quarantine/quarantine_service.ts";
import {
  defaultEngines,
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  RawCaller,
  rawRequest,
} from "../../stand_ins/deployment/raw_caller.ts";
import { getJson } from "../../stand_ins/json_client.ts";

let fleet: GatewayFleet;
let caller: RawCaller;

async function start(work_ms: number): Promise<void> {
  const engines = defaultEngines();
  engines[Service.Model] = [{ id: "model-1", events: 5, work_ms }];
  engines[Service.Desk] = [{ id: "desk-1", work_ms }];
  fleet = new GatewayFleet({ engines });
  await fleet.start();
  caller = await RawCaller.open(fleet.gateways[0]?.callers ?? "");
}

afterEach(() => {
  mock.restoreAll();
  caller.close();
  fleet.stop();
});

function endLines(): string[] {
  return fleet.gateways[0]?.logLines.filter((line) =>
    line.includes("event=request_cut")
  ) ?? [];
}

async function countEnds(end: string): Promise<number> {
  const { text } = await getJson(fleet.gateways[0]?.metrics ?? "", "/metrics");
  const pattern = new RegExp(
    `sesamequay_request_ends_total\\{end="${end}"\\} (\\d+)`,
  );
  return Number(pattern.exec(text)?.[1] ?? 0);
}

function receivedBy(service: Service): number {
  return fleet.engine(service).receivedRequests.length;
}

test("answers and refusals are counted and leave no line", async () => {
  await start(0);
  caller.write(rawRequest("/stamp/x"));
  assert.equal((await caller.outcome()).status, 200);
  caller.write(rawRequest("/stamp/x", { "x-key": "unknown" }));
  assert.equal((await caller.outcome()).status, 401);
  await waitUntil(() => fleet.gateways[0]?.logLines.length !== 0);
  assert.equal(await countEnds("answered"), 1);
  assert.equal(await countEnds("refused"), 1);
  assert.deepEqual(endLines(), []);
});

test("a caller that leaves is counted as such and leaves no line", async () => {
  await start(500);
  caller.write(rawRequest("/stamp/x"));
  await waitUntil(() => receivedBy(Service.Desk) === 1);
  caller.close();
  await waitUntil(() => fleet.engine(Service.Desk).abortedRequests === 1);
  assert.equal(await countEnds("caller_gone"), 1);
  assert.deepEqual(endLines(), []);
});

test("a request that a stopping host leaves without a byte is an error", async () => {
  await start(500);
  caller.write(rawRequest("/stamp/x", { "x-attempt-id": "left-alone" }));
  await waitUntil(() => receivedBy(Service.Desk) === 1);
  fleet.gateways[0]?.gateway.stop();
  await waitUntil(() => endLines().length === 1);
  assert.match(
    endLines()[0] ?? "",
    /level=error .*end=no_outcome attempt=left-alone route=stamp stage=sending sends=1 cause=host_stopped/,
  );
});

test("a stream that a stopping host cuts is a warning", async () => {
  await start(200);
  caller.write(rawRequest("/draft/x", { "x-attempt-id": "half-done" }));
  await waitUntil(() => caller.received.includes("id: 1"));
  fleet.gateways[0]?.gateway.stop();
  await waitUntil(() => endLines().length === 1);
  assert.match(
    endLines()[0] ?? "",
    /level=warn .*end=cut attempt=half-done .*cause=host_stopped/,
  );
});

test("a request whose handling throws names its stage and the error", async () => {
  await start(0);
  mock.method(QuarantineService.prototype, "admit", () => {
    throw new Error("no decision");
  });
  caller.write(rawRequest("/stamp/x", { "x-attempt-id": "thrown" }));
  assert.equal((await caller.outcome()).status, 503);
  assert.equal(await countEnds("refused"), 1);
  assert.deepEqual(endLines(), []);
  assert.ok(
    fleet.gateways[0]?.logLines.some((line) =>
      /level=error .*event=fault attempt=thrown stage=admission error="Error: no decision/
        .test(line)
    ),
  );
});

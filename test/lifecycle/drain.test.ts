/** Draining and stopping of an entry host, with real processes. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type IncomingMessage, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { Fleet } from "../../stand_ins/fleet.ts";
import { postJson } from "../../stand_ins/json_client.ts";
import {
  sampleEndpoints,
  SampleKey,
  sampleRecords,
} from "../../stand_ins/sample_records.ts";

const STAMP_PATH = "/v1/pipelines/khuree/stamp/requests";
const HEADERS = {
  authorization: `Bearer ${SampleKey.KhureeDocks}`,
  "content-type": "application/json",
};
const LARGE_INPUT = "x".repeat(20_000_000);

/**
 * On a busy machine the large response may exceed the sample records' deadline.
 */
const LONG_DEADLINE_MS = 60_000;

function withLongDeadline<Sample extends object>(record: Sample): Sample {
  return "deadline_ms" in record
    ? { ...record, deadline_ms: LONG_DEADLINE_MS }
    : record;
}

async function startHost(t: TestContext) {
  const fleet = new Fleet({
    hosts: 1,
    endpoints: sampleEndpoints(),
    records: sampleRecords().map(withLongDeadline),
    settings: {
      drain: { readiness_delay_ms: 100 },
      limits: { body_bytes: 30_000_000 },
    },
  });
  t.after(() => fleet.stop());
  await fleet.start();
  const [host] = fleet.hosts;
  assert.ok(host !== undefined);
  return { fleet, host };
}

test("a drain waits for a response that its caller reads slowly", async (t) => {
  const { host } = await startHost(t);
  const [ip, port] = host.callers.split(":");
  const outgoing = request({
    host: ip,
    port,
    method: "POST",
    path: STAMP_PATH,
    headers: HEADERS,
  });
  outgoing.end(JSON.stringify({ input: LARGE_INPUT }));
  const [incoming] = await once(outgoing, "response") as [IncomingMessage];
  incoming.pause();
  host.process.signal("SIGTERM");
  await sleep(1_500);
  let text = "";
  incoming.on("data", (chunk: Buffer) => text += chunk.toString());
  incoming.resume();
  await once(incoming, "end");
  assert.deepEqual(
    JSON.parse(text).output["stamp-1"]["encode-fast"],
    LARGE_INPUT,
  );
  assert.equal(await host.process.exited, 0);
});

test("a second signal stops the host immediately", async (t) => {
  const { fleet, host } = await startHost(t);
  await fleet.setEndpointFaults("khuree/stamp-1", { slowdown: 1_000 });
  const answer = postJson(host.callers, STAMP_PATH, { input: "a" }, {
    headers: HEADERS,
  });
  answer.catch(() => {});
  await sleep(200);
  const started_ms = performance.now();
  host.process.signal("SIGTERM");
  await sleep(50);
  host.process.signal("SIGTERM");
  assert.equal(await host.process.exited, 0);
  await assert.rejects(answer);
  assert.ok(performance.now() - started_ms < 3_000);
});

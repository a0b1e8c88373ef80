/**
 * Guards against a host that answers nobody for seconds: the bytes of an event
 * without end were copied and searched anew for each chunk, and all chunks of
 * one read of a socket were handled in one turn of the event loop.
 */
import assert from "node:assert/strict";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { test } from "node:test";
import { EndlessServer } from "../../stand_ins/deployment/endless_server.ts";
import {
  GatewayFleet,
  Service,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { sendForStatus } from "./send_for_status.ts";

const DEADLINE_MS = 4_000;
const ATTEMPT_ID = "a1";
const CHUNKS_PER_PART = 1_000;
const STAMP_INTERVAL_MS = 50;
const OBSERVED_MS = 3_000;
const TIMEOUT_MS = 2_000;
/** An answer is due this long after the time-out of its route. */
const MAX_LAG_MS = 500;

const HEAD = "HTTP/1.1 200 OK\r\n" + `x-attempt-id: ${ATTEMPT_ID}\r\n` +
  "x-response-signature: s\r\ntransfer-encoding: chunked\r\n";
const STREAM_HEAD = `${HEAD}content-type: text/event-stream\r\n`;

function chunks(content: string, count = CHUNKS_PER_PART): Buffer {
  const chunk = `${content.length.toString(16)}\r\n${content}\r\n`;
  return Buffer.from(chunk.repeat(count));
}

const ENDLESS = [
  [
    "an event in chunks of five bytes",
    "/draft/x",
    STREAM_HEAD,
    chunks("xxxxx"),
  ],
  ["a body in chunks of one byte", "/draft/x", HEAD, chunks("x")],
  ["comments, each in a chunk", "/draft/x", STREAM_HEAD, chunks(":\n\n")],
  [
    "empty events in large chunks",
    "/draft/x",
    STREAM_HEAD,
    chunks(":\n\n".repeat(10_000), 1),
  ],
  [
    "informational heads",
    "/draft/x",
    undefined,
    Buffer.from("HTTP/1.1 103 Early Hints\r\n\r\n".repeat(CHUNKS_PER_PART)),
  ],
  ["an event that may not be resumed", "/review/x", STREAM_HEAD, chunks("xx")],
] as const;

function send(callers: string, path: string, attempt_id: string) {
  return sendForStatus(callers, { path, attempt_id, deadline_ms: DEADLINE_MS });
}

for (const [what, path, head, part] of ENDLESS) {
  test(`a host answers others while it receives ${what}, without end`, async (t) => {
    const beginning = head === undefined ? "" : `${head}\r\n`;
    const server = new EndlessServer({ beginning, part });
    await server.start();
    t.after(() => server.stop());
    const fleet = new GatewayFleet({ gateways: 1, timeout_ms: TIMEOUT_MS });
    t.after(() => fleet.stop());
    await fleet.start();
    await fleet.redirectEngines(Service.Model, server.address);
    const callers = fleet.gateways[0]?.callers ?? "";
    const delay = monitorEventLoopDelay({ resolution: 10 });
    delay.enable();
    const endless = send(callers, path, ATTEMPT_ID);
    const stamps: Promise<number | "cut">[] = [];
    const end_ms = performance.now() + OBSERVED_MS;
    while (performance.now() < end_ms) {
      stamps.push(send(callers, "/stamp/x", `stamp-${stamps.length}`));
      await new Promise((resolve) => setTimeout(resolve, STAMP_INTERVAL_MS));
    }
    delay.disable();
    assert.notEqual(await endless, 200);
    for (const status of await Promise.all(stamps)) assert.equal(status, 200);
    const max_ms = delay.max / 1_000_000;
    assert.ok(max_ms < MAX_LAG_MS, `the event loop was late by ${max_ms} ms`);
  });
}

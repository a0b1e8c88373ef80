/**
 * Guards against a host that exceeds its memory: each response without end stayed
 * below the limit of one response, but nothing limited all of them together.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { EndlessServer } from "../../stand_ins/deployment/endless_server.ts";
import {
  GatewayFleet,
  Service,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { sendForStatus } from "./send_for_status.ts";

const MEMORY_MB = 40;
/** The memory of a host, and room for what is on the way to it. */
const MAX_OPEN_BYTES = MEMORY_MB * 1_000_000;
const BYTES_PER_S = 2_000_000;
const ENDLESS_REQUESTS = 40;
const OBSERVED_MS = 3_000;
const DEADLINE_MS = 6_000;
const ATTEMPT_ID = "a1";
const BEGINNING = "HTTP/1.1 200 OK\r\n" + `x-attempt-id: ${ATTEMPT_ID}\r\n` +
  "x-response-signature: s\r\ntransfer-encoding: chunked\r\n\r\n";
const PART = Buffer.from(`1000\r\n${"x".repeat(0x1000)}\r\n`);

function send(callers: string, path: string, attempt_id: string) {
  return sendForStatus(callers, { path, attempt_id, deadline_ms: DEADLINE_MS });
}

test("responses without end exceed no host's memory, and others are answered", async (t) => {
  const server = new EndlessServer({
    beginning: BEGINNING,
    part: PART,
    bytes_per_s: BYTES_PER_S,
  });
  await server.start();
  t.after(() => server.stop());
  const fleet = new GatewayFleet({
    gateways: 1,
    memory_mb: MEMORY_MB,
    timeout_ms: DEADLINE_MS,
  });
  t.after(() => fleet.stop());
  await fleet.start();
  await fleet.redirectEngines(Service.Model, server.address);
  const callers = fleet.gateways[0]?.callers ?? "";
  const endless = Array.from(
    { length: ENDLESS_REQUESTS },
    () => send(callers, "/review/x", ATTEMPT_ID),
  );
  let mostOpenBytes = 0;
  const end_ms = performance.now() + OBSERVED_MS;
  for (let n = 0; performance.now() < end_ms; n++) {
    assert.equal(await send(callers, "/stamp/x", `stamp-${n}`), 200);
    mostOpenBytes = Math.max(mostOpenBytes, server.openBytes);
  }
  assert.ok(mostOpenBytes < MAX_OPEN_BYTES, `${mostOpenBytes}`);
  for (const status of await Promise.all(endless)) {
    assert.notEqual(status, 200);
  }
});

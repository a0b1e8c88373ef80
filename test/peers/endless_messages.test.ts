/** Messages of other hosts whose body has no end. */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { FREED_PATH, JOB_PATH } from "../../src/peers/job_messages.ts";
import {
  GatewayFleet,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";

const CHUNK = Buffer.alloc(65_536, "x");
const HEAD_OF_CHUNK = "ffffffff\r\n";
/** What a host may take of one message before it closes the connection. */
const MAX_BYTES = 24_000_000;

for (const path of [JOB_PATH, FREED_PATH, "/crash", "/permit"]) {
  test(`${path}: a message without end is cut off`, async (t) => {
    const fleet = new GatewayFleet();
    t.after(() => fleet.stop());
    await fleet.start();
    const line = fleet.gateways[0]?.logLines.find((each) =>
      each.includes("event=start")
    );
    const [, host, port] = /peers=([\d.]+):(\d+)/.exec(line ?? "") ?? [];
    const socket = connect({ host, port: Number(port) });
    t.after(() => socket.destroy());
    let closed = false;
    socket.on("error", () => {});
    socket.on("close", () => closed = true);
    socket.resume();
    socket.write(
      `POST ${path} HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\n` +
        `transfer-encoding: chunked\r\n\r\n${HEAD_OF_CHUNK}`,
    );
    let sent = 0;
    while (!closed && sent <= MAX_BYTES) {
      if (socket.write(CHUNK)) sent += CHUNK.length;
      else await sleep(1);
    }
    await waitUntil(() => closed, 2_000);
    assert.ok(sent <= MAX_BYTES, `${sent} bytes sent`);
  });
}

/**
 * Answers whose head stops, at any of its bytes, and whose connection then ends:
 * the caller must not get anything that looks whole.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import {
  GatewayFleet,
  Service,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  CallerView,
  RawCaller,
  rawRequest,
} from "../../stand_ins/deployment/raw_caller.ts";

const SIGNED = "x-attempt-id: {id}\r\nx-response-signature: s\r\n";
const EVENT_STREAM = "content-type: text/event-stream\r\n";
const CALLERS = 20;

/** Whole answers; each is broken off at any byte of its head. */
const ANSWERS: Record<string, string> = {
  "an informational head before it":
    `HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\n${SIGNED}${EVENT_STREAM}content-length: 0\r\n\r\n`,
  "chunks and trailers":
    `HTTP/1.1 200 OK\r\n${SIGNED}${EVENT_STREAM}transfer-encoding: chunked\r\ntrailer: x-end\r\n\r\n`,
  "neither a length nor chunks":
    `HTTP/1.1 200 OK\r\n${SIGNED}${EVENT_STREAM}\r\n`,
};

/** Breaks off each answer after the next number of bytes. */
async function startEndpoint(
  t: TestContext,
  answer: string,
  { reset, reused }: { reset: boolean; reused: boolean },
): Promise<{ address: string; cuts: () => number }> {
  let cut = 0;
  const server = createServer((socket: Socket) => {
    socket.on("error", () => {});
    let requests = 0;
    socket.on("data", async (bytes) => {
      const text = bytes.toString("latin1");
      const id = /x-attempt-id: *(\S+)/i.exec(text)?.[1];
      if (id === undefined) return;
      requests += 1;
      if (reused && requests === 1) {
        const head = `HTTP/1.1 200 OK\r\n${SIGNED}content-length: 2\r\n\r\nok`;
        return void socket.write(head.replace("{id}", id));
      }
      const whole = answer.replace("{id}", id);
      const kept = cut++ % whole.length;
      if (kept > 0) socket.write(whole.slice(0, kept));
      await sleep(5);
      if (reset) socket.resetAndDestroy();
      else socket.end();
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, cuts: () => cut };
}

async function startFleet(t: TestContext, address: string) {
  const fleet = new GatewayFleet({ max_connections: 400 });
  t.after(() => fleet.stop());
  await fleet.start();
  for (const service of [Service.Model, Service.Desk]) {
    await fleet.redirectEngines(service, address);
  }
  return fleet;
}

async function call(fleet: GatewayFleet, path: string) {
  const caller = await RawCaller.open(fleet.gateways[0]?.callers ?? "");
  caller.write(rawRequest(path, { "x-pieces": "0,0" }));
  const outcome = await caller.outcome();
  caller.close();
  return outcome;
}

for (const [what, answer] of Object.entries(ANSWERS)) {
  for (const reset of [false, true]) {
    for (const reused of [false, true]) {
      const end = reset ? "a reset" : "an end";
      const on = reused ? "a connection in use again" : "a new connection";
      test(`${what}: no head that stops with ${end} on ${on} looks complete`, async (t) => {
        const options = { reset, reused };
        const { address, cuts } = await startEndpoint(t, answer, options);
        const fleet = await startFleet(t, address);
        for (let round = 0; cuts() < answer.length; round++) {
          const path = ["/stamp/x", "/lookup/x", "/draft/x", "/review/x"][
            round % 4
          ] ?? "";
          const outcomes = await Promise.all(
            Array.from({ length: CALLERS }, () => call(fleet, path)),
          );
          for (const { view, status, text } of outcomes) {
            const isWhole = view === CallerView.Complete && status === 200;
            assert.ok(!isWhole || text.endsWith("\r\n\r\nok"), text);
            assert.notEqual(view, CallerView.Open);
          }
        }
      });
    }
  }
}

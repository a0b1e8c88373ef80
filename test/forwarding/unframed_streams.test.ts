/**
 * Streams without a length or chunks, which end with their connection: what has
 * been broken off must not look complete.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import {
  ApiKey,
  GatewayFleet,
  Service,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";

const ATTEMPT_ID = "a1";
const HEAD = "HTTP/1.1 200 OK\r\n" + `x-attempt-id: ${ATTEMPT_ID}\r\n` +
  "x-response-signature: s\r\ncontent-type: text/event-stream\r\n\r\n";
const EVENT = "id: 1\ndata: \u00e9\n\n";
const CRLF_EVENT = "id: 1\r\ndata: a\r\n\r\n";
const HTTP_OK = 200;

interface Ending {
  body: Buffer;
  reset?: boolean;
}

const WHOLE: Record<string, Ending> = {
  "after a whole event": { body: Buffer.from(EVENT) },
  "after a whole event with CRLF": { body: Buffer.from(CRLF_EVENT) },
  "after more empty lines": { body: Buffer.from(EVENT + "\n") },
};

const BROKEN: Record<string, Ending> = {
  "inside an event": { body: Buffer.from(EVENT + "id: 2\ndata: b") },
  "before the empty line": { body: Buffer.from(EVENT + "data: b\n") },
  "inside a CRLF event": { body: Buffer.from(CRLF_EVENT + "data: b\r\n") },
  "inside a field": { body: Buffer.from(EVENT + "i") },
  "inside a character": {
    body: Buffer.from(EVENT + "data: \u00e9").subarray(0, -1),
  },
  "by a reset after a whole event": { body: Buffer.from(EVENT), reset: true },
  "with no bytes at all": { body: Buffer.alloc(0) },
};

async function startFleet(
  t: TestContext,
  { body, reset = false }: Ending,
): Promise<GatewayFleet> {
  const server = createServer((socket: Socket) => {
    socket.on("error", () => {});
    socket.once("data", async () => {
      socket.write(HEAD);
      socket.write(body);
      await sleep(30);
      if (reset) socket.resetAndDestroy();
      else socket.end();
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const fleet = new GatewayFleet({ gateways: 1 });
  t.after(() => fleet.stop());
  t.after(() => server.close());
  await fleet.start();
  const { port } = server.address() as AddressInfo;
  await fleet.redirectEngines(Service.Model, `127.0.0.1:${port}`);
  return fleet;
}

/** Resolves to what the caller got: a complete text, a status or "cut". */
async function callText(fleet: GatewayFleet, path: string) {
  try {
    const { status, text } = await sendJsonRequest(
      fleet.gateways[0]?.callers ?? "",
      path,
      {
        method: "POST",
        text: "x",
        headers: {
          host: "fleet.example",
          "x-attempt-id": ATTEMPT_ID,
          "x-key": ApiKey.Docks,
          "x-deadline-ms": "1500",
          "x-pieces": "0,0",
        },
      },
    );
    return status === HTTP_OK ? text : status;
  } catch {
    return "cut";
  }
}

for (const path of ["/review/x", "/draft/x"]) {
  for (const [when, ending] of Object.entries(WHOLE)) {
    test(`${path}: a stream that ends ${when} is complete`, async (t) => {
      const fleet = await startFleet(t, ending);
      assert.equal(await callText(fleet, path), ending.body.toString());
    });
  }
  for (const [when, ending] of Object.entries(BROKEN)) {
    test(`${path}: a stream that ends ${when} does not look complete`, async (t) => {
      const fleet = await startFleet(t, ending);
      assert.ok(["cut", 502].includes(await callText(fleet, path)));
    });
  }
}

test("a host that stops meanwhile passes a stream on as whole or cut as it was", async (t) => {
  for (const ending of [...Object.values(WHOLE), ...Object.values(BROKEN)]) {
    const fleet = await startFleet(t, ending);
    const answer = callText(fleet, "/review/x");
    await sleep(10);
    fleet.gateways[0]?.gateway.drain();
    const isWhole = Object.values(WHOLE).includes(ending);
    const expected = isWhole ? [ending.body.toString()] : ["cut", 502];
    assert.ok(expected.includes(await answer as never));
    fleet.stop();
  }
});

/**
 * Servers that send bytes without end, in a head or a body, until their client
 * closes the connection. The client must close it soon, keep little in memory,
 * and not take the bytes for an answer.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { parseAddress } from "../../src/settings/settings.ts";
import { HttpClient } from "../../src/utils/http_client.ts";
import { EndlessServer } from "../../stand_ins/deployment/endless_server.ts";
import {
  ApiKey,
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";

const ATTEMPT_ID = "a1";
const CHUNK = Buffer.alloc(65_536, "x");
/** What a client may read of one response before it closes the connection. */
const MAX_BYTES_READ = 24_000_000;

const HEAD = "HTTP/1.1 200 OK\r\n" + `x-attempt-id: ${ATTEMPT_ID}\r\n` +
  "x-response-signature: s\r\n";

/** What is sent before the endless bytes. */
const BEGINNINGS = {
  head: HEAD + "x-endless: ",
  "body without a length": HEAD + "\r\n",
  "body within a chunk": HEAD +
    "transfer-encoding: chunked\r\n\r\nffffffffff\r\n",
  "event": HEAD + "content-type: text/event-stream\r\n\r\nid: 1\ndata: ",
};

async function startServer(
  t: TestContext,
  beginning: string,
): Promise<EndlessServer> {
  const server = new EndlessServer({ beginning, part: CHUNK });
  t.after(() => server.stop());
  await server.start();
  return server;
}

async function startFleet(
  t: TestContext,
  service: Service,
  address: string,
): Promise<GatewayFleet> {
  const fleet = new GatewayFleet({ gateways: 1 });
  t.after(() => fleet.stop());
  await fleet.start();
  await fleet.redirectEngines(service, address);
  return fleet;
}

for (const [where, beginning] of Object.entries(BEGINNINGS)) {
  for (
    const [path, service] of [
      ["/stamp/x", Service.Desk],
      ["/lookup/x", Service.Desk],
      ["/draft/x", Service.Model],
      ["/review/x", Service.Encode],
    ] as const
  ) {
    test(`${path} meets an endpoint of ${service} with an endless ${where}`, async (t) => {
      const server = await startServer(t, beginning);
      const fleet = await startFleet(t, service, server.address);
      const [host] = fleet.gateways;
      const status = await sendJsonRequest(host?.callers ?? "", path, {
        method: "POST",
        text: "x",
        headers: {
          host: "fleet.example",
          "x-attempt-id": ATTEMPT_ID,
          "x-key": ApiKey.Docks,
          "x-deadline-ms": "1500",
          "x-pieces": "2,2",
          "x-piece-key": "k",
        },
      }).then((response) => response.status, () => "cut");
      assert.notEqual(status, 200);
      await waitUntil(() => server.open === 0);
      assert.ok(server.mostBytes < MAX_BYTES_READ, `${server.mostBytes}`);
    });
  }
}

test("an endless answer of the store or of a peer is cut off", async (t) => {
  const server = await startServer(t, HEAD + "\r\n");
  const client = new HttpClient(parseAddress(server.address));
  t.after(() => client.close());
  await assert.rejects(
    client.send({ method: "GET", path: "/", timeout_ms: 20_000 }),
    /too long/,
  );
  await waitUntil(() => server.open === 0);
  assert.ok(server.mostBytes < MAX_BYTES_READ);
});

/** A request that is passed on to another host ends, whatever that answers. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import {
  ProxyOutcome,
  proxyRequest,
} from "../../src/http_api/proxy_request.ts";
import { RawServer } from "../../stand_ins/raw_server.ts";

const TIMEOUT_MS = 300;
const LATE_MS = 1_000;

/** What passing on to an address comes to; "late" if it does not end. */
async function outcomeAt(address: string): Promise<unknown> {
  const { promise, resolve } = Promise.withResolvers<unknown>();
  const server = createServer((original, response) => {
    proxyRequest({ request: original, body: "{}" }, response, {
      address,
      forwardingHost: "host-1",
      timeout_ms: TIMEOUT_MS,
    }).then(resolve, resolve);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const call = request({ host: "127.0.0.1", port, method: "POST" });
  call.on("error", () => {});
  call.end("{}");
  const timer = setTimeout(() => resolve("late"), TIMEOUT_MS + LATE_MS);
  const outcome = await promise;
  clearTimeout(timer);
  call.destroy();
  server.close();
  return outcome;
}

const ANSWERS = [
  "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
  "HTTP/1.1 099 Odd\r\ncontent-length: 0\r\n\r\n",
  "no response\r\n\r\n",
];

for (const text of ANSWERS) {
  test(`it is lost after ${JSON.stringify(text.slice(0, 30))}`, async () => {
    const host = new RawServer();
    await host.start();
    host.answer = text;
    const outcome = await outcomeAt(`127.0.0.1:${host.port}`);
    host.stop();
    assert.equal(outcome, ProxyOutcome.ResponseLost);
  });
}

test("it is not sent to an address that can't be", async () => {
  assert.equal(await outcomeAt("127.0.0.1:99999"), ProxyOutcome.NotSent);
});

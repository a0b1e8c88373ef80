/** Complete responses that come before their request has been written. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test, type TestContext } from "node:test";
import { BytesReadKind } from "../../src/bodies/read_bytes.ts";
import {
  ExchangeOutcome,
  readFullBody,
  sendRequest,
} from "../../src/endpoints/exchange.ts";
import { StrictKeepAliveAgent } from "../../src/endpoints/strict_keep_alive_agent.ts";

/** More than the system's buffers hold, so that it is still being written. */
const LONG_UPLOAD = Buffer.alloc(24_000_000);

/** How the response to a long upload is read that comes before its end. */
async function readEarly(
  t: TestContext,
  head: string,
): Promise<BytesReadKind> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.pause();
      socket.write(`${head}\r\n\r\n`);
    });
    t.after(() => socket.destroy());
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const agent = new StrictKeepAliveAgent(1);
  t.after(() => agent.destroy());
  const result = await sendRequest({
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    agent,
    method: "POST",
    target: "/",
    headers: ["Host", "e", "Content-Length", `${LONG_UPLOAD.length}`],
    body: LONG_UPLOAD,
    signal: AbortSignal.timeout(5_000),
  });
  assert.equal(result.kind, ExchangeOutcome.ResponseReceived);
  if (result.kind !== ExchangeOutcome.ResponseReceived) throw new Error();
  assert.ok(!result.response.isRequestWritten());
  const read = await readFullBody(result.response, { max_bytes: 1_000 });
  return read.kind;
}

for (const status of ["204 No Content", "304 Not Modified"]) {
  test(`a ${status}, which can't have a body, is complete during the upload`, async (t) => {
    const kind = await readEarly(t, `HTTP/1.1 ${status}`);
    assert.equal(kind, BytesReadKind.Complete);
  });
}

test("an empty response with a length is complete during the upload", async (t) => {
  const kind = await readEarly(t, "HTTP/1.1 200 OK\r\nContent-Length: 0");
  assert.equal(kind, BytesReadKind.Complete);
});

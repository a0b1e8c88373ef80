/** The server for callers, while malformed bytes follow a request that runs. */
import assert from "node:assert/strict";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import type { CallerApi } from "../../src/http_api/caller_api.ts";
import { createCallerServer } from "../../src/http_api/caller_server.ts";

/** Longer than the time for a head and the server's checks of it. */
const WORK_MS = 1_500;
const LIMITS = {
  header_bytes: 4_000,
  header_timeout_ms: 100,
  body_timeout_ms: 200,
  connections: 10,
};
const REQUEST = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx";
const MALFORMED = {
  "no request": "\x01\r\n\r\n",
  "a head that is too large": `GET / HTTP/1.1\r\nx: ${"x".repeat(5_000)}`,
  "a head that is late": "GET / HT",
};

/** A server whose answer has a first part at once and the rest later. */
async function startServer(t: TestContext): Promise<number> {
  const handle = async (request: IncomingMessage, response: ServerResponse) => {
    request.resume();
    await once(request, "end");
    if (request.url === "/stream") response.write("first,");
    await sleep(WORK_MS);
    response.end("answer");
  };
  const server = createCallerServer({ handle } as unknown as CallerApi, LIMITS);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.closeAllConnections());
  t.after(() => server.close());
  return (server.address() as AddressInfo).port;
}

async function exchange(port: number, texts: string[]): Promise<string> {
  const socket = connect({ host: "127.0.0.1", port });
  let answer = "";
  socket.on("data", (chunk) => answer += String(chunk));
  socket.on("error", () => {});
  for (const text of texts) {
    socket.write(text);
    await sleep(50);
  }
  if (!socket.closed) await once(socket, "close");
  return answer;
}

for (const [description, rest] of Object.entries(MALFORMED)) {
  test(`${description} after a request that runs is not answered in its place`, async (t) => {
    const port = await startServer(t);
    const answer = await exchange(port, [REQUEST, rest]);
    assert.match(answer, /^HTTP\/1\.1 200 [\s\S]*\r\n\r\nanswer$/);
    assert.equal(answer.match(/HTTP\/1\.1 /g)?.length, 1);
  });

  test(`${description} during a stream is not answered within it`, async (t) => {
    const port = await startServer(t);
    const request = REQUEST.replace("POST /", "POST /stream");
    const answer = await exchange(port, [request, rest]);
    assert.match(answer, /first,[\s\S]*answer[\s\S]*\r\n0\r\n\r\n$/);
    assert.equal(answer.match(/HTTP\/1\.1 /g)?.length, 1);
  });
}

test("malformed bytes without a request are rejected as not run", async (t) => {
  const port = await startServer(t);
  for (const rest of Object.values(MALFORMED)) {
    assert.match(await exchange(port, [rest]), /^HTTP\/1\.1 4[\s\S]*not_run/);
  }
});

/**
 * Guards against a host that exceeds its memory: a body in chunks of a few bytes
 * was kept as one object for each chunk, which takes many times its length.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  request as sendRequest,
} from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test, type TestContext } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { BytesReadKind, readBytes } from "../../src/bodies/read_bytes.ts";
import { readBody } from "../../src/forwarding/read_body.ts";
import { waitUntil } from "../../stand_ins/deployment/gateway_fleet.ts";
import { createBodyLimits } from "../../stand_ins/deployment/body_limits.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { HttpClient } from "../../src/utils/http_client.ts";

const CHUNK = "5\r\nxxxxx\r\n";
const CHUNK_BYTES = 5;
const BODY_BYTES = 2_000_000;
const CHUNKS = BODY_BYTES / CHUNK_BYTES;
const PART_CHUNKS = 10_000;
/** A growing buffer is at most twice as large; the rest is what is in transit. */
const MAX_KEPT_BYTES = 3 * BODY_BYTES;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

function usedBytes(): number {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Starts a server that answers in small chunks, and ends when told. */
async function startServer(t: TestContext) {
  const { promise: mayEnd, resolve: end } = Promise.withResolvers<void>();
  const { promise: written, resolve: onWritten } = Promise.withResolvers<
    void
  >();
  const server = createServer(async ({ socket }) => {
    socket.on("error", () => {});
    socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    for (let sent = 0; sent < CHUNKS; sent += PART_CHUNKS) {
      if (!socket.write(CHUNK.repeat(PART_CHUNKS))) await once(socket, "drain");
    }
    onWritten();
    await mayEnd;
    socket.write("0\r\n\r\n");
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { port, written, end };
}

/** Waits until all bytes on the way have been read and little memory is used. */
function waitUntilLittleIsKept(before: number): Promise<void> {
  return waitUntil(() => usedBytes() - before < MAX_KEPT_BYTES, 10_000);
}

test("a response in small chunks takes little more memory than its bytes", async (t) => {
  const { port, written, end } = await startServer(t);
  const log = createLogger({ level: "error", host: "h", writeLine: () => {} });
  const limits = createBodyLimits({ max_bytes: 8 * BODY_BYTES, log });
  const before = usedBytes();
  const request = sendRequest({ port, host: "127.0.0.1" }).end();
  const [response] = await once(request, "response") as [IncomingMessage];
  const reading = readBytes(response, { limits });
  await written;
  await waitUntilLittleIsKept(before);
  end();
  const read = await reading;
  assert.ok(read.kind === BytesReadKind.Complete);
  assert.equal(read.bytes.length, BODY_BYTES);
  assert.ok(limits.memory.held_bytes >= BODY_BYTES);
});

test("an answer of the store or of a peer in small chunks takes little memory", async (t) => {
  const { port, written, end } = await startServer(t);
  const client = new HttpClient({ ip: "127.0.0.1", port });
  t.after(() => client.close());
  const before = usedBytes();
  const sending = client.send({ method: "GET", path: "/", timeout_ms: 60_000 });
  await written;
  await waitUntilLittleIsKept(before);
  end();
  assert.equal((await sending).body.length, BODY_BYTES);
});

test("a caller's body in small chunks takes little more memory than its bytes", async (t) => {
  const log = createLogger({ level: "error", host: "h", writeLine: () => {} });
  const limits = createBodyLimits({ max_bytes: 8 * BODY_BYTES, log });
  const server = createServer();
  const reading = new Promise<Awaited<ReturnType<typeof readBody>>>(
    (resolve) =>
      server.on("request", (request: IncomingMessage) => {
        const { signal } = new AbortController();
        const max_bytes = BODY_BYTES;
        void readBody(request, { max_bytes, limits, signal }).then(resolve);
      }),
  );
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  t.after(() => {
    socket.destroy();
    server.close();
  });
  const before = usedBytes();
  socket.write(
    "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n",
  );
  for (let sent = 0; sent < CHUNKS; sent += PART_CHUNKS) {
    if (!socket.write(CHUNK.repeat(PART_CHUNKS))) await once(socket, "drain");
  }
  await waitUntilLittleIsKept(before);
  socket.write("0\r\n\r\n");
  const read = await reading;
  assert.ok("body" in read);
  assert.equal(read.body?.length, BODY_BYTES);
});

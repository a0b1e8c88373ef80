import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, get, type ServerResponse } from "node:http";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { StreamResponse } from "../../src/http_api/outcome_response.ts";
import { OutcomeKind } from "../../src/pipelines/outcome.ts";

const PIECE = "x".repeat(65_536);
const MAX_PIECES = 1_000;
const BLOCKED_AFTER_MS = 100;

test("a slow reader blocks the sender until it reads or disconnects", async (t) => {
  const { reader, responded, response } = await openExchange(t);
  const streamResponse = new StreamResponse(response);
  const blocked = await sendUntilBlocked(streamResponse);
  const [incoming] = await responded;
  incoming.resume();
  await blocked.wait;
  incoming.pause();
  const blockedAgain = await sendUntilBlocked(streamResponse);
  reader.destroy();
  await blockedAgain.wait;
});

/** Sends until backpressure blocks the sender; otherwise memory would fill. */
async function sendUntilBlocked(
  streamResponse: StreamResponse,
): Promise<{ wait: Promise<void> }> {
  for (let piece = 0; piece < MAX_PIECES; piece++) {
    const wait = streamResponse.sendText(PIECE);
    const blocked = Symbol("blocked");
    const first = await Promise.race([wait, sleep(BLOCKED_AFTER_MS, blocked)]);
    if (wait !== undefined && first === blocked) return { wait };
  }
  assert.fail("backpressure never blocked the sender");
}

test("text for a disconnected reader does not block the sender", async (t) => {
  const { reader, response } = await openExchange(t);
  reader.destroy();
  await once(response, "close");
  const streamResponse = new StreamResponse(response);
  const sent = streamResponse.sendText(PIECE);
  const blocked = Symbol("blocked");
  const first = await Promise.race([sent, sleep(BLOCKED_AFTER_MS, blocked)]);
  assert.notEqual(first, blocked);
});

test("text after the end of a response is discarded", async (t) => {
  const { response } = await openExchange(t);
  const streamResponse = new StreamResponse(response);
  const stages: [] = [];
  streamResponse.finish(
    { kind: OutcomeKind.Completed, output: "x", stages },
    "r",
  );
  let failed = false;
  response.on("error", () => failed = true);
  await streamResponse.sendText("late");
  await sleep(BLOCKED_AFTER_MS);
  assert.equal(failed, false);
});

async function openExchange(t: TestContext) {
  const server = createServer().listen(0, "127.0.0.1");
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  await once(server, "listening");
  const address = server.address();
  assert.ok(address !== null && typeof address === "object");
  const reader = get({ host: "127.0.0.1", port: address.port });
  reader.on("error", () => {});
  const responded = once(reader, "response");
  responded.catch(() => {});
  const [, response] = await once(server, "request") as [
    unknown,
    ServerResponse,
  ];
  return { reader, responded, response };
}

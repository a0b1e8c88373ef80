import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, get, type ServerResponse } from "node:http";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { StreamResponse } from "../../src/http_api/outcome_response.ts";
import { OutcomeKind } from "../../src/pipelines/outcome.ts";

const PIECE = "x".repeat(65_536);
const MOST_PIECES = 1_000;
const HELD_MS = 100;

test("a slow reader holds back the sender until it reads or goes away", async (t) => {
  const { reader, responded, response } = await openExchange(t);
  const answer = new StreamResponse(response);
  const held = await sendUntilHeld(answer);
  const [incoming] = await responded;
  incoming.resume();
  await held.wait;
  incoming.pause();
  const again = await sendUntilHeld(answer);
  reader.destroy();
  await again.wait;
});

/** Sends until the answer makes the sender wait; else memory would fill. */
async function sendUntilHeld(
  answer: StreamResponse,
): Promise<{ wait: Promise<void> }> {
  for (let piece = 0; piece < MOST_PIECES; piece++) {
    const wait = answer.sendText(PIECE);
    const held = Symbol("held");
    const first = await Promise.race([wait, sleep(HELD_MS, held)]);
    if (wait !== undefined && first === held) return { wait };
  }
  assert.fail("nothing held the sender back");
}

test("text for a reader that is gone holds nobody back", async (t) => {
  const { reader, response } = await openExchange(t);
  reader.destroy();
  await once(response, "close");
  const answer = new StreamResponse(response);
  const sent = answer.sendText(PIECE);
  const held = Symbol("held");
  const first = await Promise.race([sent, sleep(HELD_MS, held)]);
  assert.notEqual(first, held);
});

test("text after the end of an answer is dropped", async (t) => {
  const { response } = await openExchange(t);
  const answer = new StreamResponse(response);
  const stages: [] = [];
  answer.finish({ kind: OutcomeKind.Completed, output: "x", stages }, "r");
  let failed = false;
  response.on("error", () => failed = true);
  await answer.sendText("late");
  await sleep(HELD_MS);
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

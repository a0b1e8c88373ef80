import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, get, type ServerResponse } from "node:http";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { StreamAnswer } from "../../src/http_api/answer.ts";

const PIECE = "x".repeat(65_536);
const MOST_PIECES = 1_000;
const HELD_MS = 100;

test("a slow reader holds back the sender until it reads or goes away", async (t) => {
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
  const [, response] = await once(server, "request") as [
    unknown,
    ServerResponse,
  ];
  const answer = new StreamAnswer(response);
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
  answer: StreamAnswer,
): Promise<{ wait: Promise<void> }> {
  for (let piece = 0; piece < MOST_PIECES; piece++) {
    const wait = answer.sendText(PIECE);
    const held = Symbol("held");
    const first = await Promise.race([wait, sleep(HELD_MS, held)]);
    if (wait !== undefined && first === held) return { wait };
  }
  assert.fail("nothing held the sender back");
}

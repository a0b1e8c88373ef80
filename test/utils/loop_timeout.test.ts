/** Timeouts of a host whose event loop stood still, so that it read nothing. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PieceCallResultKind } from "../../src/batching/piece_call.ts";
import { EndpointAgents } from "../../src/endpoints/endpoint_agents.ts";
import { HttpClient } from "../../src/utils/http_client.ts";
import { startLoopTimeout } from "../../src/utils/loop_timeout.ts";
import {
  createSingleConnectionClient,
  pieceEndpoint,
} from "../../stand_ins/deployment/piece_calls.ts";

const TIMEOUT_MS = 200;
const BLOCKED_MS = 400;
/** Delay of each timer of a loop that is always late. */
const LATE_LOOP_MS = 100;
/** Timers of one timeout, with those that are added. */
const MAX_PARTS = 12;
/** What a timeout may be late for without a stand-still. */
const MARGIN_MS = 150;

let server: Server | undefined;

afterEach(() => void server?.close());

function blockLoop(blocked_ms = BLOCKED_MS): void {
  const end_ms = performance.now() + blocked_ms;
  while (performance.now() < end_ms);
}

/** A server whose answer arrives while this process's loop stands still. */
async function startServer(): Promise<number> {
  server = createServer((request, response) => {
    request.resume();
    const answer = JSON.stringify({ items: [{ handle: "h" }] });
    // Timers come next in the loop, and then what the client can read.
    response.end(answer, () => blockLoop());
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

test("a call for pieces that was answered while the loop stood still has not timed out", async (t) => {
  const agents = new EndpointAgents(() => 1);
  t.after(() => agents.close());
  const result = await createSingleConnectionClient(agents).call(
    pieceEndpoint(await startServer()),
    [{
      index: 0,
      key: "k",
      inputs: undefined,
      attempt_id: "a",
      stage: 0,
      remaining_ms: 1_000,
    }],
    { timeout_ms: TIMEOUT_MS, signal: new AbortController().signal },
  );
  assert.equal(result.kind, PieceCallResultKind.Answered);
});

test("a host that answered while the loop stood still has not failed", async (t) => {
  const client = new HttpClient({ ip: "127.0.0.1", port: await startServer() });
  t.after(() => client.close());
  const { status } = await client.send({
    method: "GET",
    path: "/",
    timeout_ms: TIMEOUT_MS,
  });
  assert.equal(status, 200);
});

test("a timeout ends in time if the loop runs, and not before", async () => {
  const started_ms = performance.now();
  await new Promise<void>((resolve) => startLoopTimeout(TIMEOUT_MS, resolve));
  const elapsed_ms = performance.now() - started_ms;
  assert.ok(elapsed_ms >= TIMEOUT_MS - 1, `${elapsed_ms} ms`);
  assert.ok(elapsed_ms < TIMEOUT_MS + MARGIN_MS, `${elapsed_ms} ms`);
});

test("a timeout is extended by the time for which the loop stood still", async () => {
  const started_ms = performance.now();
  const ended = new Promise<void>((resolve) =>
    startLoopTimeout(TIMEOUT_MS, resolve)
  );
  blockLoop();
  await ended;
  const elapsed_ms = performance.now() - started_ms;
  assert.ok(elapsed_ms >= BLOCKED_MS + TIMEOUT_MS / 2, `${elapsed_ms} ms`);
});

test("a timeout ends although the loop is always late", async () => {
  const started_ms = performance.now();
  const busy = setInterval(() => blockLoop(LATE_LOOP_MS), 1);
  await new Promise<void>((resolve) => startLoopTimeout(TIMEOUT_MS, resolve));
  clearInterval(busy);
  const elapsed_ms = performance.now() - started_ms;
  assert.ok(elapsed_ms < MAX_PARTS * 3 * LATE_LOOP_MS, `${elapsed_ms} ms`);
});

test("a cancelled timeout does not end", async () => {
  let ended = false;
  const cancel = startLoopTimeout(TIMEOUT_MS, () => ended = true);
  await sleep(TIMEOUT_MS / 2);
  cancel();
  await sleep(TIMEOUT_MS);
  assert.equal(ended, false);
});

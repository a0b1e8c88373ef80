/** Calls for pieces over HTTP, to a server whose answers the test chooses. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, test } from "node:test";
import { PieceCallResultKind } from "../../src/batching/piece_call.ts";
import { EndpointAgents } from "../../src/endpoints/endpoint_agents.ts";
import type { RouteEndpoint } from "../../src/routes/types.ts";
import {
  createSingleConnectionClient,
  pieceEndpoint,
} from "../../stand_ins/deployment/piece_calls.ts";

const CALL_TIMEOUT_MS = 2_000;
const LIMITS = {
  timeout_ms: CALL_TIMEOUT_MS,
  signal: new AbortController().signal,
};

let server: Server;
let endpoint: RouteEndpoint;
let answers: string[];
let connections = 0;
const agents = new EndpointAgents(() => 1);
const client = createSingleConnectionClient(agents);

before(async () => {
  server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, { "content-type": "application/json" });
    response.end(answers.shift());
  });
  server.on("connection", () => connections += 1);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  endpoint = pieceEndpoint(port);
});
after(() => {
  agents.close();
  server.close();
});

function answer(...handles: string[]): string {
  return JSON.stringify({ items: handles.map((handle) => ({ handle })) });
}

function call() {
  const pieces = [0, 1].map((index) => ({
    index,
    key: "k",
    inputs: undefined,
    attempt_id: "a",
    stage: 0,
    remaining_ms: 1_000,
  }));
  return client.call(endpoint, pieces, LIMITS);
}

test("a copy of an earlier answer is not taken for the answer to a later call", async () => {
  answers = [answer("h1", "h2"), answer("h1", "h2"), answer("h3", "h4")];
  const first = await call();
  assert.equal(first.kind, PieceCallResultKind.Answered);
  const copy = await call();
  assert.ok(copy.kind === PieceCallResultKind.Failed);
  assert.equal(copy.reason, "repeated_answer");
  assert.equal(connections, 1);
  const third = await call();
  assert.ok(third.kind === PieceCallResultKind.Answered);
  assert.deepEqual(
    third.responses.map((response) => response.ok && response.handle),
    ["h3", "h4"],
  );
  assert.equal(connections, 2);
});

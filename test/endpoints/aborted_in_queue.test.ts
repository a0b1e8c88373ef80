/** Requests that are aborted while they wait for a connection to an endpoint. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { EndpointAgents } from "../../src/endpoints/endpoint_agents.ts";
import {
  ExchangeOutcome,
  NO_CONNECTION,
  readFullBody,
  sendRequest,
} from "../../src/endpoints/exchange.ts";

/** Longest time after its abort at which an exchange may end. */
const LATE_MS = 500;

test("they end at once as not sent, and never reach the endpoint", async () => {
  const targets: string[] = [];
  const held: ServerResponse[] = [];
  const server = createServer((request, response) => {
    targets.push(request.url ?? "");
    if (request.url === "/running") held.push(response);
    else response.end("whole");
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const agents = new EndpointAgents(() => 1);
  const send = (target: string, signal: AbortSignal) =>
    sendRequest({
      address,
      agent: agents.agentFor(address, 1),
      method: "POST",
      target,
      headers: ["Host", address],
      body: Buffer.from("body"),
      signal,
    });
  const never = new AbortController().signal;
  const running = send("/running", never);
  const aborting = new AbortController();
  const queued = send("/queued", aborting.signal);
  while (held.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  aborting.abort("over");
  const late = new Promise((resolve) =>
    setTimeout(() => resolve("late"), LATE_MS)
  );
  const first = await Promise.race([queued, late]);
  held[0]?.end("whole");
  for (const answer of [() => running, () => send("/later", never)]) {
    const result = await answer();
    assert.ok(result.kind === ExchangeOutcome.ResponseReceived);
    await readFullBody(result.response, { max_bytes: 100 });
  }
  agents.close();
  server.close();
  assert.deepEqual(targets, ["/running", "/later"]);
  assert.deepEqual(first, {
    kind: ExchangeOutcome.NotSent,
    reason: NO_CONNECTION,
  });
});

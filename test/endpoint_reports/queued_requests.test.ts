/** Requests that wait for a connection to an endpoint that takes none any more. */
import assert from "node:assert/strict";
import { BytesReadKind } from "../../src/bodies/read_bytes.ts";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import {
  ENDPOINT_UNAVAILABLE,
  EndpointAgents,
} from "../../src/endpoints/endpoint_agents.ts";
import {
  ExchangeOutcome,
  readFullBody,
  sendRequest,
} from "../../src/endpoints/exchange.ts";

test("they end at once as not sent, the running one goes on, and the connection serves again", async () => {
  const held: (() => void)[] = [];
  const targets: string[] = [];
  const server = createServer((request, response) => {
    targets.push(request.url ?? "");
    held.push(() => response.end("whole"));
    if (request.url === "/later") response.end("whole");
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const agents = new EndpointAgents(() => 1);
  const send = (target: string) =>
    sendRequest({
      address,
      agent: agents.agentFor(address, 1),
      method: "POST",
      target,
      headers: ["Host", address],
      body: Buffer.from("body"),
      signal: new AbortController().signal,
    });
  const running = send("/running");
  const queued = [send("/queued"), send("/queued")];
  while (targets.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  agents.failQueued(address);
  for (const result of await Promise.all(queued)) {
    assert.deepEqual(result, {
      kind: ExchangeOutcome.NotSent,
      reason: ENDPOINT_UNAVAILABLE,
    });
  }
  held[0]?.();
  const result = await running;
  assert.ok(result.kind === ExchangeOutcome.ResponseReceived);
  const read = await readFullBody(result.response, { max_bytes: 100 });
  assert.ok(read.kind === BytesReadKind.Complete);
  assert.equal(read.bytes.toString(), "whole");
  const later = await send("/later");
  assert.ok(later.kind === ExchangeOutcome.ResponseReceived);
  await readFullBody(later.response, { max_bytes: 100 });
  assert.deepEqual(targets, ["/running", "/later"]);
  agents.close();
  server.close();
});

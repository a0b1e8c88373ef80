/** The time left that an endpoint is told after ways to it have failed. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { deploymentCodec } from "../../platform/codec.ts";
import { createPieceClient } from "../../src/batching/piece_client.ts";
import { EndpointAgents } from "../../src/endpoints/endpoint_agents.ts";
import type { RunContext } from "../../src/forwarding/run_context.ts";
import { sendOnce } from "../../src/forwarding/send_once.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { CarrierConnections } from "../../src/relaying/carrier_connections.ts";
import { createEndpointSender } from "../../src/relaying/endpoint_sender.ts";
import type { RouteEndpoint } from "../../src/routes/types.ts";
import { createBodyLimits } from "../../stand_ins/deployment/body_limits.ts";
import {
  ATTEMPT_ID,
  endpointAt,
  routesThrough,
  startCarrier,
} from "./carried_exchanges.ts";

const LEFT_MS = 5_000;
/** Time for which the first carrier holds a request that it refuses. */
const HOLD_MS = 600;
/** What an endpoint may be told beyond the time that is left. */
const MAX_EXCESS_MS = 500;
const log = createLogger({ level: "error", host: "h", writeLine: () => {} });
const now = () => performance.now();

async function listen(t: TestContext, serve: RequestListener) {
  const server = createServer(serve);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** A sender whose first carrier refuses late, and whose second one sends. */
async function createLateSender(t: TestContext, endpoint: RouteEndpoint) {
  const refusing = await listen(t, async (request, response) => {
    request.resume();
    await sleep(HOLD_MS);
    response.writeHead(503).end();
  });
  const host = await startCarrier(t, endpoint);
  const carriers = new CarrierConnections();
  const agents = new EndpointAgents(() => 1);
  t.after(() => {
    carriers.close();
    agents.close();
  });
  const send = createEndpointSender({
    routes: routesThrough([refusing, host.address]),
    carriers,
    onCarried: () => {},
  });
  return { send, agents };
}

function assertToldLeft(told_ms: number, begun_ms: number): void {
  const left_ms = LEFT_MS - (now() - begun_ms);
  assert.ok(told_ms > 0);
  assert.ok(told_ms <= left_ms + MAX_EXCESS_MS, `${told_ms} of ${left_ms} ms`);
}

test("an endpoint is told the time left when its way was found", async (t) => {
  let told_ms = 0;
  const begun_ms = now();
  const address = await listen(t, (request, response) => {
    told_ms = Number(request.headers["x-deadline-ms"]);
    response.end();
  });
  const endpoint = endpointAt(address);
  const { send, agents } = await createLateSender(t, endpoint);
  const reached = new Error("sent");
  const context = {
    dependencies: {
      load: { forEndpoint: () => ({ in_flight: 0 }) },
      now,
      agents,
      codec: deploymentCodec,
      configuration: {},
      send: async (...args: Parameters<typeof send>) => {
        await send(...args);
        throw reached;
      },
    },
    inbound: {
      request: { method: "POST", url: "/x", rawHeaders: ["Host", address] },
      progress: { mayHaveRun: false },
    },
    admitted: { metadata: { attempt_id: ATTEMPT_ID }, priority: 0 },
    mayRetry: false,
    pool: endpoint.pool,
    signal: new AbortController().signal,
    remainingMs: () => LEFT_MS - (now() - begun_ms),
  } as unknown as RunContext;
  const sent = sendOnce(context, endpoint, { results: [] } as never);
  await assert.rejects(sent, reached);
  assertToldLeft(told_ms, begun_ms);
});

test("a call for pieces tells the time left when its way was found", async (t) => {
  let told_ms = 0;
  const address = await listen(t, async (request, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk);
    const { items } = JSON.parse(String(Buffer.concat(chunks)));
    told_ms = items[0].remaining_ms;
    response.end(JSON.stringify({ items: [{ handle: "h" }] }));
  });
  const endpoint = endpointAt(address);
  const { send, agents } = await createLateSender(t, endpoint);
  const client = createPieceClient({
    codec: deploymentCodec,
    agents,
    send,
    pool: () => undefined,
    endpointAt: () => undefined,
    reports: { record: () => {}, pauseMs: () => 0 },
    responseLimits: createBodyLimits({ max_bytes: 10_000_000, log }),
    log,
    now,
  });
  const begun_ms = now();
  const piece = {
    index: 0,
    key: "k",
    inputs: undefined,
    attempt_id: ATTEMPT_ID,
    stage: 0,
    remaining_ms: LEFT_MS,
  };
  const { signal } = new AbortController();
  await client.call(endpoint, [piece], { timeout_ms: LEFT_MS, signal });
  assertToldLeft(told_ms, begun_ms);
});

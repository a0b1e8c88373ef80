/** What an endpoint says of its start, compared with its entry. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { deploymentCodec } from "../../platform/codec.ts";
import { UNKNOWN_START_MS } from "../../src/routes/types.ts";
import { sendRequest } from "../../src/endpoints/exchange.ts";
import { EndpointAgents } from "../../src/endpoints/endpoint_agents.ts";
import {
  createStartCheck,
  StartCheck,
} from "../../src/stream_origins/start_check.ts";
import { createBodyLimits } from "../../stand_ins/deployment/body_limits.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { sampleEndpoint } from "./sample_endpoint.ts";

const log = createLogger({ level: "error", host: "h", writeLine: () => {} });
/** Longer than a check may take. */
const MAX_CHECK_MS = 1_000;

async function check(
  t: TestContext,
  answer: RequestListener,
  born_ms = 7,
): Promise<StartCheck> {
  const server = createServer(answer);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const agents = new EndpointAgents(() => 1);
  t.after(() => {
    agents.close();
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  const checkStart = createStartCheck({
    codec: deploymentCodec,
    agents,
    send: (_endpoint, formRequest) => sendRequest(formRequest()),
    pool: () => undefined,
    responseLimits: createBodyLimits({ max_bytes: 1_000_000, log }),
  });
  return await checkStart({
    ...sampleEndpoint("v1"),
    address: `127.0.0.1:${port}`,
    born_ms,
  });
}

/** Answers with a status and a body. */
function answering(status: number, body: string): RequestListener {
  return (_request, response) => response.writeHead(status).end(body);
}

test("an endpoint that tells the start of its entry is the same", async (t) => {
  assert.equal(
    await check(t, answering(200, `{"born":7,"running":1}`)),
    StartCheck.Same,
  );
});

test("an endpoint that tells another start has started again", async (t) => {
  assert.equal(
    await check(t, answering(200, `{"born":8}`)),
    StartCheck.Restarted,
  );
});

test("an endpoint whose entry names no start may be any", async (t) => {
  assert.equal(
    await check(t, answering(200, `{"born":8}`), UNKNOWN_START_MS),
    StartCheck.Unknown,
  );
});

for (
  const [status, body] of [
    [404, `{"born":8}`],
    [200, "{}"],
    [200, "null"],
    [200, `{"born":"8"}`],
    [200, `{"born":8.5}`],
    [200, "no JSON"],
    [200, "x".repeat(300_000)],
  ] as const
) {
  test(`an answer ${status} "${body.slice(0, 12)}" tells nothing of the start`, async (t) => {
    assert.equal(await check(t, answering(status, body)), StartCheck.Unknown);
  });
}

test("an endpoint that doesn't answer delays a stream but for a moment", async (t) => {
  const started_ms = performance.now();
  assert.equal(await check(t, () => {}), StartCheck.Silent);
  assert.ok(performance.now() - started_ms < MAX_CHECK_MS);
});

test("an endpoint that takes no connection is silent", async (t) => {
  const reset: RequestListener = (request) => void request.socket.destroy();
  assert.equal(await check(t, reset), StartCheck.Silent);
});

test("a status without end delays a stream but for a moment", async (t) => {
  const started_ms = performance.now();
  const endless: RequestListener = (_request, response) => {
    response.writeHead(200);
    const timer = setInterval(() => response.write(" "), 20);
    response.once("close", () => clearInterval(timer));
  };
  assert.equal(await check(t, endless), StartCheck.Silent);
  assert.ok(performance.now() - started_ms < MAX_CHECK_MS);
});

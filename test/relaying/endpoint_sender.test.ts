/** Exchanges with endpoints that go through another host. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import {
  type AddressInfo,
  createServer as createTcpServer,
  type Socket,
} from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { EndpointAgents } from "../../src/endpoints/endpoint_agents.ts";
import {
  discardResponse,
  type EndpointResponse,
  ExchangeOutcome,
  type ExchangeResult,
  headerValue,
  isComplete,
  NO_CONNECTION,
} from "../../src/endpoints/exchange.ts";
import {
  CarriedResult,
  CARRIER_LOST,
  NO_CARRIER,
} from "../../src/relaying/endpoint_sender.ts";
import {
  CarriedOutcome,
  encodeHead,
  HEAD_HEADER,
} from "../../src/relaying/exchange_head.ts";
import type { RouteEndpoint } from "../../src/routes/types.ts";
import { EndlessServer } from "../../stand_ins/deployment/endless_server.ts";
import { waitUntil } from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  ATTEMPT_ID,
  createSender,
  endpointAt,
  routesThrough,
  startCarrier,
} from "./carried_exchanges.ts";

const UNUSED_ADDRESS = "127.0.0.1:9";
/** Time in which the endpoint's work must end after a caller has left. */
const MAX_CANCEL_MS = 500;

async function startEndpoint(t: TestContext, serve: RequestListener) {
  const server = createServer(serve);
  const sockets = new Set<Socket>();
  let connections = 0;
  server.on("connection", (socket) => {
    connections += 1;
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return {
    endpoint: endpointAt(`127.0.0.1:${port}`),
    connections: () => connections,
    open: () => sockets.size,
  };
}

/** An endpoint that writes these bytes in response to each connection's first. */
async function startRawEndpoint(t: TestContext, text: string, ends: boolean) {
  const server = createTcpServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      if (ends) socket.end(text, "latin1");
      else socket.write(text, "latin1", () => socket.resetAndDestroy());
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  return endpointAt(`127.0.0.1:${port}`);
}

const own = { "x-attempt-id": ATTEMPT_ID, "x-response-signature": "s" };

function responseOf(result: ExchangeResult): EndpointResponse {
  assert.equal(result.kind, ExchangeOutcome.ResponseReceived);
  if (result.kind !== ExchangeOutcome.ResponseReceived) throw new Error();
  return result.response;
}

/** Reads a body to its end; tells whether the response was complete. */
async function readAll(response: EndpointResponse) {
  const chunks: Buffer[] = [];
  response.body.on("data", (chunk) => chunks.push(chunk));
  response.body.on("error", () => {});
  await new Promise((resolve) => response.body.once("close", resolve));
  return { bytes: Buffer.concat(chunks), complete: isComplete(response) };
}

test("a request and its response pass another host unchanged", async (t) => {
  const sent = Buffer.from(Array.from({ length: 100_000 }, (_, n) => n % 256));
  let seen: { method?: string; url?: string; headers: string[] } | undefined;
  const { endpoint } = await startEndpoint(t, async (request, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk);
    seen = {
      method: request.method ?? "",
      url: request.url ?? "",
      headers: request.rawHeaders,
    };
    response.writeHead(201, "Made it", [
      ...Object.entries(own).flat(),
      "X-Odd",
      'caf\u00e9 "{}\\',
      "X-Odd",
      "twice",
    ]);
    response.end(Buffer.concat(chunks));
  });
  const host = await startCarrier(t, endpoint);
  const { send, results } = createSender(t, routesThrough([host.address]));
  const headers = [
    "Host",
    "fleet.example",
    "X-Attempt-Id",
    ATTEMPT_ID,
    "X-Big",
    "\u00ff".repeat(8_000),
    "Content-Length",
    String(sent.length),
  ];
  const result = await send(endpoint, {
    method: "PUT",
    target: "/a?b=%20c",
    headers,
    body: sent,
  });
  const response = responseOf(result);
  const { bytes, complete } = await readAll(response);
  assert.deepEqual([seen?.method, seen?.url], ["PUT", "/a?b=%20c"]);
  assert.deepEqual(seen?.headers.slice(0, headers.length), headers);
  assert.equal(response.status, 201);
  assert.equal(response.status_text, "Made it");
  assert.equal(headerValue(response.headers, "x-odd"), 'caf\u00e9 "{}\\');
  assert.ok(bytes.equals(sent));
  assert.ok(complete);
  assert.equal(response.carrier, host.address);
  assert.deepEqual(results, [CarriedResult.Response]);
});

test("a stream arrives as it is written, and its connections are kept", async (t) => {
  let seenFirst = Promise.withResolvers<void>();
  const { endpoint, connections } = await startEndpoint(
    t,
    async (_request, response) => {
      response.writeHead(200, { ...own, "content-type": "text/event-stream" });
      response.write("id: 1\n\n");
      await seenFirst.promise;
      response.end("id: 2\n\n");
    },
  );
  const host = await startCarrier(t, endpoint);
  const { send } = createSender(t, routesThrough([host.address]));
  for (let run = 0; run < 3; run++) {
    seenFirst = Promise.withResolvers();
    const response = responseOf(await send(endpoint));
    const [first] = await once(response.body, "data");
    assert.equal(String(first), "id: 1\n\n");
    seenFirst.resolve();
    const { bytes, complete } = await readAll(response);
    assert.equal(String(bytes), "id: 2\n\n");
    assert.ok(complete);
  }
  assert.equal(connections(), 1);
});

test("a stream that its endpoint breaks off does not look complete", async (t) => {
  const { endpoint } = await startEndpoint(t, async (request, response) => {
    response.writeHead(200, own);
    response.write("half");
    await sleep(20);
    request.socket.resetAndDestroy();
  });
  const host = await startCarrier(t, endpoint);
  const { send } = createSender(t, routesThrough([host.address]));
  const read = await readAll(responseOf(await send(endpoint)));
  assert.deepEqual([String(read.bytes), read.complete], ["half", false]);
});

test("a response without length is complete at its end, but not after a reset", async (t) => {
  const text = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${ATTEMPT_ID}\r\n` +
    "X-Response-Signature: s\r\n\r\nbody";
  for (const ends of [true, false]) {
    const endpoint = await startRawEndpoint(t, text, ends);
    const host = await startCarrier(t, endpoint);
    const { send } = createSender(t, routesThrough([host.address]));
    const response = responseOf(await send(endpoint));
    const { bytes, complete } = await readAll(response);
    assert.equal(complete, ends);
    if (ends) assert.equal(String(bytes), "body");
  }
});

test("the endpoint's work ends soon after the sender has left", async (t) => {
  const { endpoint, open } = await startEndpoint(t, () => {});
  const host = await startCarrier(t, endpoint);
  const { send } = createSender(t, routesThrough([host.address]));
  const caller = new AbortController();
  const pending = send(endpoint, { signal: caller.signal });
  await waitUntil(() => open() === 1);
  caller.abort("caller_left");
  const left_ms = performance.now();
  await waitUntil(() => open() === 0);
  assert.ok(performance.now() - left_ms < MAX_CANCEL_MS);
  assert.equal((await pending).kind, ExchangeOutcome.ResponseLost);
  await waitUntil(() => host.carrier.active === 0);
});

test("a stream ends at its endpoint soon after the sender discards it", async (t) => {
  const { endpoint, open } = await startEndpoint(t, (_request, response) => {
    response.writeHead(200, own).write("id: 1\n\n");
  });
  const host = await startCarrier(t, endpoint);
  const { send } = createSender(t, routesThrough([host.address]));
  const response = responseOf(await send(endpoint));
  const left_ms = performance.now();
  discardResponse(response);
  await waitUntil(() => open() === 0);
  assert.ok(performance.now() - left_ms < MAX_CANCEL_MS);
});

test("a request is told as not run only if the carrier had no connection", async (t) => {
  const refusing = endpointAt(UNUSED_ADDRESS);
  const first = await startCarrier(t, refusing);
  const toRefusing = createSender(t, routesThrough([first.address]));
  assert.deepEqual(await toRefusing.send(refusing), {
    kind: ExchangeOutcome.NotSent,
    reason: "ECONNREFUSED",
    way_failed: false,
  });
  const { endpoint } = await startEndpoint(
    t,
    (request) => void request.socket.resetAndDestroy(),
  );
  const second = await startCarrier(t, endpoint);
  const toResetting = createSender(t, routesThrough([second.address]));
  assert.deepEqual(await toResetting.send(endpoint), {
    kind: ExchangeOutcome.ResponseLost,
    reason: "ECONNRESET",
    way_failed: false,
  });
});

test("a carrier that is killed before the response may have run the request", async (t) => {
  let runs = 0;
  const { endpoint } = await startEndpoint(t, () => void (runs += 1));
  const [host, other] = [
    await startCarrier(t, endpoint),
    await startCarrier(t, endpoint),
  ];
  const routes = routesThrough([host.address, other.address]);
  const { send, results } = createSender(t, routes);
  const pending = send(endpoint);
  await waitUntil(() => runs === 1);
  host.kill();
  assert.deepEqual(await pending, {
    kind: ExchangeOutcome.ResponseLost,
    reason: CARRIER_LOST,
    way_failed: true,
  });
  assert.equal(runs, 1);
  assert.deepEqual(results, [CarriedResult.CarrierLost]);
  assert.deepEqual(routes.failures, [host.address]);
});

test("a response whose carrier is killed does not look complete", async (t) => {
  const { endpoint } = await startEndpoint(t, (_request, response) => {
    response.writeHead(200, own).write("half");
  });
  const host = await startCarrier(t, endpoint);
  const { send } = createSender(t, routesThrough([host.address]));
  const response = responseOf(await send(endpoint));
  await once(response.body, "data");
  host.kill();
  assert.equal((await readAll(response)).complete, false);
});

test("another carrier takes what one has not sent", async (t) => {
  const { endpoint } = await startEndpoint(
    t,
    (_request, response) => response.writeHead(200, own).end("done"),
  );
  const draining = await startCarrier(t, endpoint);
  draining.isShuttingDown = true;
  const stranger = await startCarrier(t, endpointAt(UNUSED_ADDRESS));
  const host = await startCarrier(t, endpoint);
  for (const first of [draining.address, stranger.address, UNUSED_ADDRESS]) {
    const { send } = createSender(t, routesThrough([first, host.address]));
    const { bytes } = await readAll(responseOf(await send(endpoint)));
    assert.equal(String(bytes), "done");
  }
  const routes = routesThrough([draining.address, UNUSED_ADDRESS]);
  const { send } = createSender(t, routes);
  assert.deepEqual(await send(endpoint), {
    kind: ExchangeOutcome.NotSent,
    reason: NO_CARRIER,
    way_failed: true,
  });
  assert.deepEqual(routes.failures, [draining.address, UNUSED_ADDRESS]);
});

test("a carrier that doesn't reach the endpoint is recorded as such", async (t) => {
  const endpoint = endpointAt(UNUSED_ADDRESS);
  const cut = await startCarrier(t, endpoint, {
    routes: { ...routesThrough([]), isOutOfReach: () => true },
  });
  const stranger = await startCarrier(t, endpointAt("127.0.0.1:10"));
  const draining = await startCarrier(t, endpoint);
  draining.isShuttingDown = true;
  const routes = routesThrough([
    cut.address,
    stranger.address,
    draining.address,
  ]);
  const { send } = createSender(t, routes);
  assert.equal((await send(endpoint)).kind, ExchangeOutcome.NotSent);
  assert.deepEqual(routes.unreached, [cut.address, stranger.address]);
  assert.deepEqual(routes.failures, [draining.address]);
});

test("a carrier sends no request on through a third host", async (t) => {
  const { endpoint, connections } = await startEndpoint(
    t,
    (_request, response) => response.writeHead(200, own).end(),
  );
  const third = await startCarrier(t, endpoint);
  const cutOff = {
    ...routesThrough([third.address]),
    isOutOfReach: () => true,
  };
  const host = await startCarrier(t, endpoint, { routes: cutOff });
  const { send } = createSender(t, routesThrough([host.address]));
  const result = await send(endpoint);
  assert.equal(result.kind, ExchangeOutcome.NotSent);
  assert.equal(connections(), 0);
});

test("carried requests do not wait for a connection of the carrier", async (t) => {
  const { endpoint, open } = await startEndpoint(t, () => {});
  // One connection for each host, so that a second request has to wait.
  const host = await startCarrier(t, endpoint, { max_connections: 1 });
  const { send } = createSender(t, routesThrough([host.address]));
  const caller = new AbortController();
  const first = send(endpoint, { signal: caller.signal });
  await waitUntil(() => open() === 1);
  const second = await send(endpoint);
  assert.equal(second.kind, ExchangeOutcome.NotSent);
  caller.abort("done");
  await first;
});

test("the endpoint waits for a slow reader at the other end", async (t) => {
  const server = new EndlessServer({
    beginning: "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n",
    part: Buffer.alloc(65_536, "x"),
  });
  await server.start();
  t.after(() => server.stop());
  const endpoint = endpointAt(server.address);
  const host = await startCarrier(t, endpoint);
  const { send } = createSender(t, routesThrough([host.address]));
  const response = responseOf(
    await send(endpoint, { attempt_id: undefined }),
  );
  response.body.pause();
  let known = -1;
  // Until the buffers on the way are full.
  for (let n = 0; n < 100 && known !== server.openBytes; n++) {
    known = server.openBytes;
    await sleep(100);
  }
  assert.ok(known > 0);
  assert.equal(server.openBytes, known);
  // The buffers of two kernel connections and of two hosts.
  assert.ok(known < 64_000_000, `${known} bytes on the way`);
  discardResponse(response);
});

test("after a refusal as not run, the carrier's connection is not used again", async (t) => {
  const { endpoint, connections } = await startEndpoint(
    t,
    (_request, response) =>
      response.writeHead(503, {
        "x-attempt-id": ATTEMPT_ID,
        "x-not-executed": "1",
        "retry-after": "2",
        "content-length": 0,
      }).end(),
  );
  const host = await startCarrier(t, endpoint);
  const { send } = createSender(t, routesThrough([host.address]));
  for (let run = 1; run <= 3; run++) {
    const response = responseOf(await send(endpoint));
    assert.equal(response.status, 503);
    assert.equal(response.first_on_connection, true);
    discardResponse(response);
    await waitUntil(() => host.carrier.active === 0);
    assert.equal(connections(), run);
  }
  assert.equal(host.reports[0]?.report.pause_ms, 2_000);
  assert.notEqual(host.reports[0]?.sent_ms, undefined);
  host.pause_ms = 100;
  const held = await send(endpoint);
  assert.equal(held.kind, ExchangeOutcome.NotSent);
  assert.equal(connections(), 3);
});

test("a host carries nothing to an endpoint that it knows to be cold", async (t) => {
  const { endpoint, connections } = await startEndpoint(
    t,
    (_request, response) => void response.writeHead(200, own).end("a"),
  );
  const host = await startCarrier(t, endpoint);
  const { send } = createSender(t, routesThrough([host.address]));
  host.isCold = true;
  const refused = await send(endpoint);
  assert.equal(refused.kind, ExchangeOutcome.NotSent);
  assert.equal(connections(), 0);
  host.isCold = false;
  discardResponse(responseOf(await send(endpoint)));
  assert.equal(connections(), 1);
});

for (const mayBeCarried of [true, false]) {
  test(`a request whose connection fails goes another way if it may be carried: ${mayBeCarried}`, async (t) => {
    const { endpoint } = await startEndpoint(t, () => {});
    const host = await startCarrier(t, endpoint);
    const routes = routesThrough([host.address]);
    let asked = 0;
    const { send, results } = createSender(t, {
      ...routes,
      carrierFor(...question) {
        asked += 1;
        return asked === 1 ? undefined : routes.carrierFor(...question);
      },
    }, { mayBeCarried: () => mayBeCarried });
    host.pause_ms = 1;
    // Nothing listens at port 1.
    await send({ ...endpoint, address: "127.0.0.1:1" });
    assert.equal(results.length > 0, mayBeCarried);
  });
}

test("exchanges in flight through a carrier are counted until they end", async (t) => {
  const { endpoint, open } = await startEndpoint(t, (_request, response) => {
    response.writeHead(200, own).write("a");
  });
  const host = await startCarrier(t, endpoint);
  const { send, carriers } = createSender(t, routesThrough([host.address]));
  const response = responseOf(await send(endpoint));
  assert.equal(carriers.inFlight(host.address), 1);
  assert.equal(open(), 1);
  discardResponse(response);
  await waitUntil(() => carriers.inFlight(host.address) === 0);
});

test("a carrier that stands still is passed over, though the exchange goes on", async (t) => {
  const { endpoint } = await startEndpoint(
    t,
    (_request, response) => response.writeHead(200, own).end("late"),
  );
  const still = createTcpServer((socket) => socket.on("error", () => {}));
  still.listen(0, "127.0.0.1");
  await once(still, "listening");
  t.after(() => still.close());
  const { port } = still.address() as AddressInfo;
  const routes = routesThrough([`127.0.0.1:${port}`]);
  const { send } = createSender(t, routes);
  const caller = new AbortController();
  const pending = send(endpoint, { signal: caller.signal });
  await waitUntil(() => routes.failures.length > 0, 1_000);
  caller.abort("done");
  assert.equal((await pending).kind, ExchangeOutcome.ResponseLost);
});

test("a carrier whose endpoint is slow is not passed over", async (t) => {
  const { endpoint } = await startEndpoint(t, async (_request, response) => {
    await sleep(800);
    response.writeHead(200, own).end();
  });
  const host = await startCarrier(t, endpoint);
  const routes = routesThrough([host.address]);
  const { send } = createSender(t, routes);
  await readAll(responseOf(await send(endpoint)));
  assert.deepEqual(routes.failures, []);
});

test("a host has no more exchanges through others than connections of its own", async (t) => {
  const { endpoint, open } = await startEndpoint(t, () => {});
  const host = await startCarrier(t, endpoint);
  const agents = new EndpointAgents(() => 1);
  // Two connections for this host.
  const agent = agents.agentFor(endpoint.address, 3);
  const { send } = createSender(t, routesThrough([host.address]));
  const caller = new AbortController();
  const { signal } = caller;
  const both = [1, 2].map(() => send(endpoint, { agent, signal }));
  await waitUntil(() => open() === 2);
  assert.deepEqual(await send(endpoint, { agent }), {
    kind: ExchangeOutcome.NotSent,
    reason: NO_CONNECTION,
  });
  caller.abort("done");
  await Promise.all(both);
});

test("a carrier tells that it has lost its own way to the endpoint", async (t) => {
  const { endpoint } = await startEndpoint(
    t,
    (request) => request.socket.resetAndDestroy(),
  );
  const ended = [
    { at: endpoint, kind: ExchangeOutcome.ResponseLost, reason: "ECONNRESET" },
    {
      at: endpointAt(UNUSED_ADDRESS),
      kind: ExchangeOutcome.NotSent,
      reason: "ECONNREFUSED",
    },
  ];
  for (const { at, kind, reason } of ended) {
    for (const losesWay of [true, false]) {
      let outOfReach = false;
      const direct = routesThrough([]);
      const routes = {
        ...direct,
        begin: (to: RouteEndpoint) => ({
          ...direct.begin(to),
          recordFailure: () => void (outOfReach = losesWay),
        }),
        isOutOfReach: () => outOfReach,
      };
      const host = await startCarrier(t, at, { routes });
      const { send } = createSender(t, routesThrough([host.address]));
      const result = await send(at);
      assert.ok(result.kind !== ExchangeOutcome.ResponseReceived);
      assert.deepEqual([result.kind, result.reason], [kind, reason]);
      assert.equal(result.way_failed === true, losesWay);
    }
  }
});

test("a carrier's report of a response that has no status is not passed on", async (t) => {
  const unused = endpointAt(UNUSED_ADDRESS);
  for (const status of [0, 99, 103, 1_000, 200.5]) {
    const { endpoint: carrier } = await startEndpoint(
      t,
      (_request, response) => {
        const head = encodeHead({
          kind: CarriedOutcome.Response,
          status,
          status_text: "OK",
          headers: [],
          first_on_connection: true,
        });
        response.writeHead(200, { [HEAD_HEADER]: head }).end("half");
      },
    );
    const { send } = createSender(t, routesThrough([carrier.address]));
    assert.deepEqual(await send(unused), {
      kind: ExchangeOutcome.ResponseLost,
      reason: CARRIER_LOST,
      way_failed: true,
    }, `status ${status}`);
  }
});

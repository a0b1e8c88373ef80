/** No request leaves for an evacuated zone, whatever was decided before. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import {
  ENDPOINT_UNAVAILABLE,
  EndpointAgents,
} from "../../src/endpoints/endpoint_agents.ts";
import {
  type EndpointRequest,
  ExchangeOutcome,
  sendRequest,
} from "../../src/endpoints/exchange.ts";
import { createGuardedSender } from "../../src/evacuations/guarded_sender.ts";
import { ZoneExchanges } from "../../src/evacuations/zone_exchanges.ts";
import type { RouteEndpoint } from "../../src/routes/types.ts";
import {
  createSender,
  endpointAt,
  requestHeaders,
  routesThrough,
  startCarrier,
} from "../relaying/carried_exchanges.ts";

interface Host {
  endpoint: RouteEndpoint;
  requests: number;
  /** Ends the response that is open. */
  respond: () => void;
  guard: {
    isConfirmed: boolean;
    evacuated: boolean;
    confirm: () => void;
    confirmed: () => Promise<void>;
    isEvacuated: () => boolean;
  };
  exchanges: ZoneExchanges;
  send: () => ReturnType<ReturnType<typeof createGuardedSender>>;
}

/** A host with one connection to an endpoint that holds back its responses. */
async function startHost(t: TestContext): Promise<Host> {
  const server: Server = createServer((request, response) => {
    host.requests += 1;
    host.respond = () => response.end("done");
    request.resume();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const agents = new EndpointAgents(() => 1);
  t.after(() => {
    agents.close();
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  const endpoint = endpointAt(`127.0.0.1:${port}`);
  const { promise, resolve } = Promise.withResolvers<void>();
  const exchanges = new ZoneExchanges();
  const guard = {
    isConfirmed: true,
    evacuated: false,
    confirm() {
      guard.isConfirmed = true;
      resolve();
    },
    confirmed: () => promise,
    isEvacuated: () => guard.evacuated,
  };
  const send = createGuardedSender(
    (_endpoint, formRequest) => sendRequest(formRequest()),
    { guard, exchanges, onStopped: () => {} },
  );
  const formRequest = (): EndpointRequest => ({
    address: endpoint.address,
    agent: agents.agentFor(endpoint.address, 1),
    method: "POST",
    target: "/x",
    headers: requestHeaders(endpoint),
    body: undefined,
    signal: new AbortController().signal,
  });
  const host: Host = {
    endpoint,
    requests: 0,
    respond: () => {},
    guard,
    exchanges,
    send: () => send(endpoint, formRequest),
  };
  return host;
}

const STOPPED = {
  kind: ExchangeOutcome.NotSent,
  reason: ENDPOINT_UNAVAILABLE,
};

test("a request to an evacuated zone is not sent, and may go elsewhere", async (t) => {
  const host = await startHost(t);
  host.guard.evacuated = true;
  assert.deepEqual(await host.send(), STOPPED);
  assert.equal(host.requests, 0);
});

test("a request waits until what is known is not too old, and is judged by that", async (t) => {
  const host = await startHost(t);
  host.guard.isConfirmed = false;
  const sent = host.send();
  await sleep(50);
  assert.equal(host.requests, 0);
  host.guard.evacuated = true;
  host.guard.confirm();
  assert.deepEqual(await sent, STOPPED);
  assert.equal(host.requests, 0);
});

for (const cause of ["evacuated", "frozen"] as const) {
  test(`a request that waits for a connection as the zone is ${cause} is not sent`, async (t) => {
    const host = await startHost(t);
    const running = host.send();
    while (host.requests === 0) await sleep(5);
    const waiting = host.send();
    await sleep(20);
    if (cause === "evacuated") host.guard.evacuated = true;
    else host.guard.isConfirmed = false;
    // What runs is delivered; its connection would go to the next request.
    host.respond();
    const result = await running;
    assert.ok(result.kind === ExchangeOutcome.ResponseReceived);
    result.response.body.resume();
    assert.deepEqual(await waiting, STOPPED);
    assert.equal(host.requests, 1);
  });
}

test("exchanges count as running in their zone until their response has ended", async (t) => {
  const host = await startHost(t);
  const running = host.send();
  while (host.requests === 0) await sleep(5);
  assert.deepEqual([...host.exchanges.running()], [["a", 1]]);
  host.respond();
  const result = await running;
  assert.ok(result.kind === ExchangeOutcome.ResponseReceived);
  result.response.body.resume();
  await once(result.response.body, "close");
  assert.deepEqual([...host.exchanges.running()], [["a", 0]]);
});

test("an exchange that fails before it is sent does not count as running", async () => {
  const exchanges = new ZoneExchanges();
  const send = createGuardedSender(
    () => Promise.reject(new Error("no headers")),
    {
      guard: {
        isConfirmed: true,
        confirmed: () => Promise.resolve(),
        isEvacuated: () => false,
      },
      exchanges,
      onStopped: () => {},
    },
  );
  const form = () => assert.fail("not formed");
  await assert.rejects(send(endpointAt("127.0.0.1:1"), form), /no headers/);
  assert.deepEqual([...exchanges.running()], [["a", 0]]);
});

test("a carrier refuses exchanges with an evacuated zone, in words that earlier releases know", async (t) => {
  const host = await startHost(t);
  let evacuated = true;
  const carrier = await startCarrier(t, host.endpoint, {
    isEvacuated: () => evacuated,
  });
  const sender = createSender(t, routesThrough([carrier.address]));
  const refused = await sender.send(host.endpoint);
  assert.equal(refused.kind, ExchangeOutcome.NotSent);
  assert.equal(host.requests, 0);
  evacuated = false;
  const sent = sender.send(host.endpoint);
  while (host.requests === 0) await sleep(5);
  host.respond();
  assert.equal((await sent).kind, ExchangeOutcome.ResponseReceived);
});

test("a request that is stopped on its way to a carrier is not the carrier's failure", async (t) => {
  const host = await startHost(t);
  const carrier = await startCarrier(t, host.endpoint);
  const routes = routesThrough([carrier.address]);
  const sender = createSender(t, routes);
  const result = await sender.send(host.endpoint, { mayBegin: () => false });
  assert.deepEqual(result, STOPPED);
  assert.deepEqual([host.requests, routes.failures], [0, []]);
});

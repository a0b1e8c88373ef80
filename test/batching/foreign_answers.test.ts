/**
 * Endpoints that write an earlier answer once more before the answer to a call
 * for pieces. Neither names a call, so the true answer must not be read as the
 * answer to the next call.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import {
  type PieceCallResult,
  PieceCallResultKind,
} from "../../src/batching/piece_call.ts";
import { EndpointAgents } from "../../src/endpoints/endpoint_agents.ts";
import {
  createSingleConnectionClient,
  pieceEndpoint,
} from "../../stand_ins/deployment/piece_calls.ts";

const CALL_TIMEOUT_MS = 2_000;
const LIMITS = {
  timeout_ms: CALL_TIMEOUT_MS,
  signal: new AbortController().signal,
};
const DELAYS_MS = [0, 5, 50];

const FAULTS = JSON.stringify({ items: [{ reason: "late" }] });
const EARLIER = {
  "a refusal": response(503, "", "X-Not-Executed: 1\r\n"),
  "a refusal that names a limit": response(
    429,
    "",
    "X-Not-Executed: 1\r\nServer-Limit: 1000\r\n",
  ),
  "a misdirected call": response(421, ""),
  "an error": response(500, "failed"),
  "a confirmation of freed results": response(200, "{}"),
  "an answer without results": response(200, FAULTS),
};

function response(status: number, body: string, headers = ""): string {
  return `HTTP/1.1 ${status} Any\r\nContent-Type: application/json\r\n` +
    `${headers}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/**
 * A server that answers each call with a handle named by its piece key. On a
 * connection in use again it first writes `earlier`.
 */
async function startServer(
  t: TestContext,
  earlier: { text: string; delay_ms: number },
) {
  let repeats = 0;
  const answerCall = async (socket: Socket, call: string, isFirst: boolean) => {
    if (!isFirst) {
      await sleep(earlier.delay_ms);
      socket.write(earlier.text);
      repeats += 1;
      await sleep(20);
    }
    const key = /"key":"(\w+)"/.exec(call)?.[1];
    const body = key === undefined
      ? "{}"
      : JSON.stringify({ items: [{ handle: `h/${key}` }] });
    socket.write(response(200, body));
  };
  const server = createServer((socket) => {
    let calls = 0;
    socket.on("error", () => {});
    socket.on("data", (data) => {
      calls += 1;
      void answerCall(socket, String(data), calls === 1);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { port, repeats: () => repeats };
}

function createClient(t: TestContext, port: number) {
  const agents = new EndpointAgents(() => 1);
  t.after(() => agents.close());
  // One connection, so that calls wait for it.
  const client = createSingleConnectionClient(agents);
  const endpoint = pieceEndpoint(port);
  const call = (key: string) =>
    client.call(endpoint, [{
      index: 0,
      key,
      inputs: undefined,
      attempt_id: key,
      stage: 0,
      remaining_ms: 1_000,
    }], LIMITS);
  return {
    call,
    free: (handle: string) => client.free(endpoint.address, [handle]),
  };
}

/** The handle of an answer; undefined if it has none. */
function handleOf(result: PieceCallResult): string | undefined {
  if (result.kind !== PieceCallResultKind.Answered) return undefined;
  const [first] = result.responses;
  return first?.ok ? first.handle : undefined;
}

for (const [description, text] of Object.entries(EARLIER)) {
  for (const delay_ms of DELAYS_MS) {
    test(`after ${description} once more, ${delay_ms} ms late, no call gets another's results`, async (t) => {
      const { port, repeats } = await startServer(t, { text, delay_ms });
      const { call } = createClient(t, port);
      const keys = ["k1", "k2", "k3", "k4", "k5", "k6"];
      const results = await Promise.all(keys.map(call));
      assert.ok(repeats() > 0);
      results.forEach((result, index) => {
        const handle = handleOf(result);
        if (handle !== undefined) assert.equal(handle, `h/${keys[index]}`);
      });
    });
  }
}

test("a connection on which a call was refused is not used again", async (t) => {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    const isFirst = connections === 1;
    socket.on("error", () => {});
    socket.on("data", async () => {
      if (!isFirst) {
        const items = [{ handle: "h/k2" }];
        return socket.write(response(200, JSON.stringify({ items })));
      }
      socket.write(EARLIER["a refusal"]);
      await sleep(20);
      socket.write(EARLIER["a refusal"]);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const { call } = createClient(t, port);
  const [refused, answered] = await Promise.all([call("k1"), call("k2")]);
  assert.equal(refused.kind, PieceCallResultKind.Full);
  assert.equal(handleOf(answered), "h/k2");
});

test("a refused call that frees results closes its connection", async (t) => {
  const text = EARLIER["a refusal"];
  const { port, repeats } = await startServer(t, { text, delay_ms: 0 });
  const { call, free } = createClient(t, port);
  assert.equal(handleOf(await call("k1")), "h/k1");
  const [freed, next] = await Promise.all([
    free("h/k1"),
    sleep(10).then(() => call("k2")),
  ]);
  assert.equal(freed, false);
  assert.equal(repeats(), 1);
  assert.equal(handleOf(next), "h/k2");
});

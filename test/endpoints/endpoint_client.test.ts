/** Attempts at endpoints whose answer is no response end in time. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { type Attempt, AttemptOutcome } from "../../src/endpoints/attempt.ts";
import { createEndpointClient } from "../../src/endpoints/endpoint_client.ts";
import { EndpointConnections } from "../../src/endpoints/endpoint_connections.ts";
import { EndpointProtocol } from "../../src/records/types.ts";
import { RawServer } from "../../stand_ins/raw_server.ts";

const TIMEOUT_MS = 300;
/** Longest time after its time-out at which an attempt may end. */
const LATE_MS = 500;

let server: RawServer;
let connections: EndpointConnections;

beforeEach(async () => {
  server = new RawServer();
  await server.start();
  connections = new EndpointConnections();
});

afterEach(() => {
  connections.close();
  server.stop();
});

function attemptAt(address: string): Attempt {
  return {
    request_id: "r",
    attempt_id: "a",
    endpoint: { address },
    pool: {
      protocol: EndpointProtocol.Json,
      path: "/",
      progress_timeout_ms: TIMEOUT_MS,
    },
    input: 1,
    idempotent: true,
    timeout_ms: TIMEOUT_MS,
    signal: new AbortController().signal,
  } as Attempt;
}

async function outcomeOf(address: string) {
  const call = createEndpointClient(connections, () => performance.now());
  const late = new Promise<undefined>((resolve) =>
    setTimeout(() => resolve(undefined), TIMEOUT_MS + LATE_MS)
  );
  const result = await Promise.race([call(attemptAt(address)), late]);
  return result && { outcome: result.outcome, sent: result.sent };
}

const ANSWERS: [string, AttemptOutcome][] = [
  [
    "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
    AttemptOutcome.Truncated,
  ],
  ["HTTP/1.1 100 Continue\r\n\r\n", AttemptOutcome.TimedOut],
  ["no response\r\n\r\n", AttemptOutcome.Truncated],
];

for (const [text, outcome] of ANSWERS) {
  test(`an attempt is ${outcome} after ${JSON.stringify(text.slice(0, 30))}`, async () => {
    server.answer = text;
    assert.deepEqual(await outcomeOf(`127.0.0.1:${server.port}`), {
      outcome,
      sent: true,
    });
  });
}

test("an attempt that can't be made ends as not sent", async () => {
  assert.deepEqual(await outcomeOf("127.0.0.1:99999"), {
    outcome: AttemptOutcome.Truncated,
    sent: false,
  });
});

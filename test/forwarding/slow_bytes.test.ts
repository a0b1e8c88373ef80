/**
 * Endpoints that are slow, fall silent for a while, send byte by byte without
 * end, or break off: what is sound is passed on, the rest ends in time.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import {
  ApiKey,
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";

const ATTEMPT_ID = "a1";
const HEAD = "HTTP/1.1 200 OK\r\n" + `X-Attempt-Id: ${ATTEMPT_ID}\r\n` +
  "X-Response-Signature: s\r\n";
const STREAM_HEAD = HEAD + "Content-Type: text/event-stream\r\n" +
  "Transfer-Encoding: chunked\r\n\r\n";
const REFUSAL = "HTTP/1.1 503 Full\r\n" + `X-Attempt-Id: ${ATTEMPT_ID}\r\n` +
  "X-Not-Executed: 1\r\n";
const DEADLINE_MS = 1_000;
/** A sound endpoint may fall silent for a second or so. */
const SILENCE_MS = 1_200;
/** What a request may last beyond its time, from the users' rules. */
const LATE_MS = 500;
const ROUTES = ["stamp", "lookup", "review", "draft"];

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function event(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

interface Behaviour {
  /** Sent one after the other. */
  parts: string[];
  pause_ms?: number;
  /** Sent every 20 ms afterwards, without end. */
  endless?: string;
  /** Whether the connection ends after the parts. */
  ends?: boolean;
}

async function behave(
  socket: Socket,
  { parts, pause_ms = 0, endless, ends }: Behaviour,
): Promise<void> {
  for (const part of parts) {
    socket.write(part);
    await sleep(pause_ms);
  }
  while (endless !== undefined && !socket.destroyed) {
    socket.write(endless);
    await sleep(20);
  }
  if (ends) socket.end();
}

async function startFleet(t: TestContext, behaviour: Behaviour) {
  const sockets = new Set<Socket>();
  const server = createServer({ noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("close", () => sockets.delete(socket));
    socket.on("data", () => void behave(socket, behaviour));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const fleet = new GatewayFleet();
  t.after(() => fleet.stop());
  t.after(() => server.close());
  await fleet.start();
  const { port } = server.address() as AddressInfo;
  for (const service of [Service.Desk, Service.Model]) {
    await fleet.redirectEngines(service, `127.0.0.1:${port}`);
  }
  return { fleet, open: () => sockets.size };
}

/** Resolves to the caller's status and text, or "cut", and the time it took. */
async function call(fleet: GatewayFleet, route: string, deadline_ms: number) {
  const started_ms = performance.now();
  const result = await sendJsonRequest(
    fleet.gateways[0]?.callers ?? "",
    `/${route}/x`,
    {
      method: "POST",
      text: "x",
      timeout_ms: 10_000,
      headers: {
        host: "fleet.example",
        "x-attempt-id": ATTEMPT_ID,
        "x-key": ApiKey.Docks,
        "x-deadline-ms": `${deadline_ms}`,
        "x-pieces": "0,0",
      },
    },
  ).then(({ status, text }) => ({ status, text }), (error: Error) => {
    assert.doesNotMatch(error.message, /No answer|timeout/i);
    return { status: 0, text: "" };
  });
  return { ...result, elapsed_ms: performance.now() - started_ms };
}

const ENDLESS: Record<string, Behaviour> = {
  "a head": { parts: [], endless: "H" },
  "a header": { parts: [HEAD + "X-Long: "], endless: "x" },
  "a body with a length": {
    parts: [HEAD + "Content-Length: 100000\r\n\r\n"],
    endless: "x",
  },
  "a body without a length": { parts: [HEAD + "\r\n"], endless: "x" },
  "a chunk": {
    parts: [HEAD + "Transfer-Encoding: chunked\r\n\r\nffff\r\n"],
    endless: "x",
  },
  "an event": {
    parts: [STREAM_HEAD],
    endless: chunk("x"),
  },
  "comments": {
    parts: [STREAM_HEAD],
    endless: chunk(": wait\n\n"),
  },
  "a second event": {
    parts: [STREAM_HEAD + chunk(event(1))],
    endless: chunk("x"),
  },
  "a refusal's body": { parts: [REFUSAL + "\r\n"], endless: "x" },
  "an error's body": {
    parts: [
      HEAD.replace("200 OK", "500 Error") +
      "Content-Type: text/event-stream\r\n\r\n",
    ],
    endless: "x",
  },
};

for (const [what, behaviour] of Object.entries(ENDLESS)) {
  test(`${what} without an end, sent byte by byte, ends by the deadline`, async (t) => {
    const { fleet, open } = await startFleet(t, behaviour);
    const results = await Promise.all(
      ROUTES.map((route) => call(fleet, route, DEADLINE_MS)),
    );
    for (const { status, elapsed_ms } of results) {
      assert.notEqual(status, 200);
      assert.ok(elapsed_ms < DEADLINE_MS + LATE_MS, `${elapsed_ms} ms`);
    }
    await waitUntil(() => open() === 0);
  });
}

const BROKEN: Record<string, Behaviour> = {
  "before its length": {
    parts: [HEAD + "Content-Length: 10\r\n\r\nhalf"],
    ends: true,
  },
  "before its last chunk": {
    parts: [HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunk("half")],
    ends: true,
  },
  "within its last chunk": {
    parts: [HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunk("half") + "0"],
    ends: true,
  },
  "within its head": { parts: [HEAD], ends: true },
  "before the last chunk of a stream": {
    parts: [STREAM_HEAD + chunk(event(1))],
    ends: true,
  },
};

for (const [where, behaviour] of Object.entries(BROKEN)) {
  test(`an answer that breaks off ${where} does not look complete`, async (t) => {
    const { fleet } = await startFleet(t, behaviour);
    for (const route of ROUTES) {
      const { status } = await call(fleet, route, DEADLINE_MS);
      assert.ok([0, 502].includes(status), `${route}: ${status}`);
    }
  });
}

test("a stream that falls silent and goes on is passed on whole", async (t) => {
  const { fleet } = await startFleet(t, {
    parts: [
      STREAM_HEAD + chunk(event(1)) + chunk("id: 2\nda"),
      chunk("ta: 2\n\n") + chunk(event(3)) + "0\r\n\r\n",
    ],
    pause_ms: SILENCE_MS,
  });
  const results = await Promise.all(
    ["review", "draft"].map((route) => call(fleet, route, 10_000)),
  );
  for (const { status, text } of results) {
    assert.equal(status, 200);
    assert.equal(text, event(1) + event(2) + event(3));
  }
});

test("an answer that falls silent within its head or body is passed on whole", async (t) => {
  const { fleet } = await startFleet(t, {
    parts: [
      HEAD.slice(0, -10),
      HEAD.slice(-10) + "Content-Length: 2\r\n\r\na",
      "b",
    ],
    pause_ms: SILENCE_MS / 2,
  });
  const { status, text } = await call(fleet, "stamp", 10_000);
  assert.equal(status, 200);
  assert.equal(text, "ab");
});

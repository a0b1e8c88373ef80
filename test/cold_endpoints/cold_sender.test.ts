/** No request reaches a cold endpoint without a permit that is still good. */
import assert from "node:assert/strict";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { test } from "node:test";
import {
  COLD_ENDPOINT,
  createColdSender,
} from "../../src/cold_endpoints/cold_sender.ts";
import {
  type EndpointRequest,
  ExchangeOutcome,
  type ExchangeResult,
  sendRequest,
} from "../../src/endpoints/exchange.ts";
import { StrictKeepAliveAgent } from "../../src/endpoints/strict_keep_alive_agent.ts";
import { createEndpoint } from "./cold_fleet.ts";

const ENDPOINT = createEndpoint();
const NOT_SENT = { kind: ExchangeOutcome.NotSent, reason: COLD_ENDPOINT };
const LOST: ExchangeResult = {
  kind: ExchangeOutcome.ResponseLost,
  reason: "test",
};
const NOW_MS = 1_000;

function formRequest({ isFull = false } = {}): EndpointRequest {
  const agent = new StrictKeepAliveAgent(1);
  Object.defineProperty(agent, "isFull", { value: isFull });
  return {
    address: ENDPOINT.address,
    agent,
    method: "GET",
    target: "/",
    headers: [],
    body: undefined,
    signal: new AbortController().signal,
  };
}

function create(
  { isCold = true, grants = true, wait_ms = 0, isReached = true } = {},
) {
  const calls: {
    sent: number;
    asked: number;
    refused: number;
    connect_timeout_ms?: number | undefined;
  } = { sent: 0, asked: 0, refused: 0 };
  const send = createColdSender({
    send: (_endpoint, form) => {
      calls.sent += 1;
      calls.connect_timeout_ms = form().connect_timeout_ms;
      return Promise.resolve(LOST);
    },
    rateLimits: {
      isCold: () => isCold,
      coldWaitMs: () => wait_ms,
      refuse: () => calls.refused += 1,
      takePermit: () => {
        calls.asked += 1;
        const permit = { at_ms: NOW_MS, expires_ms: NOW_MS + 100 };
        return Promise.resolve(grants ? permit : undefined);
      },
    },
    isReached: () => isReached,
    now: () => NOW_MS,
  });
  return { calls, send };
}

test("a request to a warm or an unknown endpoint needs no permit", async () => {
  const warm = create({ isCold: false });
  assert.equal(await warm.send(ENDPOINT, () => formRequest()), LOST);
  const unknown = create();
  assert.equal(await unknown.send(undefined, () => formRequest()), LOST);
  assert.equal(warm.calls.asked + unknown.calls.asked, 0);
});

test("a request with a good permit is sent without another one", async () => {
  const { send, calls } = create();
  const permit = { at_ms: NOW_MS, expires_ms: NOW_MS + 30 };
  assert.equal(await send(ENDPOINT, () => formRequest(), permit), LOST);
  const connect_timeout_ms = 30;
  const expected = { sent: 1, asked: 0, refused: 0, connect_timeout_ms };
  assert.deepEqual(calls, expected);
});

for (const expires_ms of [undefined, NOW_MS, Infinity]) {
  test(`a request whose permit expires at ${expires_ms} needs a new one`, async () => {
    const permit = expires_ms === undefined
      ? undefined
      : { at_ms: 0, expires_ms };
    const granted = create();
    assert.equal(
      await granted.send(ENDPOINT, () => formRequest(), permit),
      LOST,
    );
    const connect_timeout_ms = 100;
    const expected = { sent: 1, asked: 1, refused: 0, connect_timeout_ms };
    assert.deepEqual(granted.calls, expected);
    const refused = create({ grants: false });
    assert.deepEqual(
      await refused.send(ENDPOINT, () => formRequest(), permit),
      NOT_SENT,
    );
    assert.equal(refused.calls.sent, 0);
  });
}

test("a host that was refused doesn't ask again before its time", async () => {
  const { send, calls } = create({ wait_ms: 300 });
  assert.deepEqual(await send(ENDPOINT, () => formRequest()), NOT_SENT);
  assert.deepEqual(calls, { sent: 0, asked: 0, refused: 0 });
});

test("a request that would wait for a connection is not sent", async () => {
  const { send, calls } = create();
  const form = () => formRequest({ isFull: true });
  assert.deepEqual(await send(ENDPOINT, form), NOT_SENT);
  assert.equal(calls.sent, 0);
});

test("a cold endpoint that this host doesn't reach gets nothing by way of others", async () => {
  const { send, calls } = create({ isReached: false });
  assert.deepEqual(await send(ENDPOINT, () => formRequest()), NOT_SENT);
  assert.deepEqual(calls, { sent: 0, asked: 0, refused: 1 });
});

/** Opens connections that never come about. */
class PendingAgent extends StrictKeepAliveAgent {
  override createConnection(): Duplex {
    const socket = new Socket();
    Object.defineProperty(socket, "connecting", { value: true });
    return socket;
  }
}

test("a request whose connection opens too late for its permit is not written", async () => {
  const request = { ...formRequest(), agent: new PendingAgent(1) };
  const started_ms = performance.now();
  const result = await sendRequest({ ...request, connect_timeout_ms: 30 });
  assert.equal(result.kind, ExchangeOutcome.NotSent);
  const elapsed_ms = performance.now() - started_ms;
  assert.ok(elapsed_ms >= 25 && elapsed_ms < 300, `${elapsed_ms} ms`);
});

for (const isColdThen of [true, false]) {
  test(`a permit that expires before the request is written is ${isColdThen ? "not " : ""}enough if the endpoint is ${isColdThen ? "still cold" : "warm by then"}`, async () => {
    let now_ms = NOW_MS;
    let isCold = true;
    let mayBegin: (() => boolean) | undefined;
    const send = createColdSender({
      send: (_endpoint, form) => {
        mayBegin = form().mayBegin;
        return Promise.resolve(LOST);
      },
      rateLimits: {
        isCold: () => isCold,
        coldWaitMs: () => 0,
        refuse: () => {},
        takePermit: () => Promise.resolve(undefined),
      },
      isReached: () => true,
      now: () => now_ms,
    });
    let isOpen = true;
    const form = () => ({ ...formRequest(), mayBegin: () => isOpen });
    await send(ENDPOINT, form, { at_ms: now_ms, expires_ms: now_ms + 100 });
    assert.equal(mayBegin?.(), true);
    // The host stood still while the connection opened.
    now_ms += 500;
    isCold = isColdThen;
    assert.equal(mayBegin?.(), !isColdThen);
    now_ms = NOW_MS;
    isOpen = false;
    assert.equal(mayBegin?.(), false);
  });
}

/** Requests through gateway hosts, against stand-ins for the platform. */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { after, afterEach, before, test } from "node:test";
import { getJson, sendJsonRequest } from "../../stand_ins/json_client.ts";
import { EngineFault } from "../../stand_ins/deployment/engine.ts";
import {
  ApiKey,
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";

const fleet = new GatewayFleet({ gateways: 2 });

before(() => fleet.start());
after(() => fleet.stop());
afterEach(() => {
  for (const engine of [...fleet.engines.values()].flat()) {
    engine.fault = EngineFault.None;
    engine.remainingFaults = Infinity;
    engine.receivedRequests = [];
    engine.pieceCalls = [];
    engine.freed = [];
  }
});

/** Time after which an endpoint that failed once is used again. */
const ENDPOINT_BACKOFF_MS = 300;
let attempts = 0;

interface CallOptions {
  body?: string;
  method?: string;
  headers?: Record<string, string>;
  gateway?: number;
}

function call(path: string, options: CallOptions = {}) {
  const { body, method = "POST", headers, gateway = 0 } = options;
  return sendJsonRequest(fleet.gateways[gateway]?.callers ?? "", path, {
    method,
    text: body,
    headers: {
      host: "fleet.example",
      "x-attempt-id": `attempt-${attempts++}`,
      "x-key": ApiKey.Docks,
      "x-deadline-ms": "1500",
      ...headers,
    },
  });
}

const STAGE_HEADERS = {
  "x-pieces": "2,3",
  "x-piece-key": "cafe",
  "x-prompt-prefix": "aa:100,bb:50,cc:10",
};

function requestsSeenBy(service: Service) {
  return (fleet.engines.get(service) ?? []).flatMap((each) =>
    each.receivedRequests
  );
}

function injectFault(
  service: Service,
  fault: EngineFault,
  faults = Infinity,
): void {
  for (const engine of fleet.engines.get(service) ?? []) {
    engine.fault = fault;
    engine.remainingFaults = faults;
  }
}

test("an unsafe request is forwarded unchanged, with the host's headers", async (t) => {
  const answer = await call("/stamp/41?serial=a%20b", {
    body: "serial 41",
    headers: {
      "x-attempt-id": "attempt-fixed",
      "x-tenant": "forged",
      "x-hold": "forged",
      "x-expect-instance": "forged",
      "kv-from": "forged",
      "x-custom": "kept",
    },
  });
  assert.equal(answer.status, 200);
  assert.match(answer.text, /^desk-\d:serial 41$/);
  assert.match(answer.headers["x-response-signature"] as string, /^signed-by/);
  const [seen] = requestsSeenBy(Service.Desk);
  assert.ok(seen);
  const { host: _host, "x-deadline-ms": remaining_ms, ...headers } =
    seen.headers;
  assert.ok(Number(remaining_ms) > 1_000 && Number(remaining_ms) <= 1_500);
  headers["x-expect-instance"] = "the chosen one";
  t.assert.snapshot({ ...seen, headers });
});

test("a request with stages is sent with the handles of its last stage's results", async () => {
  const answer = await call("/review/x", {
    body: "log",
    headers: STAGE_HEADERS,
  });
  assert.equal(answer.status, 200);
  assert.equal(answer.text.match(/^id: \d$/gm)?.length, 5);
  const encoded = fleet.engines.get(Service.Encode)?.flatMap((e) =>
    e.pieceCalls
  );
  assert.deepEqual(
    encoded?.flat().map(({ stage, piece, key }) => ({ stage, piece, key })),
    [{ stage: 0, piece: 0, key: "cafe" }, { stage: 0, piece: 1, key: "cafe" }],
  );
  const ranked = fleet.engines.get(Service.Rank)?.flatMap((e) => e.pieceCalls);
  for (const piece of ranked?.flat() ?? []) {
    assert.equal(piece.inputs?.length, 2);
    assert.equal(piece.key, undefined);
  }
  const [seen] = requestsSeenBy(Service.Model);
  assert.equal(seen?.headers["x-inputs"]?.split(",").length, 3);
  await waitUntil(() =>
    [Service.Encode, Service.Rank].flatMap((service) =>
      fleet.engines.get(service)?.flatMap((each) => each.freed) ?? []
    ).length === 5
  );
});

test("pieces of requests at two hosts are batched into shared calls", async () => {
  const answers = await Promise.all(
    Array.from({ length: 12 }, (_, n) =>
      call("/review/x", {
        body: "log",
        gateway: n % 2,
        headers: { ...STAGE_HEADERS, "x-prompt-prefix": "aa:100,bb:50,cc:10" },
      })),
  );
  assert.ok(answers.every(({ status }) => status === 200));
  const calls = fleet.engines.get(Service.Rank)?.flatMap((e) => e.pieceCalls) ??
    [];
  assert.ok(calls.length < 12, `${calls.length} calls for 12 requests`);
});

test("invalid requests are rejected and not sent to an endpoint", async (t) => {
  const cases: Record<string, () => Promise<{ status: number }>> = {
    "no key": () => call("/stamp/x", { headers: { "x-key": "" } }),
    "unknown key": () => call("/stamp/x", { headers: { "x-key": "what" } }),
    "no route": () => call("/nowhere/x"),
    "other host": () => call("/stamp/x", { headers: { host: "else.example" } }),
    "no attempt id": () =>
      call("/stamp/x", { headers: { "x-attempt-id": "" } }),
    "deadline in words": () =>
      call("/stamp/x", { headers: { "x-deadline-ms": "soon" } }),
    "pieces in words": () =>
      call("/review/x", { headers: { ...STAGE_HEADERS, "x-pieces": "two" } }),
    "broken prefix": () =>
      call("/review/x", {
        headers: { ...STAGE_HEADERS, "x-prompt-prefix": "zz" },
      }),
    "body too large": () => call("/stamp/x", { body: "x".repeat(20_001) }),
    "headers too large": () =>
      call("/stamp/x", { headers: { "x-custom": "x".repeat(9_000) } }),
  };
  const statuses: Record<string, number> = {};
  for (const [name, run] of Object.entries(cases)) {
    statuses[name] = (await run()).status;
  }
  t.assert.snapshot(statuses);
  assert.equal(requestsSeenBy(Service.Desk).length, 0);
});

test("a public route needs no key", async () => {
  const { status } = await call("/open/x", { headers: { "x-key": "" } });
  assert.equal(status, 200);
});

const SMUGGLING_ATTEMPTS = {
  "both lengths":
    "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  "two lengths": "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
  "odd chunk size":
    "Transfer-Encoding: chunked\r\n\r\n4;\u0000\r\nabcd\r\n0x0\r\n\r\n",
  "header without colon": "Content-Length 4\r\n\r\nabcd",
};

test("request smuggling attempts get 400 and a closed connection", async (t) => {
  const answers: Record<string, string> = {};
  for (const [name, headersAndBody] of Object.entries(SMUGGLING_ATTEMPTS)) {
    answers[name] = await sendRaw(
      "POST /stamp/x HTTP/1.1\r\nHost: fleet.example\r\n" +
        `X-Attempt-Id: smuggled\r\nX-Key: ${ApiKey.Docks}\r\n${headersAndBody}`,
    );
  }
  t.assert.snapshot(answers);
  assert.equal(requestsSeenBy(Service.Desk).length, 0);
});

/** Sends raw bytes and returns the status line of the response. */
function sendRaw(bytes: string): Promise<string> {
  const [ip, port] = (fleet.gateways[0]?.callers ?? "").split(":");
  return new Promise((resolve, reject) => {
    let text = "";
    const socket = connect(Number(port), ip, () => socket.write(bytes));
    socket.setTimeout(3_000, () => reject(new Error("No answer")));
    socket.on("data", (chunk) => text += chunk);
    socket.on("error", reject);
    socket.on("close", () => resolve(text.split("\r\n")[0] ?? ""));
  });
}

test("an unsafe request that may have run is not retried", async () => {
  for (
    const fault of [
      EngineFault.ResponseLost,
      EngineFault.MismatchedId,
      EngineFault.UnframedReset,
    ]
  ) {
    injectFault(Service.Desk, fault);
    const { status } = await call("/stamp/x", { body: "41" });
    assert.equal(status, 502, fault);
    assert.equal(requestsSeenBy(Service.Desk).length, 1, fault);
    for (const engine of fleet.engines.get(Service.Desk) ?? []) {
      engine.receivedRequests = [];
    }
    await sleep(ENDPOINT_BACKOFF_MS);
  }
});

test("an unsafe request rejected by one endpoint is sent to another", async () => {
  fleet.engine(Service.Desk).fault = EngineFault.Full;
  for (let n = 0; n < 4; n++) {
    const { status } = await call("/stamp/x", { body: "41" });
    assert.equal(status, 200);
  }
  assert.equal(fleet.engine(Service.Desk).receivedRequests.length, 0);
});

test("when all endpoints are full, the rejection has a Retry-After header", async () => {
  injectFault(Service.Desk, EngineFault.Full);
  const answer = await call("/stamp/x", { body: "41" });
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers["retry-after"]) > 0);
});

test("a safe request is retried at another endpoint after a lost or failed response", async () => {
  for (
    const fault of [
      EngineFault.ResponseLost,
      EngineFault.Error,
      EngineFault.MismatchedId,
      EngineFault.UnframedReset,
    ]
  ) {
    fleet.engine(Service.Desk, 0).fault = fault;
    fleet.engine(Service.Desk, 0).remainingFaults = 1;
    fleet.engine(Service.Desk, 1).fault = fault;
    fleet.engine(Service.Desk, 1).remainingFaults = 0;
    for (let n = 0; n < 3; n++) {
      const { status } = await call("/lookup/x", { method: "GET" });
      assert.equal(status, 200, fault);
    }
    await sleep(ENDPOINT_BACKOFF_MS);
  }
});

test("an endpoint's error response is relayed when no other endpoint succeeds", async () => {
  injectFault(Service.Desk, EngineFault.Error);
  const answer = await call("/lookup/x", { method: "GET" });
  assert.equal(answer.status, 500);
  assert.equal(answer.text, "failed");
});

test("bytes after a response are not taken for the next response", async () => {
  injectFault(Service.Desk, EngineFault.ExtraResponse);
  for (let n = 0; n < 6; n++) {
    const answer = await call("/stamp/x", { body: `${n}` });
    assert.match(answer.text, new RegExp(`:${n}$`));
    await sleep(20);
  }
});

test("a resumable stream that is cut resumes at another endpoint", async () => {
  fleet.engine(Service.Model).fault = EngineFault.StreamTruncated;
  for (let n = 0; n < 6; n++) {
    const answer = await call("/draft/x", {
      body: "note",
      headers: { "x-prompt-prefix": `aa:100,b${n}:50,cc:10` },
    });
    assert.equal(answer.status, 200);
    const ids = answer.text.match(/^id: (\d)$/gm);
    assert.deepEqual(ids, ["id: 1", "id: 2", "id: 3", "id: 4", "id: 5"]);
  }
  assert.ok(fleet.engine(Service.Model).receivedRequests.length > 0);
});

test("a non-resumable stream that is cut does not look complete", async () => {
  injectFault(Service.Model, EngineFault.StreamTruncated, 1);
  await assert.rejects(
    call("/review/x", { body: "log", headers: STAGE_HEADERS }),
  );
  assert.equal(requestsSeenBy(Service.Model).length, 1);
});

test("stages run again when their results are lost", async () => {
  await sleep(ENDPOINT_BACKOFF_MS);
  injectFault(Service.Model, EngineFault.InputsGone, 1);
  const answer = await call("/review/x", {
    body: "log",
    headers: STAGE_HEADERS,
  });
  assert.equal(answer.status, 200);
});

test("an unresponsive endpoint does not delay a response beyond the deadline", async () => {
  injectFault(Service.Desk, EngineFault.NoResponse);
  const started_ms = performance.now();
  const { status } = await call("/stamp/x", {
    body: "41",
    headers: { "x-deadline-ms": "400" },
  });
  assert.equal(status, 504);
  assert.ok(performance.now() - started_ms < 450);
});

test("the endpoint's work is cancelled when the caller disconnects", async () => {
  injectFault(Service.Desk, EngineFault.NoResponse);
  const engines = fleet.engines.get(Service.Desk) ?? [];
  const droppedBefore = engines.reduce(
    (sum, each) => sum + each.abortedRequests,
    0,
  );
  const [ip, port] = (fleet.gateways[0]?.callers ?? "").split(":");
  const socket = connect(Number(port), ip);
  socket.write(
    "POST /stamp/x HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: gone\r\n" +
      `X-Key: ${ApiKey.Docks}\r\nContent-Length: 2\r\n\r\n41`,
  );
  await waitUntil(() => requestsSeenBy(Service.Desk).length === 1);
  socket.destroy();
  await waitUntil(() =>
    engines.reduce((sum, each) => sum + each.abortedRequests, 0) ===
      droppedBefore + 1
  );
});

test("metrics are served in the text format", async () => {
  const { text } = await getJson(fleet.gateways[0]?.metrics ?? "", "/metrics");
  assert.match(text, /sesamequay_forwarded_requests_total\{/);
});

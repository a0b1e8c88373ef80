/**
 * Callers that send bytes that are no request while an answer is due. The
 * rejection of those bytes must not be read as that answer, nor as part of it.
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  ApiKey,
  defaultEngines,
  GatewayFleet,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";

const WORK_MS = 200;
const MALFORMED = {
  "no request": "\x01\x02\r\n\r\n",
  "two lengths":
    "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
  "a head that is too large": `GET / HTTP/1.1\r\nX: ${"x".repeat(70_000)}`,
};

const fleet = new GatewayFleet({
  engines: {
    ...defaultEngines(),
    [Service.Desk]: [{ id: "desk-1", work_ms: WORK_MS }],
    [Service.Model]: [{ id: "model-1", events: 6, work_ms: WORK_MS / 4 }],
  },
});

before(() => fleet.start());
after(() => fleet.stop());

function requestText(path: string, id: string, headers = ""): string {
  return `POST ${path} HTTP/1.1\r\nHost: fleet.example\r\n` +
    `X-Attempt-Id: ${id}\r\nX-Key: ${ApiKey.Docks}\r\n` +
    `X-Deadline-Ms: 1500\r\n${headers}`;
}

/**
 * Sends a request, and `rest` once the endpoint has the request or has had time
 * to begin its answer; resolves to all bytes of the connection.
 */
function sendBoth(
  { first, rest, wait }: {
    first: string;
    rest: string;
    wait: () => Promise<unknown>;
  },
): Promise<string> {
  const [ip, port] = (fleet.gateways[0]?.callers ?? "").split(":");
  return new Promise((resolve, reject) => {
    let text = "";
    const socket = connect(Number(port), ip, async () => {
      socket.write(first);
      await wait();
      socket.write(rest);
    });
    socket.setTimeout(3_000, () => reject(new Error("still open")));
    socket.on("data", (chunk) => text += chunk);
    socket.on("error", () => {});
    socket.on("close", () => resolve(text));
  });
}

for (const [description, rest] of Object.entries(MALFORMED)) {
  test(`${description} after a request that runs is not answered in its place`, async () => {
    const desk = fleet.engine(Service.Desk);
    const before = desk.receivedRequests.length;
    const text = await sendBoth({
      first: requestText("/stamp/x", "runs", "Content-Length: 0\r\n\r\n"),
      rest,
      wait: () => waitUntil(() => desk.receivedRequests.length > before),
    });
    assert.match(text, /^HTTP\/1\.1 200 [\s\S]*desk-1:$/);
    assert.equal(text.match(/HTTP\/1\.1 /g)?.length, 1);
  });

  test(`${description} during a stream is not answered within it`, async () => {
    const text = await sendBoth({
      first: requestText("/draft/x", "streams", "Content-Length: 0\r\n\r\n"),
      rest,
      wait: () => sleep(WORK_MS),
    });
    assert.match(text, /^HTTP\/1\.1 200 [\s\S]*id: 6[\s\S]*\r\n0\r\n\r\n$/);
    assert.equal(text.match(/HTTP\/1\.1 /g)?.length, 1);
  });
}

test("requests sent together are all answered before malformed bytes close the connection", async () => {
  const requests = ["x", "y", "z"].map((id) =>
    requestText("/stamp/x", id, `Content-Length: 1\r\n\r\n${id}`)
  );
  const text = await sendBoth({
    first: requests.join(""),
    rest: MALFORMED["no request"],
    wait: () => sleep(20),
  });
  assert.deepEqual(text.match(/desk-1:./g), [
    "desk-1:x",
    "desk-1:y",
    "desk-1:z",
  ]);
  assert.equal(text.match(/HTTP\/1\.1 200 /g)?.length, 3);
  assert.equal(text.match(/HTTP\/1\.1 /g)?.length, 3);
});

test("a malformed body gets 400, as its request has not run", async () => {
  const received = fleet.engine(Service.Desk).receivedRequests.length;
  const text = await sendBoth({
    first: requestText(
      "/stamp/x",
      "malformed",
      "Transfer-Encoding: chunked\r\n\r\n",
    ),
    rest: "no chunk\r\n\r\n",
    wait: () => sleep(20),
  });
  assert.match(text, /^HTTP\/1\.1 400 /);
  assert.equal(fleet.engine(Service.Desk).receivedRequests.length, received);
});

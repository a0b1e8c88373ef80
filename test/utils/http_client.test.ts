/** Answers that are no response end a call of the JSON client in time. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { HttpClient, HttpRequestError } from "../../src/utils/http_client.ts";
import { RawServer } from "../../stand_ins/raw_server.ts";

const TIMEOUT_MS = 300;
/** Longest time after its time-out at which a call may end. */
const LATE_MS = 500;

let server: RawServer;
let client: HttpClient;

beforeEach(async () => {
  server = new RawServer();
  await server.start();
  client = new HttpClient({ ip: "127.0.0.1", port: server.port });
});

afterEach(() => {
  client.close();
  server.stop();
});

const ANSWERS = [
  "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\n",
  "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
  "no response\r\n\r\n",
];

for (const text of ANSWERS) {
  test(`a call ends in time after ${JSON.stringify(text.slice(0, 30))}`, async () => {
    server.answer = text;
    const call = client.send({
      method: "GET",
      path: "/",
      timeout_ms: TIMEOUT_MS,
    }).then(() => "answered", (error) => error);
    const late = new Promise((resolve) =>
      setTimeout(() => resolve("late"), TIMEOUT_MS + LATE_MS)
    );
    assert.ok(await Promise.race([call, late]) instanceof HttpRequestError);
  });
}

test("a call that can't be made is rejected as not sent", async () => {
  const broken = new HttpClient({ ip: "127.0.0.1", port: 99_999 });
  await assert.rejects(
    broken.send({ method: "GET", path: "/", timeout_ms: TIMEOUT_MS }),
    (error) => error instanceof HttpRequestError && !error.sent,
  );
});

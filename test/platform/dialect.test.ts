import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { usersDialect } from "../../platform/dialect.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";

const endpoint: RouteEndpoint = {
  id: "i-1",
  pool: "desk",
  address: "10.0.0.1:80",
  availability_zone: "a",
  slots: 1,
  state: RouteEndpointState.Ready,
  born_ms: 1,
};

const marks = {
  endpoint,
  remaining_ms: 900,
  organisation: undefined,
  inputs: [],
  priority: 3,
  last_event_id: undefined,
  body_bytes: undefined,
};

test("headers of the connection and of the system are not passed on", (t) => {
  t.assert.snapshot(usersDialect.requestHeaders([
    "Host",
    "a.example",
    "Connection",
    "keep-alive, X-Hop",
    "X-Hop",
    "1",
    "Transfer-Encoding",
    "chunked",
    "X-Key",
    "secret",
    "X-Deadline-Ms",
    "5000",
    "X-Pin-Ms",
    "9",
    "X-Kv-Backup",
    "10.0.0.2:80",
    "Accept",
    "a",
    "Accept",
    "b",
  ], { ...marks, organisation: "docks", inputs: ["h1", "h2"] }));
});

test("an answer says what may be done after it", (t) => {
  const read = (status: number, headers: string[]) =>
    usersDialect.readAnswer(status, headers);
  t.assert.snapshot({
    well: read(200, [
      "X-Attempt-Id",
      "a",
      "X-Response-Signature",
      "s",
      "X-Instance-Load",
      "3,1,8",
    ]),
    full: read(503, ["X-Not-Executed", "1"]),
    "its own failure": read(503, []),
    "another incarnation": read(421, []),
    "inputs gone": read(409, ["X-Not-Executed", "1"]),
    "load in words": read(200, ["X-Instance-Load", "a,b,c"]),
  });
});

test("pieces come back in order, with the reason of those not made", (t) => {
  const body = Buffer.from(JSON.stringify({
    items: [
      { handle: "10.0.0.1:80/1" },
      { reason: "late" },
      { reason: "gone" },
      { reason: "room" },
      { reason: "error" },
      { reason: "new" },
    ],
  }));
  t.assert.snapshot(usersDialect.readPieces(body, 6));
  assert.equal(usersDialect.readPieces(body, 5), undefined);
  assert.equal(usersDialect.readPieces(Buffer.from("{"), 1), undefined);
});

test("no headers and no body can make the dialect throw", () => {
  fc.assert(fc.property(
    fc.array(fc.string()),
    fc.uint8Array(),
    (headers, bytes) => {
      usersDialect.readRequest(headers);
      usersDialect.readAnswer(200, headers);
      usersDialect.requestHeaders(headers, marks);
      usersDialect.readPieces(Buffer.from(bytes), 1);
    },
  ));
});

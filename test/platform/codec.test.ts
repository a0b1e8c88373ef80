import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { PieceFault } from "../../src/batching/types.ts";
import { deploymentCodec } from "../../platform/codec.ts";
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

const metadata = {
  endpoint,
  remaining_ms: 900,
  organisation: undefined,
  inputs: [],
  priority: 3,
  last_event_id: undefined,
  body_bytes: undefined,
};

test("a handle that can't be named in a header is an error of its piece", () => {
  const decode = (handle: string) =>
    deploymentCodec.decodePieceResults(
      Buffer.from(JSON.stringify({ items: [{ handle }] })),
      1,
    );
  assert.deepEqual(decode("10.0.0.1:80/a"), [{
    ok: true,
    handle: "10.0.0.1:80/a",
  }]);
  for (const odd of ["", "a,b", "a\nb", "ł", "x".repeat(10_000)]) {
    assert.deepEqual(decode(odd), [{ ok: false, fault: PieceFault.Error }]);
  }
});

test("hop-by-hop and reserved headers are not forwarded", (t) => {
  t.assert.snapshot(deploymentCodec.encodeRequestHeaders([
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
  ], { ...metadata, organisation: "docks", inputs: ["h1", "h2"] }));
});

test("the status and headers of a response are decoded", (t) => {
  const read = (status: number, headers: string[]) =>
    deploymentCodec.decodeResponse(status, headers);
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
    "rate limit": read(200, ["Server-Limit", "3.75"]),
    "rate limit of zero": read(200, ["server-limit", "0"]),
    "rate limits, twice": read(200, [
      "Server-Limit",
      "3.75, 2.5",
      "Server-Limit",
      "9",
    ]),
    "negative rate limit": read(200, ["Server-Limit", "-1"]),
    "rate limit in words": read(200, ["Server-Limit", "few"]),
    "empty rate limit": read(200, ["Server-Limit", ""]),
    "huge rate limit": read(200, ["Server-Limit", "9".repeat(400)]),
    "load with slowness": read(200, ["X-Instance-Load", "3,1,8,250"]),
    "load with a slowness of zero": read(200, ["X-Instance-Load", "3,1,8,0"]),
    "load with a fifth figure": read(200, ["X-Instance-Load", "3,1,8,250,1"]),
    "load in words": read(200, ["X-Instance-Load", "a,b,c"]),
    leaving: read(200, ["Server-Leaving", "1"]),
  });
});

test("only a plain 1 says that an endpoint is leaving", () => {
  const read = (...values: string[]) =>
    deploymentCodec.decodeResponse(
      503,
      values.flatMap((value) => ["Server-Leaving", value]),
    ).report.leaving;
  for (const values of [["1"], [" 1 "], ["1", "1"], ["1, 1"]]) {
    assert.equal(read(...values), true, values.join("|"));
  }
  for (
    const values of [
      [],
      [""],
      ["0"],
      ["true"],
      ["yes"],
      ["01"],
      ["1.0"],
      ["-1"],
      ["1", "0"],
      ["1,"],
      ["1 1"],
    ]
  ) {
    assert.equal(read(...values), false, values.join("|"));
  }
});

test("a response names the time for which its endpoint stays cold, and an odd value names none", () => {
  const read = (...values: string[]) =>
    deploymentCodec.decodeResponse(
      200,
      values.flatMap((value) => ["X-Cold-Ms", value]),
    ).report.cold_ms;
  assert.equal(read("4000"), 4_000);
  assert.equal(read(" 12.5 "), 12.5);
  assert.equal(read("0"), 0);
  assert.equal(read("100", "3000"), 3_000);
  assert.equal(read(), undefined);
  for (const value of ["", "-2", "+2", "1e3", "0x10", "NaN", "soon", "1,"]) {
    assert.equal(read(value), undefined, value);
    assert.equal(read("2", value), undefined, value);
  }
});

test("a refusal names a pause in decimal seconds, and other values name none", () => {
  const read = (status: number, ...values: string[]) =>
    deploymentCodec.decodeResponse(
      status,
      values.flatMap((value) => ["Retry-After", value]),
    ).report.pause_ms;
  assert.equal(read(503, "2"), 2_000);
  assert.equal(read(503, " 1.5 "), 1_500);
  assert.equal(read(503, "0"), 0);
  assert.equal(read(503, "1", "3"), 3_000);
  assert.equal(read(503, "1, 0.5"), 1_000);
  assert.equal(read(503, "9".repeat(400)), Infinity);
  const date = "Wed, 21 Oct 2099 07:28:00 GMT";
  for (const value of ["", "-2", "+2", "1e3", "0x10", "NaN", "soon", date]) {
    assert.equal(read(503, value), 0, value);
    assert.equal(read(503, "2", value), 0, value);
  }
  assert.equal(read(503), 0);
  for (const status of [200, 421, 429, 500, 504]) {
    assert.equal(read(status, "2"), 0);
  }
});

test("piece results are decoded in order, with failure reasons", (t) => {
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
  t.assert.snapshot(deploymentCodec.decodePieceResults(body, 6));
  assert.equal(deploymentCodec.decodePieceResults(body, 5), undefined);
  assert.equal(
    deploymentCodec.decodePieceResults(Buffer.from("{"), 1),
    undefined,
  );
});

test("the codec does not throw on any headers or body", () => {
  fc.assert(fc.property(
    fc.array(fc.string()),
    fc.uint8Array(),
    (headers, bytes) => {
      deploymentCodec.decodeRequest(headers);
      deploymentCodec.decodeResponse(200, headers);
      deploymentCodec.encodeRequestHeaders(headers, metadata);
      deploymentCodec.decodePieceResults(Buffer.from(bytes), 1);
    },
  ));
});

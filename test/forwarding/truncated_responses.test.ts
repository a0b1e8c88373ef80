/**
 * Responses that an endpoint breaks off, or whose status is none, on all ways by
 * which hosts call endpoints: none may look complete, and what an endpoint has
 * received must not be told as not run.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { PieceCallResultKind } from "../../src/batching/piece_call.ts";
import { EndpointAgents } from "../../src/endpoints/endpoint_agents.ts";
import { BytesReadKind } from "../../src/bodies/read_bytes.ts";
import { ExchangeOutcome, readFullBody } from "../../src/endpoints/exchange.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { createBodyLimits } from "../../stand_ins/deployment/body_limits.ts";
import {
  GatewayFleet,
  Service,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  createSingleConnectionClient,
  pieceEndpoint,
} from "../../stand_ins/deployment/piece_calls.ts";
import {
  CallerView,
  RawCaller,
  rawRequest,
} from "../../stand_ins/deployment/raw_caller.ts";
import {
  createSender,
  endpointAt,
  requestHeaders,
  routesThrough,
  startCarrier,
} from "../relaying/carried_exchanges.ts";

/** How the endpoint's side of the connection ends. */
enum End {
  /** It closes in order; what it has not read makes the system reset it. */
  Close = "a close",
  Reset = "a reset",
  /** It ends its side, and resets the connection a moment later. */
  EndThenReset = "an end and then a reset",
}

interface Ending {
  /** Status and framing. */
  head: string;
  body: string;
  end: End;
}

/** More than the system's buffers hold, so that it is still being written. */
const LONG_UPLOAD = "u".repeat(24_000_000);
const SHORT_UPLOAD = "body";
const LIMITS = {
  max_header_bytes: 8_192,
  max_body_bytes: LONG_UPLOAD.length,
  header_timeout_ms: 500,
  idle_timeout_ms: 5_000,
};
const RESET_AFTER_MS = 20;
const OK = "HTTP/1.1 200 OK\r\n";
const SIGNED = "X-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n";
const INFORMATION = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";
const EVENT = "id: 1\ndata: a\n\n";
/** A whole answer to a call for one piece. */
const PIECES = JSON.stringify({ items: [{ handle: "h" }] });

/** Responses that are truncated whether the request was read or not. */
const TRUNCATED: Record<string, Ending> = {
  "no length, a reset": { head: OK, body: "{body}", end: End.Reset },
  "too little for its length, a close": {
    head: `${OK}Content-Length: 1000\r\n`,
    body: "{body}",
    end: End.Close,
  },
  "too little for its length, a reset": {
    head: `${OK}Content-Length: 1000\r\n`,
    body: "{body}",
    end: End.Reset,
  },
  "chunks without the last, a close": {
    head: `${OK}Transfer-Encoding: chunked\r\n`,
    body: "{chunk}",
    end: End.Close,
  },
  "chunks without the last, a reset": {
    head: `${OK}Transfer-Encoding: chunked\r\n`,
    body: "{chunk}",
    end: End.Reset,
  },
};

/** Endings that are none only while the request is still being written. */
const CUT_IN_UPLOAD: Record<string, Ending> = {
  ...TRUNCATED,
  "no length, a close": { head: OK, body: "{body}", end: End.Close },
  "no length, an end and then a reset": {
    head: OK,
    body: "{body}",
    end: End.EndThenReset,
  },
};

/** Responses whose status is none. */
const INVALID: Record<string, Ending> = Object.fromEntries(
  ["000", "001", "099"].flatMap((status) => [
    [`status ${status} with a length`, {
      head: `HTTP/1.1 ${status} OK\r\nContent-Length: {length}\r\n`,
      body: "{body}",
      end: End.Close,
    }],
    [`status ${status} without a length`, {
      head: `HTTP/1.1 ${status} OK\r\n`,
      body: "{body}",
      end: End.Close,
    }],
  ]),
);

interface Case {
  name: string;
  ending: Ending;
  information: boolean;
  reused: boolean;
  upload: string;
}

function casesOf(
  endings: Record<string, Ending>,
  upload: string,
): Case[] {
  const size = upload === LONG_UPLOAD ? "a long upload" : "a short upload";
  return Object.entries(endings).flatMap(([what, ending]) =>
    [false, true].flatMap((information) =>
      [false, true].map((reused) => ({
        name: `${what}; ${size}; ${information ? "after a 103" : "no 103"}; ${
          reused ? "a connection in use again" : "a new connection"
        }`,
        ending,
        information,
        reused,
        upload,
      }))
    )
  );
}

const CASES = [
  ...casesOf(CUT_IN_UPLOAD, LONG_UPLOAD),
  ...casesOf({ ...TRUNCATED, ...INVALID }, SHORT_UPLOAD),
];

/** An endpoint that answers each request by the current case. */
class TruncatingEndpoint {
  case: Case | undefined;
  /** Body of its responses. */
  body = "";
  port = 0;
  /** Requests of the current case, by whether their connection had served. */
  received: boolean[] = [];
  #server = createServer((socket) => this.#serve(socket));

  async start(t: TestContext): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    t.after(() => this.#server.close());
    this.port = (this.#server.address() as AddressInfo).port;
  }

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  #serve(socket: Socket): void {
    let served = false;
    let text = "";
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      text = (text + bytes.toString("latin1")).slice(0, 100_000);
      if (!text.includes("\r\n\r\n")) return;
      const id = /x-attempt-id: *(\S+)/i.exec(text)?.[1] ?? "";
      const isWarm = /x-warm/i.test(text) || this.case === undefined;
      text = "";
      if (!isWarm) return this.#breakOff(socket, id, served);
      served = true;
      const { length } = this.body;
      const head = `${OK}${SIGNED}Content-Length: ${length}\r\n\r\n`;
      socket.write(head.replace("{id}", id) + this.body);
    });
  }

  #breakOff(socket: Socket, id: string, served: boolean): void {
    const { ending, information } = this.case as Case;
    this.received.push(served);
    socket.pause();
    socket.removeAllListeners("data");
    const { length } = this.body;
    const body = ending.body
      .replace("{body}", this.body)
      .replace("{chunk}", `${length.toString(16)}\r\n${this.body}\r\n`);
    const text = (information ? INFORMATION : "") + ending.head +
      `${SIGNED}Content-Type: text/event-stream\r\n\r\n${body}`;
    const answer = text.replace("{id}", id).replace("{length}", `${length}`);
    switch (ending.end) {
      case End.Close:
        return void socket.end(answer, () => socket.destroySoon());
      case End.Reset:
        return void socket.write(answer, () => socket.resetAndDestroy());
      case End.EndThenReset:
        socket.end(answer);
        setTimeout(() => socket.resetAndDestroy(), RESET_AFTER_MS);
    }
  }
}

const KINDS = {
  "an unsafe call": "/stamp/x",
  "a safe call": "/lookup/x",
  "a stream": "/draft/x",
  "a stream that can be resumed": "/review/x",
};

/** Keeps a connection of the host to the endpoint. */
async function warm(endpoint: TruncatingEndpoint, fleet: GatewayFleet) {
  const current = endpoint.case;
  endpoint.case = undefined;
  const caller = await RawCaller.open(fleet.gateways[0]?.callers ?? "");
  caller.write(rawRequest("/stamp/x"));
  assert.equal((await caller.outcome()).status, 200);
  caller.close();
  endpoint.case = current;
}

test("no response that is broken off or has no status reaches a caller as complete", async (t) => {
  const endpoint = new TruncatingEndpoint();
  endpoint.body = EVENT;
  await endpoint.start(t);
  const fleet = new GatewayFleet({
    max_connections: 400,
    manifestChanges: { limits: LIMITS },
  });
  t.after(() => fleet.stop());
  await fleet.start();
  for (const service of [Service.Model, Service.Desk]) {
    await fleet.redirectEngines(service, endpoint.address);
  }
  for (const [kind, path] of Object.entries(KINDS)) {
    for (const each of CASES) {
      await t.test(`${kind}: ${each.name}`, async () => {
        if (each.reused) await warm(endpoint, fleet);
        endpoint.case = each;
        endpoint.received = [];
        const caller = await RawCaller.open(fleet.gateways[0]?.callers ?? "");
        const headers = { "x-pieces": "0,0", "x-deadline-ms": "6000" };
        caller.write(rawRequest(path, headers, each.upload));
        const { view, status, text } = await caller.outcome();
        caller.close();
        endpoint.case = undefined;
        assert.ok(endpoint.received.length > 0);
        assert.notEqual(view, CallerView.Open);
        const isAnswer = view === CallerView.Complete && (status ?? 0) < 500;
        assert.ok(!isAnswer, text);
        assert.ok(status === undefined || status >= 200, text);
        assert.doesNotMatch(text, /x-not-executed/i);
      });
    }
  }
});

for (const carried of [false, true]) {
  const way = carried ? "through another host" : "directly";
  test(`no exchange that goes ${way} takes such a response for complete`, async (t) => {
    const endpoint = new TruncatingEndpoint();
    endpoint.body = "half";
    await endpoint.start(t);
    const target = endpointAt(endpoint.address);
    const host = await startCarrier(t, target);
    const routes = routesThrough(carried ? [host.address] : []);
    const { send } = createSender(t, routes);
    const log = createLogger({ level: "error", host: "h", writeLine() {} });
    const limits = createBodyLimits({ max_bytes: 1_000_000, log });
    const exchange = async (upload: string) => {
      const body = Buffer.from(upload);
      const headers = requestHeaders(target, body);
      const result = await send(target, { body, headers });
      if (result.kind !== ExchangeOutcome.ResponseReceived) return result.kind;
      const { status } = result.response;
      const read = await readFullBody(result.response, { limits });
      return read.kind === BytesReadKind.Complete ? status : read.kind;
    };
    for (const each of CASES) {
      await t.test(each.name, async () => {
        endpoint.case = undefined;
        if (each.reused) assert.equal(await exchange(SHORT_UPLOAD), 200);
        endpoint.case = each;
        const outcome = await exchange(each.upload);
        const expected = [
          ExchangeOutcome.ResponseLost,
          BytesReadKind.BrokenOff,
        ];
        assert.ok(expected.includes(outcome as never), `${outcome}`);
      });
    }
  });
}

test("no call for pieces takes such a response for an answer", async (t) => {
  const endpoint = new TruncatingEndpoint();
  endpoint.body = PIECES;
  await endpoint.start(t);
  const agents = new EndpointAgents(() => 1);
  t.after(() => agents.close());
  const client = createSingleConnectionClient(agents);
  const call = (key: string) =>
    client.call(pieceEndpoint(endpoint.port), [{
      index: 0,
      key,
      inputs: undefined,
      attempt_id: "a",
      stage: 0,
      remaining_ms: 1_000,
    }], { timeout_ms: 5_000, signal: new AbortController().signal });
  let calls = 0;
  for (const each of CASES) {
    await t.test(each.name, async () => {
      endpoint.body = JSON.stringify({ items: [{ handle: `h${calls++}` }] });
      endpoint.case = undefined;
      if (each.reused) {
        const { kind } = await call("k");
        assert.equal(kind, PieceCallResultKind.Answered);
        endpoint.body = JSON.stringify({ items: [{ handle: `h${calls++}` }] });
      }
      endpoint.case = each;
      const result = await call(each.upload);
      assert.equal(result.kind, PieceCallResultKind.Failed);
      const { broken } = result as { broken?: boolean };
      assert.equal(broken, true, "the call may have begun");
    });
  }
});

/**
 * Streams that have begun and break off: only what continues them may follow,
 * and a stream that can't go on must not look complete.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { request } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { gzipSync } from "node:zlib";
import {
  ApiKey,
  GatewayFleet,
  Service,
} from "../../stand_ins/deployment/gateway_fleet.ts";

const ATTEMPT_ID = "a1";
const STREAM_TYPE = "text/event-stream";
const MODELS = ["model-1", "model-2", "model-3"];
const CALL_TIMEOUT_MS = 4_000;
/** The answer to a question that these endpoints don't know. */
const NO_STATUS = "HTTP/1.1 404 Any\r\nContent-Length: 0\r\n\r\n";
/** Statuses and ends of a caller's stream that promise nothing. */
const CUT = "cut";

interface Answer {
  status?: number;
  type?: string;
  /** Further headers. */
  headers?: Record<string, string>;
  attempt_id?: string;
  signed?: boolean;
  /** Parts of the body, sent one after the other. */
  body: (string | Buffer)[];
  framing?: "chunked" | "length" | "none";
  /** Whether the connection ends before the last chunk. */
  breaks?: boolean;
}

interface CallerView {
  status: number | undefined;
  signature: string | undefined;
  text: string;
  end: "complete" | typeof CUT;
}

function event(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

/** A stream of these events that breaks off. */
function broken(...body: string[]): Answer {
  return { body, breaks: true };
}

async function sendAnswer(
  socket: Socket,
  answer: Answer,
  number: number,
): Promise<void> {
  const { status = 200, framing = "chunked", signed = true } = answer;
  const bodyLength = answer.body.reduce(
    (sum, part) => sum + Buffer.byteLength(part),
    0,
  );
  const headers: Record<string, string> = {
    "X-Attempt-Id": answer.attempt_id ?? ATTEMPT_ID,
    ...(signed ? { "X-Response-Signature": `answer-${number}` } : {}),
    "Content-Type": answer.type ?? STREAM_TYPE,
    ...(framing === "chunked" ? { "Transfer-Encoding": "chunked" } : {}),
    ...(framing === "length" ? { "Content-Length": `${bodyLength}` } : {}),
    ...answer.headers,
  };
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  socket.write(`HTTP/1.1 ${status} Any\r\n${lines.join("")}\r\n`);
  for (const part of answer.body) {
    const bytes = Buffer.from(part);
    if (framing === "chunked") {
      socket.write(`${bytes.length.toString(16)}\r\n`);
    }
    socket.write(bytes);
    if (framing === "chunked") socket.write("\r\n");
    await sleep(10);
  }
  // Without the last chunk, the body is not complete; a reset could also take
  // bytes with it that were not read yet.
  if (answer.breaks) return void socket.end();
  if (framing === "chunked") socket.write("0\r\n\r\n");
  if (framing === "none") socket.end();
}

/** A fleet whose model endpoints together give these answers in turn. */
async function startFleet(t: TestContext, answers: Answer[]) {
  const seen: string[] = [];
  const server = createServer({ noDelay: true }, (socket) => {
    socket.on("error", () => {});
    socket.on("data", (data) => {
      const text = String(data);
      if (!text.startsWith("POST ")) return void socket.write(NO_STATUS);
      seen.push(/last-event-id: (.*)\r\n/i.exec(text)?.[1] ?? "none");
      const answer = answers[seen.length - 1];
      if (answer === undefined) return void socket.resetAndDestroy();
      void sendAnswer(socket, answer, seen.length);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const fleet = new GatewayFleet({
    engines: {
      [Service.Desk]: [],
      [Service.Model]: MODELS.map((id) => ({ id })),
      [Service.Encode]: [],
      [Service.Rank]: [],
    },
    manifestChanges: {
      routes: ["resumed", "plain"].map((name) => ({
        name,
        hostname: "fleet.example",
        path_prefix: `/${name}/`,
        kind: "streaming",
        service: Service.Model,
        timeout_ms: 3_000,
        target_latency_ms: 300,
        priority: 1,
        max_attempts: 3,
        public: false,
        sticky: false,
        resumable: name === "resumed",
      })),
    },
  });
  t.after(() => fleet.stop());
  t.after(() => server.close());
  await fleet.start();
  const { port } = server.address() as AddressInfo;
  await fleet.redirectEngines(Service.Model, `127.0.0.1:${port}`);
  return { fleet, seen };
}

function logLines(fleet: GatewayFleet, text: string): string[] {
  return fleet.gateways[0]?.logLines.filter((line) => line.includes(text)) ??
    [];
}

function callStream(
  fleet: GatewayFleet,
  path = "/resumed/x",
  headers: Record<string, string> = {},
): Promise<CallerView> {
  const [host, port] = (fleet.gateways[0]?.callers ?? "").split(":");
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host,
      port,
      path,
      method: "POST",
      timeout: CALL_TIMEOUT_MS,
      headers: {
        host: "fleet.example",
        "x-attempt-id": ATTEMPT_ID,
        "x-key": ApiKey.Docks,
        "x-deadline-ms": "2500",
        ...headers,
      },
    });
    const view: CallerView = {
      status: undefined,
      signature: undefined,
      text: "",
      end: CUT,
    };
    outgoing.on("timeout", () => reject(new Error("no answer in time")));
    outgoing.on("error", () => resolve(view));
    outgoing.on("response", (incoming) => {
      view.status = incoming.statusCode;
      view.signature = incoming.headers["x-response-signature"] as string;
      incoming.setEncoding("utf8");
      incoming.on("data", (text: string) => view.text += text);
      incoming.on("error", () => {});
      incoming.on("close", () => {
        view.end = incoming.complete ? "complete" : CUT;
        resolve(view);
      });
    });
    outgoing.end("x");
  });
}

const ERROR_TEXT = "data: the error\n\n";
const BEGUN = event(1) + event(2);
const WHOLE = BEGUN + event(3) + event(4);

/** Answers that can't follow the first two events of a broken stream. */
const UNUSABLE: Record<string, Answer> = {
  "an error in one body": {
    status: 500,
    type: "text/plain",
    body: ["failed"],
    framing: "length",
  },
  "an error typed as a stream": { status: 500, body: [ERROR_TEXT] },
  "an error typed as a stream, with ids that follow": {
    status: 500,
    body: [event(3)],
  },
  "an error typed as a stream, without framing": {
    status: 500,
    body: [ERROR_TEXT],
    framing: "none",
  },
  "a 404": {
    status: 404,
    type: "text/plain",
    body: ["not here"],
    framing: "length",
  },
  "a 400 typed as a stream": { status: 400, body: [ERROR_TEXT] },
  "a redirect": {
    status: 307,
    type: "text/plain",
    headers: { Location: "/other/" },
    body: [],
    framing: "length",
  },
  "a 204": { status: 204, body: [], framing: "none" },
  "another success": { status: 201, body: [event(3), event(4)] },
  "a success in one body": {
    type: "application/json",
    body: ["{}"],
    framing: "length",
  },
  "a success in one body without framing": {
    type: "text/plain",
    body: ["some text"],
    framing: "none",
  },
  "a stream without a signature": { signed: false, body: [event(3)] },
  "a stream of another request": { attempt_id: "b2", body: [event(3)] },
  "a compressed stream": {
    headers: { "Content-Encoding": "gzip" },
    body: [gzipSync(event(3) + event(4))],
  },
  "a stream that starts again": {
    body: [event(1), event(2), event(3), event(4)],
  },
  "a stream that repeats the last event": { body: [event(2), event(3)] },
  "a stream whose events have no ids": { body: ["data: 3\n\n"] },
  "an empty stream without framing": { body: [], framing: "none" },
  "another response's head without framing": {
    body: ["HTTP/1.1 500 Any\r\nContent-Length: 0\r\n\r\n"],
    framing: "none",
  },
  "a refusal": {
    status: 503,
    type: "text/plain",
    headers: { "X-Not-Executed": "1" },
    body: [],
    framing: "length",
  },
};

for (const [description, unusable] of Object.entries(UNUSABLE)) {
  test(`a stream that broke and is followed by ${description} is cut`, async (t) => {
    const answers = [broken(event(1), event(2)), unusable, unusable, unusable];
    const { fleet } = await startFleet(t, answers);
    const view = await callStream(fleet);
    assert.equal(view.text, BEGUN);
    assert.equal(view.end, CUT);
    assert.deepEqual(logLines(fleet, "event=fault"), []);
    assert.equal(logLines(fleet, "event=request ").length, 1);
  });

  test(`a stream that broke goes on after ${description} from a third endpoint`, async (t) => {
    const answers = [
      broken(event(1), event(2)),
      unusable,
      { body: [event(3), event(4)] },
    ];
    const { fleet, seen } = await startFleet(t, answers);
    const view = await callStream(fleet);
    assert.deepEqual(view, {
      status: 200,
      signature: "answer-1",
      text: WHOLE,
      end: "complete",
    });
    assert.deepEqual(seen, ["none", "2", "2"]);
  });
}

test("a stream that broke is followed by one that goes on, under the first head", async (t) => {
  for (const framing of ["chunked", "none"] as const) {
    const answers = [
      broken(event(1), event(2), "id: 3\nda"),
      { body: [event(3), event(4)], framing },
    ];
    const { fleet, seen } = await startFleet(t, answers);
    assert.deepEqual(await callStream(fleet), {
      status: 200,
      signature: "answer-1",
      text: WHOLE,
      end: "complete",
    });
    assert.deepEqual(seen, ["none", "2"]);
  }
});

/** Longer than a stream that is resumed with the deadline above may be old. */
const STREAM_LIFE_MS = 1_700;
const RESUMED = { "last-event-id": "2", "resumes": "a0" };

test("a stream that its caller resumes brings no event twice", async (t) => {
  for (const framing of ["chunked", "none"] as const) {
    for (const again of [[event(1), event(2), event(3)], [event(2)]]) {
      const answers: Answer[] = [
        { body: again, framing },
        { body: [event(3), event(4)], framing },
      ];
      const { fleet, seen } = await startFleet(t, answers);
      await sleep(STREAM_LIFE_MS);
      assert.deepEqual(await callStream(fleet, "/resumed/x", RESUMED), {
        status: 200,
        signature: "answer-2",
        text: event(3) + event(4),
        end: "complete",
      });
      assert.deepEqual(seen, ["2", "2"]);
    }
  }
});

test("a stream that its caller resumes after its last event ends", async (t) => {
  const { fleet } = await startFleet(t, [{ body: [] }]);
  await sleep(STREAM_LIFE_MS);
  const view = await callStream(fleet, "/resumed/x", RESUMED);
  assert.deepEqual({ text: view.text, end: view.end }, {
    text: "",
    end: "complete",
  });
});

test("a stream that goes on may end with an event without an id", async (t) => {
  const answers = [
    broken(event(1), event(2)),
    { body: [event(3), event(4), "data: end\n\n"] },
  ];
  const { fleet } = await startFleet(t, answers);
  const view = await callStream(fleet);
  assert.equal(view.text, WHOLE + "data: end\n\n");
  assert.equal(view.end, "complete");
});

test("a stream that broke after its last event ends where an endpoint says so", async (t) => {
  const answers = [broken(event(1), event(2)), { body: [] }];
  const { fleet } = await startFleet(t, answers);
  const view = await callStream(fleet);
  assert.equal(view.text, BEGUN);
  assert.equal(view.end, "complete");
});

test("a resumed stream whose events go back is resumed where it was in order", async (t) => {
  const answers = [
    broken(event(1), event(2)),
    { body: [event(3), event(2), event(3)] },
    { body: [event(4)] },
  ];
  const { fleet, seen } = await startFleet(t, answers);
  const view = await callStream(fleet);
  assert.equal(view.text, WHOLE);
  assert.equal(view.end, "complete");
  assert.deepEqual(seen, ["none", "2", "3"]);
});

test("a stream with an event without an id is not resumed, as its place is unknown", async (t) => {
  for (const begun of [["data: a\n\n"], [event(1), "data: b\n\n"]]) {
    const answers = [broken(...begun), { body: [event(2)] }];
    const { fleet, seen } = await startFleet(t, answers);
    const view = await callStream(fleet);
    assert.equal(view.text, begun.join(""));
    assert.equal(view.end, CUT);
    assert.deepEqual(seen, ["none"]);
  }
});

test("a stream of which only a comment was sent starts again", async (t) => {
  const answers = [
    broken(": wait\n\n"),
    { body: [event(1), event(2)] },
  ];
  const { fleet } = await startFleet(t, answers);
  const view = await callStream(fleet);
  assert.equal(view.text, ": wait\n\n" + BEGUN);
  assert.equal(view.end, "complete");
});

async function assertSecondAnswer(t: TestContext, first: Answer) {
  const { fleet } = await startFleet(t, [
    first,
    { body: [event(1), event(2)] },
  ]);
  assert.deepEqual(await callStream(fleet), {
    status: 200,
    signature: "answer-2",
    text: BEGUN,
    end: "complete",
  });
}

test("a stream that broke within its first event has the next endpoint's head", async (t) => {
  await assertSecondAnswer(t, broken("id: 1\nda"));
});

test("an error typed as a stream gives way to the next endpoint's stream", async (t) => {
  for (const breaks of [false, true]) {
    await assertSecondAnswer(t, { status: 500, body: [event(1)], breaks });
  }
});

test("an error typed as a stream is passed on whole if no endpoint has better", async (t) => {
  for (const path of ["/resumed/x", "/plain/x"]) {
    const error = { status: 500, body: [ERROR_TEXT] };
    const { fleet } = await startFleet(t, [error, error, error]);
    const view = await callStream(fleet, path);
    assert.equal(view.status, 500);
    assert.equal(view.text, ERROR_TEXT);
    assert.equal(view.end, "complete");
  }
});

test("a withheld error does not follow a stream that broke after it", async (t) => {
  const answers = [
    { status: 500, type: "text/plain", body: ["failed"] },
    broken(event(1), event(2)),
    { status: 500, type: "text/plain", body: ["failed"] },
  ];
  const { fleet } = await startFleet(t, answers);
  const view = await callStream(fleet);
  assert.equal(view.status, 200);
  assert.equal(view.text, BEGUN);
  assert.equal(view.end, CUT);
  assert.deepEqual(logLines(fleet, "event=fault"), []);
});

test("a stream that may not be resumed is cut, and no other endpoint is asked", async (t) => {
  const answers = [broken(event(1), event(2)), { body: [event(3)] }];
  const { fleet, seen } = await startFleet(t, answers);
  const view = await callStream(fleet, "/plain/x");
  assert.equal(view.text, BEGUN);
  assert.equal(view.end, CUT);
  assert.deepEqual(seen, ["none"]);
});

/**
 * Stand-in for an endpoint: a JSON service or a completion engine that runs
 * calls in a batch. Its service time grows with the batch, it reports load in
 * the ORCA format, counts its executions, and fails as `/control` says.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";

/** Faults that `/control` switches on. */
interface Faults {
  /** Multiplies service time. */
  slowdown: number;
  /** Every n-th call fails with status 500; 0 for none. */
  fail_every: number;
  /** Every n-th answer is cut half-way; 0 for none. */
  cut_every: number;
  /** Every n-th stream is cut within its headers; 0 for none. */
  cut_headers_every: number;
  /** Every n-th stream ends in order, but half-way; 0 for none. */
  end_early_every: number;
  /** Every n-th call is run but never answered; 0 for none. */
  silent_every: number;
  /** Calls that come in pairs get each other's answers. */
  cross_answers: boolean;
  /** Every n-th answer is sent twice over; 0 for none. */
  twice_every: number;
  leaving: boolean;
}

const { values } = parseArgs({
  options: {
    port: { type: "string" },
    name: { type: "string", default: "endpoint" },
    protocol: { type: "string", default: "json" },
    service_ms: { type: "string", default: "5" },
    slots: { type: "string", default: "8" },
    tokens: { type: "string", default: "8" },
    fencing: { type: "string", default: "ignored" },
  },
});
const service_ms = Number(values.service_ms);
const slots = Number(values.slots);
const tokens = Number(values.tokens);

const faults: Faults = {
  slowdown: 1,
  fail_every: 0,
  cut_every: 0,
  cut_headers_every: 0,
  end_early_every: 0,
  silent_every: 0,
  cross_answers: false,
  twice_every: 0,
  leaving: false,
};
/** What the engine serves, and every order that it carried out. */
const engine = { model: "initial", fencing: 0, history: [] as string[] };
/** Executions by the text of the input. */
const executions = new Map<string, number>();
let calls = 0;
let running = 0;
let busy_ms = 0;
let cost = 0;
let heldAnswer: HeldAnswer | undefined;
const CROSSING_WAIT_MS = 30;

/** An answer and the id of the call that it belongs to. */
interface IdentifiedAnswer {
  id: string;
  text: string;
}

createServer(handle).listen(
  Number(values.port),
  "127.0.0.1",
  4096,
  () => console.log("ready"),
);

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  let body = "";
  for await (const chunk of request) body += chunk;
  if (request.url === "/control") return control(response, body);
  if (request.url === "/counts") return counts(response);
  if (request.url === "/admin/state") return sendState(response);
  if (request.url === "/admin/order") return takeOrder(response, body);
  await serve(request, response, body).catch(() => response.destroy());
}

function control(response: ServerResponse, body: string): void {
  Object.assign(faults, JSON.parse(body));
  response.end("{}");
}

function counts(response: ServerResponse): void {
  const most = Math.max(0, ...executions.values());
  const inputs = Object.fromEntries(executions);
  response.end(JSON.stringify({ calls, busy_ms, cost, most, inputs }));
}

function sendState(response: ServerResponse): void {
  const { model, fencing, history } = engine;
  response.end(JSON.stringify({ model, fencing, history, loading: false }));
}

/** Takes an order; an engine that checks refuses an old number. */
function takeOrder(response: ServerResponse, body: string): void {
  const order = JSON.parse(body) as { fencing: number; model: string };
  if (values.fencing === "checked" && order.fencing < engine.fencing) {
    response.statusCode = 409;
    return void response.end("{}");
  }
  engine.model = order.model;
  engine.fencing = order.fencing;
  engine.history.push(order.model);
  response.end("{}");
}

async function serve(
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
): Promise<void> {
  calls += 1;
  const call = calls;
  const id = String(request.headers["x-request-id"]);
  const { input, prompt } = JSON.parse(body);
  const subject = typeof prompt === "string" ? prompt : JSON.stringify(input);
  executions.set(subject, (executions.get(subject) ?? 0) + 1);
  response.setHeader("x-request-id", id);
  response.setHeader(
    "endpoint-load-metrics",
    `TEXT application_utilization=${running / slots}`,
  );
  if (faults.leaving) response.setHeader("endpoint-leaving", "true");
  if (hits(faults.fail_every, call)) {
    response.statusCode = 500;
    return void response.end("{}");
  }
  running += 1;
  cost += service_ms;
  const started_ms = performance.now();
  try {
    if (values.protocol === "json") {
      await serveJson(response, { id, input, call });
    } else await serveCompletion(response, { prompt, call });
  } finally {
    running -= 1;
    busy_ms += performance.now() - started_ms;
  }
}

function hits(every: number, call: number): boolean {
  return every > 0 && call % every === 0;
}

/** Time for one call: flat while slots are free, then in proportion. */
function stepTime_ms(): number {
  return service_ms * faults.slowdown * Math.max(1, running / slots);
}

async function serveJson(
  response: ServerResponse,
  { id, input, call }: { id: string; input: unknown; call: number },
): Promise<void> {
  const time_ms = stepTime_ms();
  if (time_ms > 0) await sleep(time_ms);
  if (hits(faults.silent_every, call)) return await sleep(60_000);
  response.setHeader("content-type", "application/json");
  const output = { [String(values.name)]: input };
  const own = {
    id,
    text: JSON.stringify({ request_id: id, output, cost: service_ms }),
  };
  const sent = faults.cross_answers ? await crossed(own) : own;
  const answer = sent.text;
  response.setHeader("x-request-id", sent.id);
  if (hits(faults.cut_every, call)) {
    response.setHeader("content-length", answer.length);
    response.write(answer.slice(0, answer.length / 2));
    await sleep(1);
    return void response.destroy();
  }
  if (hits(faults.twice_every, call)) {
    response.setHeader("content-length", answer.length);
    response.socket?.write("");
  }
  response.end(answer);
  if (hits(faults.twice_every, call)) {
    const again = `HTTP/1.1 200 OK\r\ncontent-length: ${answer.length}\r\n\r\n`;
    response.socket?.write(again + answer);
  }
}

/** An answer that waits for another to be swapped with. */
interface HeldAnswer {
  answer: IdentifiedAnswer;
  swap: (other: IdentifiedAnswer) => void;
}

/** Swaps the answers of two calls that run at the same time. */
function crossed(answer: IdentifiedAnswer): Promise<IdentifiedAnswer> {
  const other = heldAnswer;
  if (other !== undefined) {
    heldAnswer = undefined;
    other.swap(answer);
    return Promise.resolve(other.answer);
  }
  return new Promise((resolve) => {
    heldAnswer = { answer, swap: resolve };
    setTimeout(() => {
      if (heldAnswer?.swap === resolve) heldAnswer = undefined;
      resolve(answer);
    }, CROSSING_WAIT_MS);
  });
}

async function serveCompletion(
  response: ServerResponse,
  { prompt, call }: { prompt: string; call: number },
): Promise<void> {
  if (hits(faults.cut_headers_every, call)) {
    return void response.socket?.end("HTTP/1.1 200 OK\r\ncontent-ty");
  }
  response.setHeader("content-type", "text/event-stream");
  response.flushHeaders();
  const cutAfter = hits(faults.cut_every, call) ? tokens / 2 : Infinity;
  const endAfter = hits(faults.end_early_every, call) ? tokens / 2 : Infinity;
  for (let token = 0; token < tokens; token++) {
    await sleep(stepTime_ms() / tokens);
    if (response.destroyed) return;
    if (token >= cutAfter) return void response.destroy();
    if (token >= endAfter) return void response.end();
    const text = ` ${prompt.slice(-24)}#${token}`;
    const usage = { total_tokens: service_ms };
    writeEvent(response, { choices: [{ text, finish_reason: null }], usage });
  }
  if (hits(faults.silent_every, call)) return await sleep(60_000);
  response.end("data: [DONE]\n\n");
}

function writeEvent(response: ServerResponse, event: unknown): void {
  response.write(`data: ${JSON.stringify(event)}\n\n`);
}

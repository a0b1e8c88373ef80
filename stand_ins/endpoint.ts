/**
 * Stand-in for an endpoint: a JSON service or a completion engine. Once more
 * calls run than there are slots, its service time grows in proportion. It
 * reports its load in the ORCA format, returns its execution counts at
 * `/counts` and injects the faults set at `/control`.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";

/** Faults that `/control` sets. */
interface Faults {
  /** Factor of the service time. */
  slowdown: number;
  /** Every n-th call fails with status 500; 0 for none. */
  fail_every: number;
  /** Every n-th response is truncated half-way; 0 for none. */
  cut_every: number;
  /** Every n-th stream is truncated within its headers; 0 for none. */
  cut_headers_every: number;
  /** Every n-th stream is closed cleanly but half-way; 0 for none. */
  end_early_every: number;
  /**
   * Every n-th call is executed but its response is never finished; 0 for none.
   */
  silent_every: number;
  /** Concurrent calls get each other's responses. */
  cross_answers: boolean;
  /** Every n-th response is sent twice; 0 for none. */
  twice_every: number;
  /** Responses announce that the endpoint is leaving. */
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
/**
 * The model being served, its fencing token, and every model ordered so far.
 */
const engineState = { model: "initial", fencing: 0, history: [] as string[] };
/** Executions by input, or by prompt for completions. */
const executions = new Map<string, number>();
let calls = 0;
let running = 0;
let busy_ms = 0;
let cost = 0;
let pendingSwap: PendingSwap | undefined;
/** How long a response waits for another to be swapped with. */
const SWAP_TIMEOUT_MS = 30;

/** A response body and the id of the call that it belongs to. */
interface IdentifiedResponse {
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
  if (request.url === "/control") return setFaults(response, body);
  if (request.url === "/counts") return sendCounts(response);
  if (request.url === "/admin/state") return sendState(response);
  if (request.url === "/admin/order") return applyOrder(response, body);
  await serve(request, response, body).catch(() => response.destroy());
}

function setFaults(response: ServerResponse, body: string): void {
  Object.assign(faults, JSON.parse(body));
  response.end("{}");
}

function sendCounts(response: ServerResponse): void {
  const most = Math.max(0, ...executions.values());
  const inputs = Object.fromEntries(executions);
  response.end(JSON.stringify({ calls, busy_ms, cost, most, inputs }));
}

function sendState(response: ServerResponse): void {
  const { model, fencing, history } = engineState;
  response.end(JSON.stringify({ model, fencing, history, loading: false }));
}

/** Applies an order; responds with 409 if its fencing token is outdated. */
function applyOrder(response: ServerResponse, body: string): void {
  const order = JSON.parse(body) as { fencing: number; model: string };
  if (values.fencing === "checked" && order.fencing < engineState.fencing) {
    response.statusCode = 409;
    return void response.end("{}");
  }
  engineState.model = order.model;
  engineState.fencing = order.fencing;
  engineState.history.push(order.model);
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
  const inputText = typeof prompt === "string" ? prompt : JSON.stringify(input);
  executions.set(inputText, (executions.get(inputText) ?? 0) + 1);
  response.setHeader("x-request-id", id);
  response.setHeader(
    "endpoint-load-metrics",
    `TEXT application_utilization=${running / slots}`,
  );
  if (faults.leaving) response.setHeader("endpoint-leaving", "true");
  if (isNth(faults.fail_every, call)) {
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

function isNth(every: number, call: number): boolean {
  return every > 0 && call % every === 0;
}

/** Service time of a call: constant while slots are free, then proportional. */
function currentServiceMs(): number {
  return service_ms * faults.slowdown * Math.max(1, running / slots);
}

async function serveJson(
  response: ServerResponse,
  { id, input, call }: { id: string; input: unknown; call: number },
): Promise<void> {
  const time_ms = currentServiceMs();
  if (time_ms > 0) await sleep(time_ms);
  if (isNth(faults.silent_every, call)) return await sleep(60_000);
  response.setHeader("content-type", "application/json");
  const output = { [String(values.name)]: input };
  const ownResponse = {
    id,
    text: JSON.stringify({ request_id: id, output, cost: service_ms }),
  };
  const sent = faults.cross_answers
    ? await swapWithConcurrentCall(ownResponse)
    : ownResponse;
  const responseText = sent.text;
  response.setHeader("x-request-id", sent.id);
  if (isNth(faults.cut_every, call)) {
    response.setHeader("content-length", responseText.length);
    response.write(responseText.slice(0, responseText.length / 2));
    await sleep(1);
    return void response.destroy();
  }
  if (isNth(faults.twice_every, call)) {
    response.setHeader("content-length", responseText.length);
    response.socket?.write("");
  }
  response.end(responseText);
  if (isNth(faults.twice_every, call)) {
    const duplicateHead =
      `HTTP/1.1 200 OK\r\ncontent-length: ${responseText.length}\r\n\r\n`;
    response.socket?.write(duplicateHead + responseText);
  }
}

/** A response that waits for another to be swapped with. */
interface PendingSwap {
  response: IdentifiedResponse;
  swap: (other: IdentifiedResponse) => void;
}

/**
 * Swaps a response with that of a concurrent call; returns it unchanged if
 * there is none in time.
 */
function swapWithConcurrentCall(
  response: IdentifiedResponse,
): Promise<IdentifiedResponse> {
  const other = pendingSwap;
  if (other !== undefined) {
    pendingSwap = undefined;
    other.swap(response);
    return Promise.resolve(other.response);
  }
  return new Promise((resolve) => {
    pendingSwap = { response, swap: resolve };
    setTimeout(() => {
      if (pendingSwap?.swap === resolve) pendingSwap = undefined;
      resolve(response);
    }, SWAP_TIMEOUT_MS);
  });
}

async function serveCompletion(
  response: ServerResponse,
  { prompt, call }: { prompt: string; call: number },
): Promise<void> {
  if (isNth(faults.cut_headers_every, call)) {
    return void response.socket?.end("HTTP/1.1 200 OK\r\ncontent-ty");
  }
  response.setHeader("content-type", "text/event-stream");
  response.flushHeaders();
  const truncateAt = isNth(faults.cut_every, call) ? tokens / 2 : Infinity;
  const endAt = isNth(faults.end_early_every, call) ? tokens / 2 : Infinity;
  for (let token = 0; token < tokens; token++) {
    await sleep(currentServiceMs() / tokens);
    if (response.destroyed) return;
    if (token >= truncateAt) return void response.destroy();
    if (token >= endAt) return void response.end();
    const text = ` ${prompt.slice(-24)}#${token}`;
    const usage = { total_tokens: service_ms };
    writeEvent(response, { choices: [{ text, finish_reason: null }], usage });
  }
  if (isNth(faults.silent_every, call)) return await sleep(60_000);
  response.end("data: [DONE]\n\n");
}

function writeEvent(response: ServerResponse, event: unknown): void {
  response.write(`data: ${JSON.stringify(event)}\n\n`);
}

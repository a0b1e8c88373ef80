/**
 * Sends attempts to endpoints over Node's `http`. An attempt never rejects: it
 * ends in one of the ways of {@linkcode AttemptOutcome}, and says whether the call
 * may have reached the endpoint.
 */
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { EndpointProtocol } from "../records/types.ts";
import {
  type Attempt,
  AttemptError,
  AttemptOutcome,
  type AttemptResult,
  type StageResponse,
} from "./attempt.ts";
import { readCompletions } from "./completions.ts";
import type { EndpointConnections } from "./endpoint_connections.ts";
import { LOAD_REPORT_HEADER, parseLoadReport } from "./load_report.ts";

/** Runs attempts. */
export type CallEndpoint = (attempt: Attempt) => Promise<AttemptResult>;

/** How long an endpoint may take to end an answer that is whole. */
const TRAILING_DATA_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_SERVICE_UNAVAILABLE = 503;
const HEADER_REQUEST_ID = "x-request-id";
const HEADER_LEAVING = "endpoint-leaving";

/** Creates the function that runs attempts. */
export function createEndpointClient(
  connections: EndpointConnections,
  now: () => number,
): CallEndpoint {
  return (attempt) => new AttemptRunner(attempt, connections, now).run();
}

class AttemptRunner {
  readonly #attempt: Attempt;
  readonly #connections: EndpointConnections;
  readonly #now: () => number;
  readonly #started_ms: number;
  #maybeSent = false;
  #first_byte_ms = 0;
  #response: IncomingMessage | undefined;
  #progressTimer: NodeJS.Timeout | undefined;
  #abortOutcome: AttemptOutcome | undefined;

  constructor(
    attempt: Attempt,
    connections: EndpointConnections,
    now: () => number,
  ) {
    this.#attempt = attempt;
    this.#connections = connections;
    this.#now = now;
    this.#started_ms = now();
  }

  async run(): Promise<AttemptResult> {
    const outgoing = this.#sendRequest();
    const onCancel = () => this.#abort(outgoing, AttemptOutcome.Cancelled);
    const attemptTimer = setTimeout(
      () => this.#abort(outgoing, AttemptOutcome.TimedOut),
      this.#attempt.timeout_ms,
    );
    this.#attempt.signal.addEventListener("abort", onCancel, { once: true });
    try {
      const answer = await this.#receiveResponse(outgoing);
      this.#drainResponse(outgoing);
      return this.#result(AttemptOutcome.Completed, answer);
    } catch (error) {
      outgoing.destroy();
      return this.#failedResult(error as Error);
    } finally {
      clearTimeout(attemptTimer);
      clearTimeout(this.#progressTimer);
      this.#attempt.signal.removeEventListener("abort", onCancel);
    }
  }

  #sendRequest(): ClientRequest {
    const { endpoint, pool, idempotent } = this.#attempt;
    const body = requestBody(this.#attempt);
    const { ip, port } = this.#connections.parsedAddress(
      endpoint.address,
    );
    const outgoing = request({
      agent: this.#connections.agentFor(endpoint.address, idempotent),
      host: ip,
      port,
      method: "POST",
      path: pool.path,
      headers: {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        [HEADER_REQUEST_ID]: this.#attempt.attempt_id,
      },
    });
    outgoing.once("socket", (socket) => {
      if (!socket.connecting) this.#maybeSent = true;
      else socket.once("connect", () => this.#maybeSent = true);
    });
    outgoing.end(body);
    return outgoing;
  }

  async #receiveResponse(outgoing: ClientRequest): Promise<StageResponse> {
    if (this.#attempt.signal.aborted) {
      throw new AttemptError(
        AttemptOutcome.Cancelled,
        "Cancelled before sending",
      );
    }
    this.#restartProgressTimer(outgoing);
    const incoming = await waitForResponse(outgoing);
    this.#response = incoming;
    this.#first_byte_ms = this.#now() - this.#started_ms;
    this.#verifyRequestId(incoming);
    if (incoming.statusCode !== HTTP_OK) throw await errorFromStatus(incoming);
    if (this.#attempt.pool.protocol === EndpointProtocol.Json) {
      return await readJson(incoming);
    }
    return await readCompletions(incoming, {
      onText: this.#attempt.onText,
      onBackpressure: () => clearTimeout(this.#progressTimer),
      onProgress: () => this.#restartProgressTimer(outgoing),
    });
  }

  /** Reads what is left of a whole answer, so that the connection is free. */
  #drainResponse(outgoing: ClientRequest): void {
    const incoming = this.#response;
    if (incoming === undefined || incoming.readableEnded) return;
    const timer = setTimeout(
      () => outgoing.destroy(),
      TRAILING_DATA_TIMEOUT_MS,
    );
    incoming.once("close", () => clearTimeout(timer));
    incoming.on("error", () => {});
    incoming.resume();
  }

  #restartProgressTimer(outgoing: ClientRequest): void {
    clearTimeout(this.#progressTimer);
    this.#progressTimer = setTimeout(
      () => this.#abort(outgoing, AttemptOutcome.TimedOut),
      this.#attempt.pool.progress_timeout_ms,
    );
  }

  #abort(outgoing: ClientRequest, end: AttemptOutcome): void {
    this.#abortOutcome ??= end;
    if (end === AttemptOutcome.TimedOut) {
      this.#connections.closeIdleConnections(this.#attempt.endpoint.address);
    }
    const error = new AttemptError(this.#abortOutcome, `The attempt is ${end}`);
    this.#response?.destroy(error);
    outgoing.destroy(error);
  }

  #verifyRequestId(incoming: IncomingMessage): void {
    const { attempt_id, pool } = this.#attempt;
    const echoed = incoming.headers[HEADER_REQUEST_ID];
    if (echoed === attempt_id) return;
    if (echoed === undefined && !pool.echoes_request_id) return;
    this.#connections.closeIdleConnections(this.#attempt.endpoint.address);
    throw new AttemptError(
      AttemptOutcome.Mismatched,
      `The answer is for ${echoed ?? "an unnamed request"}`,
    );
  }

  #failedResult(error: Error): AttemptResult {
    const end = this.#abortOutcome ??
      (error instanceof AttemptError
        ? error.outcome
        : AttemptOutcome.Truncated);
    const emptyResponse = { output: undefined, cost: 0 };
    return { ...this.#result(end, emptyResponse), message: error.message };
  }

  #result(end: AttemptOutcome, answer: StageResponse): AttemptResult {
    const headers = this.#response?.headers;
    return {
      outcome: end,
      sent: this.#maybeSent,
      output: answer.output,
      cost: answer.cost,
      elapsed_ms: this.#now() - this.#started_ms,
      first_byte_ms: this.#first_byte_ms,
      load: parseLoadReport(headers?.[LOAD_REPORT_HEADER]),
      leaving: headers?.[HEADER_LEAVING] === "true",
      message: "",
    };
  }
}

function requestBody(attempt: Attempt): string {
  const { input, pool, request_id } = attempt;
  if (pool.protocol === EndpointProtocol.Json) {
    return JSON.stringify({ request_id, input });
  }
  const prompt = typeof input === "string" ? input : JSON.stringify(input);
  return JSON.stringify({ model: pool.model, prompt, stream: true });
}

function waitForResponse(outgoing: ClientRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    outgoing.once("response", resolve);
    outgoing.on("error", reject);
  });
}

async function errorFromStatus(
  incoming: IncomingMessage,
): Promise<AttemptError> {
  const refused = incoming.statusCode === HTTP_TOO_MANY_REQUESTS ||
    incoming.statusCode === HTTP_SERVICE_UNAVAILABLE;
  await readText(incoming);
  return new AttemptError(
    refused ? AttemptOutcome.Rejected : AttemptOutcome.Failed,
    `The endpoint answered ${incoming.statusCode}`,
  );
}

async function readJson(incoming: IncomingMessage): Promise<StageResponse> {
  const answer = parseObject(await readText(incoming));
  if (answer === undefined || !("output" in answer)) {
    throw new AttemptError(
      AttemptOutcome.Failed,
      "The endpoint's answer has no output",
    );
  }
  const cost = "cost" in answer ? Number(answer.cost) : 0;
  return { output: answer.output, cost };
}

function parseObject(text: string): object | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === "object" && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}

function readText(incoming: IncomingMessage): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = "";
    incoming.setEncoding("utf8");
    incoming.on("data", (chunk: string) => text += chunk);
    incoming.on("error", reject);
    incoming.on("end", () => resolve(text));
  });
}

/**
 * Sends attempts to endpoints over `node:http`. The returned promise never
 * rejects: the result states an {@linkcode AttemptOutcome} and whether the
 * request may have reached the endpoint.
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
import { readText, writeBody } from "./message_body.ts";

/** Runs one attempt; never rejects. */
export type CallEndpoint = (attempt: Attempt) => Promise<AttemptResult>;

/** Timeout for the end of a response whose result has already been read. */
const TRAILING_DATA_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_SERVICE_UNAVAILABLE = 503;
const REQUEST_ID_HEADER = "x-request-id";
const LEAVING_HEADER = "endpoint-leaving";

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
  #settled = false;
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
    let clientRequest: ClientRequest;
    try {
      clientRequest = this.#sendRequest();
    } catch (error) {
      return this.#failedResult(error as Error);
    }
    const onCancel = () => this.#abort(clientRequest, AttemptOutcome.Cancelled);
    const attemptTimer = setTimeout(
      () => this.#abort(clientRequest, AttemptOutcome.TimedOut),
      this.#attempt.timeout_ms,
    );
    this.#attempt.signal.addEventListener("abort", onCancel, { once: true });
    try {
      const stageResponse = await this.#receiveResponse(clientRequest);
      this.#drainResponse(clientRequest);
      return this.#result(AttemptOutcome.Completed, stageResponse);
    } catch (error) {
      clientRequest.destroy();
      return this.#failedResult(error as Error);
    } finally {
      this.#settled = true;
      clearTimeout(attemptTimer);
      clearTimeout(this.#progressTimer);
      this.#attempt.signal.removeEventListener("abort", onCancel);
    }
  }

  #sendRequest(): ClientRequest {
    const { endpoint, pool, idempotent } = this.#attempt;
    const body = Buffer.from(requestBody(this.#attempt));
    const { ip, port } = this.#connections.parsedAddress(
      endpoint.address,
    );
    const clientRequest = request({
      agent: this.#connections.agentFor(endpoint.address, idempotent),
      host: ip,
      port,
      method: "POST",
      path: pool.path,
      headers: {
        "content-type": "application/json",
        "content-length": body.length,
        [REQUEST_ID_HEADER]: this.#attempt.attempt_id,
      },
    });
    clientRequest.once("socket", (socket) => {
      if (!socket.connecting) this.#maybeSent = true;
      else socket.once("connect", () => this.#maybeSent = true);
    });
    this.#restartProgressTimer(clientRequest);
    writeBody(
      clientRequest,
      body,
      () => this.#restartProgressTimer(clientRequest),
    );
    return clientRequest;
  }

  async #receiveResponse(clientRequest: ClientRequest): Promise<StageResponse> {
    if (this.#attempt.signal.aborted) {
      throw new AttemptError(
        AttemptOutcome.Cancelled,
        "Cancelled before sending",
      );
    }
    const response = await waitForResponse(clientRequest);
    this.#response = response;
    this.#first_byte_ms = this.#now() - this.#started_ms;
    this.#verifyRequestId(response);
    const onProgress = () => this.#restartProgressTimer(clientRequest);
    if (response.statusCode !== HTTP_OK) {
      throw await errorFromStatus(response, onProgress);
    }
    if (this.#attempt.pool.protocol === EndpointProtocol.Json) {
      return await readJson(response, onProgress);
    }
    return await readCompletions(response, {
      onText: this.#attempt.onText,
      onBackpressure: () => clearTimeout(this.#progressTimer),
      onProgress,
    });
  }

  /** Reads the rest of a response so that its connection can be reused. */
  #drainResponse(clientRequest: ClientRequest): void {
    const response = this.#response;
    if (response === undefined || response.readableEnded) return;
    const timer = setTimeout(
      () => clientRequest.destroy(),
      TRAILING_DATA_TIMEOUT_MS,
    );
    response.once("close", () => clearTimeout(timer));
    response.on("error", () => {});
    response.resume();
  }

  #restartProgressTimer(clientRequest: ClientRequest): void {
    clearTimeout(this.#progressTimer);
    if (this.#settled) return;
    this.#progressTimer = setTimeout(
      () => this.#abort(clientRequest, AttemptOutcome.TimedOut),
      this.#attempt.pool.progress_timeout_ms,
    );
  }

  #abort(clientRequest: ClientRequest, outcome: AttemptOutcome): void {
    this.#abortOutcome ??= outcome;
    if (outcome === AttemptOutcome.TimedOut) {
      this.#connections.closeIdleConnections(this.#attempt.endpoint.address);
    }
    const error = new AttemptError(
      this.#abortOutcome,
      `The attempt is ${outcome}`,
    );
    this.#response?.destroy(error);
    clientRequest.destroy(error);
  }

  #verifyRequestId(response: IncomingMessage): void {
    const { attempt_id, pool } = this.#attempt;
    const echoedId = response.headers[REQUEST_ID_HEADER];
    if (echoedId === attempt_id) return;
    if (echoedId === undefined && !pool.echoes_request_id) return;
    this.#connections.closeIdleConnections(this.#attempt.endpoint.address);
    throw new AttemptError(
      AttemptOutcome.Mismatched,
      `The answer is for ${echoedId ?? "an unnamed request"}`,
    );
  }

  #failedResult(error: Error): AttemptResult {
    const outcome = this.#abortOutcome ??
      (error instanceof AttemptError
        ? error.outcome
        : AttemptOutcome.Truncated);
    const emptyResponse = { output: undefined, cost: 0 };
    return { ...this.#result(outcome, emptyResponse), message: error.message };
  }

  #result(
    outcome: AttemptOutcome,
    stageResponse: StageResponse,
  ): AttemptResult {
    const headers = this.#response?.headers;
    return {
      outcome,
      sent: this.#maybeSent,
      output: stageResponse.output,
      cost: stageResponse.cost,
      elapsed_ms: this.#now() - this.#started_ms,
      first_byte_ms: this.#first_byte_ms,
      load: parseLoadReport(headers?.[LOAD_REPORT_HEADER]),
      leaving: headers?.[LEAVING_HEADER] === "true",
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

function waitForResponse(
  clientRequest: ClientRequest,
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    clientRequest.once("response", resolve);
    clientRequest.on("error", reject);
    // Neither an error nor a response follows a switch of protocols.
    clientRequest.once(
      "close",
      () => reject(new Error("The connection was closed")),
    );
  });
}

async function errorFromStatus(
  response: IncomingMessage,
  onProgress: () => void,
): Promise<AttemptError> {
  const rejected = response.statusCode === HTTP_TOO_MANY_REQUESTS ||
    response.statusCode === HTTP_SERVICE_UNAVAILABLE;
  await readText(response, onProgress);
  return new AttemptError(
    rejected ? AttemptOutcome.Rejected : AttemptOutcome.Failed,
    `The endpoint answered ${response.statusCode}`,
  );
}

async function readJson(
  response: IncomingMessage,
  onProgress: () => void,
): Promise<StageResponse> {
  const body = parseObject(await readText(response, onProgress));
  if (body === undefined || !("output" in body)) {
    throw new AttemptError(
      AttemptOutcome.Failed,
      "The endpoint's answer has no output",
    );
  }
  const cost = "cost" in body ? Number(body.cost) : 0;
  return { output: body.output, cost };
}

function parseObject(text: string): object | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === "object" && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Sends attempts to endpoints over Node's `http`. An attempt never rejects: it
 * ends in one of the ways of {@linkcode AttemptEnd}, and says whether the call
 * may have reached the endpoint.
 */
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { EndpointProtocol } from "../records/types.ts";
import {
  type Attempt,
  AttemptEnd,
  AttemptError,
  type AttemptResult,
  type StageAnswer,
} from "./attempt.ts";
import { readCompletions } from "./completions.ts";
import type { EndpointConnections } from "./endpoint_connections.ts";
import { LOAD_HEADER, parseLoadReport } from "./load_report.ts";

/** Runs attempts. */
export type CallEndpoint = (attempt: Attempt) => Promise<AttemptResult>;

/** How long an endpoint may take to end an answer that is whole. */
const REST_LIMIT_MS = 1_000;
const STATUS_OK = 200;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_SERVICE_UNAVAILABLE = 503;
const HEADER_REQUEST_ID = "x-request-id";
const HEADER_LEAVING = "endpoint-leaving";

/** Creates the function that runs attempts. */
export function createEndpointClient(
  connections: EndpointConnections,
  now: () => number,
): CallEndpoint {
  return (attempt) => new RunningAttempt(attempt, connections, now).run();
}

class RunningAttempt {
  readonly #attempt: Attempt;
  readonly #connections: EndpointConnections;
  readonly #now: () => number;
  readonly #started_ms: number;
  #sent = false;
  #first_byte_ms = 0;
  #incoming: IncomingMessage | undefined;
  #progressTimer: NodeJS.Timeout | undefined;
  #ended: AttemptEnd | undefined;

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
    const outgoing = this.#open();
    const cancel = () => this.#stop(outgoing, AttemptEnd.Cancelled);
    const timer = setTimeout(
      () => this.#stop(outgoing, AttemptEnd.Silent),
      this.#attempt.timeout_ms,
    );
    this.#attempt.signal.addEventListener("abort", cancel, { once: true });
    try {
      const answer = await this.#exchange(outgoing);
      this.#keepConnection(outgoing);
      return this.#result(AttemptEnd.Done, answer);
    } catch (error) {
      outgoing.destroy();
      return this.#failure(error as Error);
    } finally {
      clearTimeout(timer);
      clearTimeout(this.#progressTimer);
      this.#attempt.signal.removeEventListener("abort", cancel);
    }
  }

  #open(): ClientRequest {
    const { endpoint, pool, idempotent } = this.#attempt;
    const body = requestBody(this.#attempt);
    const { ip, port } = this.#connections.target(
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
      if (!socket.connecting) this.#sent = true;
      else socket.once("connect", () => this.#sent = true);
    });
    outgoing.end(body);
    return outgoing;
  }

  async #exchange(outgoing: ClientRequest): Promise<StageAnswer> {
    if (this.#attempt.signal.aborted) {
      throw new AttemptError(AttemptEnd.Cancelled, "Cancelled before sending");
    }
    this.#watchProgress(outgoing);
    const incoming = await responseOf(outgoing);
    this.#incoming = incoming;
    this.#first_byte_ms = this.#now() - this.#started_ms;
    this.#checkOwner(incoming);
    if (incoming.statusCode !== STATUS_OK) throw await statusError(incoming);
    if (this.#attempt.pool.protocol === EndpointProtocol.Json) {
      return await readJson(incoming);
    }
    return await readCompletions(incoming, {
      onText: this.#attempt.onText,
      onWaiting: () => clearTimeout(this.#progressTimer),
      onProgress: () => this.#watchProgress(outgoing),
    });
  }

  /** Reads what is left of a whole answer, so that the connection is free. */
  #keepConnection(outgoing: ClientRequest): void {
    const incoming = this.#incoming;
    if (incoming === undefined || incoming.readableEnded) return;
    const timer = setTimeout(() => outgoing.destroy(), REST_LIMIT_MS);
    incoming.once("close", () => clearTimeout(timer));
    incoming.on("error", () => {});
    incoming.resume();
  }

  #watchProgress(outgoing: ClientRequest): void {
    clearTimeout(this.#progressTimer);
    this.#progressTimer = setTimeout(
      () => this.#stop(outgoing, AttemptEnd.Silent),
      this.#attempt.pool.progress_timeout_ms,
    );
  }

  #stop(outgoing: ClientRequest, end: AttemptEnd): void {
    this.#ended ??= end;
    if (end === AttemptEnd.Silent) {
      this.#connections.replace(this.#attempt.endpoint.address);
    }
    const error = new AttemptError(this.#ended, `The attempt is ${end}`);
    this.#incoming?.destroy(error);
    outgoing.destroy(error);
  }

  #checkOwner(incoming: IncomingMessage): void {
    const { attempt_id, pool } = this.#attempt;
    const echoed = incoming.headers[HEADER_REQUEST_ID];
    if (echoed === attempt_id) return;
    if (echoed === undefined && !pool.echoes_request_id) return;
    this.#connections.replace(this.#attempt.endpoint.address);
    throw new AttemptError(
      AttemptEnd.Crossed,
      `The answer is for ${echoed ?? "an unnamed request"}`,
    );
  }

  #failure(error: Error): AttemptResult {
    const end = this.#ended ??
      (error instanceof AttemptError ? error.end : AttemptEnd.Cut);
    const nothing = { output: undefined, cost: 0 };
    return { ...this.#result(end, nothing), message: error.message };
  }

  #result(end: AttemptEnd, answer: StageAnswer): AttemptResult {
    const headers = this.#incoming?.headers;
    return {
      end,
      sent: this.#sent,
      output: answer.output,
      cost: answer.cost,
      elapsed_ms: this.#now() - this.#started_ms,
      first_byte_ms: this.#first_byte_ms,
      load: parseLoadReport(headers?.[LOAD_HEADER]),
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

function responseOf(outgoing: ClientRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    outgoing.once("response", resolve);
    outgoing.on("error", reject);
  });
}

async function statusError(incoming: IncomingMessage): Promise<AttemptError> {
  const refused = incoming.statusCode === STATUS_TOO_MANY_REQUESTS ||
    incoming.statusCode === STATUS_SERVICE_UNAVAILABLE;
  await readText(incoming);
  return new AttemptError(
    refused ? AttemptEnd.Refused : AttemptEnd.Failed,
    `The endpoint answered ${incoming.statusCode}`,
  );
}

async function readJson(incoming: IncomingMessage): Promise<StageAnswer> {
  const answer = parseObject(await readText(incoming));
  if (answer === undefined || !("output" in answer)) {
    throw new AttemptError(
      AttemptEnd.Failed,
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

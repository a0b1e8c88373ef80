/**
 * Stand-in for an endpoint of the deployment platform: a service that responds
 * in one body, a model engine that streams events, or a service that computes
 * pieces. It records what it receives and injects faults on demand.
 */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Fault that the engine injects into its next requests. */
export enum EngineFault {
  None = "none",
  /** Rejects the request as not executed, because it is at capacity. */
  Full = "full",
  /** Rejects the request with status 503, without saying that it has not run. */
  Refused = "refused",
  /** Responds with status 500, or fails every piece of a call. */
  Error = "error",
  /** Executes the request and resets the connection before responding. */
  ResponseLost = "answer_lost",
  /** Executes the request and never responds. */
  NoResponse = "mute",
  /** Closes the connection within the second event of a stream. */
  StreamTruncated = "cut",
  /** Sends a second, unrequested response after the first. */
  ExtraResponse = "extra",
  /** Responds with the attempt id of another request. */
  MismatchedId = "foreign",
  /** Resets the connection within a response that has no content length. */
  UnframedReset = "unframed_reset",
  /** Rejects the request because a result that it needs no longer exists. */
  InputsGone = "inputs_gone",
  /**
   * Executes the request, but first writes an earlier refusal once more, if the
   * connection is in use again.
   */
  RepeatedRefusal = "repeated_refusal",
  /** Writes small chunks of a body without end, until its caller closes. */
  EndlessBody = "endless_body",
}

/** A refusal that was given before, as it is written once more. */
export interface RepeatedRefusal {
  status: number;
  /** Attempt id that it bears; undefined without one. */
  attempt_id?: string;
  /** Whether it is an answer to a request that was executed. */
  executed?: boolean;
  signed?: boolean;
  /** Time from the arrival of the request until it is written. */
  delay_ms: number;
}

/** A request as the engine received it. */
export interface ReceivedRequest {
  method: string;
  target: string;
  headers: Record<string, string>;
  body: string;
}

/** A piece that the engine was asked to compute. */
export interface ReceivedPiece {
  id: string;
  stage: number;
  piece: number;
  key?: string;
  inputs?: string[];
}

/** Configuration of an engine. */
export interface EngineOptions {
  id: string;
  /** Events of each stream; 0, the default, responds in one body. */
  events?: number;
  /** Service time, and the time between events. */
  work_ms?: number;
  /** Time to compute the pieces of a call. */
  call_ms?: number;
  /** Id of the prompt part on which it crashes when it begins a response. */
  crash_part?: string;
  /** Body of the requests under which it crashes while it executes them. */
  crash_body?: string;
  /** Key of the pieces on which it crashes while it computes them. */
  crash_key?: string;
  /** Time from a crash until it listens again. */
  restart_ms?: number;
  /** Requests that it executes at a time; any number by default. */
  slots?: number;
}

const DEFAULT_RESTART_MS = 300;
const STREAM_TYPE = "text/event-stream";
const ENDLESS_CHUNKS = Buffer.from("5\r\nxxxxx\r\n".repeat(1_000));
/** Pause between two writes of endless chunks. */
const ENDLESS_INTERVAL_MS = 10;

/** An engine stand-in that listens in this process. */
export class Engine {
  readonly id: string;
  address = "";
  fault = EngineFault.None;
  /** Number of requests that the fault still applies to. */
  remainingFaults = Infinity;
  receivedRequests: ReceivedRequest[] = [];
  /** The pieces of each call for pieces. */
  pieceCalls: ReceivedPiece[][] = [];
  /** Handles of the results that were freed. */
  freed: string[] = [];
  /** Requests whose connection closed before the response was complete. */
  abortedRequests = 0;
  /** Calls for pieces whose connection closed before the response. */
  abortedCalls = 0;
  /** Connections accepted so far. */
  connections = 0;
  /** Requests per second that its responses allow; undefined names none. */
  rate_limit_per_s: number | string | undefined;
  /**
   * Written as it is in place of every response, with the attempt id for `{id}`;
   * the connection stays open.
   */
  raw_response: string | undefined;
  /** Seconds for which its rejections with status 503 want no requests. */
  retry_after: string | undefined;
  /** Whether its responses say that it is leaving; undefined says nothing. */
  leaving: string | undefined;
  /** Time for which its responses say that it stays cold; undefined says nothing. */
  cold_ms: string | undefined;
  /** Arrivals of requests and of calls for pieces, as `performance.now()`. */
  arrivals_ms: number[] = [];
  /** Until when it neither answers nor goes on, as `performance.now()`. */
  silentUntil_ms = 0;
  /** Whether it doesn't answer when it is asked for its status. */
  hidesStatus = false;
  /** Crashes so far. */
  crashes = 0;
  /** What the fault `RepeatedRefusal` writes. */
  repeatedRefusal: RepeatedRefusal = { status: 503, delay_ms: 0 };
  /** Refusals that were written once more so far. */
  repeatedRefusals = 0;
  /** Whether its refusals echo the attempt id. */
  refusalsEchoId = true;
  /** When it started, as it says itself; Unix time in milliseconds. */
  born_ms = 1;
  /** Software version, which its events name; undefined names none. */
  software_version: string | undefined;
  /**
   * Rejections for want of room in a second that it says it can bear; undefined
   * says nothing.
   */
  max_rejections_per_s: number | undefined;
  /** Whether it crashes when it rejects more than it says it can bear. */
  crashesOnRejections = false;
  /** Requests beyond its slots that may wait. */
  queue = Infinity;
  /** Rejections for want of room, as `performance.now()`. */
  rejections_ms: number[] = [];
  /** Called when it has received a request that it executes. */
  onReceived: () => void = () => {};
  /** Called when it listens again after a crash. */
  onRestart: () => void = () => {};
  #options: EngineOptions;
  #computedPieces = 0;
  #running = 0;
  /** Each resolves to whether the request got a slot. */
  #waiting: ((isRun: boolean) => void)[] = [];
  #sockets = new Set<Socket>();
  /** Connections that have had a response. */
  #answeredSockets = new WeakSet<Socket>();
  #restartTimer: NodeJS.Timeout | undefined;
  #server = createServer((request, response) => {
    void this.#handle(request, response);
  });

  constructor(options: EngineOptions) {
    this.id = options.id;
    this.#options = options;
    this.#server.on("connection", (socket) => {
      this.connections += 1;
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
  }

  /** Requests that it executes at a time; undefined for any number. */
  get slots(): number | undefined {
    return this.#options.slots;
  }

  /** Listens on a free port of the loopback address. */
  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  /** Stops listening and closes every connection. */
  stop(): void {
    clearTimeout(this.#restartTimer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Resets every connection. */
  breakConnections(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Resets every connection and refuses new ones until it has restarted. */
  crash(): void {
    if (!this.#server.listening) return;
    this.crashes += 1;
    for (const resolve of this.#waiting.splice(0)) resolve(false);
    const { port } = this.#server.address() as AddressInfo;
    this.#server.close();
    this.breakConnections();
    this.#restartTimer = setTimeout(
      () => this.#restart(port),
      this.#options.restart_ms ?? DEFAULT_RESTART_MS,
    );
  }

  /** Listens at its port again, or at another if that is taken meanwhile. */
  #restart(port: number): void {
    this.#server.once("error", () => this.#restart(0));
    this.#server.listen(port, "127.0.0.1", () => {
      this.#server.removeAllListeners("error");
      const address = this.#server.address() as AddressInfo;
      this.born_ms = Date.now();
      this.address = `127.0.0.1:${address.port}`;
      this.onRestart();
    });
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString();
    if (request.url === "/v1/report") {
      if (this.hidesStatus) return;
      response.writeHead(200, { "content-type": "application/json" });
      return void response.end(JSON.stringify({ born: this.born_ms }));
    }
    this.arrivals_ms.push(performance.now());
    await this.#endOfSilence();
    if (this.rate_limit_per_s !== undefined) {
      response.setHeader("server-limit", String(this.rate_limit_per_s));
    }
    if (this.cold_ms !== undefined) {
      response.setHeader("x-cold-ms", this.cold_ms);
    }
    if (this.max_rejections_per_s !== undefined) {
      response.setHeader("server-brittle", String(this.max_rejections_per_s));
    }
    response.once("finish", () => this.#answeredSockets.add(request.socket));
    if (this.leaving !== undefined) {
      response.setHeader("server-leaving", this.leaving);
    }
    const expected = request.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {
        ...this.#echoedId(request),
        "x-instance-id": this.id,
      });
      return void response.end();
    }
    if (request.url === "/v1/stage-run") {
      return this.#computePieces(request, response, body);
    }
    if (request.url === "/v1/stage-free") {
      if (this.retry_after !== undefined) {
        const fault = this.#nextFault();
        if (fault === EngineFault.Full) {
          return this.#reject(request, response, fault);
        }
      }
      this.freed.push(...JSON.parse(body).handles);
      return void response.writeHead(200).end("{}");
    }
    if (this.#options.slots === undefined) {
      return await this.#respond(request, response, body);
    }
    if (this.#isFull) return this.#rejectForWantOfRoom(request, response);
    if (!await this.#takeSlot(response)) return;
    try {
      await this.#respond(request, response, body);
    } finally {
      this.#freeSlot();
    }
  }

  /** Its load as its responses name it. */
  get #load(): string {
    const { slots } = this.#options;
    if (slots === undefined) return "1,0,8";
    return `${this.#running},${this.#waiting.length},${slots}`;
  }

  get #isFull(): boolean {
    const { slots = Infinity } = this.#options;
    return this.#running >= slots && this.#waiting.length >= this.queue;
  }

  /** Resolves to whether the request got a slot; not if its caller has left. */
  async #takeSlot(response: ServerResponse): Promise<boolean> {
    const { slots = Infinity } = this.#options;
    if (this.#running < slots) {
      this.#running += 1;
      return true;
    }
    return await new Promise((resolve) => {
      this.#waiting.push(resolve);
      response.once("close", () => {
        const index = this.#waiting.indexOf(resolve);
        if (index < 0) return;
        this.#waiting.splice(index, 1);
        resolve(false);
      });
    });
  }

  #freeSlot(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#running -= 1;
    else next(true);
  }

  /** Crashes if it has rejected more in the last second than it can. */
  #rejectForWantOfRoom(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const now_ms = performance.now();
    this.rejections_ms.push(now_ms);
    this.#reject(request, response, EngineFault.Full);
    const inLastSecond = this.rejections_ms
      .filter((at_ms) => at_ms > now_ms - 1_000).length;
    const max = this.max_rejections_per_s ?? Infinity;
    if (this.crashesOnRejections && inLastSecond > max) this.crash();
  }

  async #endOfSilence(): Promise<void> {
    while (performance.now() < this.silentUntil_ms) {
      await sleep(Math.ceil(this.silentUntil_ms - performance.now()));
    }
  }

  #nextFault(): EngineFault {
    if (this.fault === EngineFault.None || this.remainingFaults <= 0) {
      return EngineFault.None;
    }
    this.remainingFaults -= 1;
    return this.fault;
  }

  #reject(
    request: IncomingMessage,
    response: ServerResponse,
    fault: EngineFault,
  ): void {
    if (this.#options.slots !== undefined) {
      response.setHeader("x-instance-load", this.#load);
    }
    if (fault === EngineFault.Full) response.setHeader("x-not-executed", "1");
    if (this.retry_after !== undefined) {
      response.setHeader("retry-after", this.retry_after);
    }
    response.writeHead(503, this.#echoedId(request)).end();
  }

  async #respond(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const fault = this.#nextFault();
    if (fault === EngineFault.Full || fault === EngineFault.Refused) {
      return this.#reject(request, response, fault);
    }
    if (fault === EngineFault.InputsGone) {
      const headers = { ...this.#echoedId(request), "x-not-executed": "1" };
      return void response.writeHead(409, headers).end();
    }
    this.receivedRequests.push({
      method: request.method ?? "",
      target: request.url ?? "",
      headers: request.headers as Record<string, string>,
      body,
    });
    this.onReceived();
    response.once("close", () => {
      if (!response.writableFinished) this.abortedRequests += 1;
    });
    if (fault === EngineFault.RepeatedRefusal) {
      await this.#repeatRefusal(request.socket);
    }
    await sleep(this.#options.work_ms ?? 0);
    await this.#endOfSilence();
    if (body === this.#options.crash_body) return this.crash();
    if (fault === EngineFault.NoResponse) return;
    if (fault === EngineFault.ResponseLost) {
      return void request.socket.resetAndDestroy();
    }
    const id = String(request.headers["x-attempt-id"]);
    const headers = {
      "x-attempt-id": fault === EngineFault.MismatchedId ? "another" : id,
      "x-response-signature": `signed-by-${this.id}`,
      "x-instance-load": this.#load,
    };
    if (this.raw_response !== undefined) {
      const text = this.raw_response.replaceAll("{id}", id);
      return void request.socket.write(text, "latin1");
    }
    if (fault === EngineFault.Error) {
      return void response.writeHead(500, headers).end("failed");
    }
    if (fault === EngineFault.UnframedReset) {
      const { socket } = request;
      socket.write(
        `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\n` +
          `x-response-signature: s\r\nconnection: close\r\n\r\nhalf`,
      );
      await sleep(20);
      return void socket.resetAndDestroy();
    }
    if (fault === EngineFault.EndlessBody) {
      return await writeWithoutEnd(request.socket, headers);
    }
    const { events = 0, crash_part } = this.#options;
    if (
      crash_part !== undefined &&
      String(request.headers["x-prompt-prefix"]).includes(`${crash_part}:`)
    ) {
      response.writeHead(200, { ...headers, "content-type": STREAM_TYPE });
      response.flushHeaders();
      await sleep(2);
      return this.crash();
    }
    if (events > 0) {
      const lastEventId = Number(request.headers["last-event-id"] ?? 0);
      return await this.#stream(response, { headers, lastEventId, fault });
    }
    response.writeHead(200, { ...headers, "content-type": "text/plain" });
    response.end(`${this.id}:${body}`);
    if (fault === EngineFault.ExtraResponse) {
      await sleep(10);
      request.socket.write(
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore",
      );
    }
  }

  /** The header with which a refusal echoes the attempt id. */
  #echoedId(request: IncomingMessage): Record<string, string> {
    const id = request.headers["x-attempt-id"];
    if (!this.refusalsEchoId || id === undefined) return {};
    return { "x-attempt-id": String(id) };
  }

  async #repeatRefusal(socket: Socket): Promise<void> {
    if (!this.#answeredSockets.has(socket)) return;
    const { status, attempt_id, executed, signed, delay_ms } =
      this.repeatedRefusal;
    await sleep(delay_ms);
    this.repeatedRefusals += 1;
    const headers = [
      ...(attempt_id === undefined ? [] : [`X-Attempt-Id: ${attempt_id}`]),
      ...(executed ? [] : ["X-Not-Executed: 1"]),
      ...(signed ? ["X-Response-Signature: s"] : []),
      "Content-Length: 0",
    ];
    socket.write(
      `HTTP/1.1 ${status} Refused\r\n${headers.join("\r\n")}\r\n\r\n`,
    );
  }

  async #stream(
    response: ServerResponse,
    { headers, lastEventId, fault }: {
      headers: Record<string, string>;
      lastEventId: number;
      fault: EngineFault;
    },
  ): Promise<void> {
    response.writeHead(200, {
      ...headers,
      "content-type": STREAM_TYPE,
    });
    const { events = 0, work_ms = 0 } = this.#options;
    for (let id = lastEventId + 1; id <= events; id++) {
      if (response.destroyed) return;
      if (fault === EngineFault.StreamTruncated && id === lastEventId + 2) {
        response.write(`id: ${id}\nda`);
        await sleep(10);
        return void response.destroy();
      }
      const data = [id, this.software_version ?? []].flat().join(" ");
      response.write(`id: ${id}\ndata: ${data}\n\n`);
      await sleep(work_ms);
      await this.#endOfSilence();
    }
    response.end();
  }

  async #computePieces(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const fault = this.#nextFault();
    if (fault === EngineFault.Full || fault === EngineFault.Refused) {
      return this.#reject(request, response, fault);
    }
    const pieces = JSON.parse(body).items as ReceivedPiece[];
    this.pieceCalls.push(pieces);
    response.once("close", () => {
      if (!response.writableFinished) this.abortedCalls += 1;
    });
    await sleep(this.#options.call_ms ?? 0);
    await this.#endOfSilence();
    const { crash_key } = this.#options;
    if (
      crash_key !== undefined && pieces.some(({ key }) => key === crash_key)
    ) {
      return this.crash();
    }
    if (fault === EngineFault.NoResponse) return;
    const items = pieces.map(() =>
      fault === EngineFault.Error
        ? { reason: "error" }
        : { handle: `${this.address}/${this.#computedPieces++}` }
    );
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({ items }));
  }
}

async function writeWithoutEnd(
  socket: Socket,
  headers: Record<string, string>,
): Promise<void> {
  const lines = Object.entries({
    ...headers,
    "content-type": STREAM_TYPE,
    "transfer-encoding": "chunked",
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write(`HTTP/1.1 200 OK\r\n${lines.join("")}\r\n`);
  while (!socket.destroyed) {
    if (!socket.writableNeedDrain) socket.write(ENDLESS_CHUNKS);
    await sleep(ENDLESS_INTERVAL_MS);
  }
}

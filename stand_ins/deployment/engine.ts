/**
 * Stand-in for an engine of the users: a plain service, a model engine that
 * streams events, or a service that makes pieces. It writes down what it was
 * asked and can be told to fail.
 */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** What the engine does with its next requests. */
export enum EngineFault {
  None = "none",
  /** Says that it is full. */
  Full = "full",
  /** Fails with a status of its own. */
  Error = "error",
  /** Runs the request and resets the connection. */
  ResponseLost = "answer_lost",
  /** Runs the request and says nothing. */
  NoResponse = "mute",
  /** Breaks a stream off inside its second event. */
  StreamTruncated = "cut",
  /** Sends a second answer after the first. */
  ExtraResponse = "extra",
  /** Answers with the id of another request. */
  MismatchedId = "foreign",
  /** Answers without a length and resets the connection half-way. */
  UnframedReset = "unframed_reset",
  /** Says that a result which it needs is gone. */
  InputsGone = "inputs_gone",
}

/** A request as the engine got it. */
export interface ReceivedRequest {
  method: string;
  target: string;
  headers: Record<string, string>;
  body: string;
}

/** A piece that the engine was asked for. */
export interface ReceivedPiece {
  id: string;
  stage: number;
  piece: number;
  key?: string;
  inputs?: string[];
}

/** How the engine is set up. */
export interface EngineOptions {
  id: string;
  /** Events of a stream; 0 answers whole. */
  events?: number;
  /** Time between events, or of a whole answer, in milliseconds. */
  work_ms?: number;
  /** Time of a call that makes pieces, in milliseconds. */
  call_ms?: number;
}

/** See the module's comment. */
export class Engine {
  readonly id: string;
  address = "";
  fault = EngineFault.None;
  /** How many requests the fault applies to. */
  remainingFaults = Infinity;
  receivedRequests: ReceivedRequest[] = [];
  /** Calls that made pieces, with the pieces of each. */
  pieceCalls: ReceivedPiece[][] = [];
  freed: string[] = [];
  /** Requests whose connection closed before they were done. */
  abortedRequests = 0;
  connections = 0;
  #options: EngineOptions;
  #made = 0;
  #server = createServer((request, response) => {
    void this.#handle(request, response);
  });

  constructor(options: EngineOptions) {
    this.id = options.id;
    this.#options = options;
    this.#server.on("connection", () => this.connections += 1);
  }

  /** Listens on a free port of the loopback address. */
  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  /** Closes every connection. */
  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString();
    const expected = request.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "x-instance-id": this.id });
      return void response.end();
    }
    if (request.url === "/v1/stage-run") {
      return this.#makePieces(response, body);
    }
    if (request.url === "/v1/stage-free") {
      this.freed.push(...JSON.parse(body).handles);
      return void response.writeHead(200).end("{}");
    }
    await this.#answer(request, response, body);
  }

  #takeFault(): EngineFault {
    if (this.fault === EngineFault.None || this.remainingFaults <= 0) {
      return EngineFault.None;
    }
    this.remainingFaults -= 1;
    return this.fault;
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const fault = this.#takeFault();
    const notRun = { "x-not-executed": "1" };
    if (fault === EngineFault.Full) {
      return void response.writeHead(503, notRun).end();
    }
    if (fault === EngineFault.InputsGone) {
      return void response.writeHead(409, notRun).end();
    }
    this.receivedRequests.push({
      method: request.method ?? "",
      target: request.url ?? "",
      headers: request.headers as Record<string, string>,
      body,
    });
    response.once("close", () => {
      if (!response.writableFinished) this.abortedRequests += 1;
    });
    await sleep(this.#options.work_ms ?? 0);
    if (fault === EngineFault.NoResponse) return;
    if (fault === EngineFault.ResponseLost) {
      return void request.socket.resetAndDestroy();
    }
    const id = String(request.headers["x-attempt-id"]);
    const headers = {
      "x-attempt-id": fault === EngineFault.MismatchedId ? "another" : id,
      "x-response-signature": `signed-by-${this.id}`,
      "x-instance-load": "1,0,8",
    };
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
    const { events = 0 } = this.#options;
    if (events > 0) {
      const after = Number(request.headers["last-event-id"] ?? 0);
      return await this.#stream(response, { headers, after, fault });
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

  async #stream(
    response: ServerResponse,
    { headers, after, fault }: {
      headers: Record<string, string>;
      after: number;
      fault: EngineFault;
    },
  ): Promise<void> {
    response.writeHead(200, {
      ...headers,
      "content-type": "text/event-stream",
    });
    const { events = 0, work_ms = 0 } = this.#options;
    for (let id = after + 1; id <= events; id++) {
      if (response.destroyed) return;
      if (fault === EngineFault.StreamTruncated && id === after + 2) {
        response.write(`id: ${id}\nda`);
        await sleep(10);
        return void response.destroy();
      }
      response.write(`id: ${id}\ndata: ${id}\n\n`);
      await sleep(work_ms);
    }
    response.end();
  }

  async #makePieces(response: ServerResponse, body: string): Promise<void> {
    const fault = this.#takeFault();
    if (fault === EngineFault.Full) {
      return void response.writeHead(503, { "x-not-executed": "1" }).end();
    }
    const pieces = JSON.parse(body).items as ReceivedPiece[];
    this.pieceCalls.push(pieces);
    await sleep(this.#options.call_ms ?? 0);
    if (fault === EngineFault.NoResponse) return;
    const items = pieces.map(() =>
      fault === EngineFault.Error
        ? { reason: "error" }
        : { handle: `${this.address}/${this.#made++}` }
    );
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({ items }));
  }
}

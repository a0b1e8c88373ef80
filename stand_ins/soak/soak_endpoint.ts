/**
 * Stand-in for an endpoint in a soak. Each event names its software version, its
 * run and the event after which the run began, so that a caller can tell from the
 * events alone how its stream came about.
 */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { EventLog } from "./event_log.ts";
import { resetSocket } from "./reset_socket.ts";

/** Events of each stream. */
export const EVENTS = 20;
const GAP_MS = 80;
/** Time that a request without a stream takes. */
const WORK_MS = 60;
const SLOTS = 40;

/** A request that an endpoint has run. */
export interface EndpointRun {
  attempt_id: string;
  path: string;
  began_ms: number;
  /** When its response or its connection ended; Infinity while it runs. */
  ended_ms: number;
}

/** A running endpoint. */
export class SoakEndpoint {
  readonly id: string;
  version: string;
  /** When it started, as it says itself; Unix time in milliseconds. */
  born_ms = Date.now();
  /** `ip:port` at which it listens. */
  address = "";
  /** Number of requests that break next, streams within an event. */
  breaks = 0;
  readonly runs: EndpointRun[] = [];
  #log: EventLog;
  #sockets = new Set<Socket>();
  #server: Server | undefined;
  #isRestarting = false;

  constructor(id: string, version: string, log: EventLog) {
    this.id = id;
    this.version = version;
    this.#log = log;
  }

  /** Listens, at the same port as before if there was one. */
  async start(): Promise<void> {
    this.#server = createServer((request, response) =>
      void this.#handle(request, response)
    );
    this.#server.keepAliveTimeout = 30_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    this.#server.listen(Number(this.address.split(":")[1] ?? 0), "127.0.0.1");
    await once(this.#server, "listening");
    this.address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Stops listening and resets every connection. */
  stop(): void {
    this.#server?.close();
    for (const socket of this.#sockets) resetSocket(socket);
  }

  /** Whether it is down for a restart. */
  get isRestarting(): boolean {
    return this.#isRestarting;
  }

  /** Starts again under its id, with this software. */
  async restart(version: string, down_ms: number): Promise<void> {
    this.#isRestarting = true;
    this.stop();
    await sleep(down_ms);
    this.version = version;
    this.born_ms = Date.now();
    await this.start();
    this.#isRestarting = false;
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    response.on("error", () => {});
    request.on("error", () => {});
    request.resume();
    await once(request, "end").catch(() => {});
    if (!request.complete) return;
    if (request.url === "/v1/report") {
      return void response.end(JSON.stringify({ born: this.born_ms }));
    }
    const attempt_id = String(request.headers["x-attempt-id"]);
    const headers = {
      "x-attempt-id": attempt_id,
      "x-instance-id": this.id,
      "x-instance-load": `${this.#runningCount},0,${SLOTS}`,
    };
    if (request.headers["x-expect-instance"] !== this.id) {
      return void response.writeHead(421, { ...headers, "x-not-executed": "1" })
        .end();
    }
    const run = this.#recordRun(attempt_id, request);
    response.once("close", () => run.ended_ms = performance.now());
    const signed = {
      ...headers,
      "x-response-signature": `signed-by-${this.id}`,
    };
    if (run.path.startsWith("/draft/")) {
      return await this.#stream(run, { request, response, headers: signed });
    }
    await sleep(WORK_MS);
    if (this.#takeBreak()) return void resetSocket(request.socket);
    response.writeHead(200, signed).end("done");
  }

  get #runningCount(): number {
    return this.runs.filter(({ ended_ms }) => ended_ms === Infinity).length;
  }

  #recordRun(
    attempt_id: string,
    { url = "", headers }: IncomingMessage,
  ): EndpointRun {
    const run = {
      attempt_id,
      path: url,
      began_ms: performance.now(),
      ended_ms: Infinity,
    };
    this.runs.push(run);
    this.#log.add(
      `run endpoint=${this.id} version=${this.version} run=${
        this.#nameOf(run)
      } ` +
        `attempt=${attempt_id} path=${url} after=${
          headers["last-event-id"] ?? 0
        }`,
    );
    return run;
  }

  #nameOf(run: EndpointRun): string {
    return `${this.id}.${this.runs.indexOf(run)}`;
  }

  #takeBreak(): boolean {
    if (this.breaks <= 0) return false;
    this.breaks -= 1;
    return true;
  }

  async #stream(
    run: EndpointRun,
    { request, response, headers }: {
      request: IncomingMessage;
      response: ServerResponse;
      headers: Record<string, string>;
    },
  ): Promise<void> {
    const { version } = this;
    const after = Number(request.headers["last-event-id"] ?? 0);
    response.writeHead(200, {
      ...headers,
      "content-type": "text/event-stream",
    });
    for (let id = after + 1; id <= EVENTS; id++) {
      if (run.ended_ms < Infinity) return;
      if (this.#takeBreak()) {
        response.write(`id: ${id}\nda`);
        await sleep(10);
        return void resetSocket(request.socket);
      }
      response.write(
        `id: ${id}\ndata: ${version} ${this.#nameOf(run)} ${after}\n\n`,
      );
      await sleep(GAP_MS);
    }
    response.end();
  }
}

/**
 * A caller that writes raw requests to one connection and reports what came back
 * for each of them, complete or not.
 */
import { connect, type Socket } from "node:net";
import { once } from "node:events";

/** How a request ended, as its caller saw it. */
export enum CallerView {
  /** A complete response. */
  Complete = "complete",
  /** The connection closed within the response. */
  Cut = "cut",
  /** The connection closed without a byte. */
  Nothing = "nothing",
  /** Neither a complete response nor a close within the time limit. */
  Open = "open",
}

/** What a caller received for one request. */
export interface RawOutcome {
  view: CallerView;
  status: number | undefined;
  text: string;
}

const VIEW_TIMEOUT_MS = 10_000;
const LAST_CHUNK = "0\r\n\r\n";

/** One connection of a caller. */
export class RawCaller {
  #socket: Socket;
  #received = "";
  #closed = false;
  #wake: () => void = () => {};

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.setEncoding("latin1");
    socket.on("data", (text: string) => {
      this.#received += text;
      this.#wake();
    });
    socket.on("error", () => {});
    socket.on("end", () => this.#close());
    socket.on("close", () => this.#close());
  }

  /** Opens a connection to `ip:port`. */
  static async open(address: string): Promise<RawCaller> {
    const [host, port] = address.split(":");
    const socket = connect({
      host,
      port: Number(port),
      noDelay: true,
      allowHalfOpen: true,
    });
    await once(socket, "connect");
    return new RawCaller(socket);
  }

  /** Whether the host has closed the connection. */
  get closed(): boolean {
    return this.#closed;
  }

  /** The bytes received for the current request. */
  get received(): string {
    return this.#received;
  }

  /** Writes bytes. */
  write(text: string): void {
    this.#socket.write(text);
  }

  /** Closes the connection. */
  close(): void {
    this.#closed = true;
    this.#socket.destroy();
  }

  /** Waits for the end of the current response. */
  async outcome(timeout_ms = VIEW_TIMEOUT_MS): Promise<RawOutcome> {
    const end_ms = performance.now() + timeout_ms;
    while (!this.#closed && !isComplete(this.#received)) {
      const left_ms = end_ms - performance.now();
      if (left_ms <= 0) break;
      await this.#nextEvent(left_ms);
    }
    const text = this.#received;
    const status = /^HTTP\/1\.1 (\d+)/.exec(text)?.[1];
    const view = viewOf(text, this.#closed);
    this.#received = "";
    return {
      view,
      status: status === undefined ? undefined : Number(status),
      text,
    };
  }

  #close(): void {
    this.#closed = true;
    this.#wake();
  }

  #nextEvent(wait_ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, wait_ms);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}

function viewOf(text: string, closed: boolean): CallerView {
  if (isComplete(text)) return CallerView.Complete;
  if (!closed) return CallerView.Open;
  return text === "" ? CallerView.Nothing : CallerView.Cut;
}

function isComplete(text: string): boolean {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) return false;
  const head = text.slice(0, headEnd);
  const bodyLength = text.length - headEnd - 4;
  const length = /^content-length: *(\d+)/im.exec(head)?.[1];
  if (length !== undefined) return bodyLength >= Number(length);
  if (/^transfer-encoding: *chunked/im.test(head)) {
    return text.endsWith(LAST_CHUNK);
  }
  return false;
}

let attempts = 0;

/** A complete request with a small body to a path of the fleet's manifest. */
export function rawRequest(
  path: string,
  headers: Record<string, string> = {},
  body = "body",
): string {
  const lines = Object.entries({
    host: "fleet.example",
    "x-attempt-id": `raw-${attempts++}`,
    "x-key": "key-docks",
    "x-deadline-ms": "2000",
    "x-pieces": "1,1",
    "x-piece-key": "cafe",
    "content-length": String(Buffer.byteLength(body)),
    ...headers,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `POST ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body}`;
}

/** A server that answers every request with a beginning and endless bytes. */
import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** What the server writes. */
export interface EndlessServerOptions {
  beginning: string;
  /** Repeated without end, until the client closes the connection. */
  part: Buffer;
  /** Bytes per second on one connection; without it, as fast as possible. */
  bytes_per_s?: number;
}

const WRITE_INTERVAL_MS = 5;

/** A running server. */
export class EndlessServer {
  #options: EndlessServerOptions;
  #server: Server;
  #sockets = new Set<Socket>();
  #mostBytes = 0;

  constructor(options: EndlessServerOptions) {
    this.#options = options;
    this.#server = createServer((socket) => this.#serve(socket));
  }

  /** `ip:port`. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Number of connections that are still open. */
  get open(): number {
    return this.#sockets.size;
  }

  /** Bytes that the open connections took. */
  get openBytes(): number {
    return [...this.#sockets].reduce((sum, each) => sum + each.bytesWritten, 0);
  }

  /** Most bytes that one closed connection took. */
  get mostBytes(): number {
    return this.#mostBytes;
  }

  /** Starts to listen at a free port. */
  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
  }

  /** Closes everything. */
  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.once("close", () => {
      this.#sockets.delete(socket);
      this.#mostBytes = Math.max(this.#mostBytes, socket.bytesWritten);
    });
    socket.once("data", () => {
      socket.write(this.#options.beginning);
      if (this.#options.bytes_per_s === undefined) this.#flood(socket);
      else this.#writeAtRate(socket, this.#options.bytes_per_s);
    });
  }

  #flood(socket: Socket): void {
    const write = () => {
      while (!socket.destroyed && socket.write(this.#options.part));
    };
    socket.on("drain", write);
    write();
  }

  #writeAtRate(socket: Socket, bytes_per_s: number): void {
    const { part } = this.#options;
    const started_ms = performance.now();
    let sent = 0;
    const timer = setInterval(() => {
      const elapsed_ms = performance.now() - started_ms;
      while (
        !socket.writableNeedDrain && sent < elapsed_ms * bytes_per_s / 1_000
      ) {
        socket.write(part);
        sent += part.length;
      }
    }, WRITE_INTERVAL_MS);
    socket.once("close", () => clearInterval(timer));
  }
}

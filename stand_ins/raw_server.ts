/** A server that answers the first bytes of each connection with raw text. */
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/** A listening server; `answer` may change at any time. */
export class RawServer {
  answer = "";
  /** Port of the loopback address. */
  port = 0;
  #server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => socket.write(this.answer));
  });

  /** Listens on a free port. */
  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    this.port = (this.#server.address() as AddressInfo).port;
  }

  /** Stops listening. */
  stop(): void {
    this.#server.close();
  }
}

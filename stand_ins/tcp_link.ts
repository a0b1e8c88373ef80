/**
 * A stand-in for what lies between two ends of TCP connections. It can lose
 * one direction or both, of connections that are open or of all, without
 * closing them, as a device does that has lost track of a connection.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import { once } from "node:events";

/** Directions that a link can lose. */
export enum Direction {
  ToServer = "to_server",
  ToClient = "to_client",
  Both = "both",
}

interface Connection {
  lost: Direction | undefined;
  sockets: Socket[];
}

/** A link to one server. */
export class TcpLink {
  #server: Server;
  #connections = new Set<Connection>();
  #lost: Direction | undefined;
  #target: { host: string; port: number };

  constructor(target: string) {
    const [host = "", port] = target.split(":");
    this.#target = { host, port: Number(port) };
    this.#server = createServer((client) => this.#join(client));
  }

  /** Listens; gives the address to use in place of the server's. */
  async start(): Promise<string> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const address = this.#server.address();
    if (address === null || typeof address === "string") {
      throw new Error("The link has no address");
    }
    return `127.0.0.1:${address.port}`;
  }

  /** Loses a direction of every connection, open or new. */
  cut(direction: Direction): void {
    this.#lost = direction;
    this.silenceOpen(direction);
  }

  /** Loses a direction of the open connections for ever; new ones work. */
  silenceOpen(direction: Direction): void {
    for (const connection of this.#connections) connection.lost = direction;
  }

  /** New connections work again; lost ones stay lost. */
  heal(): void {
    this.#lost = undefined;
  }

  /** Closes everything. */
  stop(): void {
    this.#server.close();
    for (const { sockets } of this.#connections) {
      for (const socket of sockets) socket.destroy();
    }
  }

  #join(client: Socket): void {
    const server = connect(this.#target);
    const connection = { lost: this.#lost, sockets: [client, server] };
    this.#connections.add(connection);
    const passes = (direction: Direction) =>
      connection.lost !== direction && connection.lost !== Direction.Both;
    pass(client, server, () => passes(Direction.ToServer));
    pass(server, client, () => passes(Direction.ToClient));
    const close = () => {
      if (connection.lost !== undefined) return;
      client.destroy();
      server.destroy();
      this.#connections.delete(connection);
    };
    for (const socket of [client, server]) {
      socket.on("close", close);
      socket.on("error", close);
    }
  }
}

function pass(from: Socket, to: Socket, passes: () => boolean): void {
  from.on("data", (chunk) => {
    if (passes() && to.writable) to.write(chunk);
  });
}

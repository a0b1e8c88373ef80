/**
 * A TCP proxy that can silently drop the traffic of its connections without
 * closing them, as a NAT device or firewall does that has lost its state.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import { once } from "node:events";

/** Direction of the traffic that a link drops. */
export enum Direction {
  ToServer = "to_server",
  ToClient = "to_client",
  Both = "both",
}

/**
 * Not the address of outgoing connections, which might take the port of a link
 * while that refuses connections.
 */
const LINK_IP = "127.0.1.1";

interface Connection {
  dropped: Direction | undefined;
  sockets: Socket[];
}

/** A proxy to one server. */
export class TcpLink {
  /** Connections accepted so far. */
  accepted = 0;
  #server: Server;
  #connections = new Set<Connection>();
  #port = 0;
  /** What new connections drop. */
  #droppedOnNew: Direction | undefined;
  #target: { host: string; port: number };

  constructor(target: string) {
    const [host = "", port] = target.split(":");
    this.#target = { host, port: Number(port) };
    this.#server = createServer((client) => this.#proxy(client));
  }

  /** Starts listening; returns the address to use instead of the server's. */
  async start(): Promise<string> {
    this.#server.listen(0, LINK_IP);
    await once(this.#server, "listening");
    const address = this.#server.address();
    if (address === null || typeof address === "string") {
      throw new Error("The link has no address");
    }
    this.#port = address.port;
    return `${LINK_IP}:${address.port}`;
  }

  /** Drops the traffic in a direction on all open and new connections. */
  cut(direction: Direction): void {
    this.#droppedOnNew = direction;
    this.silenceOpen(direction);
  }

  /** Drops the traffic in a direction on the open connections, for good. */
  silenceOpen(direction: Direction): void {
    for (const connection of this.#connections) connection.dropped = direction;
  }

  /** Resets the open connections. */
  resetOpen(): void {
    for (const { sockets } of this.#connections) {
      for (const socket of sockets) socket.resetAndDestroy();
    }
    this.#connections.clear();
  }

  /** Refuses new connections; open ones stay as they are. */
  refuseNew(): void {
    this.#server.close();
  }

  /**
   * Accepts new connections and forwards their traffic again; open ones stay as
   * they are.
   */
  heal(): void {
    this.#droppedOnNew = undefined;
    if (!this.#server.listening) this.#server.listen(this.#port, LINK_IP);
  }

  /** Closes the listener and every connection. */
  stop(): void {
    this.#server.close();
    for (const { sockets } of this.#connections) {
      for (const socket of sockets) socket.destroy();
    }
  }

  #proxy(client: Socket): void {
    this.accepted += 1;
    const server = connect(this.#target);
    const connection = {
      dropped: this.#droppedOnNew,
      sockets: [client, server],
    };
    this.#connections.add(connection);
    const isForwarded = (direction: Direction) =>
      connection.dropped !== direction && connection.dropped !== Direction.Both;
    forward(client, server, () => isForwarded(Direction.ToServer));
    forward(server, client, () => isForwarded(Direction.ToClient));
    const close = () => {
      if (connection.dropped !== undefined) return;
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

function forward(from: Socket, to: Socket, isForwarded: () => boolean): void {
  from.on("data", (chunk) => {
    if (isForwarded() && to.writable) to.write(chunk);
  });
}

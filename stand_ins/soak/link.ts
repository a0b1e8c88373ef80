/**
 * A TCP proxy in front of one server. What a cut holds back is delivered when the
 * cut ends, as a network does that retransmits.
 */
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import {
  LinkFault,
  type LinkPlace,
  type NetworkFaults,
} from "./network_faults.ts";
import { resetSocket } from "./reset_socket.ts";

/** Where a link listens and what it leads to. */
export interface LinkOptions {
  place: LinkPlace;
  /** `ip:port` of the server. */
  target: () => string;
  /** By default any port of the loopback address. */
  listen?: { ip: string; port: number };
  faults: NetworkFaults;
}

const DELAY_MS = 250;

/** A running proxy. */
export class Link {
  /** `ip:port` at which clients reach the server. */
  address = "";
  #options: LinkOptions;
  #connections = new Set<LinkedConnection>();
  #server = createServer(
    { allowHalfOpen: true },
    (client) => this.#accept(client),
  );

  constructor(options: LinkOptions) {
    this.#options = options;
    options.faults.onChange(() => {
      for (const connection of this.#connections) connection.applyFault();
    });
  }

  /** Starts to listen. */
  async start(): Promise<void> {
    const { ip, port } = this.#options.listen ?? { ip: "127.0.0.1", port: 0 };
    this.#server.listen(port, ip);
    await once(this.#server, "listening");
    this.address = `${ip}:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Stops to listen and resets every connection. */
  stop(): void {
    this.#server.close();
    for (const connection of this.#connections) connection.reset();
  }

  #accept(client: Socket): void {
    const { faults, place, target } = this.#options;
    const source = client.remoteAddress ?? "";
    const find = () => faults.find(source, place);
    const fault = find();
    if (fault === LinkFault.Reset || fault === LinkFault.Refuse) {
      client.on("error", () => {});
      return void resetSocket(client);
    }
    const connection = new LinkedConnection(client, target(), find);
    this.#connections.add(connection);
    connection.onClosed(() => this.#connections.delete(connection));
  }
}

/** A client's connection and the one to the server. */
class LinkedConnection {
  #findFault: () => LinkFault | undefined;
  #sockets: Socket[];
  #flows: Flow[];

  constructor(
    client: Socket,
    target: string,
    findFault: () => LinkFault | undefined,
  ) {
    this.#findFault = findFault;
    const [host = "", port] = target.split(":");
    const server = connect({ host, port: Number(port), allowHalfOpen: true });
    this.#sockets = [client, server];
    const isHeld = (oneWay: LinkFault) => {
      const fault = findFault();
      return fault === LinkFault.Silent || fault === oneWay;
    };
    const delayMs = () => findFault() === LinkFault.Delay ? DELAY_MS : 0;
    const toServer = () => isHeld(LinkFault.SilentToServer);
    const toClient = () => isHeld(LinkFault.SilentToClient);
    this.#flows = [
      new Flow(client, server, { isHeld: toServer, delayMs }),
      new Flow(server, client, { isHeld: toClient, delayMs }),
    ];
  }

  /** Calls the listener when both sides are closed. */
  onClosed(listener: () => void): void {
    let open = this.#sockets.length;
    for (const socket of this.#sockets) {
      socket.once("close", () => {
        open -= 1;
        if (open === 0) listener();
      });
    }
  }

  /** Resets both connections. */
  reset(): void {
    for (const socket of this.#sockets) resetSocket(socket);
  }

  /** Follows a change of the cuts. */
  applyFault(): void {
    if (this.#findFault() === LinkFault.Reset) this.reset();
    else for (const flow of this.#flows) flow.pump();
  }
}

interface Passage {
  due_ms: number;
  pass: () => void;
}

/** What goes from one socket to another, in order. */
class Flow {
  #waiting: Passage[] = [];
  #isHeld: () => boolean;

  constructor(
    from: Socket,
    to: Socket,
    { isHeld, delayMs }: { isHeld: () => boolean; delayMs: () => number },
  ) {
    this.#isHeld = isHeld;
    const add = (pass: () => void) => {
      this.#waiting.push({ due_ms: performance.now() + delayMs(), pass });
      this.pump();
    };
    from.setNoDelay(true);
    from.on(
      "data",
      (bytes) => add(() => void (to.writable && to.write(bytes))),
    );
    from.on("end", () => add(() => void to.end()));
    from.on("error", () => {});
    from.on(
      "close",
      (hadError) =>
        add(() => void (hadError ? resetSocket(to) : to.destroySoon())),
    );
  }

  /** Passes on what is due. */
  pump(): void {
    while (!this.#isHeld()) {
      const [first] = this.#waiting;
      if (first === undefined) return;
      const wait_ms = first.due_ms - performance.now();
      if (wait_ms > 0) return void setTimeout(() => this.pump(), wait_ms);
      this.#waiting.shift();
      first.pass();
    }
  }
}

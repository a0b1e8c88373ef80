/**
 * Stand-in for the users' metadata store, in this process: objects by kind and
 * name, one revision counter, pages, watches and a history that can be lost.
 */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** How the store misbehaves. */
export enum StoreFault {
  None = "none",
  /** 503 to every call. */
  Unavailable = "busy",
  /** Calls get no answer. */
  Silent = "silent",
  /** Connections are reset. */
  Reset = "reset",
}

interface StoredObject {
  metadata: { name: string; revision: number };
  spec: unknown;
}

interface StoreEvent {
  kind: string;
  revision: number;
  object: StoredObject;
  deleted: boolean;
}

const PAGE_ITEMS = 50;
const OBJECTS = "/v1/objects/";

/** See the module's comment. */
export class ObjectStore {
  fault = StoreFault.None;
  calls = 0;
  address = "";
  #kinds = new Map<string, Map<string, StoredObject>>();
  #events: StoreEvent[] = [];
  #oldest = 0;
  #revision = 1;
  #waiting = new Set<() => void>();
  #watchers = new Set<ServerResponse>();
  /** Watches from this revision or before it hear of nothing. */
  #deafBefore = 0;
  #server = createServer((request, response) => {
    void this.#handle(request, response);
  });

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

  /** Writes an object as the operator or an endpoint does. */
  put(kind: string, name: string, spec: unknown): void {
    this.#revision += 1;
    const object = { metadata: { name, revision: this.#revision }, spec };
    this.#of(kind).set(name, object);
    this.#tell({ kind, revision: this.#revision, object, deleted: false });
  }

  /** Removes an object. */
  remove(kind: string, name: string): void {
    const object = this.#of(kind).get(name);
    if (object === undefined) return;
    this.#of(kind).delete(name);
    this.#revision += 1;
    this.#tell({ kind, revision: this.#revision, object, deleted: true });
  }

  /** Cuts the watches that wait now; those that follow hear nothing. */
  disconnectAndWithholdEvents(): void {
    this.#deafBefore = this.#revision;
    for (const response of this.#watchers) response.destroy();
  }

  /** Drops the history: older watches get 410. */
  discardHistory(): void {
    this.#oldest = this.#revision;
    this.#events = [];
  }

  /** Lets the oldest watches that wait now go silent for good. */
  silenceOldestWatches(count: number): void {
    const waiting = [...this.#waiting].slice(0, count);
    for (const wake of waiting) this.#waiting.delete(wake);
  }

  /** Names of a kind's objects. */
  listNames(kind: string): string[] {
    return [...this.#of(kind).keys()];
  }

  #of(kind: string): Map<string, StoredObject> {
    const known = this.#kinds.get(kind) ?? new Map<string, StoredObject>();
    this.#kinds.set(kind, known);
    return known;
  }

  #tell(event: StoreEvent): void {
    this.#events.push(event);
    for (const wake of [...this.#waiting]) wake();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.calls += 1;
    const text = await readText(request);
    if (this.fault === StoreFault.Silent) return;
    if (this.fault === StoreFault.Reset) return void request.socket.destroy();
    if (this.fault === StoreFault.Unavailable) return send(response, 503, {});
    const url = new URL(request.url ?? "/", "http://store");
    const [kind = "", name] = url.pathname.slice(OBJECTS.length).split("/");
    if (request.method === "GET") {
      const watch = url.searchParams.get("watch");
      return watch === null
        ? this.#list(response, kind, url.searchParams.get("after") ?? "")
        : await this.#watch(response, kind, url.searchParams);
    }
    this.#write(request.method ?? "", response, { kind, name, text });
  }

  #list(response: ServerResponse, kind: string, after: string): void {
    const names = this.listNames(kind).sort().filter((name) => name > after);
    const page = names.slice(0, PAGE_ITEMS);
    send(response, 200, {
      items: page.map((name) => this.#of(kind).get(name)),
      has_more: names.length > page.length,
      as_of: this.#revision,
    });
  }

  async #watch(
    response: ServerResponse,
    kind: string,
    query: URLSearchParams,
  ): Promise<void> {
    const since = Number(query.get("watch"));
    if (since < this.#oldest) return send(response, 410, {});
    const news = () =>
      since <= this.#deafBefore
        ? []
        : this.#events.filter((event) =>
          event.kind === kind && event.revision > since
        );
    this.#watchers.add(response);
    response.once("close", () => this.#watchers.delete(response));
    const end_ms = Date.now() + Number(query.get("wait_ms") ?? 0);
    while (news().length === 0 && Date.now() < end_ms) {
      await this.#nextEvent(end_ms - Date.now());
    }
    if (this.fault !== StoreFault.None) return void response.destroy();
    if (since < this.#oldest) return send(response, 410, {});
    const events = news().map(({ object, deleted }) => ({ object, deleted }));
    send(response, 200, { events, as_of: this.#revision });
  }

  #nextEvent(wait_ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, wait_ms).unref();
      this.#waiting.add(wake);
    });
  }

  #write(
    method: string,
    response: ServerResponse,
    { kind, name, text }: {
      kind: string;
      name: string | undefined;
      text: string;
    },
  ): void {
    const body = text === "" ? {} : JSON.parse(text);
    const target = name ?? body.metadata?.name;
    const exists = this.#of(kind).has(target);
    if (method === "DELETE") {
      this.remove(kind, target);
      return send(response, exists ? 200 : 404, {});
    }
    if (method === "PUT" && !exists) return send(response, 404, {});
    if (method === "POST" && exists) return send(response, 409, {});
    this.put(kind, target, body.spec);
    send(response, 200, {});
  }
}

async function readText(request: IncomingMessage): Promise<string> {
  let text = "";
  for await (const chunk of request) text += chunk;
  return text;
}

function send(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

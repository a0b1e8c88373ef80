/**
 * Stand-in for the object store of the deployment platform, in this process:
 * objects by kind and name, a store-wide revision counter, paginated lists,
 * long-poll watches, an event history that can be discarded, and copies from
 * which the store can be restored.
 */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Fault that the store injects into every call. */
export enum StoreFault {
  None = "none",
  /** Responds with status 503. */
  Unavailable = "busy",
  /** Never responds. */
  Silent = "silent",
  /** Closes the connection without a response. */
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

/** The content of a store at one moment. */
export interface StoreCopy {
  kinds: Map<string, Map<string, StoredObject>>;
  events: StoreEvent[];
  revision: number;
}

const MAX_ITEMS_PER_PAGE = 50;
const OBJECTS_PATH = "/v1/objects/";

/** An object store that listens in this process. */
export class ObjectStore {
  fault = StoreFault.None;
  /** Calls received so far. */
  calls = 0;
  address = "";
  /**
   * Sent with every response; rises with each restoration. Undefined sends none.
   */
  epoch: number | string | undefined = 1;
  /** Kinds that the store answers with status 404, as if it had none such. */
  readonly unknownKinds = new Set<string>();
  /** Called after each page of a list, before its answer is sent. */
  afterPage = () => {};
  /** Replaces the revision that the answers of lists and watches name. */
  asOf = (revision: number): unknown => revision;
  #kinds = new Map<string, Map<string, StoredObject>>();
  #events: StoreEvent[] = [];
  #discardedUpTo = 0;
  #revision = 1;
  #waitingWatches = new Set<() => void>();
  /** The responses of the current watches, and what ends their waits. */
  #watchResponses = new Map<ServerResponse, () => void>();
  /**
   * Watches that start at this revision or an earlier one receive no events.
   */
  #withheldUpTo = -1;
  #server = createServer((request, response) => {
    void this.#handle(request, response);
  });

  /** Watches whose caller still waits. */
  get openWatches(): number {
    return this.#watchResponses.size;
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
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Creates or replaces an object, as an operator or an endpoint does. */
  put(kind: string, name: string, spec: unknown): void {
    this.#revision += 1;
    const object = { metadata: { name, revision: this.#revision }, spec };
    this.#objectsOf(kind).set(name, object);
    this.#publish({ kind, revision: this.#revision, object, deleted: false });
  }

  /** Deletes an object, if it exists. */
  remove(kind: string, name: string): void {
    const object = this.#objectsOf(kind).get(name);
    if (object === undefined) return;
    this.#objectsOf(kind).delete(name);
    this.#revision += 1;
    this.#publish({ kind, revision: this.#revision, object, deleted: true });
  }

  /**
   * Disconnects the current watches; watches resumed from there get no events.
   */
  disconnectAndWithholdEvents(): void {
    this.#withheldUpTo = this.#revision;
    for (const response of this.#watchResponses.keys()) response.destroy();
  }

  /**
   * Discards the event history: watches from older revisions get status 410.
   */
  discardHistory(): void {
    this.#discardedUpTo = this.#revision;
    this.#events = [];
  }

  /** Copies the current content. */
  copy(): StoreCopy {
    const kinds = [...this.#kinds].map(([kind, objects]) =>
      [kind, new Map(objects)] as const
    );
    return {
      kinds: new Map(kinds),
      events: [...this.#events],
      revision: this.#revision,
    };
  }

  /**
   * Goes back to a copy: what was written since is lost, its revisions are given
   * out again, and the current watches are disconnected, or fall silent.
   */
  restore(
    { kinds, events, revision }: StoreCopy,
    { silencesWatches = false } = {},
  ): void {
    this.#kinds = new Map(
      [...kinds].map(([kind, objects]) => [kind, new Map(objects)]),
    );
    this.#events = [...events];
    this.#revision = revision;
    if (this.epoch !== undefined) this.epoch = Number(this.epoch) + 1;
    if (silencesWatches) return this.#waitingWatches.clear();
    for (const response of this.#watchResponses.keys()) response.destroy();
  }

  /** Answers the watch that waits longest as if its time had passed. */
  endOldestWatch(): void {
    const [end] = this.#watchResponses.values();
    end?.();
  }

  /** Current revision. */
  get revision(): number {
    return this.#revision;
  }

  /** Delivers no more events to the oldest `count` waiting watches. */
  silenceOldestWatches(count: number): void {
    const oldest = [...this.#waitingWatches].slice(0, count);
    for (const wake of oldest) this.#waitingWatches.delete(wake);
  }

  /** Names of the objects of a kind. */
  listNames(kind: string): string[] {
    return [...this.#objectsOf(kind).keys()];
  }

  #objectsOf(kind: string): Map<string, StoredObject> {
    const objects = this.#kinds.get(kind) ?? new Map<string, StoredObject>();
    this.#kinds.set(kind, objects);
    return objects;
  }

  #publish(event: StoreEvent): void {
    this.#events.push(event);
    for (const wake of [...this.#waitingWatches]) wake();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.calls += 1;
    const text = await readText(request);
    if (this.fault === StoreFault.Silent) return;
    if (this.fault === StoreFault.Reset) return void request.socket.destroy();
    if (this.fault === StoreFault.Unavailable) {
      return this.#send(response, 503, {});
    }
    const url = new URL(request.url ?? "/", "http://store");
    const [kind = "", name] = url.pathname.slice(OBJECTS_PATH.length).split(
      "/",
    );
    if (this.unknownKinds.has(kind)) return this.#send(response, 404, {});
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
    const page = names.slice(0, MAX_ITEMS_PER_PAGE);
    this.#send(response, 200, {
      items: page.map((name) => this.#objectsOf(kind).get(name)),
      has_more: names.length > page.length,
      as_of: this.asOf(this.#revision),
    });
    this.afterPage();
  }

  async #watch(
    response: ServerResponse,
    kind: string,
    query: URLSearchParams,
  ): Promise<void> {
    const since = Number(query.get("watch"));
    if (since < this.#discardedUpTo || since > this.#revision) {
      return this.#send(response, 410, {});
    }
    const newEvents = () =>
      since <= this.#withheldUpTo
        ? []
        : this.#events.filter((event) =>
          event.kind === kind && event.revision > since
        );
    let end_ms = Date.now() + Number(query.get("wait_ms") ?? 0);
    const { promise: ended, resolve } = Promise.withResolvers<void>();
    this.#watchResponses.set(response, () => {
      end_ms = 0;
      resolve();
    });
    response.once("close", () => this.#watchResponses.delete(response));
    while (newEvents().length === 0 && Date.now() < end_ms) {
      await Promise.race([this.#waitForEvent(end_ms - Date.now()), ended]);
    }
    if (this.fault !== StoreFault.None) return void response.destroy();
    if (since < this.#discardedUpTo) return this.#send(response, 410, {});
    const events = newEvents().map(({ object, deleted }) => ({
      object,
      deleted,
    }));
    this.#send(response, 200, { events, as_of: this.asOf(this.#revision) });
  }

  #waitForEvent(wait_ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waitingWatches.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, wait_ms).unref();
      this.#waitingWatches.add(wake);
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
    const exists = this.#objectsOf(kind).has(target);
    if (method === "DELETE") {
      this.remove(kind, target);
      return this.#send(response, exists ? 200 : 404, {});
    }
    if (method === "PUT" && !exists) return this.#send(response, 404, {});
    if (method === "POST" && exists) return this.#send(response, 409, {});
    this.put(kind, target, body.spec);
    this.#send(response, 200, {});
  }

  /** Answers; the epoch is that of the moment of the answer. */
  #send(response: ServerResponse, status: number, body: unknown): void {
    if (this.epoch !== undefined) {
      response.setHeader("store-era", String(this.epoch));
    }
    send(response, status, body);
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

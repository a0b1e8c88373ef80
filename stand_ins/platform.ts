/**
 * Stand-in for the platform's object API: versioned objects, conditional
 * writes, long-poll watches and a list of hosts, all in memory. `/control`
 * injects the faults of a real platform, also that it comes back from an older
 * copy, and `/counts` returns how often it was called.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** Faults that `/control` sets. */
interface Faults {
  /** Every connection is closed without a response. */
  down: boolean;
  /** Added to every call. */
  delay_ms: number;
  /** Number of following writes that take effect but get no response. */
  lose_write_answers: number;
}

/** What `/control` does besides setting faults. */
interface Actions {
  hosts?: unknown[];
  /** Takes a copy of the content. */
  copy?: boolean;
  /** Goes back to the copy; calls that are under way get no response. */
  restore?: boolean;
}

/** The content at one moment. */
interface Copy {
  objects: Map<string, StoredObject>;
  prefixRevisions: Map<string, number>;
  revision: number;
}

interface StoredObject {
  key: string;
  version: string;
  value: unknown;
}

interface Reply {
  status: number;
  body?: unknown;
  etag?: string;
}

let objects = new Map<string, StoredObject>();
let copy: Copy | undefined;
let restorations = 0;
const faults: Faults = { down: false, delay_ms: 0, lose_write_answers: 0 };
const counts = { reads: 0, writes: 0, watches: 0, bytes_written: 0 };
const wakeCallbacks = new Set<() => void>();
let revision = 0;
let hosts: unknown[] = [];

const port = Number(process.argv[2]);
createServer(handle).listen(port, "127.0.0.1", () => console.log("ready"));

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://platform");
  const body = await readBody(request);
  if (url.pathname === "/control") return control(response, body);
  if (url.pathname === "/counts") {
    return send(response, { status: 200, body: counts });
  }
  if (faults.down) return void request.socket.destroy();
  const restorationsBefore = restorations;
  if (faults.delay_ms > 0) await sleep(faults.delay_ms);
  const reply = await route(request, url, body);
  const isCut = faults.down || restorations !== restorationsBefore;
  if (isCut || shouldLoseResponse(request)) {
    return void request.socket.destroy();
  }
  send(response, reply);
}

function control(response: ServerResponse, body: string): void {
  const change = JSON.parse(body) as Partial<Faults> & Actions;
  const { hosts: newHosts, copy: takesCopy, restore, ...newFaults } = change;
  if (newHosts !== undefined) hosts = newHosts;
  if (takesCopy === true) copy = copyContent();
  if (restore === true) goBack();
  Object.assign(faults, newFaults);
  if (faults.down) wakeAll();
  send(response, { status: 200, body: faults });
}

function copyContent(): Copy {
  return {
    objects: new Map(objects),
    prefixRevisions: new Map(prefixRevisions),
    revision,
  };
}

/** Goes back to the copy; its later revisions will be given out again. */
function goBack(): void {
  if (copy === undefined) throw new Error("Take a copy before restoring it");
  objects = new Map(copy.objects);
  prefixRevisions = new Map(copy.prefixRevisions);
  revision = copy.revision;
  restorations += 1;
  wakeAll();
}

function shouldLoseResponse(request: IncomingMessage): boolean {
  if (request.method === "GET" || faults.lose_write_answers === 0) return false;
  faults.lose_write_answers -= 1;
  return true;
}

function route(
  request: IncomingMessage,
  url: URL,
  body: string,
): Reply | Promise<Reply> {
  if (url.pathname === "/hosts") return { status: 200, body: hosts };
  if (url.pathname === "/list") return list(url, request);
  const key = decodeURIComponent(url.pathname.replace("/objects/", ""));
  if (request.method === "GET") return read(key, url, request);
  counts.writes += 1;
  counts.bytes_written += body.length;
  return write(key, body, request);
}

async function read(
  key: string,
  url: URL,
  request: IncomingMessage,
): Promise<Reply> {
  const after = url.searchParams.get("after");
  const hasChanged = () => (objects.get(key)?.version ?? "") !== after;
  if (after !== null && !await waitForChange(hasChanged, url, request)) {
    return { status: 304 };
  }
  counts.reads += 1;
  const found = objects.get(key);
  if (found === undefined) return { status: 404 };
  return { status: 200, body: found, etag: found.version };
}

async function list(url: URL, request: IncomingMessage): Promise<Reply> {
  const prefix = url.searchParams.get("prefix") ?? "";
  const after = url.searchParams.get("after");
  // A revision that it does not have any more is answered with the content.
  const hasChanged = () =>
    prefixRevision(prefix) > Number(after) || Number(after) > revision;
  if (after !== null && !await waitForChange(hasChanged, url, request)) {
    return { status: 304 };
  }
  counts.reads += 1;
  const matches = [...objects.values()].filter((object) =>
    object.key.startsWith(prefix) && object.value !== undefined
  );
  return { status: 200, body: { revision, objects: matches } };
}

/** Revision of the last write under each first path segment. */
let prefixRevisions = new Map<string, number>();

function prefixRevision(prefix: string): number {
  return prefixRevisions.get(prefix.split("/")[0] ?? "") ?? 0;
}

function write(key: string, body: string, request: IncomingMessage): Reply {
  const found = objects.get(key);
  const expectedVersion = request.headers["if-match"];
  if (request.headers["if-none-match"] === "*" && found !== undefined) {
    return { status: 412 };
  }
  if (expectedVersion !== undefined && found?.version !== expectedVersion) {
    return { status: 412 };
  }
  revision += 1;
  prefixRevisions.set(key.split("/")[0] ?? "", revision);
  const version = String(revision);
  if (request.method === "DELETE") objects.delete(key);
  else objects.set(key, { key, version, value: JSON.parse(body) });
  wakeAll();
  return { status: 200, etag: version };
}

async function waitForChange(
  hasChanged: () => boolean,
  url: URL,
  request: IncomingMessage,
): Promise<boolean> {
  counts.watches += 1;
  const end_ms = Date.now() + Number(url.searchParams.get("wait_ms"));
  const restorationsBefore = restorations;
  const isCut = () => faults.down || restorations !== restorationsBefore;
  while (!hasChanged() && !isCut() && Date.now() < end_ms) {
    if (request.socket.destroyed) return false;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(wake, end_ms - Date.now());
      function wake() {
        clearTimeout(timer);
        wakeCallbacks.delete(wake);
        resolve();
      }
      wakeCallbacks.add(wake);
    });
  }
  return hasChanged();
}

function wakeAll(): void {
  for (const wake of [...wakeCallbacks]) wake();
}

function send(response: ServerResponse, reply: Reply): void {
  response.statusCode = reply.status;
  if (reply.etag !== undefined) response.setHeader("etag", reply.etag);
  response.setHeader("content-type", "application/json");
  response.end(reply.body === undefined ? "" : JSON.stringify(reply.body));
}

async function readBody(request: IncomingMessage): Promise<string> {
  let body = "";
  for await (const chunk of request) body += chunk;
  return body;
}

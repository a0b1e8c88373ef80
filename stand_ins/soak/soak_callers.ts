/** The callers of a soak: they keep their connections, and take streams up anywhere. */
import { Agent, type ClientRequest, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type {
  SeenEvent,
  SeenStream,
  SeenTry,
  SeenVersion,
  UnsafeRequest,
} from "./checks.ts";
import type { EventLog } from "./event_log.ts";
import { DEADLINE_MS, probePath } from "./manifest.ts";
import type { SoakStage } from "./play_schedule.ts";
import { EVENTS } from "./soak_endpoint.ts";
import type { SoakHost } from "./soak_host.ts";

/** What the callers have seen. */
export interface CallerRecord {
  streams: SeenStream[];
  /** Tries to begin a stream. */
  firstTries: CallerTry[];
  /** Tries to take a stream up. */
  takeUps: CallerTry[];
  unsafe: UnsafeRequest[];
  versions: SeenVersion[];
  left: { attempt_id: string; host: SoakHost; left_ms: number }[];
}

/** One try, and what its stream was before. */
export interface CallerTry {
  host: SoakHost;
  seen: SeenTry;
  /** Software version of the stream; undefined if it had not begun. */
  version: string | undefined;
}

/** What callers work with. */
export interface CallersOptions {
  stage: SoakStage;
  random: () => number;
  /** When they begin nothing more, in monotonic time. */
  end_ms: number;
}

/** After a gap of so long a caller leaves a stream and takes it up elsewhere. */
const PATIENCE_MS = 2_000;
const MAX_TAKE_UPS = 5;
const LEAVES_CHANCE = 0.15;
const RETURNS_CHANCE = 0.5;
const TAKE_UP_AT_CHANCE = 0.8;
const MOVES_CHANCE = 0.2;
const PROBE_INTERVAL_MS = 60;
const UNSAFE_INTERVAL_MS = 150;
const HOSTNAME = "fleet.example";
const NOT_FOUND = 404;
const EVENT = /^id: (\d+)\ndata: (\S+) (\S+) (\d+)$/;

/** Creates an empty record. */
export function createCallerRecord(): CallerRecord {
  return {
    streams: [],
    firstTries: [],
    takeUps: [],
    unsafe: [],
    versions: [],
    left: [],
  };
}

/** A caller that reads one stream after the other. */
export class StreamCaller {
  #name: string;
  #options: CallersOptions;
  #record: CallerRecord;
  #log: EventLog;
  #home: SoakHost;
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  #attempts = 0;

  constructor(name: string, options: CallersOptions, record: CallerRecord) {
    this.#name = name;
    this.#options = options;
    this.#record = record;
    this.#log = options.stage.log;
    this.#home = this.#anyHost();
  }

  /** Reads streams until the time is over. */
  async run(): Promise<void> {
    while (performance.now() < this.#options.end_ms) {
      if (this.#chance(MOVES_CHANCE)) this.#home = this.#anyHost();
      await this.#readStream();
      await sleep(20 + 60 * this.#options.random());
    }
    this.#agent.destroy();
  }

  async #readStream(): Promise<void> {
    const deadline_ms = performance.now() + DEADLINE_MS;
    const tries: SeenStream = [];
    let resumes: string | undefined;
    let version: string | undefined;
    for (let n = 0; n <= MAX_TAKE_UPS; n++) {
      const left_ms = deadline_ms - performance.now();
      if (left_ms < PATIENCE_MS / 4) break;
      const after = tries.reduce((sum, { events }) => sum + events.length, 0);
      const host = n === 0 ? this.#home : this.#takeUpHost();
      const { seen, isLeft } = await this.#try(host, {
        resumes,
        after,
        deadline_ms: Math.round(left_ms),
        agent: n === 0 ? this.#agent : false,
      });
      this.#note({ host, seen, version }, resumes);
      version ??= seen.events[0]?.version;
      if (seen.events.length > 0) resumes ??= seen.attempt_id;
      else if (n === 0) this.#home = this.#anyHost();
      if (resumes !== undefined) tries.push(seen);
      const isWhole = after + seen.events.length === EVENTS;
      if (isWhole || (seen.status === 200 && seen.complete)) break;
      if (isLeft && !this.#chance(RETURNS_CHANCE)) break;
      await sleep(20 + 80 * this.#options.random());
    }
    if (tries.length > 0) this.#record.streams.push(tries);
  }

  #note(tried: CallerTry, resumes: string | undefined): void {
    const { host, seen } = tried;
    const { attempt_id, status, events, complete } = seen;
    this.#log.add(
      `try attempt=${attempt_id} resumes=${resumes ?? ""} at=${host.name} ` +
        `status=${status} events=${events[0]?.id ?? 0}-${
          events.at(-1)?.id ?? 0
        } ` +
        `version=${events[0]?.version ?? ""} complete=${complete}`,
    );
    const { firstTries, takeUps } = this.#record;
    (resumes === undefined ? firstTries : takeUps).push(tried);
  }

  /** Sends one try; it ends with its response, or when the caller leaves. */
  #try(
    host: SoakHost,
    { resumes, after, deadline_ms, agent }: {
      resumes: string | undefined;
      after: number;
      deadline_ms: number;
      agent: Agent | false;
    },
  ): Promise<{ seen: SeenTry; isLeft: boolean }> {
    const attempt_id = `${this.#name}-${this.#attempts++}`;
    const leavesAfter = this.#chance(LEAVES_CHANCE)
      ? Math.floor(EVENTS * this.#options.random())
      : Infinity;
    const { promise, resolve } = Promise.withResolvers<{
      seen: SeenTry;
      isLeft: boolean;
    }>();
    const sent_ms = performance.now();
    let status = 0;
    let text = "";
    let complete = false;
    let isLeft = false;
    const end = () => {
      clearTimeout(patience);
      const seen = {
        attempt_id,
        host: host.name,
        sent_ms,
        ended_ms: performance.now(),
        status,
        complete,
        ...readEvents(text),
      };
      resolve({ seen, isLeft });
    };
    const outgoing = this.#send(host, {
      agent,
      headers: {
        "x-attempt-id": attempt_id,
        "x-deadline-ms": String(deadline_ms),
        ...(resumes === undefined
          ? {}
          : { resumes, "last-event-id": String(after) }),
      },
    });
    const leave = () => {
      isLeft = true;
      this.#record.left.push({ attempt_id, host, left_ms: performance.now() });
      outgoing.destroy();
    };
    const patience = setTimeout(leave, PATIENCE_MS);
    outgoing.on("error", end);
    outgoing.on("close", end);
    outgoing.on("response", (incoming) => {
      status = incoming.statusCode ?? 0;
      incoming.setEncoding("utf8");
      incoming.on("data", (chunk: string) => {
        patience.refresh();
        text += chunk;
        if (status === 200 && text.split("\n\n").length > leavesAfter) leave();
      });
      incoming.on("error", () => {});
      // Node reads what had come with the last chunk to its end, unseen.
      incoming.on("end", () => complete = incoming.complete && !isLeft);
    });
    return promise;
  }

  #send(
    host: SoakHost,
    { agent, headers }: {
      agent: Agent | false;
      headers: Record<string, string>;
    },
  ): ClientRequest {
    const address = this.#options.stage.deployment.callersAddress(host);
    const [ip, port] = address.split(":");
    const outgoing = request({
      host: ip,
      port,
      path: "/draft/x",
      method: "POST",
      agent,
      headers: { host: HOSTNAME, ...headers },
    });
    outgoing.end("x");
    return outgoing;
  }

  #chance(probability: number): boolean {
    return this.#options.random() < probability;
  }

  #anyHost(): SoakHost {
    const { hosts } = this.#options.stage.deployment;
    return hosts[Math.floor(this.#options.random() * hosts.length)] as SoakHost;
  }

  #takeUpHost(): SoakHost {
    const { takeUpAt } = this.#options.stage;
    return takeUpAt !== undefined && this.#chance(TAKE_UP_AT_CHANCE)
      ? takeUpAt
      : this.#anyHost();
  }
}

/** Whole events of a stream's text; what breaks off within an event is left out. */
function readEvents(
  text: string,
): { events: SeenEvent[]; malformed: string[] } {
  const blocks = text.split("\n\n").slice(0, -1);
  const events: SeenEvent[] = [];
  const malformed: string[] = [];
  for (const block of blocks) {
    const match = EVENT.exec(block);
    if (match === null) {
      malformed.push(block);
      continue;
    }
    const [, id, version = "", run = "", run_after] = match;
    events.push({ id: Number(id), version, run, run_after: Number(run_after) });
  }
  return { events, malformed };
}

/** Sends unsafe requests to any host, until the time is over. */
export async function sendUnsafe(
  { stage, random, end_ms }: CallersOptions,
  record: CallerRecord,
): Promise<void> {
  const { deployment, log } = stage;
  const pending: Promise<void>[] = [];
  for (let n = 0; performance.now() < end_ms; n++) {
    const attempt_id = `unsafe-${n}`;
    const { hosts } = deployment;
    const host = hosts[Math.floor(random() * hosts.length)] as SoakHost;
    const sent = sendShort(deployment.callersAddress(host), {
      path: "/stamp/x",
      attempt_id,
    });
    pending.push(sent.then((status) => {
      record.unsafe.push({ attempt_id, status });
      log.add(`unsafe attempt=${attempt_id} at=${host.name} status=${status}`);
    }));
    await sleep(UNSAFE_INTERVAL_MS);
  }
  await Promise.all(pending);
}

/** Asks a host which manifest it follows, until the time is over. */
export async function probeVersions(
  host: SoakHost,
  { stage, end_ms }: CallersOptions,
  record: CallerRecord,
): Promise<void> {
  const pending: Promise<void>[] = [];
  for (let n = 0; performance.now() < end_ms; n++) {
    // Older versions too: a host that shows one has gone back.
    const version = stage.deployment.manifestVersion - n % 3;
    if (version > 0) {
      pending.push(probeVersion(host, { version, n }, { stage, record }));
    }
    await sleep(PROBE_INTERVAL_MS);
  }
  await Promise.all(pending);
}

async function probeVersion(
  host: SoakHost,
  { version, n }: { version: number; n: number },
  { stage, record }: { stage: SoakStage; record: CallerRecord },
): Promise<void> {
  const sent_ms = performance.now();
  const { lifetimes } = host;
  const status = await sendShort(host.callers, {
    path: probePath(version),
    attempt_id: `probe-${host.name}-${n}`,
  });
  const isShown = status !== 0 && status !== NOT_FOUND && status < 500;
  if (!isShown || host.lifetimes !== lifetimes) return;
  const answered_ms = performance.now();
  record.versions.push({
    host: host.name,
    lifetime: lifetimes,
    version,
    sent_ms,
    answered_ms,
  });
  stage.log.add(`shows host=${host.name} version=${version}`);
}

/** Sends a request on a connection of its own; resolves to its status, or to 0. */
function sendShort(
  address: string,
  { path, attempt_id }: { path: string; attempt_id: string },
): Promise<number> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port,
      path,
      method: "POST",
      agent: false,
      headers: {
        host: HOSTNAME,
        "x-attempt-id": attempt_id,
        "x-deadline-ms": String(PATIENCE_MS),
      },
    }, (incoming) => {
      incoming.resume();
      incoming.on("error", () => {});
      incoming.on("close", () => resolve(incoming.statusCode ?? 0));
    });
    const timer = setTimeout(() => outgoing.destroy(), PATIENCE_MS + 500);
    outgoing.on("error", () => resolve(0));
    outgoing.on("close", () => {
      clearTimeout(timer);
      resolve(0);
    });
    outgoing.end("x");
  });
}

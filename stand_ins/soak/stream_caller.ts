/** A caller of a soak: it keeps its connection, and takes streams up anywhere. */
import { Agent, type ClientRequest, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type CallerRecord,
  type CallersOptions,
  type CallerTry,
  HOSTNAME,
} from "./caller_record.ts";
import type { SeenEvent, SeenStream, SeenTry } from "./checks.ts";
import type { EventLog } from "./event_log.ts";
import { DEADLINE_MS } from "./manifest.ts";
import { EVENTS } from "./soak_endpoint.ts";
import type { SoakHost } from "./soak_host.ts";

/** After a gap of so long a caller leaves a stream and takes it up elsewhere. */
const PATIENCE_MS = 2_000;
const MAX_TAKE_UPS = 5;
const LEAVES_CHANCE = 0.15;
const RETURNS_CHANCE = 0.5;
const TAKE_UP_AT_CHANCE = 0.8;
const MOVES_CHANCE = 0.2;
const EVENT = /^id: (\d+)\ndata: (\S+) (\S+) (\d+)$/;

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

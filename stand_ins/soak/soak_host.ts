/** A gateway host of a soak: the built program in a process of its own. */
import { writeFileSync } from "node:fs";
import { request } from "node:http";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { type StartedProcess, startProcess } from "../child_process.ts";
import type { EventLog } from "./event_log.ts";

/** Bounds of the deployment. */
export const CONTACT_MS = 3_000;
const GRACE_S = 8;
const START_TIMEOUT_MS = 15_000;
const HTTP_OK = 200;

/** What a host needs to start. */
export interface SoakHostOptions {
  number: number;
  /** Folder for settings and logs. */
  folder: string;
  /** Address from which it connects, and at which peers find the link to it. */
  ip: string;
  /** Address at which it listens itself. */
  own_ip: string;
  ports: { callers: number; readiness: number; peers: number };
  /** `ip:port` of peers, the first ones. */
  seeds: string[];
  storeAddress: string;
  /** The bundled program and the bundled network shim. */
  program: string;
  shim: string;
  log: EventLog;
}

/** Hosts whose processes must not outlive this one. */
const liveHosts = new Set<SoakHost>();
process.once("exit", () => {
  for (const host of liveHosts) host.kill();
});
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(1));
}

/** A gateway host and its current process. */
export class SoakHost {
  readonly options: SoakHostOptions;
  readonly name: string;
  /** Number of its processes so far. */
  lifetimes = 0;
  /** How often its process ended unasked. */
  ownEnds = 0;
  #process: StartedProcess | undefined;
  #ended = false;
  #settingsFile: string;

  constructor(options: SoakHostOptions) {
    this.options = options;
    this.name = `host-${options.number}`;
    this.#settingsFile = join(options.folder, `${this.name}.yaml`);
    writeFileSync(
      this.#settingsFile,
      JSON.stringify(settingsOf(this.name, options)),
    );
    liveHosts.add(this);
  }

  /** `ip:port` at which it serves callers, without a link. */
  get callers(): string {
    return `${this.options.own_ip}:${this.options.ports.callers}`;
  }

  /** Starts its process. */
  async start(): Promise<void> {
    const { folder, program, shim, ip, own_ip, ports, log } = this.options;
    this.lifetimes += 1;
    this.#ended = false;
    const logFile = join(folder, `${this.name}.${this.lifetimes}.log`);
    const started = await startProcess({
      name: this.name,
      args: [program, "gateway", "--settings", this.#settingsFile],
      environment: {
        NODE_OPTIONS: `--require ${shim}`,
        SOAK_SOURCE_IP: ip,
        SOAK_PEERS_IP: own_ip,
        SOAK_PEERS_PORT: String(ports.peers),
      },
      isReady: () => true,
      logFile,
    });
    this.#process = started;
    log.add(`${this.name} starts pid=${started.pid} log=${logFile}`);
    void started.exited.then((code) => this.#noteExit(started, code));
  }

  /** Waits until it says that it is ready. */
  async waitUntilReady(): Promise<void> {
    const end_ms = performance.now() + START_TIMEOUT_MS;
    while (performance.now() < end_ms) {
      if (await this.#isReady()) return;
      await sleep(50);
    }
    throw new Error(`${this.name} is not ready`);
  }

  /** Sends a signal to its process. */
  signal(signal: NodeJS.Signals): void {
    this.options.log.add(`${this.name} gets ${signal}`);
    if (signal === "SIGTERM" || signal === "SIGKILL") this.#ended = true;
    this.#process?.signal(signal);
  }

  /** Resolves when its process has ended. */
  async exited(): Promise<void> {
    await this.#process?.exited;
  }

  /** Ends its process at once. */
  kill(): void {
    this.#ended = true;
    this.#process?.signal("SIGKILL");
    liveHosts.delete(this);
  }

  #noteExit(ended: StartedProcess, code: number | undefined): void {
    this.options.log.add(`${this.name} ended pid=${ended.pid} code=${code}`);
    if (this.#ended || ended !== this.#process) return;
    this.ownEnds += 1;
    this.options.log.add(
      `${this.name} ended by itself: ${ended.output().slice(-500)}`,
    );
  }

  #isReady(): Promise<boolean> {
    const { own_ip, ports } = this.options;
    return new Promise((resolve) => {
      const asked = request({
        host: own_ip,
        port: ports.readiness,
        path: "/v1/ready",
        agent: false,
        timeout: 1_000,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === HTTP_OK);
      });
      asked.on("timeout", () => asked.destroy());
      asked.on("error", () => resolve(false));
      asked.end();
    });
  }
}

function settingsOf(
  name: string,
  { number, ip, own_ip, ports, seeds, storeAddress }: SoakHostOptions,
): object {
  return {
    host: { name, availability_zone: `az-${number % 2}`, memory_mb: 350 },
    listen: {
      callers: `${own_ip}:${ports.callers}`,
      readiness: `${own_ip}:${ports.readiness}`,
      peers: `${ip}:${ports.peers}`,
    },
    seeds,
    object_store: { address: storeAddress, silence_ms: CONTACT_MS },
    repeats: { ratio: 0.2, slack: 56, window_s: 10 },
    drain: { timeout_s: GRACE_S },
    log: { lines_per_s: 2_000 },
  };
}

/**
 * A small deployment for the review's scripts: gateway hosts as processes of
 * their own, started with the command and the template of the deploy file; the
 * project's stand-in of the platform's store; engines; and requesters. All
 * addresses are loopback addresses.
 */
import { type ChildProcess, spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import {
  Agent,
  createServer,
  type IncomingMessage,
  request as httpRequest,
  type ServerResponse,
} from "node:http";
import {
  type AddressInfo,
  connect,
  createServer as listen,
  type Socket,
} from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ObjectStore } from "../../stand_ins/deployment/object_store.ts";

/** Exit codes of a script. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** Bounds of the deployment, as the settings file of the pages gives them. */
export const BOUNDS = {
  contact_ms: 3_000,
  config_apply_ms: 2_000,
  drain_ms: 2_000,
  grace_period_s: 8,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 56,
};

/** Limits of a machine, as in the settings file of the pages. */
export const LIMITS = { cpu_cores: 1, cpu_share: 0.675, memory_mb: 350 };

/** Whether the disruption takes place. */
export const TROUBLE = process.env["TROUBLE"] !== "0";

export const sleep = (ms: number) =>
  new Promise<void>((resolve) => setTimeout(resolve, ms));

const started_ms = performance.now();
/** Milliseconds since the script started. */
export const now = () => performance.now() - started_ms;

let recordFile = "";
/** Starts the record of the script; its lines go to `record.txt`. */
export function startRecord(folder: string): void {
  recordFile = join(folder, "record.txt");
  writeFileSync(recordFile, "");
  record(TROUBLE ? "with the disruption" : "without the disruption");
}

/** Writes one line to the record. */
export function record(line: string): void {
  appendFileSync(recordFile, `${(now() / 1_000).toFixed(3)} ${line}\n`);
}

/** A route of the manifest; what is left out has a default. */
export function route(
  name: string,
  kind: string,
  service: string,
  changes: object = {},
): Record<string, unknown> {
  return {
    name,
    hostname: "fleet.example",
    path_prefix: `/${name}/`,
    kind,
    service,
    timeout_ms: 1_500,
    target_latency_ms: 121,
    priority: 1,
    max_attempts: 2,
    public: false,
    sticky: false,
    resumable: false,
    ...changes,
  };
}

/** A service of the manifest. */
export function service(
  name: string,
  changes: object = {},
): Record<string, unknown> {
  return {
    name,
    health_path: "/health",
    max_connections: 110,
    protocol: "h1",
    tls: false,
    ...changes,
  };
}

/** The key that requesters send. */
export const KEY = "9dnn2ctnfzs989anu6ws";

/** A manifest with these routes and services. */
export function manifest(
  version: number,
  routes: object[],
  services: object[],
  changes: object = {},
): object {
  return {
    version,
    routes,
    services,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 10_000,
    },
    tenants: [{ name: "docks", api_keys: [KEY], priority: 0 }],
    ...changes,
  };
}

/** What an engine does with a request that it runs. */
export type RunRequest = (
  request: IncomingMessage,
  response: ServerResponse,
  headers: Record<string, string>,
) => void | Promise<void>;

/** A request that an engine ran. */
export interface Run {
  id: string;
  path: string;
  at_ms: number;
}

/** An engine that listens on a loopback address. */
export class ReviewEngine {
  address = "";
  runs: Run[] = [];
  readonly id: string;
  #run: RunRequest;
  #sockets = new Set<Socket>();
  #server = createServer((request, response) => {
    void this.#handle(request, response);
  });

  constructor(id: string, run: RunRequest) {
    this.id = id;
    this.#run = run;
    this.#server.on("connection", (socket: Socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
  }

  async start(): Promise<void> {
    this.#server.keepAliveTimeout = 30_000;
    this.#server.listen(0, "127.0.0.1");
    await new Promise((resolve) => this.#server.once("listening", resolve));
    const { port } = this.#server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get listening(): boolean {
    return this.#server.listening;
  }

  /** Stops listening and resets every channel. */
  crash(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Listens again, at the same address. */
  async startAgain(): Promise<void> {
    this.#server.listen(Number(this.address.split(":")[1]), "127.0.0.1");
    await new Promise((resolve) => this.#server.once("listening", resolve));
  }

  /** Its entry in the store. */
  entry(serviceName: string, zone: string): object {
    return {
      service: serviceName,
      address: this.address,
      zone,
      version: "v1",
      slots: 6,
      state: "ready",
      cold_remaining_ms: 0,
      sequence: 1,
      born: 1_700_000_000_000,
    };
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    for await (const _ of request);
    response.on("error", () => {});
    const id = String(request.headers["x-attempt-id"] ?? "");
    const headers = {
      "x-attempt-id": id,
      "x-instance-id": this.id,
      "x-instance-load": "1,0,6",
    };
    if (request.headers["x-expect-instance"] !== this.id) {
      response.writeHead(421, headers).end();
      return;
    }
    this.runs.push({ id, path: request.url ?? "", at_ms: now() });
    record(`engine ${this.id} runs ${id} ${request.url}`);
    await this.#run(request, response, {
      ...headers,
      "x-response-signature": `proof.${this.id}.${id}`,
    });
  }
}

/** Answers in one body after a time. */
export function answerWhole(work_ms: number): RunRequest {
  return async (_request, response, headers) => {
    await sleep(work_ms);
    response.writeHead(200, headers).end("x".repeat(800));
  };
}

/** One running gateway host. */
export interface Gateway {
  name: string;
  callers: string;
  readiness: string;
  settingsFile: string;
  process: ChildProcess;
  /** How often it has ended by itself or was ended for its memory. */
  ends: number;
}

/** The store, the gateway hosts and the engines of one script. */
export class Deployment {
  readonly store = new ObjectStore();
  readonly gateways: Gateway[] = [];
  readonly engines: ReviewEngine[] = [];
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #storeAddress: string | undefined;
  #control: string[] = [];
  #stopped = false;

  /** Starts the store; hosts reach it at `via` if that is given. */
  async startStore(via?: (address: string) => Promise<string>): Promise<void> {
    await this.store.start();
    this.#storeAddress = via === undefined
      ? this.store.address
      : await via(this.store.address);
  }

  /** Writes a manifest; the store's answer is the confirmation. */
  publish(content: object): void {
    this.store.put("config", "main", content);
    const { version } = content as { version: number };
    record(`operator: manifest ${version} is confirmed`);
  }

  /** Starts an engine and writes its entry. */
  async addEngine(
    id: string,
    serviceName: string,
    run: RunRequest,
  ): Promise<ReviewEngine> {
    const engine = new ReviewEngine(id, run);
    await engine.start();
    this.engines.push(engine);
    const zone = `zone-${"ab"[this.engines.length % 2]}`;
    this.store.put("servers", id, engine.entry(serviceName, zone));
    record(`engine ${id} of ${serviceName} at ${engine.address}`);
    return engine;
  }

  /** Starts gateway hosts and waits until they are ready. */
  async startGateways(count: number): Promise<void> {
    const ips = await findFreeIps(count);
    const ports = await findFreePorts(3);
    const [front, ready, control] = ports as [number, number, number];
    this.#control = ips.map((ip) => `${ip}:${control}`);
    for (const [index, ip] of ips.entries()) {
      const name = `front-zone-${"ab"[index % 2]}-${index + 1}`;
      const fields = {
        node_name: name,
        ip,
        zone: `zone-${"ab"[index % 2]}`,
        bind: {
          front: `${ip}:${front}`,
          ready_addr: `${ip}:${ready}`,
          control: `${ip}:${control}`,
        },
        seeds: this.#control.slice(0, 3),
        limits: LIMITS,
        timing_bounds: BOUNDS,
        platform: { address: this.#storeAddress },
      };
      const settingsFile = join(this.#folder, `${name}.yaml`);
      const template = readFileSync("deploy/gateway.yaml.template", "utf8");
      writeFileSync(settingsFile, fillIn(template, fields));
      const gateway: Gateway = {
        name,
        callers: `${ip}:${front}`,
        readiness: `${ip}:${ready}`,
        settingsFile,
        process: this.#spawn(name, settingsFile),
        ends: 0,
      };
      this.gateways.push(gateway);
    }
    for (const gateway of this.gateways) await this.waitUntilReady(gateway);
  }

  /** Starts the process of a gateway host again. */
  restart(gateway: Gateway): void {
    gateway.process = this.#spawn(gateway.name, gateway.settingsFile);
    record(`platform: ${gateway.name} is started again`);
  }

  /** Waits until the platform's question finds a gateway host ready. */
  async waitUntilReady(gateway: Gateway): Promise<void> {
    const end_ms = now() + 15_000;
    while (now() < end_ms) {
      const answer = await send(gateway.readiness, {
        path: "/v1/ready",
        wait_ms: 1_000,
      });
      if (answer.status === 200) return;
      await sleep(50);
    }
    throw new Error(`${gateway.name} is not ready`);
  }

  /** Ends everything. */
  stop(): void {
    this.#stopped = true;
    for (const { process } of this.gateways) process.kill("SIGKILL");
    for (const engine of this.engines) engine.stop();
    this.store.stop();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #spawn(name: string, settingsFile: string): ChildProcess {
    const [command = "", ...args] = deployCommand(settingsFile);
    const log = join(this.#folder, `${name}.log`);
    const child = spawn(command, args, {
      stdio: ["ignore", "pipe", "pipe"],
      env: { PATH: process.env["PATH"], HOME: process.env["HOME"] },
    });
    const keep = process.env["LOGS"];
    for (const stream of [child.stdout, child.stderr]) {
      stream?.on("data", (data: Uint8Array) => {
        if (keep !== undefined) appendFileSync(`${keep}/${name}.log`, data);
      });
    }
    child.once("exit", (code, signal) => {
      if (!this.#stopped) record(`${name} ended: ${code ?? signal}`);
    });
    record(`${name} starts, process ${child.pid}${keep ? ` ${log}` : ""}`);
    return child;
  }
}

/** The command of the deploy file, with another settings file. */
function deployCommand(settingsFile: string): string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  const run = /^run = "(.*)"$/m.exec(text)?.[1] ?? "";
  return run.split(" ").map((word) =>
    word === "/etc/sesamequay/settings.json" ? settingsFile : word
  );
}

/** Fills in a template as `DEPLOY.md` says, as far as this project's needs. */
function fillIn(template: string, fields: object): string {
  return template.replace(
    /\{\{([a-z_.]+)(\|json)?\}\}/g,
    (_, path: string, json?: string) => {
      const value = path.split(".").reduce<unknown>(
        (object, key) => (object as Record<string, unknown>)[key],
        fields,
      );
      return json === undefined ? String(value) : JSON.stringify(value);
    },
  );
}

/** Loopback addresses on which the port for metrics is free. */
async function findFreeIps(count: number): Promise<string[]> {
  const ips: string[] = [];
  let third = 1 + process.pid % 250;
  while (ips.length < count) {
    const ip = `127.77.${third}.${ips.length + 1}`;
    if (await isFree(ip, 7_741)) ips.push(ip);
    else third = third % 250 + 1;
  }
  return ips;
}

function isFree(ip: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = listen();
    server.once("error", () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => listen());
  const ports: number[] = [];
  for (const server of servers) {
    server.listen(0, "0.0.0.0");
    await new Promise((resolve) => server.once("listening", resolve));
    ports.push((server.address() as AddressInfo).port);
  }
  for (const server of servers) server.close();
  return ports;
}

/** What a requester sends. */
export interface Sent {
  method?: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** How long it waits for the whole answer. */
  wait_ms: number;
}

/** What a requester got. */
export interface Answer {
  status: number | undefined;
  headers: IncomingMessage["headers"];
  body: string;
  sent_ms: number;
  /** When the head of the answer had come; undefined without one. */
  head_ms: number | undefined;
  end_ms: number;
  /** Why there is no complete answer. */
  error: string | undefined;
  /** Whether the requester gave up. */
  timedOut: boolean;
}

/** Sends a request on a new channel, or on one of the agent's. */
export function send(
  address: string,
  { method = "GET", path, headers = {}, body, wait_ms }: Sent,
  agent: Agent | false = false,
): Promise<Answer> {
  const [host, port] = address.split(":");
  const answer: Answer = {
    status: undefined,
    headers: {},
    body: "",
    sent_ms: now(),
    head_ms: undefined,
    end_ms: 0,
    error: undefined,
    timedOut: false,
  };
  return new Promise((resolve) => {
    const finish = (error?: string) => {
      clearTimeout(timer);
      if (answer.end_ms > 0) return;
      answer.end_ms = now();
      answer.error = error;
      resolve(answer);
    };
    const outgoing = httpRequest({ host, port, method, path, headers, agent });
    const timer = setTimeout(() => {
      answer.timedOut = answer.end_ms === 0;
      finish("no answer in time");
      outgoing.destroy();
    }, wait_ms);
    outgoing.on("error", (error) => finish(error.message));
    outgoing.on("response", (incoming) => {
      answer.status = incoming.statusCode;
      answer.headers = incoming.headers;
      answer.head_ms = now();
      incoming.setEncoding("latin1");
      incoming.on("data", (text: string) => answer.body += text);
      incoming.on("error", (error) => finish(error.message));
      incoming.on("end", () => finish());
    });
    outgoing.end(body);
  });
}

let attempts = 0;
/** The headers of a new attempt. */
export function attemptHeaders(
  deadline_ms: number,
  changes: Record<string, string> = {},
): Record<string, string> {
  attempts += 1;
  return {
    "host": "fleet.example",
    "x-attempt-id": `a${process.pid}-${attempts}`,
    "x-deadline-ms": String(deadline_ms),
    "x-key": KEY,
    ...changes,
  };
}

/** Runs a script; its exit code tells whether the rule held. */
export async function runScript(
  folder: string,
  run: (deployment: Deployment) => Promise<boolean>,
): Promise<void> {
  startRecord(folder);
  const deployment = new Deployment();
  let code = COULD_NOT_RUN;
  const limit = setTimeout(() => {
    record("the script took too long");
    deployment.stop();
    process.exit(COULD_NOT_RUN);
  }, 110_000);
  try {
    code = await run(deployment) ? HELD : BROKEN;
  } catch (error) {
    record(`the case could not run: ${(error as Error).stack}`);
  }
  clearTimeout(limit);
  deployment.stop();
  const verdict = ["the rule held", "the rule was broken", "could not run"];
  record(verdict[code] ?? "");
  console.log(verdict[code]);
  process.exit(code);
}

/**
 * A proxy to an address. Its open channels can be silenced: nothing passes on
 * them any more, in either direction, and they stay open. New ones work.
 */
export async function startProxy(
  target: string,
): Promise<{ address: string; silence: () => number }> {
  const [host, port] = target.split(":");
  const links = new Set<() => void>();
  const server = listen({ allowHalfOpen: true }, (near) => {
    const far = connect({ host, port: Number(port), allowHalfOpen: true });
    near.setNoDelay(true);
    far.setNoDelay(true);
    let silent = false;
    const pass = (from: typeof near, to: typeof near) => {
      from.on("data", (data) => {
        if (!silent) to.write(data);
      });
      from.on("end", () => {
        if (!silent) to.end();
      });
      from.on("error", () => {
        if (!silent) to.destroy();
      });
    };
    pass(near, far);
    pass(far, near);
    const silence = () => {
      silent = true;
    };
    links.add(silence);
    near.on("close", () => {
      links.delete(silence);
      far.destroy();
    });
    far.on("close", () => {
      if (!silent) near.destroy();
    });
  });
  server.listen(0, "127.0.0.1");
  await new Promise((resolve) => server.once("listening", resolve));
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    silence() {
      const count = links.size;
      for (const silence of links) silence();
      links.clear();
      return count;
    },
  };
}

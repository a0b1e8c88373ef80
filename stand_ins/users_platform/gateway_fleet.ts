/**
 * A small deployment in this process: a store, engines of five services, and
 * gateway hosts. Tests, the profile and the load tool use it.
 */
import { deploymentAdapter } from "../../platform/adapter.ts";
import {
  createGatewayHost,
  type GatewayHost,
} from "../../src/gateway_wiring.ts";
import { resolveGatewaySettings } from "../../src/settings/gateway_settings.ts";
import { freePort } from "../child_process.ts";
import { Engine, type EngineOptions } from "./engine.ts";
import { ObjectStore } from "./object_store.ts";

/** What the deployment consists of. */
export interface GatewayFleetOptions {
  gateways?: number;
  /** Engines of each service. */
  engines?: Record<Service, EngineOptions[]>;
  /** Changes to the manifest. */
  manifest?: Record<string, unknown>;
  limits?: Record<string, number>;
  watch_ms?: number;
  /** Gateways that read the store. */
  readers?: number;
}

/** The services of the deployment. */
export enum Service {
  Desk = "desk",
  Model = "model",
  Encode = "encode",
  Rank = "rank",
}

/** Keys of the two organisations. */
export enum FleetKey {
  Docks = "key-docks",
  Mills = "key-mills",
}

/** A running gateway and where it listens. */
export interface RunningGateway {
  gateway: GatewayHost;
  callers: string;
  readiness: string;
  metrics: string;
  lines: string[];
}

const ZONES = ["az-1", "az-2"];

/** See the module's comment. */
export class GatewayFleet {
  readonly store = new ObjectStore();
  readonly engines = new Map<Service, Engine[]>();
  gateways: RunningGateway[] = [];
  version = 1;
  #options: GatewayFleetOptions;

  constructor(options: GatewayFleetOptions = {}) {
    this.#options = options;
  }

  /** Starts everything and waits until every gateway is ready. */
  async start(): Promise<void> {
    await this.store.start();
    await this.#startEngines();
    this.configure({});
    for (let n = 1; n <= (this.#options.gateways ?? 1); n++) {
      await this.startGateway(n);
    }
    await until(() =>
      this.gateways.every(({ lines }) =>
        lines.some((line) => line.includes("state=ready")) &&
        lines.some((line) => line.includes("event=endpoints"))
      )
    );
  }

  /** Stops everything. */
  stop(): void {
    for (const { gateway } of this.gateways) gateway.stop();
    for (const engine of [...this.engines.values()].flat()) engine.stop();
    this.store.stop();
  }

  /** Writes the next version of the manifest. */
  configure(changes: Record<string, unknown>): void {
    this.store.put("config", "main", {
      ...manifest(),
      ...this.#options.manifest,
      ...changes,
      version: this.version++,
    });
  }

  /** Writes an engine's entry. */
  register(service: Service, engine: Engine, change: object = {}): void {
    const index = this.engines.get(service)?.indexOf(engine) ?? 0;
    this.store.put("servers", engine.id, {
      service,
      address: engine.address,
      zone: ZONES[index % ZONES.length],
      version: "v1",
      slots: 8,
      state: "ready",
      cold_remaining_ms: 0,
      sequence: 1,
      born: 1,
      ...change,
    });
  }

  /** One engine of a service. */
  engine(service: Service, index = 0): Engine {
    const engine = this.engines.get(service)?.[index];
    if (engine === undefined) throw new Error(`No engine ${service} ${index}`);
    return engine;
  }

  /** Starts one more gateway. */
  async startGateway(
    number: number,
    seeds: string[] = [],
  ): Promise<RunningGateway> {
    const ports = [];
    for (let n = 0; n < 4; n++) ports.push(await freePort());
    const [callers, readiness, peers, metrics] = ports.map((port) =>
      `127.0.0.1:${port}`
    ) as [string, string, string, string];
    const lines: string[] = [];
    const gateway = createGatewayHost(
      resolveGatewaySettings({
        host: {
          name: `gateway-${number}`,
          availability_zone: ZONES[(number - 1) % ZONES.length] ?? "",
        },
        listen: { callers, readiness, peers, metrics },
        seeds,
        object_store: {
          address: this.store.address,
          watch_ms: this.#options.watch_ms ?? 300,
          readers: this.#options.readers,
        },
        repeats: { ratio: 0.2, slack: 50, window_s: 10 },
        drain: { timeout_s: 8 },
      }),
      {
        adapter: deploymentAdapter,
        now: () => performance.now(),
        random: Math.random,
        writeLine: (line) => lines.push(line),
      },
    );
    await gateway.start();
    const running = { gateway, callers, readiness, metrics, lines };
    this.gateways.push(running);
    return running;
  }

  async #startEngines(): Promise<void> {
    const definitions = this.#options.engines ?? defaultEngines();
    for (const [service, engines] of Object.entries(definitions)) {
      const started = engines.map((options) => new Engine(options));
      this.engines.set(service as Service, started);
      for (const engine of started) {
        await engine.start();
        this.register(service as Service, engine);
      }
    }
  }
}

/** Waits until a condition holds; rejects after some seconds. */
export async function until(
  holds: () => boolean,
  limit_ms = 5_000,
): Promise<void> {
  const end_ms = performance.now() + limit_ms;
  while (!holds()) {
    if (performance.now() > end_ms) {
      throw new Error(`Not within ${limit_ms} ms: ${holds}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

/** Two engines of each service. */
export function defaultEngines(): Record<Service, EngineOptions[]> {
  return {
    [Service.Desk]: [{ id: "desk-1" }, { id: "desk-2" }],
    [Service.Model]: [
      { id: "model-1", events: 5, work_ms: 2 },
      { id: "model-2", events: 5, work_ms: 2 },
    ],
    [Service.Encode]: [
      { id: "encode-1", call_ms: 20 },
      { id: "encode-2", call_ms: 20 },
    ],
    [Service.Rank]: [
      { id: "rank-1", call_ms: 20 },
      { id: "rank-2", call_ms: 20 },
    ],
  };
}

function manifest(): Record<string, unknown> {
  const pieces = {
    slots: 1,
    queue: 2,
    batch: 20,
    call_ms: 20,
    item_ms: 1,
    headroom_mb: 10,
    handle_s: 4,
    link_mbps: 10_000,
  };
  const service = (name: Service, extra: object = {}) => ({
    name,
    health_path: "/health",
    max_connections: 100,
    protocol: "h1",
    tls: false,
    ...extra,
  });
  const route = (name: string, kind: string, extra: object) => ({
    name,
    hostname: "fleet.example",
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: 2_000,
    target_latency_ms: 300,
    priority: 1,
    max_attempts: 2,
    public: false,
    sticky: false,
    resumable: false,
    ...extra,
  });
  return {
    routes: [
      route("stamp", "unsafe", { service: Service.Desk }),
      route("lookup", "safe", { service: Service.Desk }),
      route("open", "safe", { service: Service.Desk, public: true }),
      route("review", "streaming", {
        service: Service.Model,
        stages: [
          { service: Service.Encode, after: [], bytes: 1_000 },
          { service: Service.Rank, after: [0], bytes: 1_000 },
        ],
      }),
      route("draft", "streaming", { service: Service.Model, resumable: true }),
    ],
    services: [
      service(Service.Desk),
      service(Service.Model, { engine: { slots: 8 } }),
      service(Service.Encode, { pieces }),
      service(Service.Rank, { pieces }),
    ],
    limits: {
      max_header_bytes: 8_192,
      max_body_bytes: 20_000,
      header_timeout_ms: 500,
      idle_timeout_ms: 5_000,
    },
    tenants: [
      { name: "docks", api_keys: [FleetKey.Docks], priority: 0 },
      { name: "mills", api_keys: [FleetKey.Mills] },
    ],
  };
}

/**
 * A small deployment in this process for tests and tools: an object store,
 * engines of four services, and gateway hosts.
 */
import { deploymentAdapter } from "../../platform/adapter.ts";
import {
  createGatewayHost,
  type GatewayHost,
} from "../../src/gateway_wiring.ts";
import { resolveGatewaySettings } from "../../src/settings/gateway_settings.ts";
import { findFreePort } from "../child_process.ts";
import { Engine, type EngineOptions } from "./engine.ts";
import { ObjectStore } from "./object_store.ts";

/** What the deployment consists of. */
export interface GatewayFleetOptions {
  /** Number of gateway hosts; 1 by default. */
  gateways?: number;
  /** Engines of each service; see `defaultEngines`. */
  engines?: Record<Service, EngineOptions[]>;
  /** Merged into every version of the manifest. */
  manifestChanges?: Record<string, unknown>;
  /** Connections that an engine accepts from all hosts; 100 by default. */
  max_connections?: number;
  limits?: Record<string, number>;
  /** Time that a call for pieces takes by the manifest; 20 by default. */
  call_ms?: number;
  /** Time-out of all routes; 2,000 by default. */
  timeout_ms?: number;
  /** Target latency of all routes; 300 by default. */
  target_latency_ms?: number;
  /** Longest watch; 300 by default. */
  watch_ms?: number;
  /** `object_store.silence_ms` of the gateway hosts. */
  silence_ms?: number;
  /** `evacuations.in_force_ms` of the gateway hosts; undefined by default. */
  in_force_ms?: number;
  /** Time limit of a gateway host's drain; 8 by default. */
  drain_timeout_s?: number;
  /** Through what gateway hosts reach the object store; nothing by default. */
  storeLink?: (address: string) => Promise<string>;
  /**
   * Through what a gateway host reaches the engines: resolves to the address to
   * use for an engine's; nothing by default.
   */
  engineLinks?: (
    gateway: number,
    engines: Engine[],
  ) => Promise<(address: string) => string>;
  /** Number of gateway hosts that read the object store themselves. */
  readers?: number;
  /** Memory of a gateway host. */
  memory_mb?: number;
  /** Merged into a service of the manifest. */
  service_changes?: Partial<Record<Service, object>>;
  /** `ramp_up.enabled` of the gateway hosts; true by default. */
  ramp_up?: boolean | undefined;
  /** Requests a second that cold engines of all services tolerate. */
  cold_per_s?: number;
  /** `cold_endpoints` of the gateway hosts. */
  cold_endpoints?: { over: number; slack: number };
}

/** Services of the deployment. */
export enum Service {
  Desk = "desk",
  Model = "model",
  Encode = "encode",
  Rank = "rank",
}

/** API keys of the two organisations. */
export enum ApiKey {
  Docks = "key-docks",
  Mills = "key-mills",
}

/** A running gateway host, its addresses and the log lines it has written. */
export interface RunningGateway {
  gateway: GatewayHost;
  callers: string;
  readiness: string;
  metrics: string;
  logLines: string[];
}

const ZONES = ["az-1", "az-2"];

/** A deployment that runs in this process. */
export class GatewayFleet {
  readonly store = new ObjectStore();
  readonly engines = new Map<Service, Engine[]>();
  gateways: RunningGateway[] = [];
  /** Version of the next manifest. */
  version = 1;
  #options: GatewayFleetOptions;
  #storeAddress = "";

  constructor(options: GatewayFleetOptions = {}) {
    this.#options = options;
  }

  /** Starts everything and waits until every gateway is ready to serve. */
  async start(): Promise<void> {
    await this.store.start();
    const { storeLink } = this.#options;
    this.#storeAddress = await storeLink?.(this.store.address) ??
      this.store.address;
    await this.#startEngines();
    this.publishManifest({});
    for (let n = 1; n <= (this.#options.gateways ?? 1); n++) {
      await this.startGateway(n);
    }
    await waitUntil(() =>
      this.gateways.every(({ logLines }) =>
        logLines.some((line) => line.includes("state=ready")) &&
        logLines.some((line) => line.includes("event=endpoints"))
      )
    );
  }

  /** Waits until every gateway knows all others. */
  async waitForMembers(): Promise<void> {
    const text = `event=members count=${this.gateways.length}`;
    await waitUntil(() =>
      this.gateways.every(({ logLines }) =>
        logLines.some((line) => line.includes(text))
      )
    );
  }

  /** Stops everything. */
  stop(): void {
    for (const { gateway } of this.gateways) gateway.stop();
    for (const engine of [...this.engines.values()].flat()) engine.stop();
    this.store.stop();
  }

  /** Writes the next version of the manifest, with these changes. */
  publishManifest(changes: Record<string, unknown>): void {
    this.store.put("config", "main", {
      ...baseManifest(this.#options),
      ...this.#options.manifestChanges,
      ...changes,
      version: this.version++,
    });
  }

  /** Writes an engine's entry to the object store, with these changes. */
  registerEngine(service: Service, engine: Engine, changes: object = {}): void {
    const index = this.engines.get(service)?.indexOf(engine) ?? 0;
    this.store.put("servers", engine.id, {
      service,
      address: engine.address,
      zone: ZONES[index % ZONES.length],
      version: "v1",
      slots: engine.slots ?? 8,
      state: "ready",
      cold_remaining_ms: 0,
      sequence: 1,
      born: engine.born_ms,
      ...changes,
    });
  }

  /**
   * Registers all engines of a service at one address, for a server that takes
   * their place, and waits until every gateway knows it.
   */
  async redirectEngines(service: Service, address: string): Promise<void> {
    const engines = this.engines.get(service) ?? [];
    const changes = ({ logLines }: RunningGateway) =>
      logLines.filter((line) => line.includes("event=endpoint ")).length;
    const before = this.gateways.map(changes);
    for (const engine of engines) {
      this.registerEngine(service, engine, { address });
    }
    await waitUntil(() =>
      this.gateways.every((gateway, n) =>
        changes(gateway) >= (before[n] ?? 0) + engines.length
      )
    );
  }

  /** Finds an engine of a service by index; throws if absent. */
  engine(service: Service, index = 0): Engine {
    const engine = this.engines.get(service)?.[index];
    if (engine === undefined) throw new Error(`No engine ${service} ${index}`);
    return engine;
  }

  /** Starts another gateway host, by default with the store link of all. */
  async startGateway(
    number: number,
    seeds: string[] = [],
    { store_address = this.#storeAddress } = {},
  ): Promise<RunningGateway> {
    const ports = [];
    for (let n = 0; n < 4; n++) ports.push(await findFreePort());
    const [callers, readiness, peers, metrics] = ports.map((port) =>
      `127.0.0.1:${port}`
    ) as [string, string, string, string];
    const logLines: string[] = [];
    const translateAddress = await this.#options.engineLinks?.(
      number,
      [...this.engines.values()].flat(),
    );
    const gateway = createGatewayHost(
      resolveGatewaySettings({
        host: {
          name: `gateway-${number}`,
          availability_zone: ZONES[(number - 1) % ZONES.length] ?? "",
          memory_mb: this.#options.memory_mb,
        },
        listen: { callers, readiness, peers, metrics },
        seeds,
        object_store: {
          address: store_address,
          watch_ms: this.#options.watch_ms ?? 300,
          readers: this.#options.readers,
          silence_ms: this.#options.silence_ms,
        },
        evacuations: this.#options.in_force_ms === undefined
          ? undefined
          : { in_force_ms: this.#options.in_force_ms },
        repeats: { ratio: 0.2, slack: 50, window_s: 10 },
        cold_endpoints: this.#options.cold_endpoints,
        drain: { timeout_s: this.#options.drain_timeout_s ?? 8 },
        ramp_up: { enabled: this.#options.ramp_up ?? true },
      }),
      {
        adapter: deploymentAdapter,
        now: () => performance.now(),
        random: Math.random,
        writeLine: (line) => logLines.push(line),
        ...(translateAddress === undefined ? {} : { translateAddress }),
      },
    );
    await gateway.start();
    const runningGateway = { gateway, callers, readiness, metrics, logLines };
    this.gateways.push(runningGateway);
    return runningGateway;
  }

  async #startEngines(): Promise<void> {
    const definitions = this.#options.engines ?? defaultEngines();
    for (const [service, engines] of Object.entries(definitions)) {
      const started = engines.map((options) => new Engine(options));
      this.engines.set(service as Service, started);
      for (const engine of started) {
        await engine.start();
        this.registerEngine(service as Service, engine);
        engine.onRestart = () =>
          this.registerEngine(service as Service, engine);
      }
    }
  }
}

/** Waits until a condition holds; rejects if it does not in time. */
export async function waitUntil(
  condition: () => boolean,
  timeout_ms = 5_000,
): Promise<void> {
  const end_ms = performance.now() + timeout_ms;
  while (!condition()) {
    if (performance.now() > end_ms) {
      throw new Error(
        `Condition not met within ${timeout_ms} ms: ${condition}`,
      );
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

/** Defines two engines of each service. */
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

function baseManifest(
  {
    max_connections = 100,
    call_ms = 20,
    timeout_ms = 2_000,
    target_latency_ms = 300,
    service_changes = {},
    cold_per_s,
  }: GatewayFleetOptions,
): Record<string, unknown> {
  const pieces = {
    slots: 1,
    queue: 2,
    batch: 20,
    call_ms,
    item_ms: 1,
    headroom_mb: 10,
    handle_s: 4,
    link_mbps: 10_000,
  };
  const service = (name: Service, extra: object = {}) => ({
    name,
    health_path: "/health",
    max_connections,
    protocol: "h1",
    tls: false,
    cold_per_s,
    ...extra,
    ...service_changes[name],
  });
  const route = (name: string, kind: string, extra: object) => ({
    name,
    hostname: "fleet.example",
    path_prefix: `/${name}/`,
    kind,
    timeout_ms,
    target_latency_ms,
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
      { name: "docks", api_keys: [ApiKey.Docks], priority: 0 },
      { name: "mills", api_keys: [ApiKey.Mills] },
    ],
  };
}

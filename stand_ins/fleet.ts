/**
 * A fleet for tests, demos and measurements: the platform stand-in, endpoint
 * stand-ins and entry hosts, each a process that listens on the loopback
 * address.
 */
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "yaml";
import {
  findFreePort,
  type StartedProcess,
  startProcess,
} from "./child_process.ts";
import { getJson, postJson } from "./json_client.ts";

/** An endpoint stand-in to start. */
export interface EndpointDefinition {
  name: string;
  fleet: string;
  pool: string;
  protocol?: "json" | "completions";
  /** Service time of one call while slots are free. */
  service_ms?: number;
  slots?: number;
  /** Tokens of each completion. */
  tokens?: number;
  availability_zone?: string;
  /** Whether it rejects orders with an outdated fencing token. */
  fencing?: "checked" | "ignored";
}

/** A started endpoint. */
export interface StartedEndpoint extends EndpointDefinition {
  address: string;
  /** Address that hosts use; differs from `address` if it is rerouted. */
  addressForHosts: string;
  process: StartedProcess;
}

/** A started entry host. */
export interface StartedHost {
  name: string;
  /** Address that serves callers. */
  callers: string;
  /** Address that serves peers and operators. */
  peers: string;
  settingsFile: string;
  process: StartedProcess;
}

/** What a fleet consists of. */
export interface FleetDefinition {
  hosts: number;
  endpoints: EndpointDefinition[];
  /** Records besides the endpoints'. */
  records: object[];
  /** Merged into every host's settings, section by section. */
  settings?: Record<string, object>;
  /** The bundle that hosts run; the sources by default. */
  program?: string;
  /** Directory of the hosts' log files; logs are kept in memory by default. */
  logDirectory?: string;
  /**
   * Replaces the address under which a process is reached, for network faults.
   */
  reroute?: (name: string, address: string) => Promise<string>;
}

interface ReservedHost {
  callers: string;
  peers: string;
  /** Address for peers that other hosts use. */
  advertised: string;
}

const SECRETS = {
  SESAMEQUAY_PEER_SECRET: "peer-secret-for-tests",
  SESAMEQUAY_OPERATOR_SECRET: "operator-secret-for-tests",
};
const AVAILABILITY_ZONES = 4;
const READINESS_TIMEOUT_MS = 10_000;
const SOURCE_PROGRAM = join(import.meta.dirname, "../src/main.ts");

/** A running fleet. */
export class Fleet {
  readonly directory = mkdtempSync(join(tmpdir(), "sesamequay-"));
  readonly hosts: StartedHost[] = [];
  readonly endpoints: StartedEndpoint[] = [];
  platform = "";
  /** Address of the platform that hosts use. */
  platformForHosts = "";
  #platformProcess: StartedProcess | undefined;
  #definition: FleetDefinition;
  #reservedHosts: ReservedHost[] = [];

  constructor(definition: FleetDefinition) {
    this.#definition = definition;
  }

  /** Starts everything and waits until every host is ready. */
  async start(): Promise<this> {
    await this.#startPlatform();
    await Promise.all(
      this.#definition.endpoints.map((each) => this.startEndpoint(each)),
    );
    await this.putRecords(this.#definition.records);
    await this.putRecords(
      this.endpoints.map((each) => this.endpointRecord(each)),
    );
    for (let number = 0; number < this.#definition.hosts; number++) {
      const reserved = await reserveHost();
      const name = `entry-${number + 1}`;
      const advertised = await this.#reroute(name, reserved.peers);
      this.#reservedHosts.push({ ...reserved, advertised });
    }
    await Promise.all(
      this.#reservedHosts.map((_, number) => this.startHost(number)),
    );
    await Promise.all(this.hosts.map((host) => this.waitUntilReady(host)));
    return this;
  }

  /**
   * Starts or restarts the host with this index on its reserved ports.
   * `overrides` are merged into its settings.
   */
  async startHost(
    number: number,
    overrides: Record<string, object> = {},
  ): Promise<StartedHost> {
    const reserved = this.#reservedHosts[number];
    if (reserved === undefined) {
      throw new Error(`There is no host with index ${number}`);
    }
    const name = `entry-${number + 1}`;
    const settingsFile = join(this.directory, `${name}.yaml`);
    const settings = this.#settingsFor({ name, number, ...reserved });
    writeFileSync(settingsFile, stringify(mergeSettings(settings, overrides)));
    const { program = SOURCE_PROGRAM, logDirectory } = this.#definition;
    const host = {
      name,
      ...reserved,
      settingsFile,
      process: await startProcess({
        name,
        args: [program, "entry", "--settings", settingsFile],
        environment: SECRETS,
        isReady: () => isAlive(reserved.callers),
        logFile: logDirectory && join(logDirectory, `${name}.log`),
      }),
    };
    this.hosts[number] = host;
    return host;
  }

  /** Starts an endpoint; its record has to be written separately. */
  async startEndpoint(
    definition: EndpointDefinition,
  ): Promise<StartedEndpoint> {
    const port = await findFreePort();
    const address = `127.0.0.1:${port}`;
    const started = {
      ...definition,
      address,
      addressForHosts: await this.#reroute(qualifiedName(definition), address),
      process: await startProcess({
        name: definition.name,
        args: endpointArgs(definition, port),
      }),
    };
    this.endpoints.push(started);
    return started;
  }

  /** Creates an endpoint's record in schema version 1. */
  endpointRecord(endpoint: StartedEndpoint, leaving = false): object {
    return {
      schema_version: 1,
      kind: "Endpoint",
      fleet: endpoint.fleet,
      name: endpoint.name,
      pool: endpoint.pool,
      address: endpoint.addressForHosts,
      availability_zone: endpoint.availability_zone ?? "az-1",
      slots: endpoint.slots ?? 8,
      checks_fencing: endpoint.fencing === "checked",
      leaving,
    };
  }

  /** Writes records directly to the platform. */
  async putRecords(records: object[]): Promise<void> {
    for (const record of records) {
      const { kind, fleet, name } = record as Record<string, string>;
      const path = `/objects/records/${kind}/${fleet}/${name}`;
      await postJson(this.platform, path, record, { method: "PUT" });
    }
  }

  /** Changes the faults of the platform; faults not named stay as they are. */
  async setPlatformFaults(faults: object): Promise<void> {
    await postJson(this.platform, "/control", faults);
  }

  /** Changes the faults of an endpoint; faults not named stay as they are. */
  async setEndpointFaults(name: string, faults: object): Promise<void> {
    await postJson(this.endpoint(name).address, "/control", faults);
  }

  /** Finds an endpoint by name, such as `khuree/stamp-1`; throws if absent. */
  endpoint(name: string): StartedEndpoint {
    const found = this.endpoints.find((each) => qualifiedName(each) === name);
    if (found === undefined) throw new Error(`There is no endpoint ${name}`);
    return found;
  }

  /** Waits until a host's /readyz returns 200; rejects after a timeout. */
  async waitUntilReady(host: StartedHost): Promise<void> {
    const end_ms = performance.now() + READINESS_TIMEOUT_MS;
    while (performance.now() < end_ms) {
      const response = await getJson(host.callers, "/readyz").catch(() => null);
      if (response?.status === 200) return;
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    throw new Error(`${host.name} is not ready:\n${host.process.output()}`);
  }

  /** Environment variables with the secrets, for command-line calls. */
  get environment(): Record<string, string> {
    return SECRETS;
  }

  /** Kills every process of this fleet, including stopped (SIGSTOP) ones. */
  async stop(): Promise<void> {
    const processes = [
      ...this.hosts.map((host) => host.process),
      ...this.endpoints.map((endpoint) => endpoint.process),
      ...this.#platformProcess === undefined ? [] : [this.#platformProcess],
    ];
    for (const each of processes) each.signal("SIGCONT");
    for (const each of processes) each.signal("SIGKILL");
    await Promise.all(processes.map((each) => each.exited));
  }

  async #startPlatform(): Promise<void> {
    const port = await findFreePort();
    this.platform = `127.0.0.1:${port}`;
    this.#platformProcess = await startProcess({
      name: "platform",
      args: [join(import.meta.dirname, "platform.ts"), String(port)],
    });
    this.platformForHosts = await this.#reroute("platform", this.platform);
  }

  async #reroute(name: string, address: string): Promise<string> {
    return await this.#definition.reroute?.(name, address) ?? address;
  }

  #settingsFor(
    host: { name: string; number: number } & ReservedHost,
  ): Record<string, object> {
    const zone = host.number % AVAILABILITY_ZONES + 1;
    const settings = {
      host: { name: host.name, availability_zone: `az-${zone}` },
      listen: { callers: host.callers, peers: host.peers },
      advertise: { peers: host.advertised },
      peers: {
        bootstrap: this.#reservedHosts.map((each) => each.advertised),
        secret: { environment: "SESAMEQUAY_PEER_SECRET" },
        heartbeat_ms: 300,
      },
      operators: { secret: { environment: "SESAMEQUAY_OPERATOR_SECRET" } },
      platform: { address: this.platformForHosts },
    };
    return mergeSettings(settings, this.#definition.settings ?? {});
  }
}

/** Endpoint names are unique only within a fleet, so the fleet is included. */
function qualifiedName({ fleet, name }: EndpointDefinition): string {
  return `${fleet}/${name}`;
}

function isAlive(address: string): Promise<boolean> {
  return getJson(address, "/healthz").then(() => true, () => false);
}

async function reserveHost(): Promise<Omit<ReservedHost, "advertised">> {
  const callers = `127.0.0.1:${await findFreePort()}`;
  const peers = `127.0.0.1:${await findFreePort()}`;
  return { callers, peers };
}

function endpointArgs(definition: EndpointDefinition, port: number): string[] {
  const { fleet: _, pool: __, availability_zone: ___, ...rest } = definition;
  const options = { port, ...rest };
  return [
    join(import.meta.dirname, "endpoint.ts"),
    ...Object.entries(options).flatMap(([key, value]) =>
      value === undefined ? [] : [`--${key}`, String(value)]
    ),
  ];
}

function mergeSettings(
  base: Record<string, object>,
  overrides: Record<string, object>,
): Record<string, object> {
  const merged = { ...base };
  for (const [section, override] of Object.entries(overrides)) {
    merged[section] = { ...merged[section], ...override };
  }
  return merged;
}

/**
 * A fleet for tests, demos and measurements: a platform, endpoints and entry
 * hosts, each its own process on the loopback address.
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

/** An endpoint to start. */
export interface EndpointDefinition {
  name: string;
  fleet: string;
  pool: string;
  protocol?: "json" | "completions";
  service_ms?: number;
  slots?: number;
  tokens?: number;
  availability_zone?: string;
  /** Whether it refuses orders with an old fencing number. */
  fencing?: "checked" | "ignored";
}

/** A started endpoint. */
export interface StartedEndpoint extends EndpointDefinition {
  address: string;
  addressForHosts: string;
  process: StartedProcess;
}

/** A started entry host. */
export interface StartedHost {
  name: string;
  callers: string;
  peers: string;
  settingsFile: string;
  process: StartedProcess;
}

/** What to start. */
export interface FleetDefinition {
  hosts: number;
  endpoints: EndpointDefinition[];
  /** Records besides the endpoints'. */
  records: object[];
  /** Merged into every host's settings. */
  settings?: Record<string, object>;
  /** The program to run as a host; the sources by default. */
  program?: string;
  /** Directory for hosts' logs; kept in memory by default. */
  logDirectory?: string;
  /** Address to use in place of a part's own, for faults on the way. */
  reroute?: (part: string, address: string) => Promise<string>;
}

interface ReservedHost {
  callers: string;
  peers: string;
  /** Address for peers as other hosts see it. */
  advertised: string;
}

const SECRETS = {
  SESAMEQUAY_PEER_SECRET: "peer-secret-for-tests",
  SESAMEQUAY_OPERATOR_SECRET: "operator-secret-for-tests",
};
const AVAILABILITY_ZONES = 4;
const CONFIGURED_LIMIT_MS = 10_000;
const SOURCE_PROGRAM = join(import.meta.dirname, "../src/main.ts");

/** A running fleet. */
export class Fleet {
  readonly directory = mkdtempSync(join(tmpdir(), "sesamequay-"));
  readonly hosts: StartedHost[] = [];
  readonly endpoints: StartedEndpoint[] = [];
  platform = "";
  /** Address of the platform as hosts see it. */
  platformForHosts = "";
  #platformProcess: StartedProcess | undefined;
  #definition: FleetDefinition;
  #reservedHosts: ReservedHost[] = [];

  constructor(definition: FleetDefinition) {
    this.#definition = definition;
  }

  /** Starts everything and waits until every host has a configuration. */
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
      const part = `entry-${number + 1}`;
      const advertised = await this.#reroute(part, reserved.peers);
      this.#reservedHosts.push({ ...reserved, advertised });
    }
    await Promise.all(
      this.#reservedHosts.map((_, number) => this.startHost(number)),
    );
    await Promise.all(this.hosts.map((host) => this.waitUntilReady(host)));
    return this;
  }

  /** Starts, or starts again, the host with this number. */
  async startHost(
    number: number,
    changes: Record<string, object> = {},
  ): Promise<StartedHost> {
    const reserved = this.#reservedHosts[number];
    if (reserved === undefined) throw new Error(`There is no host ${number}`);
    const name = `entry-${number + 1}`;
    const settingsFile = join(this.directory, `${name}.yaml`);
    const settings = this.#settingsFor({ name, number, ...reserved });
    writeFileSync(settingsFile, stringify(merge(settings, changes)));
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

  /** Starts an endpoint; its record must still be put. */
  async startEndpoint(
    definition: EndpointDefinition,
  ): Promise<StartedEndpoint> {
    const port = await findFreePort();
    const address = `127.0.0.1:${port}`;
    const started = {
      ...definition,
      address,
      addressForHosts: await this.#reroute(partName(definition), address),
      process: await startProcess({
        name: definition.name,
        args: endpointArgs(definition, port),
      }),
    };
    this.endpoints.push(started);
    return started;
  }

  /** The record of an endpoint, in schema version 1. */
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

  /** Writes records straight to the platform. */
  async putRecords(records: object[]): Promise<void> {
    for (const record of records) {
      const { kind, fleet, name } = record as Record<string, string>;
      const path = `/objects/records/${kind}/${fleet}/${name}`;
      await postJson(this.platform, path, record, { method: "PUT" });
    }
  }

  /** Switches faults of the platform. */
  async setPlatformFaults(faults: object): Promise<void> {
    await postJson(this.platform, "/control", faults);
  }

  /** Switches faults of an endpoint. */
  async setEndpointFaults(name: string, faults: object): Promise<void> {
    await postJson(this.endpoint(name).address, "/control", faults);
  }

  /** An endpoint by fleet and name, as in `khuree/stamp-1`. */
  endpoint(name: string): StartedEndpoint {
    const found = this.endpoints.find((each) => partName(each) === name);
    if (found === undefined) throw new Error(`There is no endpoint ${name}`);
    return found;
  }

  /** Waits until a host's /readyz says yes. */
  async waitUntilReady(host: StartedHost): Promise<void> {
    const end_ms = performance.now() + CONFIGURED_LIMIT_MS;
    while (performance.now() < end_ms) {
      const answer = await getJson(host.callers, "/readyz").catch(() => null);
      if (answer?.status === 200) return;
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    throw new Error(`${host.name} is not ready:\n${host.process.output()}`);
  }

  /** Environment with the secrets, for command-line calls. */
  get environment(): Record<string, string> {
    return SECRETS;
  }

  /** Ends every process that this fleet started. */
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

  async #reroute(part: string, address: string): Promise<string> {
    return await this.#definition.reroute?.(part, address) ?? address;
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
    return merge(settings, this.#definition.settings ?? {});
  }
}

/** Names clash between fleets, so an endpoint is named with its fleet. */
function partName({ fleet, name }: EndpointDefinition): string {
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
  const { fleet: _, pool: __, availability_zone: ___, ...own } = definition;
  const options = { port, ...own };
  return [
    join(import.meta.dirname, "endpoint.ts"),
    ...Object.entries(options).flatMap(([key, value]) =>
      value === undefined ? [] : [`--${key}`, String(value)]
    ),
  ];
}

function merge(
  base: Record<string, object>,
  changes: Record<string, object>,
): Record<string, object> {
  const merged = { ...base };
  for (const [section, change] of Object.entries(changes)) {
    merged[section] = { ...merged[section], ...change };
  }
  return merged;
}

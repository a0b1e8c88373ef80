/**
 * The store, the endpoints and the gateway hosts of a soak. Hosts are processes;
 * all else runs in this one. Every connection between them crosses a link.
 */
import { ObjectStore, type StoreCopy } from "../deployment/object_store.ts";
import type { EventLog } from "./event_log.ts";
import { Link } from "./link.ts";
import { createManifest, SoakService } from "./manifest.ts";
import { NextVersion } from "./schedule.ts";
import { LinkGroup, NetworkFaults } from "./network_faults.ts";
import { SoakEndpoint } from "./soak_endpoint.ts";
import { CONTACT_MS, SoakHost } from "./soak_host.ts";

/** What a deployment consists of. */
export interface SoakDeploymentOptions {
  hosts: number;
  /** Endpoints that stream. */
  endpoints: number;
  /** Folder for settings and logs. */
  folder: string;
  program: string;
  shim: string;
  log: EventLog;
}

/** An endpoint and the link that its entry names. */
interface LinkedEndpoint {
  endpoint: SoakEndpoint;
  service: SoakService;
  link: Link;
  /** State that its entry names; undefined without an entry. */
  state: "ready" | "draining" | undefined;
}

/** A span in which a host was not in touch; `end_ms` is Infinity while it lasts. */
interface Disturbance {
  host: SoakHost;
  begin_ms: number;
  end_ms: number;
}

/** A span in which an endpoint was sound and in service. */
interface Serving {
  endpoint: SoakEndpoint;
  version: string;
  begin_ms: number;
  end_ms: number;
}

const DESKS = 2;
const SEEDS = 3;
const PORTS = { callers: 8_000, readiness: 8_001, peers: 8_002 };
const MAX_HOSTS = 100;
let deployments = 0;

/** A running deployment. */
export class SoakDeployment {
  readonly store = new ObjectStore();
  readonly faults = new NetworkFaults();
  readonly hosts: SoakHost[] = [];
  /** Every endpoint that has been there. */
  readonly allEndpoints: SoakEndpoint[] = [];
  manifestVersion = 0;
  /** Number of the newest software version. */
  #newest = 1;
  #servings: Serving[] = [];
  #options: SoakDeploymentOptions;
  #endpoints = new Map<string, LinkedEndpoint>();
  #links: Link[] = [];
  #callerLinks = new Map<SoakHost, Link>();
  #disturbances: Disturbance[] = [];

  constructor(options: SoakDeploymentOptions) {
    this.#options = options;
  }

  /** Starts everything and waits until all hosts are ready. */
  async start(): Promise<void> {
    const { hosts, endpoints } = this.#options;
    await this.store.start();
    const storeAddress = await this.#addLink({
      place: { group: LinkGroup.Store },
      target: () => this.store.address,
    });
    for (let n = 0; n < DESKS; n++) await this.addEndpoint(SoakService.Desk);
    for (let n = 0; n < endpoints; n++) {
      await this.addEndpoint(SoakService.Model);
    }
    for (const { endpoint } of this.#endpoints.values()) {
      this.register(endpoint);
    }
    this.publish();
    await this.#createHosts(hosts, storeAddress.address);
    await Promise.all(this.hosts.map((host) => host.start()));
    await Promise.all(this.hosts.map((host) => host.waitUntilReady()));
  }

  /** Ends everything. */
  stop(): void {
    for (const host of this.hosts) host.kill();
    for (const link of this.#links) link.stop();
    for (const endpoint of this.allEndpoints) endpoint.stop();
    this.store.stop();
  }

  /** `ip:port` at which callers reach a host. */
  callersAddress(host: SoakHost): string {
    return this.#callerLinks.get(host)?.address ?? "";
  }

  /** Endpoints of a service that are meant to stay. */
  endpointsOf(service: SoakService): SoakEndpoint[] {
    return [...this.#endpoints.values()]
      .filter((each) => each.service === service && each.state !== "draining")
      .map(({ endpoint }) => endpoint);
  }

  /** Chooses the software version of an endpoint that starts. */
  nextVersion(version: NextVersion): string {
    if (version === NextVersion.New) this.#newest += 1;
    const isPrevious = version === NextVersion.Previous;
    return `v${Math.max(1, this.#newest - (isPrevious ? 1 : 0))}`;
  }

  /** Starts an endpoint; it has no entry yet. */
  async addEndpoint(
    service: SoakService,
    version = "v1",
  ): Promise<SoakEndpoint> {
    const { log } = this.#options;
    const id = `${service}-${this.allEndpoints.length}`;
    const endpoint = new SoakEndpoint(id, version, log);
    await endpoint.start();
    this.allEndpoints.push(endpoint);
    const link = await this.#addLink({
      place: { group: LinkGroup.Endpoints },
      target: () => endpoint.address,
    });
    this.#endpoints.set(id, { endpoint, service, link, state: undefined });
    log.add(`endpoint=${id} version=${endpoint.version} starts`);
    return endpoint;
  }

  /** Writes an endpoint's entry. */
  register(
    endpoint: SoakEndpoint,
    state: "ready" | "draining" = "ready",
  ): void {
    const linked = this.#endpoints.get(endpoint.id);
    if (linked === undefined) return;
    linked.state = state;
    if (state === "ready") this.#beginServing(endpoint);
    else this.endServing(endpoint);
    const zone = `az-${this.allEndpoints.indexOf(endpoint) % 2}`;
    this.store.put("servers", endpoint.id, {
      service: linked.service,
      address: linked.link.address,
      zone,
      version: endpoint.version,
      slots: 40,
      state,
      cold_remaining_ms: 0,
      sequence: 1,
      born: endpoint.born_ms,
    });
    this.#options.log.add(
      `entry endpoint=${endpoint.id} version=${endpoint.version} state=${state}`,
    );
  }

  /** Marks an endpoint as one that leaves, with or without an entry that says so. */
  beginLeaving(
    endpoint: SoakEndpoint,
    { silently }: { silently: boolean },
  ): void {
    if (silently) this.removeEntry(endpoint);
    else this.register(endpoint, "draining");
  }

  /** Removes an endpoint's entry. */
  removeEntry(endpoint: SoakEndpoint): void {
    this.#endpoints.delete(endpoint.id);
    this.endServing(endpoint);
    this.store.remove("servers", endpoint.id);
    this.#options.log.add(`entry endpoint=${endpoint.id} removed`);
  }

  /** Notes that an endpoint leaves service or isn't sound any more. */
  endServing(endpoint: SoakEndpoint): void {
    const current = this.#currentServing(endpoint);
    if (current !== undefined) current.end_ms = performance.now();
  }

  /** Number of sound endpoints that served a version for the whole span. */
  countServing(version: string, begin_ms: number, end_ms: number): number {
    return this.#servings.filter((each) =>
      each.version === version && each.begin_ms <= begin_ms &&
      each.end_ms >= end_ms
    ).length;
  }

  /** Publishes the next version of the manifest. */
  publish(): void {
    this.manifestVersion += 1;
    this.#writeManifest();
  }

  /** Goes back to a copy of the store; its writers write again. */
  restoreStore(copy: StoreCopy): void {
    this.store.restore(copy);
    this.#options.log.add(`store restored epoch=${this.store.epoch}`);
  }

  /** Writes the manifest and the entries again that a restored store lost. */
  writeAgain(): void {
    this.#writeManifest();
    for (const { endpoint, state } of [...this.#endpoints.values()]) {
      if (state !== undefined) this.register(endpoint, state);
    }
    const known = new Set(this.#endpoints.keys());
    for (const name of this.store.listNames("servers")) {
      if (!known.has(name)) this.store.remove("servers", name);
    }
  }

  /** Notes that hosts are not in touch; returns what notes the end of that. */
  disturb(hosts: readonly SoakHost[]): () => void {
    const begin_ms = performance.now();
    const begun = hosts.map((host) => ({ host, begin_ms, end_ms: Infinity }));
    this.#disturbances.push(...begun);
    return () => {
      for (const each of begun) each.end_ms = performance.now();
    };
  }

  /** Whether a host was in touch in this span. */
  wasInTouch(host: SoakHost, begin_ms: number, end_ms: number): boolean {
    return this.#disturbances.every((each) =>
      each.host !== host || each.begin_ms > end_ms ||
      each.end_ms < begin_ms - CONTACT_MS
    );
  }

  #currentServing(endpoint: SoakEndpoint): Serving | undefined {
    return this.#servings.find((each) =>
      each.endpoint === endpoint && each.end_ms === Infinity
    );
  }

  #beginServing(endpoint: SoakEndpoint): void {
    if (this.#currentServing(endpoint) !== undefined) return;
    const begin_ms = performance.now();
    const { version } = endpoint;
    this.#servings.push({ endpoint, version, begin_ms, end_ms: Infinity });
  }

  #writeManifest(): void {
    this.store.put("config", "main", createManifest(this.manifestVersion));
    this.#options.log.add(`manifest version=${this.manifestVersion}`);
  }

  async #createHosts(count: number, storeAddress: string): Promise<void> {
    const { folder, program, shim, log } = this.#options;
    const ips = loopbackAddresses(Math.min(count, MAX_HOSTS));
    const seeds = ips.slice(0, SEEDS).map(({ ip }) => `${ip}:${PORTS.peers}`);
    for (const [number, { ip, own_ip }] of ips.entries()) {
      const host = new SoakHost({
        number,
        folder,
        ip,
        own_ip,
        ports: PORTS,
        seeds,
        storeAddress,
        program,
        shim,
        log,
      });
      this.hosts.push(host);
      await this.#addLink({
        place: { group: LinkGroup.Hosts, host: ip },
        target: () => `${own_ip}:${PORTS.peers}`,
        listen: { ip, port: PORTS.peers },
      });
      const link = await this.#addLink({
        place: { group: LinkGroup.Callers, host: ip },
        target: () => host.callers,
      });
      this.#callerLinks.set(host, link);
    }
  }

  async #addLink(
    options: Omit<ConstructorParameters<typeof Link>[0], "faults">,
  ): Promise<Link> {
    const link = new Link({ ...options, faults: this.faults });
    await link.start();
    this.#links.push(link);
    return link;
  }
}

/** Addresses that no other soak of this machine uses. */
function loopbackAddresses(count: number): { ip: string; own_ip: string }[] {
  deployments += 1;
  const second = 64 + (process.pid % 128);
  const third = (Math.floor(process.pid / 128) + deployments * 31) % 256;
  return Array.from({ length: count }, (_, n) => ({
    ip: `127.${second}.${third}.${1 + n}`,
    own_ip: `127.${second}.${third}.${1 + MAX_HOSTS + n}`,
  }));
}

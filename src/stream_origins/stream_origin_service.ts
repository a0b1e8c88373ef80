/**
 * Finds out at which software version a stream must go on. What two versions
 * write doesn't fit together, and endpoints don't check it.
 *
 * The host that relays a first event remembers the version. While a pool has
 * endpoints of several versions, two other hosts keep a copy, chosen by the
 * attempt's id, so that a stream can be resumed after its host is gone. A host
 * that finds no record may still conclude the version if no other was in service
 * in the life of the stream. Its own list may be behind without its knowing, so
 * the source must confirm the list first, to this host or to another one; while
 * the source answers nobody, most of several other hosts must know of no other
 * version. Else the stream is not resumed: a guess would join two versions.
 */
import type { Logger } from "../logging/logger.ts";
import { rankCandidates } from "../membership/rendezvous_hash.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import { SharedRuns } from "../utils/shared_runs.ts";
import { EndpointStarts, type KnownIncarnation } from "./endpoint_starts.ts";
import { LongestDeadlines } from "./longest_deadlines.ts";
import { OriginMemory } from "./origin_memory.ts";
import type { ConfirmSource } from "./confirm_source.ts";
import type { StoredOrigins } from "./stored_origins.ts";
import {
  OriginSource,
  type ResolvedOrigin,
  type StreamOrigin,
} from "./types.ts";
import {
  UNKNOWN,
  UNNAMED,
  type VersionHistory,
  type VersionReport,
} from "./version_history.ts";

/** Calls to other hosts; they reject if the host does not respond. */
export interface StreamOriginPeers {
  /** Hands copies to a host. */
  keepOrigins(address: string, origins: StreamOrigin[]): Promise<void>;
  /** Asks a host for its record of a stream; null if it has none. */
  askOrigin(address: string, key: string): Promise<StreamOrigin | null>;
  /** Asks a host which versions have been in service, up to now if it can tell. */
  askVersions(address: string): Promise<VersionReport>;
}

/** Dependencies of a `StreamOriginService`. */
export interface StreamOriginOptions {
  history: VersionHistory;
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts. */
  hosts: () => readonly string[];
  /** Hosts that read the source of the endpoints and may confirm it. */
  sourceReaders: () => readonly string[];
  confirmSource: ConfirmSource;
  /** Adds to the history what the store knows of earlier versions. */
  learnStored: () => Promise<void>;
  /** Records in the store, which outlast all hosts. */
  stored: Pick<StoredOrigins, "add" | "find">;
  peers: StreamOriginPeers;
  log: Logger;
  /** Monotonic time in milliseconds. */
  now: () => number;
  /** Returns a number from 0 up to, not including, 1. */
  random: () => number;
}

/** A stream that a caller resumes. */
export interface ResumedStream {
  /** Undefined if the caller does not name the stream's first attempt. */
  key: string | undefined;
  /** The pools in which it can have begun. */
  pools: string[];
  /** Longest time since its first attempt, in milliseconds. */
  max_age_ms: number;
}

/** Hosts that keep a copy of each record. */
const KEEPERS = 2;
/** Hosts that store records, however many there are. */
const WRITERS = 8;
/** Copies for one host within this time share a message. */
const BATCH_WINDOW_MS = 20;
/** Hosts that are asked for what was in service before this host started. */
const ASKED_FOR_VERSIONS = 3;
/** Hosts of which most must answer while none can confirm the source. */
const ASKED_WITHOUT_SOURCE = 5;
/** Confirmations by other hosts are this far apart, and shared. */
const MIN_CONFIRM_INTERVAL_MS = 100;
/** Time until they are asked again. */
const MIN_ASK_INTERVAL_MS = 1_000;
/** A version that left longer ago has no streams that go on. */
const MIXED_WINDOW_MS = 60_000;

/** Up to when this host knows the versions; the values are logged. */
enum Currency {
  /** Up to now, by the source. */
  Confirmed = "confirmed",
  /** As far as most of several hosts, while the source answers none of them. */
  Agreed = "agreed",
  Unknown = "unknown",
}

/** Remembers and finds out the versions of streams that may be resumed. */
export class StreamOriginService {
  /** Which versions have been in service. */
  readonly history: VersionHistory;
  /** How long the callers of each route wait. */
  readonly deadlines = new LongestDeadlines();
  #memory = new OriginMemory();
  #starts = new EndpointStarts();
  #options: StreamOriginOptions;
  /** Copies that wait to be sent, by address. */
  #outgoing = new Map<string, StreamOrigin[]>();
  #mixedPools = new Set<string>();
  #list = 0;
  /** The questions that are being answered; undefined if there are none. */
  #asking: Promise<void> | undefined;
  #asked_ms = -Infinity;
  /** The hosts that store records, and the joined list they were ranked from. */
  #writers: { hosts: string; order: string[] } = { hosts: "", order: [] };
  #currency: SharedRuns<Currency>;

  constructor(options: StreamOriginOptions) {
    this.#options = options;
    this.history = options.history;
    this.#currency = new SharedRuns(() => this.#makeCurrent(), {
      min_interval_ms: MIN_CONFIRM_INTERVAL_MS,
      now: options.now,
    });
  }

  /**
   * Records the endpoints that are in service now. `list` is the number of the
   * list that they come from: between two lists, changes may be missing.
   */
  observeEndpoints(
    endpoints: readonly RouteEndpoint[],
    { list = this.#list } = {},
  ): void {
    if (endpoints.length === 0) return;
    const now_ms = this.#options.now();
    if (list !== this.#list) this.history.forgetSpan();
    this.#list = list;
    this.history.observe(endpoints, now_ms);
    this.#starts.observe(endpoints, now_ms);
    for (const pool of new Set(endpoints.map((each) => each.pool))) {
      this.#noteMixedPool(pool, now_ms);
    }
  }

  /**
   * The incarnation of an endpoint, and when this host learned of it; undefined
   * if it has left.
   */
  incarnationOf(id: string): KnownIncarnation | undefined {
    return this.#starts.find(id);
  }

  /** Records that an endpoint wrote the first event of a stream. */
  recordFirstEvent(
    key: string,
    { pool, software_version = UNNAMED }: RouteEndpoint,
  ): void {
    this.#record({ key, pool, version: software_version });
  }

  /** Whether endpoints of several versions have lately been in service. */
  isMixed(pool: string): boolean {
    return this.#mixedPools.has(pool);
  }

  /** Records that it isn't known which version wrote the first event. */
  recordUnknown(key: string, pool: string): void {
    this.#record({ key, pool, version: UNKNOWN });
  }

  /** Forgets a stream that has reached its caller whole. */
  forget(key: string): void {
    this.#memory.forget(key);
  }

  /** Keeps copies for another host. */
  keep(origins: readonly StreamOrigin[]): void {
    const now_ms = this.#options.now();
    for (const origin of origins) {
      this.#memory.record(origin, now_ms);
      this.#storeIfWriter(origin);
    }
  }

  /** The record of a stream, if this host has one. */
  find(key: string): StreamOrigin | undefined {
    return this.#memory.find(key);
  }

  /** Finds out where a stream that a caller resumes must go on. */
  async resolve(
    { key, pools, max_age_ms }: ResumedStream,
  ): Promise<ResolvedOrigin> {
    const since_ms = this.#options.now() - max_age_ms;
    const own = key === undefined ? undefined : this.find(key);
    if (own !== undefined) return recorded(own, OriginSource.Own);
    const kept = key === undefined ? undefined : await this.#askKeepers(key);
    if (kept !== undefined) {
      this.#memory.record(kept, this.#options.now());
      return recorded(kept, OriginSource.Keeper);
    }
    const concluded = await this.#concludeVersion(pools, since_ms);
    if (concluded === undefined && key !== undefined) {
      const stored = await this.#findStored(key, since_ms);
      if (stored !== undefined) return recorded(stored, OriginSource.Stored);
    }
    // Later attempts may come when other versions are in service.
    if (concluded !== undefined && key !== undefined) {
      this.#record({ key, pool: concluded.pool, version: concluded.version });
    }
    return concluded;
  }

  #record(origin: StreamOrigin): void {
    this.#memory.record(origin, this.#options.now());
    if (this.#mixedPools.has(origin.pool)) this.#copy(origin);
  }

  /** What this host knows of the versions, and whether up to now. */
  async reportVersions(): Promise<VersionReport> {
    const is_current = await this.#confirmOwnSource();
    return { ...this.history.report(this.#options.now()), is_current };
  }

  async #concludeVersion(
    pools: string[],
    since_ms: number,
  ): Promise<ResolvedOrigin> {
    const [pool, ...others] = pools;
    if (pool === undefined || others.length > 0) return undefined;
    if (this.history.versionsSince(pool, since_ms).length > 1) return undefined;
    if (await this.#currency.next() === Currency.Unknown) return undefined;
    const isKnown = () => this.history.isKnownSince(since_ms, pool);
    if (!isKnown()) await this.#askForVersions();
    if (!isKnown()) await this.#options.learnStored();
    return isKnown() ? this.#onlyVersion(pool, since_ms) : undefined;
  }

  /** Makes what this host knows of the versions current, if it can. */
  async #makeCurrent(): Promise<Currency> {
    if (await this.#confirmOwnSource()) return Currency.Confirmed;
    const { self, hosts, sourceReaders, random, log } = this.#options;
    const readers = await this.#askVersionsOf(sourceReaders());
    if (readers.some(({ is_current }) => is_current)) return Currency.Confirmed;
    // The source may be away for all; then nobody hears of a new version.
    const others = rankCandidates(String(random()), hosts())
      .filter((address) => address !== self)
      .slice(0, ASKED_WITHOUT_SOURCE);
    const reports = await this.#askVersionsOf(others);
    const isConfirmed = reports.some(({ is_current }) => is_current);
    const currency = isConfirmed
      ? Currency.Confirmed
      : 2 * reports.length > others.length || others.length === 0
      ? Currency.Agreed
      : Currency.Unknown;
    log.info({
      event: "versions_unconfirmed",
      asked: others.length,
      answered: reports.length,
      outcome: currency,
    });
    return currency;
  }

  /** Whether the source says that this host knows all versions up to now. */
  async #confirmOwnSource(): Promise<boolean> {
    const changed = await this.#options.confirmSource();
    if (changed === undefined) return false;
    const versions = changed.map(({ pool, software_version = UNNAMED }) => ({
      pool,
      version: software_version,
      gone_for_ms: 0,
    }));
    const now_ms = this.#options.now();
    this.history.merge({ known_for_ms: 0, versions }, now_ms);
    return true;
  }

  /** The version of a pool, if it had no other in all this time. */
  #onlyVersion(pool: string, since_ms: number): ResolvedOrigin {
    const versions = this.history.versionsSince(pool, since_ms);
    const [version] = versions;
    if (versions.length !== 1 || version === undefined) return undefined;
    return { pool, version, source: OriginSource.OnlyVersion };
  }

  #noteMixedPool(pool: string, now_ms: number): void {
    const versions = this.history.versionsSince(pool, now_ms - MIXED_WINDOW_MS);
    if (versions.length < 2) {
      this.#mixedPools.delete(pool);
      return;
    }
    if (this.#mixedPools.has(pool)) return;
    this.#mixedPools.add(pool);
    const origins = this.#memory.inPool(pool);
    this.#options.log.info({
      event: "versions",
      pool,
      versions: versions.join(","),
      streams: origins.length,
    });
    for (const origin of origins) this.#copy(origin);
  }

  /**
   * The stored record of a stream that may have begun before all hosts that know
   * the endpoints have started. Others would have a copy.
   */
  async #findStored(
    key: string,
    since_ms: number,
  ): Promise<StreamOrigin | undefined> {
    if (this.history.hadStarted(since_ms)) return undefined;
    const found = await this.#options.stored.find(key);
    if (found !== undefined) this.#memory.record(found, this.#options.now());
    return found;
  }

  /**
   * Hosts that keep a copy: the one that stores the record, and others. The spare
   * one takes the place of one that doesn't respond.
   */
  #keepersOf(key: string): { keepers: string[]; spare: string | undefined } {
    const { self, hosts } = this.#options;
    const ranked = rankCandidates(key, hosts());
    const others = [...new Set([this.#writerOf(key), ...ranked])]
      .filter((address) => address !== self);
    return { keepers: others.slice(0, KEEPERS), spare: others[KEEPERS] };
  }

  /** The host that stores a record. */
  #writerOf(key: string): string {
    const { self, hosts } = this.#options;
    const all = hosts();
    const joined = all.join();
    if (joined !== this.#writers.hosts) {
      const order = rankCandidates("stored_origins", all).slice(0, WRITERS);
      this.#writers = { hosts: joined, order };
    }
    return rankCandidates(key, this.#writers.order)[0] ?? self;
  }

  #storeIfWriter(origin: StreamOrigin): void {
    const { self, stored } = this.#options;
    if (this.#writerOf(origin.key) === self) stored.add(origin);
  }

  #copy(origin: StreamOrigin): void {
    this.#storeIfWriter(origin);
    const { keepers } = this.#keepersOf(origin.key);
    for (const address of keepers) this.#queue(address, origin);
  }

  #queue(address: string, origin: StreamOrigin): void {
    const waiting = this.#outgoing.get(address);
    if (waiting !== undefined) {
      waiting.push(origin);
      return;
    }
    this.#outgoing.set(address, [origin]);
    setTimeout(() => void this.#send(address), BATCH_WINDOW_MS);
  }

  async #send(address: string): Promise<void> {
    const { peers, log } = this.#options;
    const origins = this.#outgoing.get(address) ?? [];
    this.#outgoing.delete(address);
    try {
      await peers.keepOrigins(address, origins);
    } catch (error) {
      log.warn({
        event: "origins_not_kept",
        peer: address,
        streams: origins.length,
        error: (error as Error).message,
      });
      this.#offerToSpares(origins, address);
    }
  }

  #offerToSpares(origins: readonly StreamOrigin[], failed: string): void {
    for (const origin of origins) {
      const { spare } = this.#keepersOf(origin.key);
      if (spare !== undefined && spare !== failed) this.#queue(spare, origin);
    }
  }

  /** Asks the keepers of a record; undefined if none has it. */
  async #askKeepers(key: string): Promise<StreamOrigin | undefined> {
    const { keepers, spare } = this.#keepersOf(key);
    const answers = await Promise.all(
      keepers.map((address) => this.#askKeeper(address, key)),
    );
    if (spare !== undefined && answers.includes(undefined)) {
      const isFound = answers.some((answer) => answer);
      if (!isFound) answers.push(await this.#askKeeper(spare, key));
    }
    return answers.find((answer) => answer) ?? undefined;
  }

  /** A host's record; null if it has none, undefined if it doesn't respond. */
  async #askKeeper(
    address: string,
    key: string,
  ): Promise<StreamOrigin | null | undefined> {
    const { peers, log } = this.#options;
    try {
      return await peers.askOrigin(address, key);
    } catch (error) {
      log.warn({
        event: "origin_not_told",
        peer: address,
        stream: key,
        error: (error as Error).message,
      });
      return undefined;
    }
  }

  /** Learns from other hosts what was in service before this one knew. */
  async #askForVersions(): Promise<void> {
    const now_ms = this.#options.now();
    if (now_ms - this.#asked_ms >= MIN_ASK_INTERVAL_MS) {
      this.#asked_ms = now_ms;
      this.#asking = this.#askHosts();
    }
    await this.#asking;
  }

  async #askHosts(): Promise<void> {
    const { self, hosts, sourceReaders, random } = this.#options;
    const asked = rankCandidates(String(random()), hosts())
      .filter((address) => address !== self).slice(0, ASKED_FOR_VERSIONS);
    // Followers may be behind.
    await this.#askVersionsOf([...new Set([...sourceReaders(), ...asked])]);
  }

  /** Takes over what some hosts know; resolves to the reports that came. */
  async #askVersionsOf(
    addresses: readonly string[],
  ): Promise<VersionReport[]> {
    const { peers, log, now } = this.#options;
    const reports = await Promise.all(addresses.map(async (address) => {
      try {
        const report = await peers.askVersions(address);
        this.history.merge(report, now());
        return report;
      } catch (error) {
        log.warn({
          event: "versions_not_told",
          peer: address,
          error: (error as Error).message,
        });
        return undefined;
      }
    }));
    return reports.filter((report) => report !== undefined);
  }
}

function recorded(origin: StreamOrigin, source: OriginSource): ResolvedOrigin {
  return origin.version === UNKNOWN ? undefined : { ...origin, source };
}

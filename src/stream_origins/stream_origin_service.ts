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
import type { RouteEndpoint } from "../routes/types.ts";
import type { FeedChange } from "../store_sync/object_feed.ts";
import { EndpointStarts, type KnownIncarnation } from "./endpoint_starts.ts";
import { LongestDeadlines } from "./longest_deadlines.ts";
import type { KnownVersions } from "./known_versions.ts";
import { OriginKeepers } from "./origin_keepers.ts";
import { newestOf, OriginMemory } from "./origin_memory.ts";
import type { StoredOrigins } from "./stored_origins.ts";
import {
  OriginSource,
  type ResolvedOrigin,
  type StreamOrigin,
} from "./types.ts";
import { UNKNOWN, UNNAMED, type VersionHistory } from "./version_history.ts";

/** Calls to other hosts; they reject if the host does not respond. */
export interface StreamOriginPeers {
  /** Hands copies to a host. */
  keepOrigins(address: string, origins: StreamOrigin[]): Promise<void>;
  /** Asks a host for its record of a stream; null if it has none. */
  askOrigin(address: string, key: string): Promise<StreamOrigin | null>;
}

/** Dependencies of a `StreamOriginService`. */
export interface StreamOriginOptions {
  history: VersionHistory;
  /** Makes the history current, and reach far enough back. */
  versions: Pick<KnownVersions, "learn">;
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts. */
  hosts: () => readonly string[];
  /** Records in the store, which outlast all hosts. */
  stored: Pick<StoredOrigins, "add" | "find">;
  peers: StreamOriginPeers;
  log: Logger;
  /** Monotonic time in milliseconds. */
  now: () => number;
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

/** Where the endpoints in service are known from. */
export interface ObservedFrom {
  /** Number of their list: between two lists, changes may be missing. */
  list?: number;
  /** What led to them: some may have come and gone within one delivery. */
  changes?: readonly FeedChange<RouteEndpoint>[];
}

/** Copies for one host within this time share a message. */
const BATCH_WINDOW_MS = 20;
/** A version that left longer ago has no streams that go on. */
const MIXED_WINDOW_MS = 60_000;

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
  #keepers: OriginKeepers;

  constructor(options: StreamOriginOptions) {
    this.#options = options;
    this.history = options.history;
    this.#keepers = new OriginKeepers(options);
  }

  /** Records the endpoints that are in service now. */
  observeEndpoints(
    endpoints: readonly RouteEndpoint[],
    { list = this.#list, changes = [] }: ObservedFrom = {},
  ): void {
    const now_ms = this.#options.now();
    const changed = changes.map(({ value }) => value)
      .filter((value) => value !== undefined);
    this.history.addServed(changed, now_ms);
    if (endpoints.length === 0) return;
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
      this.#memory.keep(origin, now_ms);
      this.#storeIfWriter(origin);
    }
  }

  /** The record of a stream, if this host has one. */
  find(key: string): StreamOrigin | undefined {
    return this.#memory.find(key)?.origin;
  }

  /** Finds out where a stream that a caller resumes must go on. */
  async resolve(
    { key, pools, max_age_ms }: ResumedStream,
  ): Promise<ResolvedOrigin> {
    const since_ms = this.#options.now() - max_age_ms;
    const known = key === undefined ? undefined : this.#memory.find(key);
    if (known?.is_own) return recorded(known.origin, OriginSource.Own);
    const kept = key === undefined ? [] : await this.#askKeepers(key);
    if (known !== undefined) kept.push(known.origin);
    const newest = newestOf(kept);
    if (newest !== undefined) {
      this.#memory.keep(newest, this.#options.now());
      return recorded(newest, OriginSource.Keeper);
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
    const recorded = this.#memory.record(origin, this.#options.now());
    const isTold = this.#mixedPools.has(origin.pool) ||
      origin.version === UNKNOWN;
    if (isTold) this.#copy(recorded);
  }

  async #concludeVersion(
    pools: string[],
    since_ms: number,
  ): Promise<ResolvedOrigin> {
    const [pool, ...others] = pools;
    if (pool === undefined || others.length > 0) return undefined;
    if (this.history.versionsSince(pool, since_ms).length > 1) return undefined;
    const { versions } = this.#options;
    const isKnown = await versions.learn(pool, since_ms);
    return isKnown ? this.#onlyVersion(pool, since_ms) : undefined;
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
    const origins = this.#memory.ownInPool(pool);
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
    if (found !== undefined) this.#memory.keep(found, this.#options.now());
    return found;
  }

  #storeIfWriter(origin: StreamOrigin): void {
    const { self, stored } = this.#options;
    if (this.#keepers.writerOf(origin.key) === self) stored.add(origin);
  }

  #copy(origin: StreamOrigin): void {
    this.#storeIfWriter(origin);
    const { keepers } = this.#keepers.of(origin.key);
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
      const { spare } = this.#keepers.of(origin.key);
      if (spare !== undefined && spare !== failed) this.#queue(spare, origin);
    }
  }

  /** Asks the keepers of a record; empty if none has it. */
  async #askKeepers(key: string): Promise<StreamOrigin[]> {
    const { keepers, spare } = this.#keepers.of(key);
    const answers = await Promise.all(
      keepers.map((address) => this.#askKeeper(address, key)),
    );
    if (spare !== undefined && answers.includes(undefined)) {
      const isFound = answers.some((answer) => answer);
      if (!isFound) answers.push(await this.#askKeeper(spare, key));
    }
    return answers.filter((answer) => answer !== null && answer !== undefined);
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
}

function recorded(origin: StreamOrigin, source: OriginSource): ResolvedOrigin {
  return origin.version === UNKNOWN ? undefined : { ...origin, source };
}

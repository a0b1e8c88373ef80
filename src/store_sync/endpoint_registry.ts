import { isInShare, type ZoneShares } from "../evacuations/zone_shares.ts";
import { incarnationOf } from "../routes/incarnation.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
  UNKNOWN_START_MS,
} from "../routes/types.ts";
import { EndpointTombstones } from "./endpoint_tombstones.ts";
import { GRACE_PERIOD_AFTER_OUTAGE_MS } from "./watch_cache.ts";
import { deletesUnknown } from "./missed_changes.ts";
import type { FeedChange, FeedItem } from "./object_feed.ts";
import { dropOldest } from "../utils/drop_oldest.ts";

/** Interval at which an endpoint writes its entry. */
const ENDPOINT_HEARTBEAT_MS = 1_200;
/** Heartbeats without a write after which the store removes an entry. */
const HEARTBEATS_TO_LAPSE = 3;
/**
 * How long after a restoration an entry of an endpoint that was gone is not
 * used, unless it is written again. By then the entry of a dead endpoint has
 * lapsed, and this host has had time to learn of it.
 */
export const RETURNED_ENTRY_HOLD_MS =
  HEARTBEATS_TO_LAPSE * ENDPOINT_HEARTBEAT_MS + GRACE_PERIOD_AFTER_OUTAGE_MS;

/** Options of {@linkcode EndpointRegistry}. */
export interface EndpointRegistryOptions {
  /** Undefined if zones are never evacuated. */
  zones?: ZoneShares;
  /**
   * Name of this host: while a zone's share changes, each host uses other
   * endpoints of it.
   */
  host?: string;
}

interface RegistryEntry {
  endpoint: RouteEndpoint;
  /** Whether its entry is missing; it is dropped after the grace period. */
  missing: boolean;
}

/** An entry that came back although its endpoint was gone. */
interface ReturnedEntry {
  endpoint: RouteEndpoint;
  /** When the entry is used after all. */
  held_until_ms: number;
}
/** Leaving incarnations that are remembered; the oldest are dropped. */
const MAX_LEAVING = 4_096;

/**
 * Holds the endpoints that this host knows of. Its source is the feed of the
 * store's endpoints, read from the store or from another host. The caller passes
 * the time in, as milliseconds of one monotonic clock.
 *
 * An entry that is removed while the source is available means that the endpoint
 * has left: it is dropped at once. An entry that is missing after an outage of
 * the source may only have expired, and one that is missing after the source
 * went back to an older copy may have been written since, so the endpoint is
 * kept until live endpoints have had time to write their entries again.
 *
 * An older copy also brings back entries of endpoints that have left. They are
 * held back until they are written again or, if they have not lapsed by then,
 * until {@linkcode RETURNED_ENTRY_HOLD_MS} has passed.
 *
 * An incarnation that is leaving, by its own word or by its entry, stays so
 * whatever an entry says later: the source or a peer may be behind, and an older
 * copy may say that it is ready.
 */
export class EndpointRegistry {
  #entries = new Map<string, RegistryEntry>();
  #returned = new Map<string, ReturnedEntry>();
  #tombstones = new EndpointTombstones();
  /** Whether any endpoint has told when it started. */
  #startsAreTold = false;
  /** Cached for `findByAddress`, and cleared when the entries change. */
  #newestByAddress: Map<string, RouteEndpoint> | undefined;
  /** Also true before the first read. */
  #sourceUnavailable = true;
  #lists = 0;
  /** Whether the next list is the first one since a restoration. */
  #restored = false;
  #graceEnd_ms = 0;
  /** Incarnations that have said themselves that they are leaving. */
  #leaving = new Set<string>();
  /** Incarnations whose entries have said that they are leaving. */
  #leavingByEntry = new Set<string>();
  #options: EndpointRegistryOptions;

  constructor(options: EndpointRegistryOptions = {}) {
    this.#options = options;
  }

  /**
   * Lists of the source so far, and deliveries like them: between two, changes
   * may have been missed.
   */
  get lists(): number {
    return this.#lists;
  }

  /** Whether the source is answering this host. */
  get sourceAvailable(): boolean {
    return !this.#sourceUnavailable;
  }

  /** Whether the registry holds no endpoint. */
  get isEmpty(): boolean {
    return this.#entries.size === 0;
  }

  /** Incarnations that have said themselves that they are leaving. */
  get leaving(): string[] {
    return [...this.#leaving];
  }

  /** Marks an incarnation as leaving for good; false if it was already. */
  markLeaving(incarnation: string): boolean {
    if (this.#leaving.has(incarnation)) return false;
    remember(this.#leaving, incarnation);
    for (const entry of this.#entries.values()) {
      entry.endpoint = this.#asKnown(entry.endpoint);
    }
    this.#newestByAddress = undefined;
    return true;
  }

  /** Drops the endpoints whose entries are missing after the grace period. */
  dropExpired(now_ms: number): void {
    for (const [name, entry] of this.#entries) {
      if (this.#isExpired(entry, now_ms)) this.#drop(name);
    }
  }

  /** Marks the source as unavailable, which stops entries from expiring. */
  markSourceUnavailable(): void {
    this.#sourceUnavailable = true;
  }

  /** Marks the source as available and starts the grace period. */
  markSourceAvailable(now_ms: number): void {
    this.#sourceUnavailable = false;
    this.#graceEnd_ms = now_ms + GRACE_PERIOD_AFTER_OUTAGE_MS;
  }

  /**
   * Starts the grace period, also if the source was never away for this host:
   * what was written since the copy is missing from it until it is written again.
   */
  markSourceRestored(now_ms: number): void {
    this.#restored = true;
    this.dropExpired(now_ms);
    this.extendGracePeriod(now_ms + GRACE_PERIOD_AFTER_OUTAGE_MS);
  }

  /** Extends the grace period to the end that another host reports. */
  extendGracePeriod(until_ms: number): void {
    this.#graceEnd_ms = Math.max(this.#graceEnd_ms, until_ms);
  }

  /**
   * Takes the values from entries that no endpoint wrote: once any endpoint has
   * told when it started, one that tells none is another writer's.
   */
  withoutForeign<Item extends FeedItem<RouteEndpoint>>(items: Item[]): Item[] {
    const tellsStart = ({ value }: Item) =>
      value !== undefined && value.born_ms !== UNKNOWN_START_MS;
    this.#startsAreTold ||= items.some(tellsStart);
    if (!this.#startsAreTold) return items;
    return items.map((item) =>
      tellsStart(item) ? item : { ...item, value: undefined }
    );
  }

  /** Replaces all entries with a list from the source. */
  replaceAll(items: FeedItem<RouteEndpoint>[], now_ms: number): void {
    this.#lists += 1;
    this.#sourceUnavailable = false;
    const mayHaveReturned = this.#restored;
    this.#restored = false;
    if (mayHaveReturned) this.#returned.clear();
    const present = this.#putAll(items, { now_ms, mayHaveReturned });
    for (const name of this.#entries.keys()) {
      if (!present.has(name)) this.#remove(name, now_ms);
    }
  }

  /**
   * Replaces all entries with those of a peer, which may be slightly stale.
   * Endpoints that the peer does not list are dropped at once.
   */
  replaceFromPeer(items: FeedItem<RouteEndpoint>[], now_ms: number): void {
    const present = this.#putAll(items, { now_ms, mayHaveReturned: true });
    for (const name of this.#entries.keys()) {
      const isListed = present.has(name) || this.#returned.has(name);
      if (!isListed) this.#delete(name);
    }
  }

  /** Whether this host has an entry of that name. */
  has(name: string): boolean {
    return this.#entries.has(name) || this.#returned.has(name);
  }

  /** Applies changes from the source. */
  applyChanges(changes: FeedChange<RouteEndpoint>[], now_ms: number): void {
    if (deletesUnknown(changes, (name) => this.has(name))) this.#lists += 1;
    for (const change of changes) {
      this.#returned.delete(change.name);
      if (change.deleted) this.#remove(change.name, now_ms);
      else this.#put(change);
    }
  }

  /**
   * Lists the endpoints of a pool, including those that are leaving. Those that
   * get nothing as their zone is evacuated are listed as leaving.
   */
  inPool(pool: string, now_ms: number): RouteEndpoint[] {
    const endpoints = this.#entriesInPool(pool, now_ms);
    const { zones } = this.#options;
    if (zones === undefined || zones.isEmpty) return endpoints;
    return endpoints.map((endpoint) => this.#asAvailable(endpoint, now_ms));
  }

  /** Whether this host must send nothing to an endpoint, as its zone is evacuated. */
  isEvacuated(endpoint: RouteEndpoint, now_ms: number): boolean {
    const { zones } = this.#options;
    if (zones === undefined || zones.isEmpty) return false;
    const current = this.#entries.get(endpoint.id)?.endpoint;
    const { availability_zone: zone } = current !== undefined &&
        incarnationOf(current) === incarnationOf(endpoint)
      ? current
      : endpoint;
    return zones.isEvacuated(zone) && zones.share(zone, now_ms) === 0;
  }

  /**
   * Whether a pool has endpoints, and this host sends to none of them as their
   * zones are evacuated.
   */
  isPoolEvacuated(pool: string, now_ms: number): boolean {
    const { zones } = this.#options;
    if (zones === undefined || zones.isEmpty) return false;
    const endpoints = this.#entriesInPool(pool, now_ms);
    return endpoints.length > 0 &&
      endpoints.every((endpoint) =>
        zones.isEvacuated(endpoint.availability_zone) &&
        !this.#isInShare(endpoint, now_ms)
      );
  }

  /** Whether any endpoint is in a zone. */
  hasInZone(zone: string): boolean {
    return [...this.#entries.values()].some(({ endpoint }) =>
      endpoint.availability_zone === zone
    );
  }

  #entriesInPool(pool: string, now_ms: number): RouteEndpoint[] {
    this.#useReturned(now_ms);
    const found: RouteEndpoint[] = [];
    for (const [name, entry] of this.#entries) {
      if (this.#isExpired(entry, now_ms)) this.#drop(name);
      else if (entry.endpoint.pool === pool) found.push(entry.endpoint);
    }
    return found;
  }

  /** Lists the endpoints of a pool that accept new work. */
  readyInPool(pool: string, now_ms: number): RouteEndpoint[] {
    return this.inPool(pool, now_ms)
      .filter((endpoint) => endpoint.state === RouteEndpointState.Ready);
  }

  /**
   * Finds the endpoint that started last at an address; undefined if none is
   * known there.
   */
  findByAddress(address: string): RouteEndpoint | undefined {
    return this.#newestEndpoints().get(address);
  }

  /**
   * Lists every endpoint, including those that are leaving, for peers that
   * cannot reach the source.
   */
  all(now_ms: number): RouteEndpoint[] {
    this.#useReturned(now_ms);
    return [...this.#entries.values()]
      .filter((entry) => !this.#isExpired(entry, now_ms))
      .map(({ endpoint }) => endpoint);
  }

  /** Addresses of the endpoints that accept new work. */
  readyAddresses(now_ms: number): Set<string> {
    const ready = this.all(now_ms)
      .filter((endpoint) =>
        endpoint.state === RouteEndpointState.Ready &&
        this.#isInShare(endpoint, now_ms)
      );
    return new Set(ready.map(({ address }) => address));
  }

  #asAvailable(endpoint: RouteEndpoint, now_ms: number): RouteEndpoint {
    return this.#isInShare(endpoint, now_ms)
      ? endpoint
      : { ...endpoint, state: RouteEndpointState.Leaving };
  }

  /** Whether an endpoint is in the share of its zone that this host may use. */
  #isInShare(endpoint: RouteEndpoint, now_ms: number): boolean {
    const { zones, host = "" } = this.#options;
    if (zones === undefined) return true;
    const { availability_zone: zone } = endpoint;
    const key = `${host}/${incarnationOf(endpoint)}`;
    return isInShare(zones, { zone, key }, now_ms);
  }

  #newestEndpoints(): Map<string, RouteEndpoint> {
    if (this.#newestByAddress !== undefined) return this.#newestByAddress;
    const newest = new Map<string, RouteEndpoint>();
    for (const { endpoint } of this.#entries.values()) {
      const known = newest.get(endpoint.address);
      const isNewer = known === undefined || endpoint.born_ms > known.born_ms;
      if (isNewer) newest.set(endpoint.address, endpoint);
    }
    this.#newestByAddress = newest;
    return newest;
  }

  #isExpired({ missing }: RegistryEntry, now_ms: number): boolean {
    return missing && !this.#sourceUnavailable && now_ms >= this.#graceEnd_ms;
  }

  /** Puts the entries of a list; returns the names of those that are used. */
  #putAll(
    items: FeedItem<RouteEndpoint>[],
    { now_ms, mayHaveReturned }: { now_ms: number; mayHaveReturned: boolean },
  ): Set<string> {
    const previous = this.#returned;
    this.#returned = new Map();
    const used = new Set<string>();
    for (const item of items) {
      const { name, value } = item;
      const wasGone = value !== undefined && this.#hasEnded(value, name);
      const held_until_ms = previous.get(name)?.held_until_ms ??
        (mayHaveReturned ? now_ms + RETURNED_ENTRY_HOLD_MS : now_ms);
      if (wasGone && now_ms < held_until_ms) {
        this.#returned.set(name, { endpoint: value, held_until_ms });
        continue;
      }
      this.#put(item);
      used.add(name);
    }
    return used;
  }

  /** Whether an incarnation is known to be gone, or a later one has started. */
  #hasEnded(endpoint: RouteEndpoint, name: string): boolean {
    const known = this.#entries.get(name)?.endpoint;
    return this.#tombstones.has(endpoint) ||
      (known !== undefined && endpoint.born_ms < known.born_ms);
  }

  #put({ name, value }: FeedItem<RouteEndpoint>): void {
    if (value === undefined) {
      this.#delete(name);
      return;
    }
    const previous = this.#entries.get(name)?.endpoint;
    if (previous !== undefined) this.#tombstones.add(previous);
    this.#tombstones.delete(value);
    if (value.state === RouteEndpointState.Leaving) {
      remember(this.#leavingByEntry, incarnationOf(value));
    }
    const endpoint = this.#asKnown(value);
    this.#entries.set(name, { endpoint, missing: false });
    this.#newestByAddress = undefined;
  }

  /** The endpoint in its state: once leaving, an incarnation stays so. */
  #asKnown(endpoint: RouteEndpoint): RouteEndpoint {
    const incarnation = incarnationOf(endpoint);
    return this.#leaving.has(incarnation) ||
        this.#leavingByEntry.has(incarnation)
      ? { ...endpoint, state: RouteEndpointState.Leaving }
      : endpoint;
  }

  #remove(name: string, now_ms: number): void {
    const entry = this.#entries.get(name);
    if (entry === undefined) return;
    if (this.#sourceUnavailable || now_ms < this.#graceEnd_ms) {
      entry.missing = true;
    } else this.#drop(name);
  }

  /** Drops an endpoint that is gone. */
  #drop(name: string): void {
    const entry = this.#entries.get(name);
    if (entry !== undefined) this.#tombstones.add(entry.endpoint);
    this.#delete(name);
  }

  #delete(name: string): void {
    this.#entries.delete(name);
    this.#newestByAddress = undefined;
  }

  /** Uses the entries that came back and did not lapse in time. */
  #useReturned(now_ms: number): void {
    for (const [name, { endpoint, held_until_ms }] of this.#returned) {
      if (this.#sourceUnavailable || now_ms < held_until_ms) continue;
      this.#returned.delete(name);
      this.#put({ name, value: endpoint });
    }
  }
}

/** Adds a leaving incarnation; drops the oldest beyond the bound. */
function remember(leaving: Set<string>, incarnation: string): void {
  leaving.add(incarnation);
  dropOldest(leaving, MAX_LEAVING);
}

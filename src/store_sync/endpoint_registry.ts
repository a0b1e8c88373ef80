import { type RouteEndpoint, RouteEndpointState } from "../routes/types.ts";
import { GRACE_PERIOD_AFTER_OUTAGE_MS } from "./watch_cache.ts";
import type { FeedChange, FeedItem } from "./object_feed.ts";

interface RegistryEntry {
  endpoint: RouteEndpoint;
  /** When the endpoint is dropped; undefined while its entry is in the store. */
  expires_ms: number | undefined;
}

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
 */
export class EndpointRegistry {
  #entries = new Map<string, RegistryEntry>();
  /** Also true before the first read. */
  #sourceUnavailable = true;
  #graceEnd_ms = 0;

  /** Whether the source is answering this host. */
  get sourceAvailable(): boolean {
    return !this.#sourceUnavailable;
  }

  /** Whether the registry holds no endpoint. */
  get isEmpty(): boolean {
    return this.#entries.size === 0;
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
    this.extendGracePeriod(now_ms + GRACE_PERIOD_AFTER_OUTAGE_MS);
  }

  /** Extends the grace period to the end that another host reports. */
  extendGracePeriod(until_ms: number): void {
    this.#graceEnd_ms = Math.max(this.#graceEnd_ms, until_ms);
  }

  /** Replaces all entries with a list from the source. */
  replaceAll(items: FeedItem<RouteEndpoint>[], now_ms: number): void {
    this.#sourceUnavailable = false;
    const present = new Set(items.map((item) => item.name));
    for (const item of items) this.#put(item);
    for (const name of this.#entries.keys()) {
      if (!present.has(name)) this.#remove(name, now_ms);
    }
  }

  /**
   * Replaces all entries with those of a peer, which may be slightly stale.
   * Endpoints that the peer does not list are dropped at once.
   */
  replaceFromPeer(items: FeedItem<RouteEndpoint>[]): void {
    const present = new Set(items.map((item) => item.name));
    for (const item of items) this.#put(item);
    for (const name of this.#entries.keys()) {
      if (!present.has(name)) this.#entries.delete(name);
    }
  }

  /** Applies changes from the source. */
  applyChanges(changes: FeedChange<RouteEndpoint>[], now_ms: number): void {
    for (const change of changes) {
      if (change.deleted) this.#remove(change.name, now_ms);
      else this.#put(change);
    }
  }

  /** Lists the endpoints of a pool, including those that are leaving. */
  inPool(pool: string, now_ms: number): RouteEndpoint[] {
    const found: RouteEndpoint[] = [];
    for (const [name, { endpoint, expires_ms }] of this.#entries) {
      if (this.#isExpired(expires_ms, now_ms)) this.#entries.delete(name);
      else if (endpoint.pool === pool) found.push(endpoint);
    }
    return found;
  }

  /** Lists the endpoints of a pool that accept new work. */
  readyInPool(pool: string, now_ms: number): RouteEndpoint[] {
    return this.inPool(pool, now_ms)
      .filter((endpoint) => endpoint.state === RouteEndpointState.Ready);
  }

  /** Finds an endpoint by address; undefined if none is known there. */
  findByAddress(address: string): RouteEndpoint | undefined {
    for (const { endpoint } of this.#entries.values()) {
      if (endpoint.address === address) return endpoint;
    }
    return undefined;
  }

  /**
   * Lists every endpoint, including those that are leaving, for peers that
   * cannot reach the source.
   */
  all(now_ms: number): RouteEndpoint[] {
    return [...this.#entries.values()]
      .filter(({ expires_ms }) => !this.#isExpired(expires_ms, now_ms))
      .map(({ endpoint }) => endpoint);
  }

  #isExpired(expires_ms: number | undefined, now_ms: number): boolean {
    return expires_ms !== undefined && !this.#sourceUnavailable &&
      now_ms >= expires_ms;
  }

  #put({ name, value }: FeedItem<RouteEndpoint>): void {
    if (value === undefined) this.#entries.delete(name);
    else this.#entries.set(name, { endpoint: value, expires_ms: undefined });
  }

  #remove(name: string, now_ms: number): void {
    const entry = this.#entries.get(name);
    if (entry === undefined) return;
    if (this.#sourceUnavailable || now_ms < this.#graceEnd_ms) {
      entry.expires_ms ??= this.#graceEnd_ms;
    } else this.#entries.delete(name);
  }
}

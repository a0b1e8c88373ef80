/**
 * Which endpoints this host believes in. Pure: time comes in.
 *
 * An entry that vanishes while its source is well means that the endpoint
 * leaves: it gets nothing new from then on. An entry that vanished while the
 * source was away may only have lapsed, so the endpoint is kept until live
 * endpoints have had time to write their entries again.
 */
import { EndpointState, type RouteEndpoint } from "../routes/types.ts";
import { GRACE_PERIOD_AFTER_OUTAGE_MS } from "./watch_cache.ts";
import type { FeedChange, FeedItem } from "./object_feed.ts";

interface Known {
  endpoint: RouteEndpoint;
  /** When it stops counting; undefined while its entry is there. */
  missingUntil_ms: number | undefined;
}

/** See the module's comment. */
export class EndpointRegistry {
  #known = new Map<string, Known>();
  /** A host that has read nothing yet has no source either. */
  #lost = true;
  #graceUntil_ms = 0;

  /** Whether the source answers. */
  get sourceAvailable(): boolean {
    return !this.#lost;
  }

  /** Whether no endpoint is known. */
  get isEmpty(): boolean {
    return this.#known.size === 0;
  }

  /** The source does not answer. */
  markSourceUnavailable(): void {
    this.#lost = true;
  }

  /** The source answers again. */
  markSourceAvailable(now_ms: number): void {
    this.#lost = false;
    this.#graceUntil_ms = now_ms + GRACE_PERIOD_AFTER_OUTAGE_MS;
  }

  /** The source was away for the host that told this one. */
  extendGracePeriod(until_ms: number): void {
    this.#graceUntil_ms = Math.max(this.#graceUntil_ms, until_ms);
  }

  /** Every entry, as of now. */
  replaceAll(items: FeedItem<RouteEndpoint>[], now_ms: number): void {
    this.#lost = false;
    const present = new Set(items.map((item) => item.name));
    for (const item of items) this.#put(item);
    for (const name of this.#known.keys()) {
      if (!present.has(name)) this.#remove(name, now_ms);
    }
  }

  /** Entries as a peer sees them, which may be a little old. */
  replaceFromPeer(items: FeedItem<RouteEndpoint>[]): void {
    const present = new Set(items.map((item) => item.name));
    for (const item of items) this.#put(item);
    for (const name of this.#known.keys()) {
      if (!present.has(name)) this.#known.delete(name);
    }
  }

  /** Entries that changed. */
  applyChanges(changes: FeedChange<RouteEndpoint>[], now_ms: number): void {
    for (const change of changes) {
      if (change.deleted) this.#remove(change.name, now_ms);
      else this.#put(change);
    }
  }

  /** The endpoints of a pool, those that leave included. */
  inPool(pool: string, now_ms: number): RouteEndpoint[] {
    const found: RouteEndpoint[] = [];
    for (const [name, { endpoint, missingUntil_ms }] of this.#known) {
      if (this.#over(missingUntil_ms, now_ms)) this.#known.delete(name);
      else if (endpoint.pool === pool) found.push(endpoint);
    }
    return found;
  }

  /** The endpoints of a pool that take new work. */
  readyInPool(pool: string, now_ms: number): RouteEndpoint[] {
    return this.inPool(pool, now_ms)
      .filter((endpoint) => endpoint.state === EndpointState.Ready);
  }

  /** The endpoint at an address. */
  findByAddress(address: string): RouteEndpoint | undefined {
    for (const { endpoint } of this.#known.values()) {
      if (endpoint.address === address) return endpoint;
    }
    return undefined;
  }

  /** Every endpoint, for peers that can't reach the source. */
  all(now_ms: number): RouteEndpoint[] {
    return [...this.#known.values()]
      .filter(({ missingUntil_ms }) => !this.#over(missingUntil_ms, now_ms))
      .map(({ endpoint }) => endpoint);
  }

  #over(missingUntil_ms: number | undefined, now_ms: number): boolean {
    return missingUntil_ms !== undefined && !this.#lost &&
      now_ms >= missingUntil_ms;
  }

  #put({ name, value }: FeedItem<RouteEndpoint>): void {
    if (value === undefined) this.#known.delete(name);
    else this.#known.set(name, { endpoint: value, missingUntil_ms: undefined });
  }

  #remove(name: string, now_ms: number): void {
    const known = this.#known.get(name);
    if (known === undefined) return;
    if (this.#lost || now_ms < this.#graceUntil_ms) {
      known.missingUntil_ms ??= this.#graceUntil_ms;
    } else this.#known.delete(name);
  }
}

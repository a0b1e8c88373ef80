/**
 * The gateway hosts, as their entries in the object store tell. Entries do not
 * expire, so a host that is listed need not be there. Pure.
 */
import type { FeedChange, FeedItem } from "../store_sync/object_feed.ts";

/** One gateway host. */
export interface GatewayMember {
  /** Address for peers, as `ip:port`. */
  address: string;
  availability_zone: string;
  /** Processor cores, fractions included. */
  cores: number;
  /** Unix millisecond of its start by its own clock; for ranking only. */
  started_ms: number;
}

/** See the module's comment. */
export class GatewayMembers {
  #members = new Map<string, GatewayMember>();
  #self: GatewayMember;
  /** Hosts that may batch, kept until the members change. */
  #batchers = new Map<boolean, string[]>();

  constructor(self: GatewayMember) {
    this.#self = self;
  }

  /** Every entry, as of now. */
  replaceAll(items: FeedItem<GatewayMember>[]): void {
    this.#members.clear();
    this.#batchers.clear();
    for (const { name, value } of items) {
      if (value !== undefined) this.#members.set(name, value);
    }
  }

  /** Entries that changed. */
  applyChanges(changes: FeedChange<GatewayMember>[]): void {
    this.#batchers.clear();
    for (const { name, value, deleted } of changes) {
      if (deleted || value === undefined) this.#members.delete(name);
      else this.#members.set(name, value);
    }
  }

  /** Number of hosts, this one included. */
  get count(): number {
    return this.otherAddresses().length + 1;
  }

  /** Addresses of all hosts, this one included. */
  addresses(): string[] {
    return [this.#self.address, ...this.otherAddresses()].sort();
  }

  /** Addresses of the other hosts. */
  otherAddresses(): string[] {
    return [...this.#members.values()]
      .map((member) => member.address)
      .filter((address) => address !== this.#self.address);
  }

  /**
   * Addresses of the hosts that may batch: the older half of the largest ones,
   * so that a host which has just started does not take over what others do. A
   * leaving host leaves itself out while there are others. The same array is
   * returned until the members change.
   */
  batchers(leaving: boolean): readonly string[] {
    let batchers = this.#batchers.get(leaving);
    if (batchers === undefined) {
      batchers = this.#findBatchers(leaving);
      this.#batchers.set(leaving, batchers);
    }
    return batchers;
  }

  #findBatchers(leaving: boolean): string[] {
    const all = [...this.#members.values()]
      .filter((member) => member.address !== this.#self.address);
    if (!leaving || all.length === 0) all.push(this.#self);
    const least_cores = leastCoresToBatch(all);
    const larger = all.filter(({ cores }) => cores >= least_cores);
    const limit_ms = middle(larger.map(({ started_ms }) => started_ms));
    return larger.filter(({ started_ms }) => started_ms <= limit_ms)
      .map((member) => member.address);
  }
}

/** Part of a large fleet that batches, and how many hosts it takes at least. */
const BATCHING_SHARE = 0.1;
const LEAST_BATCHING = 4;

/** Cores of the smallest host that batches: the largest tenth, four at least. */
function leastCoresToBatch(hosts: readonly GatewayMember[]): number {
  const wanted = Math.max(
    Math.floor(hosts.length * BATCHING_SHARE),
    Math.min(LEAST_BATCHING, Math.ceil(hosts.length / 2)),
  );
  const largestFirst = hosts.map(({ cores }) => cores).sort((a, b) => b - a);
  return largestFirst[wanted - 1] ?? 0;
}

/** The value in the middle of the sorted values, the lower one of two. */
function middle(values: number[]): number {
  const sorted = values.sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

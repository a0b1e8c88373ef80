import type { FeedChange, FeedItem } from "../store_sync/object_feed.ts";

/** One gateway host. */
export interface GatewayMember {
  /** Address for peers, as `ip:port`. */
  address: string;
  availability_zone: string;
  /** CPU cores, possibly a fraction. */
  cores: number;
  /** Unix time of its start by its own clock, in milliseconds; for ranking only. */
  started_ms: number;
}

/**
 * Holds the gateway hosts that are registered in the object store. Entries do
 * not expire, so a registered host may be down.
 */
export class GatewayMembers {
  #members = new Map<string, GatewayMember>();
  #self: GatewayMember;
  /** Cached results of `batchers`, cleared when the members change. */
  #batchers = new Map<boolean, string[]>();
  /** Cached for `zoneOf`, and cleared when the members change. */
  #zones: Map<string, string> | undefined;

  #listener: (hosts: readonly GatewayMember[]) => void = () => {};

  constructor(self: GatewayMember) {
    this.#self = self;
  }

  /** Has a listener called after each change, with the registered hosts. */
  onChange(listener: (hosts: readonly GatewayMember[]) => void): void {
    this.#listener = listener;
  }

  /** Whether this process of a host is registered. */
  lists(
    { address, started_ms }: Pick<GatewayMember, "address" | "started_ms">,
  ): boolean {
    return [...this.#members.values()].some((member) =>
      member.address === address && member.started_ms === started_ms
    );
  }

  /**
   * Replaces all entries. With `keepMissing`, the list may be older than what is
   * known: missing entries, and those of later starts, are kept.
   */
  replaceAll(
    items: FeedItem<GatewayMember>[],
    { keepMissing = false } = {},
  ): void {
    if (!keepMissing) this.#members.clear();
    this.#batchers.clear();
    this.#zones = undefined;
    for (const { name, value } of items) {
      const known = this.#members.get(name);
      const isOlder = known !== undefined && value !== undefined &&
        value.started_ms < known.started_ms;
      if (value !== undefined && !isOlder) this.#members.set(name, value);
    }
    this.#listener([...this.#members.values()]);
  }

  /** Applies changed entries. */
  applyChanges(changes: FeedChange<GatewayMember>[]): void {
    this.#batchers.clear();
    this.#zones = undefined;
    for (const { name, value, deleted } of changes) {
      if (deleted || value === undefined) this.#members.delete(name);
      else this.#members.set(name, value);
    }
    this.#listener([...this.#members.values()]);
  }

  /** Number of hosts, including this one. */
  get count(): number {
    return this.otherAddresses().length + 1;
  }

  /** Addresses of all hosts, including this one, sorted. */
  addresses(): string[] {
    return [this.#self.address, ...this.otherAddresses()].sort();
  }

  /** Addresses of the other hosts. */
  otherAddresses(): string[] {
    return [...this.#members.values()]
      .map((member) => member.address)
      .filter((address) => address !== this.#self.address);
  }

  /** The availability zone of another host; undefined if it is unknown. */
  zoneOf(address: string): string | undefined {
    this.#zones ??= new Map(
      [...this.#members.values()].map((member) => [
        member.address,
        member.availability_zone,
      ]),
    );
    return this.#zones.get(address);
  }

  /** CPU cores of each host, by address. */
  cores(): Map<string, number> {
    const all = [this.#self, ...this.#members.values()];
    return new Map(all.map(({ address, cores }) => [address, cores]));
  }

  /**
   * Addresses of the hosts that may form batches: the older half of the largest
   * ones, so that a newly started host does not take over work from the others.
   * A host that is shutting down excludes itself unless it is the only one. The
   * same array is returned until the members change.
   */
  batchers(selfShuttingDown: boolean): readonly string[] {
    let batchers = this.#batchers.get(selfShuttingDown);
    if (batchers === undefined) {
      batchers = this.#findBatchers(selfShuttingDown);
      this.#batchers.set(selfShuttingDown, batchers);
    }
    return batchers;
  }

  #findBatchers(selfShuttingDown: boolean): string[] {
    const all = [...this.#members.values()]
      .filter((member) => member.address !== this.#self.address);
    if (!selfShuttingDown || all.length === 0) all.push(this.#self);
    const min_cores = minCoresToBatch(all);
    const largeHosts = all.filter(({ cores }) => cores >= min_cores);
    const median_started_ms = lowerMedian(
      largeHosts.map(({ started_ms }) => started_ms),
    );
    return largeHosts.filter(({ started_ms }) =>
      started_ms <= median_started_ms
    )
      .map((member) => member.address);
  }
}

/** Share of the hosts that are large enough to batch, in a large fleet. */
const BATCHER_SHARE = 0.1;
/** Lower bound in a smaller fleet, but at most half of its hosts. */
const MIN_BATCHERS = 4;

/**
 * Returns the cores of the smallest host that is large enough to batch. These are
 * the largest tenth, but at least four hosts, or half the hosts if fewer.
 */
function minCoresToBatch(hosts: readonly GatewayMember[]): number {
  const batcherCount = Math.max(
    Math.floor(hosts.length * BATCHER_SHARE),
    Math.min(MIN_BATCHERS, Math.ceil(hosts.length / 2)),
  );
  const largestFirst = hosts.map(({ cores }) => cores).sort((a, b) => b - a);
  return largestFirst[batcherCount - 1] ?? 0;
}

/** Returns the median; the lower middle value if the count is even. */
function lowerMedian(values: number[]): number {
  const sorted = values.sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

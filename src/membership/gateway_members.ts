/**
 * The gateway hosts, as their entries in the object store tell. Entries do not
 * expire, so a host that is listed need not be there. Pure.
 */
import type { FeedChange, FeedItem } from "../beliefs/object_feed.ts";

/** One gateway host. */
export interface GatewayMember {
  /** Address for peers, as `ip:port`. */
  address: string;
  availability_zone: string;
  /** Processor cores, fractions included. */
  cores: number;
}

/** See the module's comment. */
export class GatewayMembers {
  #members = new Map<string, GatewayMember>();
  #self: GatewayMember;

  constructor(self: GatewayMember) {
    this.#self = self;
  }

  /** Every entry, as of now. */
  replaceAll(items: FeedItem<GatewayMember>[]): void {
    this.#members.clear();
    for (const { name, value } of items) {
      if (value !== undefined) this.#members.set(name, value);
    }
  }

  /** Entries that changed. */
  apply(changes: FeedChange<GatewayMember>[]): void {
    for (const { name, value, deleted } of changes) {
      if (deleted || value === undefined) this.#members.delete(name);
      else this.#members.set(name, value);
    }
  }

  /** Number of hosts, this one included. */
  get count(): number {
    return this.others().length + 1;
  }

  /** Addresses of the other hosts. */
  others(): string[] {
    return [...this.#members.values()]
      .map((member) => member.address)
      .filter((address) => address !== this.#self.address);
  }

  /** Addresses of the larger half of the hosts: those that may gather. */
  gatherers(): string[] {
    const all = [...this.#members.values()]
      .filter((member) => member.address !== this.#self.address);
    all.push(this.#self);
    const cores = all.map((member) => member.cores).sort((a, b) => b - a);
    const least = cores[Math.floor((cores.length - 1) / 2)] ?? 0;
    return all.filter((member) => member.cores >= least)
      .map((member) => member.address);
  }
}

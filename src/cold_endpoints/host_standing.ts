/**
 * Which place this host has in the ranking of an endpoint's hosts, and whether
 * it may act on it: hosts that know different hosts would else hold the same
 * place. Does no I/O and reads no clock: callers pass monotonic time in.
 *
 * The rules rest on one fact of the store: only a host itself removes its entry,
 * after it has stopped to grant sends. So a host that lists itself lists all
 * live hosts that registered before it.
 */
import { rankCandidates } from "../membership/rendezvous_hash.ts";

/** A host's registration. */
export interface RegisteredHost {
  /** Address for peers, as `ip:port`. */
  address: string;
  /** Tells the processes of one address apart; not compared with any time. */
  started_ms: number;
}

/** Why a host may not act on its place. The values are logged. */
export enum StandingReason {
  /** Its own entry is not listed, or has been for a moment only. */
  NotListed = "not_listed",
  /** Hosts that registered earlier may not know it yet. */
  NotKnown = "not_known",
  /** Its list of the hosts may be out of date. */
  Outdated = "outdated",
  ShuttingDown = "shutting_down",
  Established = "established",
}

/**
 * Time after which nothing that was granted before can arrive together with what
 * is granted now: a send is granted up to 1,000 ms ahead and is up to 100 ms
 * late, and the bound counts 1,000 ms.
 */
export const SETTLE_MS = 2_200;
/**
 * A host whose list has not been confirmed for this long grants nothing as an
 * issuer. Two watches of the hosts' feed, which last 20 s, and a list fit in.
 */
const MAX_UNCONFIRMED_MS = 45_000;
/** Longest time by which a confirmed list is behind: its reader's watch was silent. */
const MAX_READER_LAG_MS = 45_000;
/**
 * By then a host that registered earlier lists this one or has stopped granting,
 * and nothing that it granted arrives any more.
 */
const CERTAIN_AFTER_MS = MAX_UNCONFIRMED_MS + MAX_READER_LAG_MS + SETTLE_MS;
/** Keys whose rank is remembered until a list changes. */
const MAX_CACHED_RANKS = 4_096;

interface MemberList {
  addresses: string[];
  isListed: boolean;
  /** When the next list replaced it; undefined for the current one. */
  replaced_ms: number | undefined;
}

/** The standing of one host among all hosts. */
export class HostStanding {
  #self: RegisteredHost;
  #lists: MemberList[] = [];
  #listed_ms: number | undefined;
  #confirmed_ms = -Infinity;
  /** Hosts that registered earlier and may not know this one, by address. */
  #unaware = new Map<string, RegisteredHost>();
  /** When the last of them came to know this host, or left. */
  #aware_ms = Infinity;
  /** Cached ranks in the lists that count; cleared with each of them. */
  #ranks = new Map<string, number>();
  #shuttingDown = false;

  constructor(self: RegisteredHost) {
    this.#self = self;
  }

  /** Records the hosts that are registered now, this one included if it is. */
  updateHosts(hosts: readonly RegisteredHost[], now_ms: number): void {
    const isListed = hosts.some(({ address, started_ms }) =>
      address === this.#self.address && started_ms === this.#self.started_ms
    );
    const current = this.#lists.at(-1);
    if (current !== undefined) current.replaced_ms = now_ms;
    const addresses = [...new Set(hosts.map(({ address }) => address))];
    this.#lists.push({ addresses, isListed, replaced_ms: undefined });
    this.#dropOldLists(now_ms);
    this.#ranks.clear();
    if (!isListed) return this.#forgetRegistration();
    if (this.#listed_ms === undefined) this.#recordFirstList(hosts, now_ms);
    else this.#forgetGone(hosts, now_ms);
  }

  /** Records that the list holds all hosts that were registered at a time. */
  confirm(at_ms: number): void {
    this.#confirmed_ms = Math.max(this.#confirmed_ms, at_ms);
  }

  /** Hosts that registered earlier and have not said that they know this one. */
  get unaware(): RegisteredHost[] {
    return [...this.#unaware.values()];
  }

  /** Records that a host lists this one. */
  recordAware({ address, started_ms }: RegisteredHost, now_ms: number): void {
    if (this.#unaware.get(address)?.started_ms !== started_ms) return;
    this.#unaware.delete(address);
    this.#noteAware(now_ms);
  }

  /** This host grants nothing more; must be called before its entry is removed. */
  shutDown(): void {
    this.#shuttingDown = true;
  }

  /** Whether this host may act on its place in a ranking, or why not. */
  reason(now_ms: number): StandingReason {
    if (this.#shuttingDown) return StandingReason.ShuttingDown;
    if (!this.#hasBeenListed(now_ms)) return StandingReason.NotListed;
    const isKnown = now_ms - this.#aware_ms >= SETTLE_MS ||
      now_ms - (this.#listed_ms ?? now_ms) >= CERTAIN_AFTER_MS;
    if (!isKnown) return StandingReason.NotKnown;
    return now_ms - this.#confirmed_ms <= MAX_UNCONFIRMED_MS
      ? StandingReason.Established
      : StandingReason.Outdated;
  }

  /**
   * This host's place in the ranking for a key, from 0: the last one that it has
   * had in the time that counts. Undefined if it may not act on it.
   */
  rankOf(key: string, now_ms: number): number | undefined {
    if (this.reason(now_ms) !== StandingReason.Established) return undefined;
    this.#dropOldLists(now_ms);
    const cached = this.#ranks.get(key);
    if (cached !== undefined) return cached;
    const ranks = this.#lists.map(({ addresses }) =>
      rankCandidates(key, addresses).indexOf(this.#self.address)
    );
    if (ranks.includes(-1)) return undefined;
    const rank = Math.max(...ranks);
    if (this.#ranks.size >= MAX_CACHED_RANKS) this.#ranks.clear();
    this.#ranks.set(key, rank);
    return rank;
  }

  /**
   * Most hosts, this one included, that it has listed in the time that counts;
   * undefined if its own entry isn't listed.
   */
  hostCount(now_ms: number): number | undefined {
    if (this.#shuttingDown || !this.#hasBeenListed(now_ms)) return undefined;
    this.#dropOldLists(now_ms);
    if (this.#lists.some(({ isListed }) => !isListed)) return undefined;
    return Math.max(...this.#lists.map(({ addresses }) => addresses.length));
  }

  #hasBeenListed(now_ms: number): boolean {
    return this.#listed_ms !== undefined &&
      now_ms - this.#listed_ms >= SETTLE_MS &&
      this.#lists.at(-1)?.isListed === true;
  }

  #recordFirstList(hosts: readonly RegisteredHost[], now_ms: number): void {
    this.#listed_ms = now_ms;
    for (const host of hosts) {
      if (host.address === this.#self.address) continue;
      this.#unaware.set(host.address, host);
    }
    this.#noteAware(now_ms);
  }

  /** Once its entry is back, hosts that registered meanwhile may not know it. */
  #forgetRegistration(): void {
    this.#listed_ms = undefined;
    this.#aware_ms = Infinity;
    this.#unaware.clear();
  }

  /** A host that left grants nothing, and one that started again knows more. */
  #forgetGone(hosts: readonly RegisteredHost[], now_ms: number): void {
    const present = new Map(
      hosts.map(({ address, started_ms }) => [address, started_ms]),
    );
    for (const [address, { started_ms }] of this.#unaware) {
      if (present.get(address) !== started_ms) this.#unaware.delete(address);
    }
    this.#noteAware(now_ms);
  }

  #noteAware(now_ms: number): void {
    const isComplete = this.#unaware.size === 0;
    if (isComplete && this.#aware_ms === Infinity) this.#aware_ms = now_ms;
  }

  #dropOldLists(now_ms: number): void {
    const kept = this.#lists.filter(({ replaced_ms = now_ms }) =>
      now_ms - replaced_ms < SETTLE_MS
    );
    if (kept.length === this.#lists.length) return;
    this.#lists = kept;
    this.#ranks.clear();
  }
}

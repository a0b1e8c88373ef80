import { HostState, type PlatformHost } from "../object_api/types.ts";
import type { Demand, Heartbeat, KnownMember } from "./types.ts";

/** What this host knows about one other host. */
export interface Member {
  /** Address for peers; the member's identity. */
  address: string;
  callers_address: string;
  /** Empty until a heartbeat of the member is known. */
  incarnation: string;
  /** Generation of its configuration. */
  generation: number;
  draining: boolean;
  /** Request rates of organisations there. */
  demand: Demand[];
  /** When any host last received its heartbeat; -Infinity before the first. */
  last_heard_ms: number;
  /** Direct calls that failed since its last heartbeat. */
  consecutive_failures: number;
  /** State in the platform's host list; undefined when not listed. */
  listedState: HostState | undefined;
}

/** Options of {@linkcode MemberTable}. */
export interface MemberTableOptions {
  /** Address of this host, which its own table never contains. */
  self: string;
  /** Time without a heartbeat after which a member no longer counts as live. */
  suspect_after_ms: number;
}

/** Consecutive failed calls after which a member no longer counts as live. */
const FAILURES_TO_SUSPECT = 2;
/** Maximum number of members named in one heartbeat. */
const GOSSIP_SAMPLE_SIZE = 3;
/**
 * Time without a heartbeat after which a member that is not listed is removed, as
 * a multiple of `suspect_after_ms`.
 */
const REMOVE_AFTER_FACTOR = 20;

/**
 * Tracks which entry hosts are live, from direct evidence (their heartbeats),
 * gossip (members named in other hosts' heartbeats) and the platform's host list,
 * which lags. The caller passes the time in. The result affects performance
 * only: correctness never depends on two hosts agreeing on it.
 */
export class MemberTable {
  #members = new Map<string, Member>();
  #options: MemberTableOptions;
  #contactQueue: string[] = [];

  constructor(options: MemberTableOptions, bootstrap: readonly string[]) {
    this.#options = options;
    for (const address of bootstrap) this.#getOrCreate(address);
  }

  /** Records a heartbeat received from the member itself. */
  recordHeartbeat(heartbeat: Heartbeat, now_ms: number): void {
    const { address } = heartbeat;
    if (address === this.#options.self) return;
    Object.assign(this.#getOrCreate(address), {
      callers_address: heartbeat.callers_address,
      incarnation: heartbeat.incarnation,
      generation: heartbeat.generation,
      draining: heartbeat.draining,
      demand: heartbeat.demand,
      last_heard_ms: now_ms,
      consecutive_failures: 0,
    });
    for (const known of heartbeat.known) this.#recordGossip(known, now_ms);
  }

  /** Records that a direct call to the member failed. */
  recordFailedCall(address: string): void {
    const member = this.#members.get(address);
    if (member !== undefined) member.consecutive_failures += 1;
  }

  /** Applies the platform's host list: adds hosts, never removes a live one. */
  updateFromHostList(hosts: readonly PlatformHost[], now_ms: number): void {
    const states = new Map(hosts.map((host) => [host.address, host.state]));
    for (const address of states.keys()) {
      if (address !== this.#options.self) this.#getOrCreate(address);
    }
    for (const member of this.#members.values()) {
      member.listedState = states.get(member.address);
    }
    this.#removeStale(now_ms);
  }

  /** Members heard of recently, without repeated failed calls since. */
  live(now_ms: number): Member[] {
    return [...this.#members.values()].filter((member) =>
      this.#isLive(member, now_ms)
    );
  }

  /** Number of hosts that accept new work, including this one. */
  countServing(now_ms: number): number {
    return 1 + this.live(now_ms).filter((member) => !member.draining).length;
  }

  /** Every member, live or not. */
  all(): Member[] {
    return [...this.#members.values()];
  }

  /** Finds a member by incarnation; undefined if none is known. */
  findByIncarnation(incarnation: string): Member | undefined {
    return this.all().find((member) => member.incarnation === incarnation);
  }

  /** Address of the next member to exchange heartbeats with, in shuffled rounds. */
  nextToContact(random: () => number): string | undefined {
    if (this.#contactQueue.length === 0) {
      this.#contactQueue = shuffle([...this.#members.keys()], random);
    }
    return this.#contactQueue.pop();
  }

  /** Picks a few live members to include in a heartbeat. */
  sampleForGossip(now_ms: number, random: () => number): KnownMember[] {
    const live = this.live(now_ms).filter((member) =>
      member.incarnation !== ""
    );
    return shuffle(live, random).slice(0, GOSSIP_SAMPLE_SIZE).map((member) => ({
      address: member.address,
      callers_address: member.callers_address,
      incarnation: member.incarnation,
      age_ms: Math.round(Math.max(0, now_ms - member.last_heard_ms)),
    }));
  }

  #isLive(member: Member, now_ms: number): boolean {
    if (member.consecutive_failures >= FAILURES_TO_SUSPECT) return false;
    return now_ms - member.last_heard_ms < this.#options.suspect_after_ms;
  }

  #recordGossip(known: KnownMember, now_ms: number): void {
    if (known.address === this.#options.self) return;
    const member = this.#getOrCreate(known.address);
    const heard_ms = now_ms - known.age_ms;
    if (heard_ms <= member.last_heard_ms) return;
    member.last_heard_ms = heard_ms;
    member.incarnation = known.incarnation;
    member.callers_address = known.callers_address;
  }

  #getOrCreate(address: string): Member {
    const known = this.#members.get(address);
    if (known !== undefined) return known;
    const member: Member = {
      address,
      callers_address: "",
      incarnation: "",
      generation: 0,
      draining: false,
      demand: [],
      last_heard_ms: -Infinity,
      consecutive_failures: 0,
      listedState: undefined,
    };
    this.#members.set(address, member);
    return member;
  }

  #removeStale(now_ms: number): void {
    const max_silence_ms = this.#options.suspect_after_ms * REMOVE_AFTER_FACTOR;
    for (const member of this.#members.values()) {
      const isSilent = now_ms - member.last_heard_ms > max_silence_ms;
      if (isSilent && member.listedState === undefined) {
        this.#members.delete(member.address);
      }
    }
  }
}

/** Shuffles the array in place and returns it. */
function shuffle<T>(items: T[], random: () => number): T[] {
  for (let last = items.length - 1; last > 0; last--) {
    const other = Math.floor(random() * (last + 1));
    [items[last], items[other]] = [items[other] as T, items[last] as T];
  }
  return items;
}

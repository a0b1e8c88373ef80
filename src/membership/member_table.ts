/**
 * Which entry hosts are live, from direct evidence (heartbeats), hearsay (peers'
 * heartbeats) and the platform's lagging list. Pure: time comes in. The result
 * serves speed only; no promise rests on two hosts agreeing on it.
 */
import { HostState, type PlatformHost } from "../object_api/types.ts";
import type { Demand, Heartbeat, KnownMember } from "./types.ts";

/** What is known of one other host. */
export interface Member {
  /** Address for peers; the member's identity. */
  address: string;
  callers_address: string;
  /** Empty until the member was heard. */
  incarnation: string;
  generation: number;
  draining: boolean;
  demand: Demand[];
  /** When it was last heard by anyone; -Infinity before. */
  last_heard_ms: number;
  /** Direct calls that failed since it was heard. */
  consecutive_failures: number;
  /** What the platform's list says; undefined when it is not listed. */
  listedState: HostState | undefined;
}

/** Limits of the table. */
export interface MemberTableOptions {
  /** Address of this host, which is never a member of its own table. */
  self: string;
  suspect_after_ms: number;
}

const FAILURES_TO_SUSPECT = 2;
const KNOWN_SAMPLE = 3;
const FORGET_AFTER_FACTOR = 20;

/** Keeps members by address. */
export class MemberTable {
  #members = new Map<string, Member>();
  #options: MemberTableOptions;
  #turn: string[] = [];

  constructor(options: MemberTableOptions, bootstrap: readonly string[]) {
    this.#options = options;
    for (const address of bootstrap) this.#member(address);
  }

  /** Takes a heartbeat that came from the member itself. */
  recordHeartbeat(heartbeat: Heartbeat, now_ms: number): void {
    const { address } = heartbeat;
    if (address === this.#options.self) return;
    Object.assign(this.#member(address), {
      callers_address: heartbeat.callers_address,
      incarnation: heartbeat.incarnation,
      generation: heartbeat.generation,
      draining: heartbeat.draining,
      demand: heartbeat.demand,
      last_heard_ms: now_ms,
      consecutive_failures: 0,
    });
    for (const known of heartbeat.known) this.#hearsay(known, now_ms);
  }

  /** Notes that a direct call to the member failed. */
  recordFailedCall(address: string): void {
    const member = this.#members.get(address);
    if (member !== undefined) member.consecutive_failures += 1;
  }

  /** Takes the platform's list; it adds hosts and never removes a live one. */
  updateFromHostList(hosts: readonly PlatformHost[], now_ms: number): void {
    const states = new Map(hosts.map((host) => [host.address, host.state]));
    for (const address of states.keys()) {
      if (address !== this.#options.self) this.#member(address);
    }
    for (const member of this.#members.values()) {
      member.listedState = states.get(member.address);
    }
    this.#forget(now_ms);
  }

  /** Members that can be expected to answer. */
  live(now_ms: number): Member[] {
    return [...this.#members.values()].filter((member) =>
      this.#isLive(member, now_ms)
    );
  }

  /** Number of hosts that take new work, this one included. */
  countServing(now_ms: number): number {
    return 1 + this.live(now_ms).filter((member) => !member.draining).length;
  }

  /** Every member, live or not. */
  all(): Member[] {
    return [...this.#members.values()];
  }

  /** The member that has this incarnation. */
  findByIncarnation(incarnation: string): Member | undefined {
    return this.all().find((member) => member.incarnation === incarnation);
  }

  /** The next member to exchange heartbeats with, in shuffled rounds. */
  nextToContact(random: () => number): string | undefined {
    if (this.#turn.length === 0) {
      this.#turn = shuffle([...this.#members.keys()], random);
    }
    return this.#turn.pop();
  }

  /** A few recently heard members, to pass on. */
  sampleForGossip(now_ms: number, random: () => number): KnownMember[] {
    const live = this.live(now_ms).filter((member) =>
      member.incarnation !== ""
    );
    return shuffle(live, random).slice(0, KNOWN_SAMPLE).map((member) => ({
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

  #hearsay(known: KnownMember, now_ms: number): void {
    if (known.address === this.#options.self) return;
    const member = this.#member(known.address);
    const heard_ms = now_ms - known.age_ms;
    if (heard_ms <= member.last_heard_ms) return;
    member.last_heard_ms = heard_ms;
    member.incarnation = known.incarnation;
    member.callers_address = known.callers_address;
  }

  #member(address: string): Member {
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

  #forget(now_ms: number): void {
    const limit_ms = this.#options.suspect_after_ms * FORGET_AFTER_FACTOR;
    for (const member of this.#members.values()) {
      const silent = now_ms - member.last_heard_ms > limit_ms;
      if (silent && member.listedState === undefined) {
        this.#members.delete(member.address);
      }
    }
  }
}

function shuffle<T>(items: T[], random: () => number): T[] {
  for (let last = items.length - 1; last > 0; last--) {
    const other = Math.floor(random() * (last + 1));
    [items[last], items[other]] = [items[other] as T, items[last] as T];
  }
  return items;
}

/**
 * Claims on keys that callers make. A key belongs to a shard and to the time
 * bucket in which it was issued; both name one platform object. The shard's
 * preferred host commits for all; when it is silent, anyone commits directly.
 */
import { rankCandidates } from "../membership/rendezvous_hash.ts";
import type { Platform } from "../object_api/types.ts";
import { SlotCommitter } from "./slot_committer.ts";
import {
  type ClaimEntry,
  type ClaimReply,
  ClaimReplyKind,
  type OutcomeNote,
} from "./types.ts";

/** Sends claims and outcomes to another host. */
export interface ClaimPeer {
  claim(address: string, entry: ClaimEntry): Promise<ClaimReply>;
  recordOutcome(address: string, note: OutcomeNote): Promise<void>;
}

/** What shard claims need. */
export interface ShardClaimsOptions {
  platform: Platform;
  peer: ClaimPeer;
  self: string;
  /** Addresses of the live hosts, this one included. */
  hosts: () => string[];
  buckets: number;
  commit_interval_ms: number;
  now: () => number;
  onCommit: (operations: number) => void;
  signal: AbortSignal;
}

const MAX_COMMITTERS = 1_024;

/** Claims keys through their shard's preferred host. */
export class ShardClaims {
  readonly #options: ShardClaimsOptions;
  #committers = new Map<string, SlotCommitter>();

  constructor(options: ShardClaimsOptions) {
    this.#options = options;
  }

  /** Claims through the preferred host, or directly if it gives no answer. */
  async claim(entry: ClaimEntry): Promise<ClaimReply> {
    const owner = this.#ownerOf(entry.shard);
    if (owner === this.#options.self) return await this.commit(entry);
    const started_ms = this.#options.now();
    const reply = await this.#askOwner(owner, entry);
    if (reply !== undefined) return reply;
    const elapsed_ms = this.#options.now() - started_ms;
    const timeout_ms = Math.max(0, entry.timeout_ms - elapsed_ms);
    const direct = await this.commit({ ...entry, timeout_ms });
    return direct.kind === ClaimReplyKind.NotWritten
      ? { kind: ClaimReplyKind.Uncertain }
      : direct;
  }

  /** Commits a claim from this host, for itself or for another. */
  commit(entry: ClaimEntry): Promise<ClaimReply> {
    return this.#committer(entry).claim(entry);
  }

  /** Passes an outcome to the preferred host, or stores it from here. */
  async record(note: OutcomeNote): Promise<void> {
    const owner = this.#ownerOf(note.shard);
    if (owner === this.#options.self) return this.store(note);
    try {
      await this.#options.peer.recordOutcome(owner, note);
    } catch {
      this.store(note);
    }
  }

  /** Stores an outcome from this host. */
  store(note: OutcomeNote): void {
    this.#committer(note).record(note);
  }

  /** Whether every outcome has been stored. */
  get idle(): boolean {
    return [...this.#committers.values()].every((each) => each.idle);
  }

  /** Platform key of the slot of a shard and bucket. */
  slotKey({ shard, bucket }: { shard: number; bucket: number }): string {
    return `claims/${shard}/${bucket % this.#options.buckets}`;
  }

  #ownerOf(shard: number): string {
    const { hosts, self } = this.#options;
    return rankCandidates(`claims/${shard}`, hosts())[0] ?? self;
  }

  async #askOwner(
    owner: string,
    entry: ClaimEntry,
  ): Promise<ClaimReply | undefined> {
    try {
      const half_ms = entry.timeout_ms / 2;
      return await this.#options.peer.claim(owner, {
        ...entry,
        timeout_ms: half_ms,
      });
    } catch {
      return undefined;
    }
  }

  #committer(slot: { shard: number; bucket: number }): SlotCommitter {
    const key = this.slotKey(slot);
    const known = this.#committers.get(key);
    if (known !== undefined) return known;
    this.#dropIdleCommitters();
    const { platform, commit_interval_ms, now, onCommit, signal } =
      this.#options;
    const committer = new SlotCommitter({
      platform,
      key,
      commit_interval_ms,
      now,
      onCommit,
      signal,
    });
    this.#committers.set(key, committer);
    return committer;
  }

  #dropIdleCommitters(): void {
    if (this.#committers.size < MAX_COMMITTERS) return;
    for (const [key, committer] of this.#committers) {
      if (committer.idle) this.#committers.delete(key);
    }
  }
}

/**
 * Claims on keys that callers generate. A key belongs to a shard and to the time
 * bucket in which it was issued; the two identify one stored object. The host
 * that owns the shard commits for all hosts. If it does not respond, any host
 * commits directly; conditional writes keep that safe.
 */
import { rankCandidates } from "../membership/rendezvous_hash.ts";
import type { Platform } from "../object_api/types.ts";
import { ClaimCommitter } from "./claim_committer.ts";
import { GrantedClaims } from "./granted_claims.ts";
import {
  type ClaimReply,
  ClaimReplyKind,
  type ClaimRequest,
  type OutcomeReport,
} from "./types.ts";

/** Calls to other hosts; each rejects if the host does not respond. */
export interface ClaimPeer {
  claim(address: string, request: ClaimRequest): Promise<ClaimReply>;
  recordOutcome(address: string, outcome: OutcomeReport): Promise<void>;
}

/** Dependencies and settings of {@linkcode ShardClaims}. */
export interface ShardClaimsOptions {
  platform: Platform;
  peer: ClaimPeer;
  /** This host's address for calls between hosts. */
  self: string;
  /** Addresses of the live hosts, including this one. */
  hosts: () => string[];
  /**
   * Number of latest time buckets that are kept. Each has one stored object in
   * every shard, which later buckets reuse in turn.
   */
  buckets: number;
  /** Minimum time between two writes of one object. */
  commit_interval_ms: number;
  /** Clock, in milliseconds. */
  now: () => number;
  /** Called after each write, with the number of claims in it. */
  onCommit: (claims: number) => void;
  signal: AbortSignal;
}

/** Idle committers are removed when this number is reached. */
const MAX_COMMITTERS = 1_024;

/** Commits claims and outcomes through the owner of their shard. */
export class ShardClaims {
  readonly #options: ShardClaimsOptions;
  #committers = new Map<string, ClaimCommitter>();
  #granted = new GrantedClaims();

  constructor(options: ShardClaimsOptions) {
    this.#options = options;
  }

  /**
   * Claims a key through the shard's owner, or directly if the owner does not
   * respond. The owner may still commit the claim after that, so a direct claim
   * that was not written is uncertain. A key that was granted to an earlier
   * attempt here is not granted again, also if the platform has lost that claim.
   */
  async claim(request: ClaimRequest): Promise<ClaimReply> {
    const reply = await this.#claim(request);
    if (reply.kind !== ClaimReplyKind.Granted) return reply;
    const earlier = this.#granted.grant(request);
    if (earlier.kind === ClaimReplyKind.Recorded) {
      void this.#sendOutcome({ ...request, outcome: earlier.outcome });
    }
    return earlier;
  }

  async #claim(request: ClaimRequest): Promise<ClaimReply> {
    const owner = this.#ownerOf(request.shard);
    if (owner === this.#options.self) return await this.commit(request);
    const started_ms = this.#options.now();
    const reply = await this.#claimAtOwner(owner, request);
    if (reply !== undefined) return reply;
    const elapsed_ms = this.#options.now() - started_ms;
    const timeout_ms = Math.max(0, request.timeout_ms - elapsed_ms);
    const direct = await this.commit({ ...request, timeout_ms });
    return direct.kind === ClaimReplyKind.NotWritten
      ? { kind: ClaimReplyKind.Uncertain }
      : direct;
  }

  /** Commits a claim from this host, on its own or another host's behalf. */
  commit(request: ClaimRequest): Promise<ClaimReply> {
    return this.#committerFor(request).claim(request);
  }

  /** Sends an outcome to the shard's owner, or stores it if that fails. */
  async recordOutcome(outcome: OutcomeReport): Promise<void> {
    this.#granted.recordOutcome(outcome);
    await this.#sendOutcome(outcome);
  }

  async #sendOutcome(outcome: OutcomeReport): Promise<void> {
    const owner = this.#ownerOf(outcome.shard);
    if (owner === this.#options.self) return this.storeOutcome(outcome);
    try {
      await this.#options.peer.recordOutcome(owner, outcome);
    } catch {
      this.storeOutcome(outcome);
    }
  }

  /** Stores an outcome from this host. */
  storeOutcome(outcome: OutcomeReport): void {
    this.#committerFor(outcome).recordOutcome(outcome);
  }

  /** Whether no claim or outcome is pending. */
  get idle(): boolean {
    return [...this.#committers.values()].every((each) => each.idle);
  }

  /** Key of the object that stores a shard's claims for a bucket. */
  objectKey({ shard, bucket }: { shard: number; bucket: number }): string {
    return `claims/${shard}/${bucket % this.#options.buckets}`;
  }

  #ownerOf(shard: number): string {
    const { hosts, self } = this.#options;
    return rankCandidates(`claims/${shard}`, hosts())[0] ?? self;
  }

  async #claimAtOwner(
    owner: string,
    request: ClaimRequest,
  ): Promise<ClaimReply | undefined> {
    try {
      // Leaves half of the time for a direct claim.
      const half_ms = request.timeout_ms / 2;
      return await this.#options.peer.claim(owner, {
        ...request,
        timeout_ms: half_ms,
      });
    } catch {
      return undefined;
    }
  }

  #committerFor(location: { shard: number; bucket: number }): ClaimCommitter {
    const key = this.objectKey(location);
    const known = this.#committers.get(key);
    if (known !== undefined) return known;
    this.#dropIdleCommitters();
    const { platform, commit_interval_ms, now, onCommit, signal } =
      this.#options;
    const committer = new ClaimCommitter({
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

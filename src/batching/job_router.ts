/**
 * Brings stage jobs to the host that batches for their pool. That host is the
 * first of a rendezvous ranking over the live hosts; if it stays silent, the
 * next one takes its place, in the end this host itself. Nothing has to agree:
 * a job that two hosts make costs work, not correctness.
 */
import type { Logger } from "../logging/logger.ts";
import { rankCandidates } from "../membership/rendezvous.ts";
import { chooseShard } from "./pool_shards.ts";
import type { PoolWaits } from "./pool_waits.ts";
import { pause } from "../utils/loop.ts";
import type { Batcher } from "./batcher.ts";
import {
  type FinalJobOutcome,
  type FreedResults,
  type JobOutcome,
  JobOutcomeKind,
  type StageJob,
} from "./types.ts";

/** Calls to the batchers on other hosts; each rejects if there is no answer. */
export interface BatcherPeers {
  run(
    address: string,
    job: StageJob,
    signal: AbortSignal,
  ): Promise<JobOutcome>;
  free(address: string, freed: FreedResults[]): Promise<void>;
  /** Whether the host batches; rejects if it is silent. */
  ping(address: string): Promise<boolean>;
}

/** What the router needs. */
export interface JobRouterOptions {
  /** This host's address for peers. */
  self: string;
  /** Addresses of the hosts that may batch, this one included. */
  batchers: () => readonly string[];
  local: Batcher;
  peers: BatcherPeers;
  /** Is told what batchers say of their queues. */
  waits: PoolWaits;
  /** This host's availability zone. */
  zone: string;
  /** The shards of a pool; empty if it is one. */
  shards: (pool: string) => readonly string[];
  /** The zone of the endpoint at an address, if that is known. */
  zoneAt: (address: string) => string | undefined;
  log: Logger;
  now: () => number;
  signal: AbortSignal;
}

/** How often a host that owes an answer is asked whether it is there. */
const PING_INTERVAL_MS = 400;
/** Results that are given up within this time share a message. */
const FREE_BATCH_WINDOW_MS = 15;
/** How long a host that did not answer is passed over. */
const SUSPECT_DURATION_MS = 3_000;

/** Shards that are asked before a job counts as refused. */
const MAX_SHARDS_PER_JOB = 3;

interface PeerState {
  pending: Set<AbortController>;
  suspect_until_ms: number;
  /** When it last answered, on the steady clock. */
  answered_ms: number;
}

/** The hosts that may batch for a pool, the preferred one first. */
interface PoolRanking {
  batchers: readonly string[];
  order: readonly string[];
}

/** See the module's comment. */
export class JobRouter {
  #peerStates = new Map<string, PeerState>();
  #freed: FreedResults[] = [];
  #rankings = new Map<string, PoolRanking>();
  #options: JobRouterOptions;

  constructor(options: JobRouterOptions) {
    this.#options = options;
  }

  /** Has a job made somewhere. */
  async run(job: StageJob, signal: AbortSignal): Promise<FinalJobOutcome> {
    const { now, self, local, log } = this.#options;
    const expires_ms = now() + job.expires_in_ms;
    const due_ms = now() + job.due_in_ms;
    const refusing = new Set<string>();
    while (!signal.aborted) {
      const shard = this.#chooseShard(job, refusing);
      const owner = this.batcherOf(job.pool, shard);
      const now_ms = now();
      const current = {
        ...job,
        shard,
        due_in_ms: due_ms - now_ms,
        expires_in_ms: expires_ms - now_ms,
      };
      if (current.expires_in_ms <= 0) break;
      const outcome = owner === self
        ? await local.run(current, signal)
        : await this.#runAt(owner, current, signal);
      if (outcome?.kind === JobOutcomeKind.HandedBack) {
        this.#avoid(owner);
        continue;
      }
      if (outcome !== undefined) {
        if ("wait_ms" in outcome) {
          this.#options.waits.record(current, outcome.wait_ms, now());
        }
        if (outcome.kind === JobOutcomeKind.Refused && shard !== undefined) {
          refusing.add(shard);
          const others = this.#options.shards(job.pool).length - refusing.size;
          if (others > 0 && refusing.size < MAX_SHARDS_PER_JOB) continue;
        }
        return outcome;
      }
      log.warn({
        event: "batcher_lost",
        pool: job.pool,
        shard,
        peer: owner,
        attempt: job.attempt_id,
      });
    }
    return { kind: JobOutcomeKind.Failed, reason: "expired" };
  }

  /** The wait to expect for a job that this host would send now. */
  expectedWaitMs(job: { pool: string; priority: number }): number {
    const { waits, now } = this.#options;
    const shard = this.#chooseShard(job);
    return waits.expectedMs({ ...job, shard }, now());
  }

  #chooseShard(
    { pool, priority, home_zone }: {
      pool: string;
      priority: number;
      home_zone?: string;
    },
    refusing: ReadonlySet<string> = new Set(),
  ): string | undefined {
    const { shards, zone, waits, now } = this.#options;
    const now_ms = now();
    const open = shards(pool).filter((shard) => !refusing.has(shard));
    return chooseShard(open, {
      preferred: home_zone ?? zone,
      waitMs: (shard) => waits.expectedMs({ pool, shard, priority }, now_ms),
    });
  }

  #shardOfAddress({ pool, address }: FreedResults): string | undefined {
    const { shards, zoneAt } = this.#options;
    const zone = zoneAt(address);
    return zone !== undefined && shards(pool).includes(zone) ? zone : undefined;
  }

  /** Gives up results, at the host that counts the memory they take. */
  free(freed: FreedResults): void {
    this.#freed.push({ ...freed, shard: this.#shardOfAddress(freed) });
    if (this.#freed.length > 1) return;
    setTimeout(() => this.#flushFreed(), FREE_BATCH_WINDOW_MS);
  }

  #flushFreed(): void {
    const { self, local, peers, log } = this.#options;
    const owners = Map.groupBy(
      this.#freed.splice(0),
      ({ pool, shard }) => this.batcherOf(pool, shard),
    );
    for (const [owner, freed] of owners) {
      if (owner === self) {
        for (const each of freed) local.free(each);
        continue;
      }
      peers.free(owner, freed).catch((error: Error) => {
        log.warn({ event: "free_failed", peer: owner, error: error.message });
        for (const each of freed) local.free(each);
      });
    }
  }

  /** The host that batches for a pool or its shard, as this host sees it. */
  batcherOf(pool: string, shard?: string): string {
    const now_ms = this.#options.now();
    const key = shard === undefined ? pool : `${pool}/${shard}`;
    return this.#rankingFor(key).find((address) =>
      (this.#peerStates.get(address)?.suspect_until_ms ?? 0) <= now_ms
    ) ?? this.#options.self;
  }

  #rankingFor(key: string): readonly string[] {
    const batchers = this.#options.batchers();
    const known = this.#rankings.get(key);
    if (known?.batchers === batchers) return known.order;
    const order = rankCandidates(key, batchers);
    this.#rankings.set(key, { batchers, order });
    return order;
  }

  async #runAt(
    address: string,
    job: StageJob,
    signal: AbortSignal,
  ): Promise<JobOutcome | undefined> {
    const owner = this.#peerStateAt(address);
    const lost = new AbortController();
    owner.pending.add(lost);
    if (owner.pending.size === 1) void this.#pingWhilePending(address, owner);
    try {
      const outcome = await this.#options.peers.run(
        address,
        job,
        AbortSignal.any([lost.signal, signal]),
      );
      owner.answered_ms = this.#options.now();
      return outcome;
    } catch (error) {
      if (signal.aborted) {
        return { kind: JobOutcomeKind.Failed, reason: "cancelled" };
      }
      this.#suspect(address, owner, (error as Error).message);
      return undefined;
    } finally {
      owner.pending.delete(lost);
    }
  }

  #peerStateAt(address: string): PeerState {
    const known = this.#peerStates.get(address);
    if (known !== undefined) return known;
    const created = {
      pending: new Set<AbortController>(),
      suspect_until_ms: 0,
      answered_ms: -Infinity,
    };
    this.#peerStates.set(address, created);
    return created;
  }

  /** Pings a host that owes an answer and has given none of late. */
  async #pingWhilePending(address: string, owner: PeerState): Promise<void> {
    const { signal, peers, now } = this.#options;
    while (!signal.aborted) {
      await pause(PING_INTERVAL_MS, signal);
      if (owner.pending.size === 0) return;
      if (now() - owner.answered_ms < PING_INTERVAL_MS) continue;
      try {
        if (!await peers.ping(address)) this.#avoid(address);
      } catch (error) {
        this.#suspect(address, owner, (error as Error).message);
        return;
      }
    }
  }

  /** Sends no further jobs to a host for a while; what it has, it ends. */
  #avoid(address: string): void {
    const { now } = this.#options;
    this.#peerStateAt(address).suspect_until_ms = now() + SUSPECT_DURATION_MS;
  }

  #suspect(address: string, owner: PeerState, reason: string): void {
    const { now, log } = this.#options;
    const now_ms = now();
    if (owner.suspect_until_ms <= now_ms) {
      log.warn({ event: "peer_suspected", peer: address, reason });
    }
    this.#avoid(address);
    for (const lost of [...owner.pending]) lost.abort();
  }
}

/**
 * Brings stage jobs to the host that batches for their pool. That host is the
 * first of a rendezvous ranking over the live hosts; if it stays silent, the
 * next one takes its place, in the end this host itself. Nothing has to agree:
 * a job that two hosts make costs work, not correctness.
 */
import type { Logger } from "../logging/logger.ts";
import { rankCandidates } from "../membership/rendezvous_hash.ts";
import { chooseShard } from "./pool_shards.ts";
import type { PoolWaits } from "./pool_waits.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { Batcher } from "./batcher.ts";
import {
  type FinalOutcome,
  type FreedResults,
  JobEnd,
  type JobOutcome,
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
const PING_EVERY_MS = 400;
/** Results that are given up within this time share a message. */
const FREE_EVERY_MS = 15;
/** How long a host that did not answer is passed over. */
const SUSPECT_MS = 3_000;

/** Shards that are asked before a job counts as refused. */
const MOST_SHARDS = 3;

interface Owner {
  pending: Set<AbortController>;
  suspectUntil_ms: number;
  /** When it last answered, on the steady clock. */
  answered_ms: number;
}

/** The hosts that may batch for a pool, the preferred one first. */
interface Ranked {
  batchers: readonly string[];
  order: readonly string[];
}

/** See the module's comment. */
export class JobRouter {
  #owners = new Map<string, Owner>();
  #freed: FreedResults[] = [];
  #ranked = new Map<string, Ranked>();
  #options: JobRouterOptions;

  constructor(options: JobRouterOptions) {
    this.#options = options;
  }

  /** Has a job made somewhere. */
  async run(job: StageJob, signal: AbortSignal): Promise<FinalOutcome> {
    const { now, self, local, log } = this.#options;
    const expires_ms = now() + job.expires_in_ms;
    const due_ms = now() + job.due_in_ms;
    const refusing = new Set<string>();
    while (!signal.aborted) {
      const shard = this.#shardFor(job, refusing);
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
        ? await local.runOwn(current, signal)
        : await this.#runAt(owner, current, signal);
      if (outcome?.kind === JobEnd.HandedBack) {
        this.#passOver(owner);
        continue;
      }
      if (outcome !== undefined) {
        if ("wait_ms" in outcome) {
          this.#options.waits.note(current, outcome.wait_ms, now());
        }
        if (outcome.kind === JobEnd.Refused && shard !== undefined) {
          refusing.add(shard);
          const others = this.#options.shards(job.pool).length - refusing.size;
          if (others > 0 && refusing.size < MOST_SHARDS) continue;
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
    return { kind: JobEnd.Failed, reason: "expired" };
  }

  /** The wait to expect for a job that this host would send now. */
  expectedWaitMs(job: { pool: string; priority: number }): number {
    const { waits, now } = this.#options;
    const shard = this.#shardFor(job);
    return waits.expect({ ...job, shard }, now());
  }

  #shardFor(
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
      waitMs: (shard) => waits.expect({ pool, shard, priority }, now_ms),
    });
  }

  #shardAt({ pool, address }: FreedResults): string | undefined {
    const { shards, zoneAt } = this.#options;
    const zone = zoneAt(address);
    return zone !== undefined && shards(pool).includes(zone) ? zone : undefined;
  }

  /** Gives up results, at the host that counts the memory they take. */
  free(freed: FreedResults): void {
    this.#freed.push({ ...freed, shard: this.#shardAt(freed) });
    if (this.#freed.length > 1) return;
    setTimeout(() => this.#flushFreed(), FREE_EVERY_MS);
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
    return this.#rankedFor(key).find((address) =>
      (this.#owners.get(address)?.suspectUntil_ms ?? 0) <= now_ms
    ) ?? this.#options.self;
  }

  #rankedFor(key: string): readonly string[] {
    const batchers = this.#options.batchers();
    const known = this.#ranked.get(key);
    if (known?.batchers === batchers) return known.order;
    const order = rankCandidates(key, batchers);
    this.#ranked.set(key, { batchers, order });
    return order;
  }

  async #runAt(
    address: string,
    job: StageJob,
    signal: AbortSignal,
  ): Promise<JobOutcome | undefined> {
    const owner = this.#ownerAt(address);
    const lost = new AbortController();
    owner.pending.add(lost);
    if (owner.pending.size === 1) void this.#watch(address, owner);
    try {
      const outcome = await this.#options.peers.run(
        address,
        job,
        AbortSignal.any([lost.signal, signal]),
      );
      owner.answered_ms = this.#options.now();
      return outcome;
    } catch (error) {
      if (signal.aborted) return { kind: JobEnd.Failed, reason: "cancelled" };
      this.#suspect(address, owner, (error as Error).message);
      return undefined;
    } finally {
      owner.pending.delete(lost);
    }
  }

  #ownerAt(address: string): Owner {
    const known = this.#owners.get(address);
    if (known !== undefined) return known;
    const created = {
      pending: new Set<AbortController>(),
      suspectUntil_ms: 0,
      answered_ms: -Infinity,
    };
    this.#owners.set(address, created);
    return created;
  }

  /** Pings a host that owes an answer and has given none of late. */
  async #watch(address: string, owner: Owner): Promise<void> {
    const { signal, peers, now } = this.#options;
    while (!signal.aborted) {
      await abortableDelay(PING_EVERY_MS, signal);
      if (owner.pending.size === 0) return;
      if (now() - owner.answered_ms < PING_EVERY_MS) continue;
      try {
        if (!await peers.ping(address)) this.#passOver(address);
      } catch (error) {
        this.#suspect(address, owner, (error as Error).message);
        return;
      }
    }
  }

  /** Sends no further jobs to a host for a while; what it has, it ends. */
  #passOver(address: string): void {
    const { now } = this.#options;
    this.#ownerAt(address).suspectUntil_ms = now() + SUSPECT_MS;
  }

  #suspect(address: string, owner: Owner, reason: string): void {
    const { now, log } = this.#options;
    const now_ms = now();
    if (owner.suspectUntil_ms <= now_ms) {
      log.warn({ event: "peer_suspected", peer: address, reason });
    }
    this.#passOver(address);
    for (const lost of [...owner.pending]) lost.abort();
  }
}

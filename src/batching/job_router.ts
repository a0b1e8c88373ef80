/**
 * Routes stage jobs to the host that batches for their pool: the first live
 * host in a rendezvous ranking. If it does not respond, or is cut off from the
 * pool's endpoints, the next one is used; if all are cut off, one that doesn't
 * batch otherwise, and this host itself if all others fail. Hosts need not agree
 * on the batcher: running a job twice costs work but not correctness.
 */
import type { Logger } from "../logging/logger.ts";
import { rankCandidates } from "../membership/rendezvous_hash.ts";
import { chooseShard } from "./pool_shards.ts";
import { spreadPools } from "./spread_pools.ts";
import type { PoolWaits } from "./pool_waits.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { Batcher } from "./batcher.ts";
import type { QueueAddress } from "./known_pool_loads.ts";
import type { PoolLoadReport } from "./pool_load_report.ts";
import {
  type FinalJobOutcome,
  type FreedResults,
  type JobOutcome,
  JobOutcomeKind,
  type StageJob,
} from "./types.ts";

/** Calls batchers on other hosts; rejects if the host is unreachable. */
export interface BatcherPeers {
  /** Runs a job at another host. */
  run(
    address: string,
    job: StageJob,
    signal: AbortSignal,
  ): Promise<JobOutcome>;
  /** Frees results whose memory the other host accounts for. */
  free(address: string, freed: FreedResults[]): Promise<void>;
  /** Resolves to whether the host accepts jobs. */
  ping(address: string): Promise<boolean>;
  /** Asks for the load of a pool, or of one shard, for which it batches. */
  loadReport(
    address: string,
    queue: { pool: string; shard?: string },
  ): Promise<PoolLoadReport>;
}

/** Dependencies of a `JobRouter`. */
export interface JobRouterOptions {
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of the hosts that may batch, this one included. */
  batchers: () => readonly string[];
  /**
   * Names of all pools that compute pieces; the same array is returned until they
   * change.
   */
  pools: () => readonly string[];
  /** Addresses of all hosts, this one included. */
  hosts: () => readonly string[];
  /** This host's own batcher. */
  local: Batcher;
  peers: BatcherPeers;
  /** Records the queue waits that batchers report. */
  waits: PoolWaits;
  /** This host's availability zone. */
  zone: string;
  /** The shards of a pool; empty if it is not sharded. */
  shards: (pool: string) => readonly string[];
  /** The zone of the endpoint at an address; undefined if it is unknown. */
  zoneAt: (address: string) => string | undefined;
  log: Logger;
  /** Monotonic time in milliseconds. */
  now: () => number;
  /** Aborts when this host stops. */
  signal: AbortSignal;
}

/** Interval of pings to a host with pending jobs. */
const PING_INTERVAL_MS = 400;
/** Results that are freed within this time share a message. */
const FREE_BATCH_WINDOW_MS = 5;
/** Time for which a host that failed to respond or drains gets no jobs. */
const AVOID_DURATION_MS = 3_000;

/** Shards that are tried before a job is refused. */
const MAX_SHARDS_PER_JOB = 3;

interface PeerState {
  /** One for each job that runs there; aborting it ends the job's call. */
  pending: Set<AbortController>;
  /** Until when the host gets no jobs, in monotonic milliseconds. */
  avoid_until_ms: number;
  /** Until when it gets no jobs of a pool or shard that it doesn't reach. */
  cutOffUntil_ms: Map<string, number>;
  /** When it last returned an outcome, in monotonic milliseconds. */
  last_outcome_ms: number;
}

/** Hosts ranked for pools and shards; valid while hosts and pools are current. */
interface Rankings {
  batchers: readonly string[];
  pools: readonly string[];
  byKey: Map<string, readonly string[]>;
}

/** Runs jobs at the batcher of their pool and frees results there. */
export class JobRouter {
  #peerStates = new Map<string, PeerState>();
  #freed: FreedResults[] = [];
  #rankings: Rankings | undefined;
  #options: JobRouterOptions;

  constructor(options: JobRouterOptions) {
    this.#options = options;
  }

  /**
   * Runs a job, retrying at another batcher if one is lost, drains or refuses
   * it. Fails with reason `expired` when the job's time is up or the signal has
   * aborted before a send, and `cancelled` if the signal aborts later.
   */
  async run(job: StageJob, signal: AbortSignal): Promise<FinalJobOutcome> {
    const { now, self, local, log } = this.#options;
    const expires_ms = now() + job.expires_in_ms;
    const due_ms = now() + job.due_in_ms;
    const refusedBy = new Set<string>();
    while (!signal.aborted) {
      const shard = this.#chooseShard(job, refusedBy);
      const batcher = this.batcherOf(job.pool, shard);
      const now_ms = now();
      const current = {
        ...job,
        shard,
        due_in_ms: due_ms - now_ms,
        expires_in_ms: expires_ms - now_ms,
      };
      if (current.expires_in_ms <= 0) break;
      const outcome = batcher === self
        ? await local.run(current, signal, {
          mayHandBack: !this.#isCutOff(self, keyOf(job.pool, shard)),
        })
        : await this.#runAt(batcher, current, signal);
      if (outcome?.kind === JobOutcomeKind.HandedBack) {
        if (outcome.cut_off === true) {
          this.#avoidFor(batcher, keyOf(job.pool, shard));
        } else this.#avoid(batcher);
        continue;
      }
      if (outcome !== undefined) {
        if ("wait_ms" in outcome) {
          this.#options.waits.record(current, outcome.wait_ms, now());
        }
        if (outcome.kind === JobOutcomeKind.Refused && shard !== undefined) {
          refusedBy.add(shard);
          const remaining = this.#options.shards(job.pool).length -
            refusedBy.size;
          if (remaining > 0 && refusedBy.size < MAX_SHARDS_PER_JOB) continue;
        }
        return outcome;
      }
      log.warn({
        event: "batcher_lost",
        pool: job.pool,
        shard,
        peer: batcher,
        attempt: job.attempt_id,
      });
    }
    return { kind: JobOutcomeKind.Failed, reason: "expired" };
  }

  /** Expected queue wait of a job sent now, in milliseconds. */
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
    refusedBy: ReadonlySet<string> = new Set(),
  ): string | undefined {
    const { shards, zone, waits, now } = this.#options;
    const now_ms = now();
    const candidates = shards(pool).filter((shard) => !refusedBy.has(shard));
    return chooseShard(candidates, {
      preferred: home_zone ?? zone,
      waitMs: (shard) => waits.expectedMs({ pool, shard, priority }, now_ms),
    });
  }

  #shardOfAddress({ pool, address }: FreedResults): string | undefined {
    const { shards, zoneAt } = this.#options;
    const zone = zoneAt(address);
    return zone !== undefined && shards(pool).includes(zone) ? zone : undefined;
  }

  /**
   * Frees results through the batcher that accounts for their memory, together
   * with others freed soon after. If it is unreachable, this host frees them at
   * the endpoint itself.
   */
  free(freed: FreedResults): void {
    this.#freed.push({ ...freed, shard: this.#shardOfAddress(freed) });
    if (this.#freed.length > 1) return;
    setTimeout(() => this.#flushFreed(), FREE_BATCH_WINDOW_MS);
  }

  #flushFreed(): void {
    const { self, local, peers, log } = this.#options;
    const byBatcher = Map.groupBy(
      this.#freed.splice(0),
      ({ pool, shard }) => this.batcherOf(pool, shard),
    );
    for (const [batcher, freed] of byBatcher) {
      if (batcher === self) {
        for (const each of freed) local.free(each);
        continue;
      }
      peers.free(batcher, freed).catch((error: Error) => {
        log.warn({ event: "free_failed", peer: batcher, error: error.message });
        for (const each of freed) local.free(each);
      });
    }
  }

  /** The queues of a pool, one for each shard, with their batchers. */
  queuesOf(pool: string): QueueAddress[] {
    const shards = this.#options.shards(pool);
    if (shards.length === 0) return [{ pool, batcher: this.batcherOf(pool) }];
    return shards.map((shard) => ({
      pool,
      shard,
      batcher: this.batcherOf(pool, shard),
    }));
  }

  /** Asks the batcher of a queue for its load; rejects without a response. */
  async askLoad({ batcher, ...queue }: QueueAddress): Promise<PoolLoadReport> {
    const { self, local, peers } = this.#options;
    return batcher === self
      ? local.reportLoad(queue)
      : await peers.loadReport(batcher, queue);
  }

  /** Address of the host that, as seen from here, batches a pool or shard. */
  batcherOf(pool: string, shard?: string): string {
    const { self, hosts, local } = this.#options;
    const key = keyOf(pool, shard);
    const ranking = this.#rankingFor(key);
    const selfIsCutOff = local.isCutOff({ pool, shard });
    const isUsable = (address: string) =>
      !this.#isAvoided(address) && !this.#isCutOff(address, key) &&
      !(address === self && selfIsCutOff);
    const batcher = ranking.find(isUsable);
    if (batcher !== undefined) return batcher;
    const isOutOfReach = selfIsCutOff ||
      ranking.some((address) => this.#isCutOff(address, key));
    if (!isOutOfReach) return self;
    return rankCandidates(key, hosts()).find(isUsable) ?? self;
  }

  #isAvoided(address: string): boolean {
    const { avoid_until_ms = 0 } = this.#peerStates.get(address) ?? {};
    return avoid_until_ms > this.#options.now();
  }

  /** Whether a host said lately that it doesn't reach a pool's endpoints. */
  #isCutOff(address: string, key: string): boolean {
    const until_ms = this.#peerStates.get(address)?.cutOffUntil_ms.get(key);
    return (until_ms ?? 0) > this.#options.now();
  }

  #rankingFor(key: string): readonly string[] {
    const { batchers, byKey } = this.#currentRankings();
    const known = byKey.get(key);
    if (known !== undefined) return known;
    const order = rankCandidates(key, batchers);
    byKey.set(key, order);
    return order;
  }

  #currentRankings(): Rankings {
    const batchers = this.#options.batchers();
    const pools = this.#options.pools();
    const known = this.#rankings;
    if (known?.batchers === batchers && known.pools === pools) return known;
    const byKey = spreadPools(pools, batchers);
    this.#rankings = { batchers, pools, byKey };
    return this.#rankings;
  }

  async #runAt(
    address: string,
    job: StageJob,
    signal: AbortSignal,
  ): Promise<JobOutcome | undefined> {
    const peer = this.#peerStateAt(address);
    const aborter = new AbortController();
    peer.pending.add(aborter);
    if (peer.pending.size === 1) void this.#pingWhilePending(address, peer);
    try {
      const outcome = await this.#options.peers.run(
        address,
        job,
        AbortSignal.any([aborter.signal, signal]),
      );
      peer.last_outcome_ms = this.#options.now();
      return outcome;
    } catch (error) {
      if (signal.aborted) {
        return { kind: JobOutcomeKind.Failed, reason: "cancelled" };
      }
      this.#suspect(address, peer, (error as Error).message);
      return undefined;
    } finally {
      peer.pending.delete(aborter);
    }
  }

  #peerStateAt(address: string): PeerState {
    const known = this.#peerStates.get(address);
    if (known !== undefined) return known;
    const created = {
      pending: new Set<AbortController>(),
      avoid_until_ms: 0,
      cutOffUntil_ms: new Map<string, number>(),
      last_outcome_ms: -Infinity,
    };
    this.#peerStates.set(address, created);
    return created;
  }

  /** Pings a host while it has pending jobs and returned no recent outcome. */
  async #pingWhilePending(address: string, peer: PeerState): Promise<void> {
    const { signal, peers, now } = this.#options;
    while (!signal.aborted) {
      await abortableDelay(PING_INTERVAL_MS, signal);
      if (peer.pending.size === 0) return;
      if (now() - peer.last_outcome_ms < PING_INTERVAL_MS) continue;
      try {
        if (!await peers.ping(address)) this.#avoid(address);
      } catch (error) {
        this.#suspect(address, peer, (error as Error).message);
        return;
      }
    }
  }

  /** Sends a host no new jobs for a while; those it has continue. */
  #avoid(address: string): void {
    const { now } = this.#options;
    this.#peerStateAt(address).avoid_until_ms = now() + AVOID_DURATION_MS;
  }

  /** Sends a host no jobs of a pool or shard for a while. */
  #avoidFor(address: string, key: string): void {
    const { now, log } = this.#options;
    if (!this.#isCutOff(address, key)) {
      log.warn({ event: "batcher_cut_off", peer: address, queue: key });
    }
    const until_ms = now() + AVOID_DURATION_MS;
    this.#peerStateAt(address).cutOffUntil_ms.set(key, until_ms);
  }

  /** Avoids a host and aborts the calls that are pending there. */
  #suspect(address: string, peer: PeerState, reason: string): void {
    const { now, log } = this.#options;
    const now_ms = now();
    if (peer.avoid_until_ms <= now_ms) {
      log.warn({ event: "peer_suspected", peer: address, reason });
    }
    this.#avoid(address);
    for (const aborter of [...peer.pending]) aborter.abort();
  }
}

/** Names a pool or one shard of it. */
function keyOf(pool: string, shard: string | undefined): string {
  return shard === undefined ? pool : `${pool}/${shard}`;
}

/** The claims of an entry host on idempotency keys. */
import { KeyClaims } from "../claims/claims.ts";
import { Journal } from "../claims/journal.ts";
import { MintedKeys } from "../claims/minted_keys.ts";
import { ShardClaims } from "../claims/shard_claims.ts";
import type { ClaimReply } from "../claims/types.ts";
import { MetricName } from "../metrics/metrics.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { HostContext } from "./host_context.ts";

/** How long this host remembers the idempotency keys that it has minted. */
const MINTED_KEY_RETENTION_MS = 3_600_000;
const MIN_JOURNAL_INTERVAL_MS = 500;
/** Journal interval per serving host: together they write at most once in it. */
const JOURNAL_INTERVAL_PER_HOST_MS = 15;
const CLAIM_WRITES_POLL_INTERVAL_MS = 20;
const CLAIM_WRITES_TIMEOUT_MS = 2_000;

/** Components that run each request with an idempotency key at most once. */
export interface ClaimComponents {
  journal: Journal;
  shards: ShardClaims;
  claims: KeyClaims;
}

/** Creates the claims of a host. */
export function createClaimComponents(context: HostContext): ClaimComponents {
  const { platform, incarnation, peers, metrics, now, signal } = context;
  const { shards: shard_count, ...claimSettings } = context.settings.claims;
  const journal = new Journal({
    platform,
    incarnation,
    interval_ms: () =>
      Math.max(
        MIN_JOURNAL_INTERVAL_MS,
        context.servingHosts() * JOURNAL_INTERVAL_PER_HOST_MS,
      ),
    now,
    signal,
  });
  const shards = new ShardClaims({
    platform,
    self: context.self,
    hosts: context.liveHosts,
    peer: {
      claim: async (address, request) =>
        await peers.clientFor(address).claim.mutate(request) as ClaimReply,
      recordOutcome: (address, outcome) =>
        peers.clientFor(address).recordOutcome.mutate(outcome),
    },
    ...claimSettings,
    now,
    onCommit: () => metrics.count(MetricName.ClaimCommits),
    signal,
  });
  const claims = new KeyClaims({
    minted: new MintedKeys(incarnation, MINTED_KEY_RETENTION_MS),
    journal,
    shards,
    platform,
    shard_count,
    bucket_ms: claimSettings.bucket_ms,
    now,
  });
  return { journal, shards, claims };
}

/** Waits until outcomes are stored, at most CLAIM_WRITES_TIMEOUT_MS. */
export async function waitForClaimWrites(
  { shards, journal }: ClaimComponents,
  signal: AbortSignal,
): Promise<void> {
  await journal.close();
  const end_ms = performance.now() + CLAIM_WRITES_TIMEOUT_MS;
  while (!shards.idle && performance.now() < end_ms && !signal.aborted) {
    await abortableDelay(CLAIM_WRITES_POLL_INTERVAL_MS, signal);
  }
}

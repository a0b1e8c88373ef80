/** Ensures that requests with an idempotency key run at most once. */
import { type Outcome, OutcomeKind, Reason } from "../pipelines/outcome.ts";
import {
  type ClaimResult,
  ClaimResultKind,
  type Claims,
  type KeyStatus,
  KeyStatusKind,
} from "../pipelines/pipeline_dependencies.ts";
import type { PipelineRequest } from "../pipelines/pipeline_request.ts";
import type { Platform } from "../object_api/types.ts";
import { formatIdentity } from "../records/types.ts";
import { sha256Hex } from "../utils/sha256.ts";
import {
  type IdempotencyKey,
  KeyKind,
  parseIdempotencyKey,
} from "./idempotency_key.ts";
import { isStorable, type Journal, JournalLookupKind } from "./journal.ts";
import type { JournalEntry, MintedKeys } from "./minted_keys.ts";
import type { ShardClaims } from "./shard_claims.ts";
import { readKeyStatus } from "./claim_rules.ts";
import {
  type BucketClaims,
  type ClaimReply,
  ClaimReplyKind,
  type ClaimRequest,
} from "./types.ts";

/** Dependencies and settings of {@linkcode KeyClaims}. */
export interface KeyClaimsOptions {
  minted: MintedKeys;
  journal: Journal;
  shards: ShardClaims;
  platform: Platform;
  shard_count: number;
  /** Length of the time buckets by which callers' keys are stored. */
  bucket_ms: number;
  /** Unix time in milliseconds, as in callers' keys. */
  now: () => number;
}

/** How far a key's issue time may be ahead of this host's clock. */
const MAX_CLOCK_SKEW_MS = 60_000;
/** Retry delay for callers whose key is in use or could not be claimed. */
const CLAIM_RETRY_AFTER_MS = 1_000;
/** Share of the time to the deadline that a claim may take. */
const CLAIM_TIMEOUT_SHARE = 0.6;

/**
 * Claims minted keys in this process's memory and callers' keys through
 * {@linkcode ShardClaims}.
 */
export class KeyClaims implements Claims {
  readonly #options: KeyClaimsOptions;

  constructor(options: KeyClaimsOptions) {
    this.#options = options;
  }

  /** Mints a key for an organisation. */
  mint(organisation: string): string {
    return this.#options.minted.mint(organisation, this.#options.now());
  }

  /** Claims the request's key for this attempt; throws if it has no valid key. */
  async claim(request: PipelineRequest): Promise<ClaimResult> {
    const key = keyOf(request);
    if (key.kind === KeyKind.Minted) {
      return await this.#claimMinted(request, key);
    }
    const skew_ms = key.issued_ms - this.#options.now();
    if (skew_ms > MAX_CLOCK_SKEW_MS) return issuedInFuture;
    return resultOf(
      await this.#options.shards.claim(
        this.#claimRequestFor(request, key.issued_ms),
      ),
    );
  }

  /** Stores the outcome of a claimed request. */
  recordOutcome(request: PipelineRequest, outcome: Outcome): void {
    const key = keyOf(request);
    const stored = isStorable(outcome) ? outcome : outputNotStored;
    if (key.kind === KeyKind.Minted) {
      const entry = this.#options.minted.recordOutcome(key.number, stored);
      // After "not run" the key can be claimed again, so that is not journaled.
      const final = outcome.kind !== OutcomeKind.NotRun;
      if (entry !== undefined && final) this.#options.journal.add(entry);
      return;
    }
    const { claim_id, shard, bucket, attempt_id } = this.#claimRequestFor(
      request,
      key.issued_ms,
    );
    const claimOutcome = {
      claim_id,
      shard,
      bucket,
      attempt_id,
      outcome: stored,
    };
    void this.#options.shards.recordOutcome(claimOutcome);
  }

  /** Reads the status of the request's key without claiming it. */
  async checkKey(request: PipelineRequest): Promise<KeyStatus> {
    return await this.checkParsedKey(
      formatIdentity(request.organisation),
      keyOf(request),
    );
  }

  /** Reads the status of an organisation's key without claiming it. */
  async checkParsedKey(
    organisation: string,
    key: IdempotencyKey,
  ): Promise<KeyStatus> {
    if (key.kind === KeyKind.Minted) {
      return await this.#checkMintedKey(organisation, key);
    }
    const location = this.#locate(organisation, key);
    const read = await this.#options.platform.get(
      this.#options.shards.objectKey(location),
    );
    if (!read.ok) return { kind: KeyStatusKind.Unavailable };
    return readKeyStatus(
      read.value?.value as BucketClaims | undefined,
      location,
    );
  }

  async #checkMintedKey(
    organisation: string,
    key: IdempotencyKey & { kind: KeyKind.Minted },
  ): Promise<KeyStatus> {
    const { minted, journal } = this.#options;
    if (key.incarnation === minted.incarnation) {
      const status = minted.statusOf(key.number, organisation);
      if (status !== undefined) return status;
    }
    const journaled = await journal.lookup(key.incarnation, key.number);
    switch (journaled.kind) {
      case JournalLookupKind.Found:
        return journaled.entry.organisation === organisation
          ? { kind: KeyStatusKind.Recorded, outcome: journaled.entry.outcome }
          : { kind: KeyStatusKind.InUse };
      case JournalLookupKind.NeverRun:
        return { kind: KeyStatusKind.Unused };
      case JournalLookupKind.Missing:
        return { kind: KeyStatusKind.InUse };
      case JournalLookupKind.Unavailable:
        return { kind: KeyStatusKind.Unavailable };
    }
  }

  async #claimMinted(
    request: PipelineRequest,
    key: IdempotencyKey & { kind: KeyKind.Minted },
  ): Promise<ClaimResult> {
    const { minted, journal } = this.#options;
    const organisation = formatIdentity(request.organisation);
    const body_digest = bodyDigest(request);
    if (key.incarnation === minted.incarnation) {
      const claimant = { organisation, body_digest };
      return resultOf(minted.claim(key.number, claimant));
    }
    const journaled = await journal.lookup(key.incarnation, key.number);
    switch (journaled.kind) {
      case JournalLookupKind.Found:
        return resultOfJournaled(journaled.entry, {
          organisation,
          body_digest,
        });
      case JournalLookupKind.NeverRun:
        return minterStopped;
      default:
        return minterUnknown;
    }
  }

  #claimRequestFor(request: PipelineRequest, issued_ms: number): ClaimRequest {
    const organisation = formatIdentity(request.organisation);
    const text = keyOf(request).text;
    const remaining_ms = request.deadline_ms - this.#options.now();
    return {
      ...this.#locate(organisation, { text, issued_ms }),
      attempt_id: request.request_id,
      body_digest: bodyDigest(request),
      timeout_ms: Math.max(0, remaining_ms * CLAIM_TIMEOUT_SHARE),
    };
  }

  #locate(organisation: string, key: { text: string; issued_ms: number }) {
    const claim_id = sha256Hex(`${organisation}|${key.text}`);
    const shard = Number.parseInt(claim_id.slice(0, 8), 16) %
      this.#options.shard_count;
    const bucket = Math.floor(key.issued_ms / this.#options.bucket_ms);
    return { claim_id, shard, bucket };
  }
}

/** SHA-256 of the pipeline and the input, to detect their change under a key. */
function bodyDigest(request: PipelineRequest): string {
  const pipeline = formatIdentity(request.pipeline);
  return sha256Hex(`${pipeline}|${JSON.stringify(request.input)}`);
}

function keyOf(request: PipelineRequest): IdempotencyKey {
  const key = parseIdempotencyKey(request.idempotency_key ?? "");
  if (key === undefined) throw new Error("The request has no valid key");
  return key;
}

function resultOfJournaled(
  entry: JournalEntry,
  request: { organisation: string; body_digest: string },
): ClaimResult {
  if (entry.organisation !== request.organisation) return minterUnknown;
  if (entry.body_digest !== request.body_digest) {
    return resultOf({ kind: ClaimReplyKind.Conflict });
  }
  return { kind: ClaimResultKind.Recorded, outcome: entry.outcome };
}

function resultOf(reply: ClaimReply): ClaimResult {
  switch (reply.kind) {
    case ClaimReplyKind.Granted:
      return { kind: ClaimResultKind.Claimed };
    case ClaimReplyKind.Recorded:
      return { kind: ClaimResultKind.Recorded, outcome: reply.outcome };
    case ClaimReplyKind.Conflict:
      return rejected(
        Reason.KeyConflict,
        "The key was used before with another pipeline or input",
      );
    case ClaimReplyKind.InUse:
      return uncertain(
        Reason.KeyInUse,
        "A request with this key was accepted and has no outcome yet",
        CLAIM_RETRY_AFTER_MS,
      );
    case ClaimReplyKind.Expired:
      return uncertain(
        Reason.KeyExpired,
        "The key is older than what is kept, or was not made for this caller",
      );
    case ClaimReplyKind.NotWritten:
      return uncertain(
        Reason.PlatformUnavailable,
        "This attempt was not run; whether an earlier one with the same key " +
          "was run cannot be told now",
        CLAIM_RETRY_AFTER_MS,
      );
    case ClaimReplyKind.Uncertain:
      return uncertain(
        Reason.KeyUndecided,
        "It is not known whether the key was claimed; this attempt never runs",
        CLAIM_RETRY_AFTER_MS,
      );
  }
}

function rejected(
  reason: Reason,
  message: string,
  retry_after_ms?: number,
): ClaimResult {
  return { kind: ClaimResultKind.Refused, reason, message, retry_after_ms };
}

function uncertain(
  reason: Reason,
  message: string,
  retry_after_ms?: number,
): ClaimResult {
  return { kind: ClaimResultKind.Uncertain, reason, message, retry_after_ms };
}

const issuedInFuture = rejected(
  Reason.KeyConflict,
  "The key's time lies in the future; check the caller's clock",
);

const minterStopped = rejected(
  Reason.KeyExpired,
  "The host that minted the key has stopped without running it; mint a new key",
);

const minterUnknown = uncertain(
  Reason.KeyUndecided,
  "The host that minted the key does not answer and recorded no outcome",
);

const outputNotStored: Outcome = {
  kind: OutcomeKind.Unknown,
  reason: Reason.KeyInUse,
  message: "The request was run; its output was too large to be kept",
  retry_after_ms: undefined,
  stages: [],
};

/** Makes keyed, non-idempotent requests run at most once. */
import { type Outcome, OutcomeKind, Reason } from "../pipelines/outcome.ts";
import {
  type Claims,
  type ClaimVerdict,
  ClaimVerdictKind,
  type KeyUse,
  KeyUseKind,
} from "../pipelines/pipeline_parts.ts";
import type { PipelineRequest } from "../pipelines/pipeline_request.ts";
import type { Platform } from "../object_api/types.ts";
import { formatIdentity } from "../records/types.ts";
import { sha256Hex } from "../utils/sha256.ts";
import {
  type IdempotencyKey,
  KeyKind,
  parseIdempotencyKey,
} from "./idempotency_key.ts";
import { isKeepable, type Journal, JournalFind } from "./journal.ts";
import type { JournalEntry, MintedKeys } from "./minted_keys.ts";
import type { ShardClaims } from "./shard_claims.ts";
import { readUse } from "./claim_slot.ts";
import {
  type ClaimEntry,
  type ClaimReply,
  ClaimReplyKind,
  type ClaimSlot,
} from "./types.ts";

/** What claims need. */
export interface ClaimsOptions {
  minted: MintedKeys;
  journal: Journal;
  shards: ShardClaims;
  platform: Platform;
  shard_count: number;
  bucket_ms: number;
  now: () => number;
}

/** How far ahead of this host's clock a key may be issued. */
const MAX_ISSUED_AHEAD_MS = 60_000;
const CLAIM_RETRY_AFTER_MS = 1_000;
/** Part of the remaining time that a claim may take. */
const CLAIM_TIME_SHARE = 0.6;

/** The two ways of claiming, behind the pipeline's interface. */
export class KeyClaims implements Claims {
  readonly #options: ClaimsOptions;

  constructor(options: ClaimsOptions) {
    this.#options = options;
  }

  /** Mints a key for an organisation. */
  mint(organisation: string): string {
    return this.#options.minted.mint(organisation, this.#options.now());
  }

  /** Claims the request's key for its one attempt. */
  async claim(request: PipelineRequest): Promise<ClaimVerdict> {
    const key = keyOf(request);
    if (key.kind === KeyKind.Minted) {
      return await this.#claimMinted(request, key);
    }
    const ahead_ms = key.issued_ms - this.#options.now();
    if (ahead_ms > MAX_ISSUED_AHEAD_MS) return issuedAhead;
    return verdictOf(
      await this.#options.shards.claim(
        this.#entryFor(request, key.issued_ms),
      ),
    );
  }

  /** Keeps the outcome of a claimed request. */
  record(request: PipelineRequest, outcome: Outcome): void {
    const key = keyOf(request);
    const kept = isKeepable(outcome) ? outcome : notKept;
    if (key.kind === KeyKind.Minted) {
      const entry = this.#options.minted.record(key.number, kept);
      // A key that was not run may run later, so "not run" is not journaled.
      const final = outcome.kind !== OutcomeKind.NotRun;
      if (entry !== undefined && final) this.#options.journal.add(entry);
      return;
    }
    const { claim_id, shard, bucket, attempt_id } = this.#entryFor(
      request,
      key.issued_ms,
    );
    const note = { claim_id, shard, bucket, attempt_id, outcome: kept };
    void this.#options.shards.record(note);
  }

  /** Tells whether the request's key was used. */
  async check(request: PipelineRequest): Promise<KeyUse> {
    return await this.lookup(
      formatIdentity(request.organisation),
      keyOf(request),
    );
  }

  /** What is known of an organisation's key. */
  async lookup(organisation: string, key: IdempotencyKey): Promise<KeyUse> {
    if (key.kind === KeyKind.Minted) {
      return await this.#lookupMinted(organisation, key);
    }
    const place = this.#placeOf(organisation, key);
    const found = await this.#options.platform.get(
      this.#options.shards.slotKey(place),
    );
    if (!found.ok) return { kind: KeyUseKind.Unavailable };
    return readUse(found.value?.value as ClaimSlot | undefined, place);
  }

  async #lookupMinted(
    organisation: string,
    key: IdempotencyKey & { kind: KeyKind.Minted },
  ): Promise<KeyUse> {
    const { minted, journal } = this.#options;
    if (key.incarnation === minted.incarnation) {
      const use = minted.useOf(key.number, organisation);
      if (use !== undefined) return use;
    }
    const answer = await journal.find(key.incarnation, key.number);
    switch (answer.find) {
      case JournalFind.Found:
        return answer.entry.organisation === organisation
          ? { kind: KeyUseKind.Recorded, outcome: answer.entry.outcome }
          : { kind: KeyUseKind.InUse };
      case JournalFind.NeverRun:
        return { kind: KeyUseKind.Unused };
      case JournalFind.Missing:
        return { kind: KeyUseKind.InUse };
      case JournalFind.Unavailable:
        return { kind: KeyUseKind.Unavailable };
    }
  }

  async #claimMinted(
    request: PipelineRequest,
    key: IdempotencyKey & { kind: KeyKind.Minted },
  ): Promise<ClaimVerdict> {
    const { minted, journal } = this.#options;
    const organisation = formatIdentity(request.organisation);
    const body_digest = bodyDigest(request);
    if (key.incarnation === minted.incarnation) {
      const use = { organisation, body_digest };
      return verdictOf(minted.claim(key.number, use));
    }
    const answer = await journal.find(key.incarnation, key.number);
    switch (answer.find) {
      case JournalFind.Found:
        return journaledVerdict(answer.entry, { organisation, body_digest });
      case JournalFind.NeverRun:
        return minterStopped;
      default:
        return minterGone;
    }
  }

  #entryFor(request: PipelineRequest, issued_ms: number): ClaimEntry {
    const organisation = formatIdentity(request.organisation);
    const text = keyOf(request).text;
    const remaining_ms = request.deadline_ms - this.#options.now();
    return {
      ...this.#placeOf(organisation, { text, issued_ms }),
      attempt_id: request.request_id,
      body_digest: bodyDigest(request),
      timeout_ms: Math.max(0, remaining_ms * CLAIM_TIME_SHARE),
    };
  }

  #placeOf(organisation: string, key: { text: string; issued_ms: number }) {
    const claim_id = sha256Hex(`${organisation}|${key.text}`);
    const shard = Number.parseInt(claim_id.slice(0, 8), 16) %
      this.#options.shard_count;
    const bucket = Math.floor(key.issued_ms / this.#options.bucket_ms);
    return { claim_id, shard, bucket };
  }
}

/** Digest of what a key stands for. */
function bodyDigest(request: PipelineRequest): string {
  const pipeline = formatIdentity(request.pipeline);
  return sha256Hex(`${pipeline}|${JSON.stringify(request.input)}`);
}

function keyOf(request: PipelineRequest): IdempotencyKey {
  const key = parseIdempotencyKey(request.idempotency_key ?? "");
  if (key === undefined) throw new Error("The request has no valid key");
  return key;
}

function journaledVerdict(
  entry: JournalEntry,
  use: { organisation: string; body_digest: string },
): ClaimVerdict {
  if (entry.organisation !== use.organisation) return minterGone;
  if (entry.body_digest !== use.body_digest) {
    return verdictOf({ kind: ClaimReplyKind.Conflict });
  }
  return { kind: ClaimVerdictKind.Recorded, outcome: entry.outcome };
}

function verdictOf(reply: ClaimReply): ClaimVerdict {
  switch (reply.kind) {
    case ClaimReplyKind.Granted:
      return { kind: ClaimVerdictKind.Claimed };
    case ClaimReplyKind.Recorded:
      return { kind: ClaimVerdictKind.Recorded, outcome: reply.outcome };
    case ClaimReplyKind.Conflict:
      return refused(
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

function refused(
  reason: Reason,
  message: string,
  retry_after_ms?: number,
): ClaimVerdict {
  return { kind: ClaimVerdictKind.Refused, reason, message, retry_after_ms };
}

function uncertain(
  reason: Reason,
  message: string,
  retry_after_ms?: number,
): ClaimVerdict {
  return { kind: ClaimVerdictKind.Uncertain, reason, message, retry_after_ms };
}

const issuedAhead = refused(
  Reason.KeyConflict,
  "The key's time lies in the future; check the caller's clock",
);

const minterStopped = refused(
  Reason.KeyExpired,
  "The host that minted the key has stopped without running it; mint a new key",
);

const minterGone = uncertain(
  Reason.KeyUndecided,
  "The host that minted the key does not answer and recorded no outcome",
);

const notKept: Outcome = {
  kind: OutcomeKind.Unknown,
  reason: Reason.KeyInUse,
  message: "The request was run; its output was too large to be kept",
  retry_after_ms: undefined,
  stages: [],
};

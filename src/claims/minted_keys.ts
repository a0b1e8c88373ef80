/**
 * Idempotency keys minted by this process. Only this process may run requests
 * with them, so claiming one needs no write to the platform's object store. The
 * outcomes are written to the journal afterwards.
 */
import { type Outcome, OutcomeKind } from "../pipelines/outcome.ts";
import {
  type KeyStatus,
  KeyStatusKind,
} from "../pipelines/pipeline_dependencies.ts";
import { formatMintedKey } from "./idempotency_key.ts";
import { type ClaimReply, ClaimReplyKind } from "./types.ts";

interface MintedKey {
  organisation: string;
  minted_ms: number;
  /** SHA-256 of pipeline and input; `undefined` until the key is claimed. */
  body_digest: string | undefined;
  outcome: Outcome | undefined;
}

/** The outcome of a minted key, as it is stored in the journal. */
export interface JournalEntry {
  number: number;
  organisation: string;
  body_digest: string;
  outcome: Outcome;
}

/** Whether the attempt reported that it did not run, which frees the key. */
function wasNotRun({ outcome }: MintedKey): boolean {
  return outcome?.kind === OutcomeKind.NotRun;
}

/** The oldest keys are evicted when this number is reached. */
const MAX_MINTED_KEYS = 100_000;

/**
 * Mints keys and grants each to one attempt. Keys are evicted `retention_ms`
 * after they were minted.
 */
export class MintedKeys {
  #keys = new Map<number, MintedKey>();
  #lastNumber = 0;

  constructor(readonly incarnation: string, readonly retention_ms: number) {}

  /** Mints a key for an organisation. */
  mint(organisation: string, now_ms: number): string {
    this.#evictOldKeys(now_ms);
    this.#lastNumber += 1;
    this.#keys.set(this.#lastNumber, {
      organisation,
      minted_ms: now_ms,
      body_digest: undefined,
      outcome: undefined,
    });
    return formatMintedKey(this.incarnation, this.#lastNumber);
  }

  /**
   * Claims a key for one attempt. Replies `Expired` if the key was evicted or
   * was not minted for this organisation.
   */
  claim(
    number: number,
    request: { organisation: string; body_digest: string },
  ): ClaimReply {
    const key = this.#keys.get(number);
    if (key === undefined || key.organisation !== request.organisation) {
      return { kind: ClaimReplyKind.Expired };
    }
    if (key.body_digest === undefined || wasNotRun(key)) {
      key.body_digest = request.body_digest;
      key.outcome = undefined;
      return { kind: ClaimReplyKind.Granted };
    }
    if (key.body_digest !== request.body_digest) {
      return { kind: ClaimReplyKind.Conflict };
    }
    if (key.outcome === undefined) return { kind: ClaimReplyKind.InUse };
    return { kind: ClaimReplyKind.Recorded, outcome: key.outcome };
  }

  /**
   * Records the outcome of a claimed key and returns its journal entry;
   * `undefined` if the key is unknown or was never claimed.
   */
  recordOutcome(number: number, outcome: Outcome): JournalEntry | undefined {
    const key = this.#keys.get(number);
    if (key?.body_digest === undefined) return undefined;
    key.outcome = outcome;
    const { organisation, body_digest } = key;
    return { number, organisation, body_digest, outcome };
  }

  /**
   * Status of a key; `undefined` if it was evicted or was not minted for this
   * organisation.
   */
  statusOf(number: number, organisation: string): KeyStatus | undefined {
    const key = this.#keys.get(number);
    if (key === undefined || key.organisation !== organisation) {
      return undefined;
    }
    if (key.body_digest === undefined || wasNotRun(key)) {
      return { kind: KeyStatusKind.Unused };
    }
    const { outcome } = key;
    if (outcome === undefined) return { kind: KeyStatusKind.InUse };
    return { kind: KeyStatusKind.Recorded, outcome };
  }

  #evictOldKeys(now_ms: number): void {
    for (const [number, key] of this.#keys) {
      const expired = now_ms - key.minted_ms > this.retention_ms;
      if (!expired && this.#keys.size < MAX_MINTED_KEYS) return;
      this.#keys.delete(number);
    }
  }
}

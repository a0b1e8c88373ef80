/**
 * Keys minted by this process. Only this process may run them, so a key needs
 * no platform write before it runs; outcomes are journaled afterwards.
 */
import { type Outcome, OutcomeKind } from "../pipelines/outcome.ts";
import {
  type KeyStatus,
  KeyStatusKind,
} from "../pipelines/pipeline_dependencies.ts";
import { mintedKeyText } from "./idempotency_key.ts";
import { type ClaimReply, ClaimReplyKind } from "./types.ts";

interface MintedKey {
  organisation: string;
  minted_ms: number;
  body_digest: string | undefined;
  outcome: Outcome | undefined;
}

/** An outcome that is to be journaled. */
export interface JournalEntry {
  number: number;
  organisation: string;
  body_digest: string;
  outcome: Outcome;
}

/** Its own attempt said that it never ran, so the key is free again. */
function wasNotRun({ outcome }: MintedKey): boolean {
  return outcome?.kind === OutcomeKind.NotRun;
}

const MAX_KEYS = 100_000;

/** Mints keys and decides who may run them. */
export class MintedKeys {
  #keys = new Map<number, MintedKey>();
  #last = 0;

  constructor(readonly incarnation: string, readonly retention_ms: number) {}

  /** Mints a key for an organisation. */
  mint(organisation: string, now_ms: number): string {
    this.#forget(now_ms);
    this.#last += 1;
    this.#keys.set(this.#last, {
      organisation,
      minted_ms: now_ms,
      body_digest: undefined,
      outcome: undefined,
    });
    return mintedKeyText(this.incarnation, this.#last);
  }

  /** Claims a key for the only attempt that may run it. */
  claim(
    number: number,
    use: { organisation: string; body_digest: string },
  ): ClaimReply {
    const key = this.#keys.get(number);
    if (key === undefined || key.organisation !== use.organisation) {
      return { kind: ClaimReplyKind.Expired };
    }
    if (key.body_digest === undefined || wasNotRun(key)) {
      key.body_digest = use.body_digest;
      key.outcome = undefined;
      return { kind: ClaimReplyKind.Granted };
    }
    if (key.body_digest !== use.body_digest) {
      return { kind: ClaimReplyKind.Conflict };
    }
    if (key.outcome === undefined) return { kind: ClaimReplyKind.InUse };
    return { kind: ClaimReplyKind.Recorded, outcome: key.outcome };
  }

  /** Notes an outcome; gives the entry for the journal. */
  record(number: number, outcome: Outcome): JournalEntry | undefined {
    const key = this.#keys.get(number);
    if (key?.body_digest === undefined) return undefined;
    key.outcome = outcome;
    const { organisation, body_digest } = key;
    return { number, organisation, body_digest, outcome };
  }

  /** What is known of a key; undefined if it was never minted or forgotten. */
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

  #forget(now_ms: number): void {
    for (const [number, key] of this.#keys) {
      const old = now_ms - key.minted_ms > this.retention_ms;
      if (!old && this.#keys.size < MAX_KEYS) return;
      this.#keys.delete(number);
    }
  }
}

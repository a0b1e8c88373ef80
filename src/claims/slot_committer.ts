/**
 * Commits claims and outcomes of one slot in groups: one conditional update at
 * a time carries everything that waits. A lost answer is settled by reading the
 * slot back; a claim that is found there counts as written.
 */
import {
  type Platform,
  PlatformFailureKind,
  type PlatformObject,
} from "../object_api/types.ts";
import { abortableDelay } from "../utils/delay.ts";
import { applyClaim, applyOutcome } from "./claim_slot.ts";
import {
  type ClaimEntry,
  type ClaimReply,
  ClaimReplyKind,
  type ClaimSlot,
  type OutcomeNote,
} from "./types.ts";

/** What a committer needs. */
export interface SlotCommitterOptions {
  platform: Platform;
  key: string;
  /** Shortest time between two writes. */
  commit_interval_ms: number;
  now: () => number;
  onCommit: (operations: number) => void;
  signal: AbortSignal;
}

interface WaitingClaim {
  entry: ClaimEntry;
  give_up_ms: number;
  /** Whether a write that carries the claim may have taken effect. */
  maybe_written: boolean;
  reply: (reply: ClaimReply) => void;
}

const RETRY_MS = 50;
const MAX_NOTES = 10_000;

/** Serialises the updates that this host makes to one slot. */
export class SlotCommitter {
  readonly #options: SlotCommitterOptions;
  #claims: WaitingClaim[] = [];
  #notes: OutcomeNote[] = [];
  #object: PlatformObject | undefined;
  #fresh = false;
  #running = false;

  constructor(options: SlotCommitterOptions) {
    this.#options = options;
  }

  /** Commits a claim; the reply holds for ever. */
  claim(entry: ClaimEntry): Promise<ClaimReply> {
    return new Promise((reply) => {
      const give_up_ms = this.#options.now() + entry.timeout_ms;
      this.#claims.push({ entry, give_up_ms, maybe_written: false, reply });
      this.#start();
    });
  }

  /** Stores an outcome, as soon as the platform takes it. */
  record(note: OutcomeNote): void {
    if (this.#notes.length >= MAX_NOTES) this.#notes.shift();
    this.#notes.push(note);
    this.#start();
  }

  /** Whether nothing waits to be written. */
  get idle(): boolean {
    return !this.#running;
  }

  #start(): void {
    if (this.#running) return;
    this.#running = true;
    void this.#run();
  }

  async #run(): Promise<void> {
    const { signal, commit_interval_ms } = this.#options;
    while (this.#hasWork && !signal.aborted) {
      const committed = await this.#commit();
      this.#giveUp();
      await abortableDelay(committed ? commit_interval_ms : RETRY_MS, signal);
    }
    this.#running = false;
    this.#fresh = false;
  }

  get #hasWork(): boolean {
    return this.#claims.length > 0 || this.#notes.length > 0;
  }

  async #commit(): Promise<boolean> {
    if (!this.#fresh && !await this.#read()) return false;
    const claims = [...this.#claims];
    const notes = [...this.#notes];
    const { slot, replies, changed } = this.#apply(claims, notes);
    if (changed && !await this.#write(slot, claims)) return false;
    claims.forEach(({ reply }, position) => {
      const settled = replies[position];
      if (settled !== undefined) reply(settled);
    });
    this.#claims = this.#claims.filter((each) => !claims.includes(each));
    this.#notes = this.#notes.filter((each) => !notes.includes(each));
    return true;
  }

  #apply(claims: readonly WaitingClaim[], notes: readonly OutcomeNote[]) {
    let slot = this.#object?.value as ClaimSlot | undefined;
    let changed = false;
    const replies: ClaimReply[] = [];
    for (const { entry } of claims) {
      const decision = applyClaim(slot, entry);
      if (decision.changed) slot = decision.slot;
      changed ||= decision.changed;
      replies.push(decision.reply);
    }
    for (const note of notes) {
      const decision = applyOutcome(slot, note);
      slot = decision.slot;
      changed ||= decision.changed;
    }
    return { slot, replies, changed };
  }

  async #read(): Promise<boolean> {
    const found = await this.#options.platform.get(this.#options.key);
    if (!found.ok) return false;
    this.#object = found.value;
    this.#fresh = true;
    return true;
  }

  async #write(
    slot: ClaimSlot | undefined,
    claims: readonly WaitingClaim[],
  ): Promise<boolean> {
    const { platform, key, onCommit } = this.#options;
    const condition = this.#object === undefined
      ? { absent: true as const }
      : { version: this.#object.version };
    const written = await platform.put(key, slot, condition);
    if (written.ok) {
      this.#object = { key, version: written.value, value: slot };
      onCommit(claims.length);
      return true;
    }
    this.#fresh = false;
    const { kind, sent } = written.failure;
    const applied = sent && kind !== PlatformFailureKind.Conflict;
    if (applied) { for (const claim of claims) claim.maybe_written = true; }
    return false;
  }

  #giveUp(): void {
    const now_ms = this.#options.now();
    const late = this.#claims.filter((claim) => claim.give_up_ms <= now_ms);
    for (const claim of late) {
      claim.reply({
        kind: claim.maybe_written
          ? ClaimReplyKind.Uncertain
          : ClaimReplyKind.NotWritten,
      });
    }
    this.#claims = this.#claims.filter((claim) => !late.includes(claim));
  }
}

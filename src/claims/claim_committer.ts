/**
 * Group commit for the claims and outcomes of one stored object. One conditional
 * write at a time carries everything that is pending. If the response to a
 * write is lost, the object is read again; a claim found in it was written.
 */
import {
  type Platform,
  PlatformFailureKind,
  type PlatformObject,
} from "../object_api/types.ts";
import { abortableDelay } from "../utils/delay.ts";
import { applyClaim, applyOutcome, restoreLostClaims } from "./claim_rules.ts";
import {
  type BucketClaims,
  type ClaimReply,
  ClaimReplyKind,
  type ClaimRequest,
  type OutcomeReport,
} from "./types.ts";

/** Dependencies and settings of a committer. */
export interface ClaimCommitterOptions {
  platform: Platform;
  /** Key of the stored object. */
  key: string;
  /** Minimum time between two writes. */
  commit_interval_ms: number;
  /** Clock, in milliseconds. */
  now: () => number;
  /** Called after each write, with the number of claims in it. */
  onCommit: (claims: number) => void;
  signal: AbortSignal;
}

interface PendingClaim {
  request: ClaimRequest;
  timeout_at_ms: number;
  /** Whether a write with this claim may have taken effect. */
  maybeWritten: boolean;
  reply: (reply: ClaimReply) => void;
}

/** Delay after a failed read or write of the object. */
const COMMIT_RETRY_DELAY_MS = 50;
/** The oldest pending outcomes are dropped beyond this number. */
const MAX_PENDING_OUTCOMES = 10_000;

/** Serialises the writes of this host to one stored object. */
export class ClaimCommitter {
  readonly #options: ClaimCommitterOptions;
  #claims: PendingClaim[] = [];
  #outcomes: OutcomeReport[] = [];
  #object: PlatformObject | undefined;
  /** The claims to which pending ones are applied. */
  #state: BucketClaims | undefined;
  /** Whether the platform lacks some of these claims. */
  #lost = false;
  #upToDate = false;
  #running = false;

  constructor(options: ClaimCommitterOptions) {
    this.#options = options;
  }

  /**
   * Commits a claim. The reply is final; after the request's timeout it is
   * `NotWritten` or `Uncertain`. Stays pending if the signal is aborted before.
   */
  claim(request: ClaimRequest): Promise<ClaimReply> {
    return new Promise((reply) => {
      const timeout_at_ms = this.#options.now() + request.timeout_ms;
      this.#claims.push({ request, timeout_at_ms, maybeWritten: false, reply });
      this.#start();
    });
  }

  /** Queues an outcome; its write is retried until it succeeds. */
  recordOutcome(outcome: OutcomeReport): void {
    if (this.#outcomes.length >= MAX_PENDING_OUTCOMES) this.#outcomes.shift();
    this.#outcomes.push(outcome);
    this.#start();
  }

  /** Whether nothing is pending. */
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
      this.#timeOutClaims();
      await abortableDelay(
        committed ? commit_interval_ms : COMMIT_RETRY_DELAY_MS,
        signal,
      );
    }
    this.#running = false;
    this.#upToDate = false;
  }

  get #hasWork(): boolean {
    return this.#claims.length > 0 || this.#outcomes.length > 0;
  }

  async #commit(): Promise<boolean> {
    if (!this.#upToDate && !await this.#read()) return false;
    const claims = [...this.#claims];
    const outcomes = [...this.#outcomes];
    const { state, replies, changed } = this.#applyPending(claims, outcomes);
    if (changed && !await this.#write(state, claims)) return false;
    claims.forEach(({ reply }, position) => {
      const committed = replies[position];
      if (committed !== undefined) reply(committed);
    });
    this.#claims = this.#claims.filter((each) => !claims.includes(each));
    this.#outcomes = this.#outcomes.filter((each) => !outcomes.includes(each));
    return true;
  }

  #applyPending(
    claims: readonly PendingClaim[],
    outcomes: readonly OutcomeReport[],
  ) {
    let state = this.#state;
    let changed = this.#lost;
    const replies: ClaimReply[] = [];
    for (const { request } of claims) {
      const decision = applyClaim(state, request);
      if (decision.changed) state = decision.state;
      changed ||= decision.changed;
      replies.push(decision.reply);
    }
    for (const outcome of outcomes) {
      const decision = applyOutcome(state, outcome);
      state = decision.state;
      changed ||= decision.changed;
    }
    return { state, replies, changed };
  }

  async #read(): Promise<boolean> {
    const found = await this.#options.platform.get(this.#options.key);
    if (!found.ok) return false;
    this.#object = found.value;
    const stored = found.value?.value as BucketClaims | undefined;
    const { state, changed } = restoreLostClaims(stored, this.#state);
    this.#state = state;
    this.#lost = changed;
    this.#upToDate = true;
    return true;
  }

  async #write(
    state: BucketClaims | undefined,
    claims: readonly PendingClaim[],
  ): Promise<boolean> {
    const { platform, key, onCommit } = this.#options;
    const condition = this.#object === undefined
      ? { absent: true as const }
      : { version: this.#object.version };
    const written = await platform.put(key, state, condition);
    if (written.ok) {
      this.#object = { key, version: written.value, value: state };
      this.#state = state;
      this.#lost = false;
      onCommit(claims.length);
      return true;
    }
    this.#upToDate = false;
    const { kind, sent } = written.failure;
    const maybeWritten = sent && kind !== PlatformFailureKind.Conflict;
    if (maybeWritten) { for (const claim of claims) claim.maybeWritten = true; }
    return false;
  }

  #timeOutClaims(): void {
    const now_ms = this.#options.now();
    const timedOut = this.#claims.filter((claim) =>
      claim.timeout_at_ms <= now_ms
    );
    for (const claim of timedOut) {
      claim.reply({
        kind: claim.maybeWritten
          ? ClaimReplyKind.Uncertain
          : ClaimReplyKind.NotWritten,
      });
    }
    this.#claims = this.#claims.filter((claim) => !timedOut.includes(claim));
  }
}

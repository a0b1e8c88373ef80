/** Sends notices about prompt parts to all hosts and applies them here. */
import type { Logger } from "../logging/logger.ts";
import { spread } from "../peers/spread.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { AnsweredParts } from "./answered_parts.ts";
import type { Quarantine } from "./quarantine.ts";
import type { SuspectedTraits } from "./suspected_traits.ts";
import {
  NoticeKind,
  noticeReplySchema,
  type QuarantineNotice,
} from "./types.ts";

/** Where a notice goes next. */
export interface NoticeRoute {
  /** Addresses of the hosts to which the notice is passed on. */
  targets: string[];
  /** Time in which the replies are awaited, in milliseconds. */
  wait_ms: number;
}

/** Delivers a notice to a host, which passes it on; rejects if it is lost. */
export type DeliverNotice = (
  address: string,
  notice: QuarantineNotice,
  route: NoticeRoute,
) => Promise<string[]>;

/** Dependencies of a {@linkcode QuarantineNotices}. */
export interface QuarantineNoticesOptions {
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts, this one included. */
  hosts: () => string[];
  deliver: DeliverNotice;
  quarantine: Quarantine;
  answered: AnsweredParts;
  suspected: SuspectedTraits;
  log: Logger;
  now: () => number;
  signal: AbortSignal;
}

/** Time that the replies of all hosts may take, and less at each level below. */
const REPLY_TIMEOUT_MS = 300;
const TIMEOUT_STEP_MS = 100;
/** Pauses before a host that missed a notice is told again. */
const REDELIVERY_DELAYS_MS = [400, 1_200];

/** Sends notices to all hosts and applies them here. */
export class QuarantineNotices {
  #options: QuarantineNoticesOptions;

  constructor(options: QuarantineNoticesOptions) {
    this.#options = options;
  }

  /**
   * Applies a notice here and sends it to all hosts. Resolves to the parts of it
   * that got answers; never rejects.
   */
  announce(notice: QuarantineNotice): Promise<string[]> {
    const { self, hosts } = this.#options;
    const targets = hosts().filter((address) => address !== self);
    return this.handle(notice, { targets, wait_ms: REPLY_TIMEOUT_MS });
  }

  /** Applies a notice and passes it on; resolves to parts that got answers. */
  async handle(
    notice: QuarantineNotice,
    route: NoticeRoute,
  ): Promise<string[]> {
    const own = this.#apply(notice);
    const others = await this.#passOn(notice, route);
    return [...new Set([...own, ...others])];
  }

  async #passOn(
    notice: QuarantineNotice,
    { targets, wait_ms }: NoticeRoute,
  ): Promise<string[]> {
    const { deliver, log, signal } = this.#options;
    if (targets.length === 0) return [];
    const below_ms = wait_ms - TIMEOUT_STEP_MS;
    const replies = spread(targets, {
      send: async (address, rest) => {
        const route = { targets: rest, wait_ms: below_ms };
        return noticeReplySchema.parse(await deliver(address, notice, route));
      },
      onFailure: (peer, error) =>
        log.info({ event: "notice_failed", peer, error: error.message }),
      redeliveryDelays_ms: notice.kind === NoticeKind.AskAnswered
        ? []
        : REDELIVERY_DELAYS_MS,
      signal,
    });
    const timeout = abortableDelay(Math.max(0, wait_ms), signal);
    return await Promise.race([replies, timeout.then(() => [])]);
  }

  #apply(notice: QuarantineNotice): string[] {
    switch (notice.kind) {
      case NoticeKind.AskAnswered:
        return this.#applyQuestions(notice.questions);
      case NoticeKind.Quarantine:
        return this.#applyQuarantine(notice);
      case NoticeKind.Release:
        this.#options.quarantine.remove(notice.name, this.#options.now());
        return [];
    }
  }

  /** The parts that got answers here; the others are suspected. */
  #applyQuestions(
    questions: Extract<
      QuarantineNotice,
      { kind: NoticeKind.AskAnswered }
    >["questions"],
  ): string[] {
    const answered: string[] = [];
    for (const { part, within_ms, addresses } of questions) {
      if (this.#isAnswered(part, within_ms)) answered.push(part);
      else if (addresses !== undefined) {
        this.#options.suspected.record(part, addresses, this.#options.now());
      }
    }
    return answered;
  }

  /** Adds an entry, unless one of its parts got an answer here. */
  #applyQuarantine(
    { quarantined, within_ms }: Extract<
      QuarantineNotice,
      { kind: NoticeKind.Quarantine }
    >,
  ): string[] {
    const { quarantine, log, now } = this.#options;
    const answered = quarantined.parts.filter((part) =>
      this.#isAnswered(part, within_ms)
    );
    if (answered.length === 0 && quarantine.put(quarantined, now())) {
      const parts = quarantined.parts.join(",");
      log.info({ event: "quarantine_received", parts });
    }
    return answered;
  }

  #isAnswered(part: string, within_ms: number): boolean {
    const { answered, now } = this.#options;
    return answered.hasAnswerSince(part, now() - within_ms);
  }
}

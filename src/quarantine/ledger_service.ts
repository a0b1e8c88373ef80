/**
 * What a host does as a ledger: it gathers the reports of all hosts, asks them
 * whether suspected parts got answers, and quarantines those that did not.
 */
import type { Logger } from "../logging/logger.ts";
import { abortableDelay } from "../utils/delay.ts";
import { CrashLedger, type SuspectedPart } from "./crash_ledger.ts";
import { answeringTrait } from "./request_traits.ts";
import type { QuarantineNotices } from "./quarantine_notices.ts";
import type { Quarantine } from "./quarantine.ts";
import type { QuarantineWriter } from "./quarantine_store.ts";
import {
  type CrashReply,
  type CrashReport,
  NoticeKind,
  type QuarantinedParts,
  quarantineName,
} from "./types.ts";

/** Dependencies of a {@linkcode LedgerService}. */
export interface LedgerServiceOptions {
  quarantine: Quarantine;
  notices: QuarantineNotices;
  writer: QuarantineWriter;
  log: Logger;
  now: () => number;
  signal: AbortSignal;
}

/** Reports about one crash share a question to all hosts within this time. */
const QUESTION_WINDOW_MS = 50;

/** Decides which prompt parts are quarantined. */
export class LedgerService {
  #options: LedgerServiceOptions;
  #ledger = new CrashLedger();
  /** The question that is about to be asked. */
  #question: Promise<void> | undefined;

  constructor(options: LedgerServiceOptions) {
    this.#options = options;
  }

  /** Handles the report of a host. */
  async handleReport(report: CrashReport): Promise<CrashReply> {
    const { quarantine, now } = this.#options;
    this.#ledger.record(report, now());
    if (this.#ledger.suspects().length > 0) {
      this.#question ??= this.#askAll();
      await this.#question;
    }
    return {
      suspects: this.#ledger.suspects().map(({ part }) => part),
      quarantined: report.requests.flatMap(({ parts }) =>
        quarantine.find(parts) ?? []
      ),
    };
  }

  /** Handles answers to requests with quarantined parts. */
  async handleAnswered(parts: string[]): Promise<void> {
    const { quarantine } = this.#options;
    this.#ledger.clear(parts);
    // What remains of an entry is in force before the entry ends. The evidence
    // may be gone, so it follows from the entry itself.
    const affected = quarantine.withAny(parts);
    await Promise.all(affected.map((entry) => this.#narrow(entry, parts)));
    for (const entry of affected) this.#release(quarantineName(entry.parts));
  }

  /** Makes an entry known to all hosts and to the store. */
  async publish(
    quarantined: QuarantinedParts,
    within_ms: number,
  ): Promise<void> {
    const { notices, writer } = this.#options;
    void writer.write(quarantined);
    const kind = NoticeKind.Quarantine;
    const answered = await notices.announce({ kind, quarantined, within_ms });
    if (answered.length > 0) await this.handleAnswered(answered);
  }

  async #askAll(): Promise<void> {
    const { notices, now, signal, log } = this.#options;
    await abortableDelay(QUESTION_WINDOW_MS, signal);
    this.#question = undefined;
    const suspects = this.#ledger.suspects();
    const answered = await notices.announce({
      kind: NoticeKind.AskAnswered,
      questions: [
        ...suspects.map(({ part, first_crash_ms, addresses }) => ({
          part,
          within_ms: now() - first_crash_ms,
          addresses,
        })),
        ...questionsOfEndpoints(suspects, now()),
      ],
    });
    this.#ledger.clear(answered);
    log.info({
      event: "crash_suspects",
      suspects: this.#ledger.suspects().map(({ part }) => part).join(","),
      answered: answered.join(","),
    });
    const addresses = suspects.flatMap((suspect) => suspect.addresses);
    const answering = addresses.filter((address) =>
      answered.includes(answeringTrait(address))
    );
    await this.#quarantineCauses(new Set(answering));
  }

  /** Quarantines what the ledger finds; resolves when the hosts know of it. */
  async #quarantineCauses(answering: ReadonlySet<string>): Promise<void> {
    const { now } = this.#options;
    await Promise.all(
      this.#ledger.findCauses(answering).map(({ parts, first_crash_ms }) =>
        this.#add({ parts, probes: 0 }, now() - first_crash_ms)
      ),
    );
  }

  /** Adds what is left of an entry without the answered parts. */
  async #narrow(
    { parts, probes }: QuarantinedParts,
    answered: string[],
  ): Promise<void> {
    const rest = parts.filter((part) => !answered.includes(part));
    if (rest.length > 0) await this.#add({ parts: rest, probes }, 0);
  }

  /** Adds an entry; resolves when the hosts know of it. */
  async #add(
    quarantined: QuarantinedParts,
    within_ms: number,
  ): Promise<void> {
    const { quarantine, now, log } = this.#options;
    if (!quarantine.put(quarantined, now())) return;
    const { parts } = quarantined;
    const name = quarantineName(parts);
    log.warn({ event: "quarantine", name, parts: parts.join(",") });
    await this.publish(quarantined, within_ms);
  }

  #release(name: string): void {
    const { quarantine, notices, writer, log, now } = this.#options;
    log.warn({ event: "quarantine_released", name });
    quarantine.remove(name, now());
    void notices.announce({ kind: NoticeKind.Release, name });
    void writer.remove(name);
  }
}

/**
 * Asks of endpoints that alone crashed on a part whether they have answered
 * requests since their last crash but one.
 */
function questionsOfEndpoints(suspects: SuspectedPart[], now_ms: number) {
  const since_ms = new Map<string, number>();
  for (const { addresses: [address, other], last_but_one_ms } of suspects) {
    if (address === undefined || other !== undefined) continue;
    const known_ms = since_ms.get(address) ?? -Infinity;
    since_ms.set(address, Math.max(known_ms, last_but_one_ms));
  }
  return [...since_ms].map(([address, crashed_ms]) => ({
    part: answeringTrait(address),
    within_ms: now_ms - crashed_ms,
  }));
}

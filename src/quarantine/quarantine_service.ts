/**
 * Joins what the hosts learn about endpoints that crash. A host reports the
 * requests that a crashed endpoint held to the ledgers: the first two live hosts
 * of a rendezvous ranking. A ledger asks all hosts whether requests with the
 * suspected prompt parts got answers since, quarantines parts without any, tells
 * all hosts and writes them to the object store, from which hosts that start
 * later read them. Hosts need not agree on the ledgers: two that quarantine the
 * same parts do no harm.
 */
import type { Logger } from "../logging/logger.ts";
import { rankCandidates } from "../membership/rendezvous_hash.ts";
import { spread } from "../peers/spread.ts";
import type { PromptPart, RouteEndpoint } from "../routes/types.ts";
import type { FeedChange } from "../store_sync/object_feed.ts";
import { abortableDelay, Backoff } from "../utils/delay.ts";
import { AnsweredParts } from "./answered_parts.ts";
import { CrashLedger } from "./crash_ledger.ts";
import { Quarantine } from "./quarantine.ts";
import {
  type CrashReply,
  type CrashReport,
  NoticeKind,
  type QuarantinedParts,
  quarantineName,
  type QuarantineNotice,
  sharedParts,
} from "./types.ts";

/** Calls to other hosts; they reject if the host does not respond. */
export interface QuarantinePeers {
  /** Reports a crash to a ledger. */
  reportCrash(address: string, report: CrashReport): Promise<CrashReply>;
  /** Reports parts that got an answer although they are quarantined. */
  reportAnswered(address: string, parts: string[]): Promise<void>;
  /** Delivers a notice, which the host passes on to the targets. */
  notify(
    address: string,
    notice: QuarantineNotice,
    route: { targets: string[]; wait_ms: number },
  ): Promise<string[]>;
}

/** Where quarantined parts are kept; calls reject if they fail. */
export interface QuarantineStore {
  writeQuarantined(name: string, quarantined: QuarantinedParts): Promise<void>;
  removeQuarantined(name: string): Promise<void>;
}

/** Dependencies of a {@linkcode QuarantineService}. */
export interface QuarantineServiceOptions {
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts, this one included. */
  hosts: () => string[];
  peers: QuarantinePeers;
  store: QuarantineStore;
  /** Whether nothing listens at an endpoint's address any more. */
  isRefused: (address: string) => Promise<boolean>;
  log: Logger;
  now: () => number;
  random: () => number;
  signal: AbortSignal;
}

/** A send that ended without an event of its response. */
export interface BrokenSend {
  endpoint: RouteEndpoint;
  attempt_id: string;
  prompt: readonly PromptPart[];
}

/** Whether a request may reach an endpoint. */
export enum QuarantineDecision {
  Admit = "admit",
  /** Let through to find out whether its parts still crash endpoints. */
  AdmitAsProbe = "probe",
  Reject = "reject",
}

/** A call to a ledger, which may be this host. */
interface LedgerCall<T> {
  local: () => Promise<T>;
  remote: (ledger: string) => Promise<T>;
}

const RANKING_KEY = "crashes";
/** Hosts that keep the evidence, in case one is lost. */
const LEDGERS = 2;
/** Reports of one host about one crash share a message within this time. */
const REPORT_WINDOW_MS = 20;
/** Reports about one crash share a question to all hosts within this time. */
const QUESTION_WINDOW_MS = 50;
/** Time that the answers of all hosts may take, and less at each level below. */
const QUESTION_TIMEOUT_MS = 300;
const TIMEOUT_STEP_MS = 100;
/** Time for which a host that did not respond is no ledger. */
const AVOID_DURATION_MS = 3_000;
/** Hosts that are tried as ledgers for one message. */
const MAX_LEDGER_TRIES = 5;
const STORE_BACKOFF = { initial_ms: 200, max_ms: 5_000 };

/** Keeps requests with prompt parts that crash endpoints away from them. */
export class QuarantineService {
  readonly quarantine = new Quarantine();
  #answered = new AnsweredParts();
  #ledger = new CrashLedger();
  #options: QuarantineServiceOptions;
  /** Reports that are being gathered, by endpoint address. */
  #openReports = new Map<
    string,
    { requests: CrashReport["requests"]; suspects: Promise<string[]> }
  >();
  #question: Promise<void> | undefined;
  #avoidedUntil_ms = new Map<string, number>();

  constructor(options: QuarantineServiceOptions) {
    this.#options = options;
  }

  /** Decides whether a request with this prompt may reach an endpoint. */
  admit(prompt: readonly PromptPart[]): QuarantineDecision {
    const found = this.quarantine.find(sharedParts(prompt));
    if (found === undefined) return QuarantineDecision.Admit;
    return this.#takeProbe(found)
      ? QuarantineDecision.AdmitAsProbe
      : QuarantineDecision.Reject;
  }

  /** Whether requests with this prompt are rejected, but for probes. */
  isQuarantined(prompt: readonly PromptPart[]): boolean {
    return this.quarantine.find(sharedParts(prompt)) !== undefined;
  }

  /** Records that an endpoint began to answer a request with this prompt. */
  recordAnswered(prompt: readonly PromptPart[]): void {
    const parts = sharedParts(prompt);
    if (parts.length === 0) return;
    this.#answered.record(parts, this.#options.now());
    if (this.quarantine.namesWith(parts).length === 0) return;
    void this.#callLedgers({
      local: () => this.handleAnswered(parts),
      remote: (ledger) => this.#options.peers.reportAnswered(ledger, parts),
    });
  }

  /**
   * Reports a broken send if its endpoint has crashed. Resolves to whether the
   * request is suspected, and so must not be sent to another endpoint.
   */
  async recordBroken(send: BrokenSend): Promise<boolean> {
    const parts = sharedParts(send.prompt);
    if (parts.length === 0) return false;
    const { address } = send.endpoint;
    let open = this.#openReports.get(address);
    if (open === undefined) {
      const requests: CrashReport["requests"] = [];
      open = { requests, suspects: this.#report(address, requests) };
      this.#openReports.set(address, open);
    }
    open.requests.push({ attempt_id: send.attempt_id, parts });
    const suspects = await open.suspects;
    return parts.some((part) => suspects.includes(part));
  }

  async #report(
    address: string,
    requests: CrashReport["requests"],
  ): Promise<string[]> {
    const { isRefused, log, signal } = this.#options;
    await abortableDelay(REPORT_WINDOW_MS, signal);
    this.#openReports.delete(address);
    if (!await isRefused(address)) return [];
    log.info({
      event: "endpoint_crash",
      address,
      attempts: requests.map(({ attempt_id }) => attempt_id).join(","),
    });
    const report = { address, requests };
    const replies = await this.#callLedgers({
      local: () => this.handleReport(report),
      remote: (ledger) => this.#options.peers.reportCrash(ledger, report),
    });
    // This host may have missed the notice of an entry.
    this.addFromPeer(replies.flatMap(({ quarantined }) => quarantined));
    return replies.flatMap(({ suspects }) => suspects);
  }

  /** Handles a report as a ledger. */
  async handleReport(report: CrashReport): Promise<CrashReply> {
    this.#ledger.record(report, this.#options.now());
    if (this.#ledger.suspects().length > 0) {
      this.#question ??= this.#askAll();
      await this.#question;
    }
    return {
      suspects: this.#ledger.suspects().map(({ part }) => part),
      quarantined: report.requests.flatMap(({ parts }) =>
        this.quarantine.find(parts) ?? []
      ),
    };
  }

  /** Handles, as a ledger, answers to requests with quarantined parts. */
  async handleAnswered(parts: string[]): Promise<void> {
    this.#ledger.clear(parts);
    // What remains of an entry is in force before the entry ends.
    await this.#quarantineGuilty();
    for (const name of this.quarantine.namesWith(parts)) this.#release(name);
  }

  /** Handles a notice and passes it on; resolves to parts that got answers. */
  async handleNotice(
    notice: QuarantineNotice,
    route: { targets: string[]; wait_ms: number },
  ): Promise<string[]> {
    const own = this.#applyNotice(notice);
    const others = await this.#notifyAll(notice, route);
    return [...new Set([...own, ...others])];
  }

  /** Applies the list of entries in the store. */
  replaceStored(stored: readonly QuarantinedParts[]): void {
    this.quarantine.replaceStored(stored, this.#options.now());
    if (!this.#ledgers().includes(this.#options.self)) return;
    for (const missing of this.quarantine.unstored()) void this.#write(missing);
  }

  /** Applies changes of the entries in the store. */
  applyStoredChanges(changes: readonly FeedChange<QuarantinedParts>[]): void {
    const now_ms = this.#options.now();
    for (const { name, value, deleted } of changes) {
      if (deleted) this.quarantine.remove(name);
      else if (value !== undefined) this.quarantine.putStored(value, now_ms);
    }
  }

  /** Adds entries of another host. */
  addFromPeer(entries: readonly QuarantinedParts[]): void {
    for (const each of entries) this.quarantine.put(each, this.#options.now());
  }

  async #askAll(): Promise<void> {
    const { now, signal, log } = this.#options;
    await abortableDelay(QUESTION_WINDOW_MS, signal);
    this.#question = undefined;
    const suspects = this.#ledger.suspects();
    const notice: QuarantineNotice = {
      kind: NoticeKind.AskAnswered,
      questions: suspects.map(({ part, first_crash_ms }) => ({
        part,
        within_ms: now() - first_crash_ms,
      })),
    };
    const answered = await this.#announce(notice);
    this.#ledger.clear(answered);
    log.info({
      event: "crash_suspects",
      suspects: this.#ledger.suspects().map(({ part }) => part).join(","),
      answered: answered.join(","),
    });
    await this.#quarantineGuilty();
  }

  /** Quarantines what the ledger finds; resolves when the hosts know of it. */
  async #quarantineGuilty(): Promise<void> {
    const { now, log } = this.#options;
    const published: Promise<void>[] = [];
    for (const { parts, first_crash_ms } of this.#ledger.findGuilty()) {
      const quarantined = { parts, probes: 0 };
      if (!this.quarantine.put(quarantined, now())) continue;
      log.warn({ event: "quarantine", parts: parts.join(",") });
      published.push(this.#publish(quarantined, now() - first_crash_ms));
    }
    await Promise.all(published);
  }

  async #publish(
    quarantined: QuarantinedParts,
    within_ms: number,
  ): Promise<void> {
    const kind = NoticeKind.Quarantine;
    void this.#write(quarantined);
    const answered = await this.#announce({ kind, quarantined, within_ms });
    if (answered.length > 0) await this.handleAnswered(answered);
  }

  #release(name: string): void {
    const { store, log } = this.#options;
    log.warn({ event: "quarantine_released", name });
    this.quarantine.remove(name);
    void this.#announce({ kind: NoticeKind.Release, name });
    void this.#withRetries(
      () => store.removeQuarantined(name),
      () => this.quarantine.has(name),
    );
  }

  /** Applies a notice; returns parts of it that got answers here. */
  #applyNotice(notice: QuarantineNotice): string[] {
    const { now, log } = this.#options;
    switch (notice.kind) {
      case NoticeKind.AskAnswered:
        return notice.questions
          .filter(({ part, within_ms }) => this.#isAnswered(part, within_ms))
          .map(({ part }) => part);
      case NoticeKind.Quarantine: {
        const { quarantined, within_ms } = notice;
        const answered = quarantined.parts.filter((part) =>
          this.#isAnswered(part, within_ms)
        );
        if (answered.length > 0) return answered;
        if (this.quarantine.put(quarantined, now())) {
          const parts = quarantined.parts.join(",");
          log.info({ event: "quarantine_received", parts });
        }
        return [];
      }
      case NoticeKind.Release:
        this.quarantine.remove(notice.name);
        return [];
    }
  }

  #isAnswered(part: string, within_ms: number): boolean {
    return this.#answered.hasAnswerSince(part, this.#options.now() - within_ms);
  }

  /** Applies a notice here and sends it to all hosts. */
  #announce(notice: QuarantineNotice): Promise<string[]> {
    const { self, hosts } = this.#options;
    const targets = hosts().filter((address) => address !== self);
    return this.handleNotice(notice, { targets, wait_ms: QUESTION_TIMEOUT_MS });
  }

  async #notifyAll(
    notice: QuarantineNotice,
    { targets, wait_ms }: { targets: string[]; wait_ms: number },
  ): Promise<string[]> {
    const { peers, log, signal } = this.#options;
    if (targets.length === 0) return [];
    const below_ms = wait_ms - TIMEOUT_STEP_MS;
    const sent = spread(targets, {
      send: (address, rest) =>
        peers.notify(address, notice, { targets: rest, wait_ms: below_ms }),
      onFailure: (peer, error) =>
        log.info({ event: "notice_failed", peer, error: error.message }),
    });
    const timeout = abortableDelay(Math.max(0, wait_ms), signal);
    return await Promise.race([sent, timeout.then(() => [])]);
  }

  /** Takes a probe of an entry; only the first ledger gives any. */
  #takeProbe(quarantined: QuarantinedParts): boolean {
    const { now, self, log } = this.#options;
    const now_ms = now();
    if (!this.quarantine.isProbeDue(quarantined, now_ms)) return false;
    if (this.#ledgers()[0] !== self) return false;
    const probed = { ...quarantined, probes: quarantined.probes + 1 };
    this.quarantine.put(probed, now_ms);
    log.warn({ event: "quarantine_probe", parts: probed.parts.join(",") });
    void this.#publish(probed, 0);
    return true;
  }

  #write(quarantined: QuarantinedParts): Promise<void> {
    const name = quarantineName(quarantined.parts);
    return this.#withRetries(
      () => this.#options.store.writeQuarantined(name, quarantined),
      () => !this.quarantine.has(name),
    );
  }

  async #withRetries(
    call: () => Promise<void>,
    isObsolete: () => boolean,
  ): Promise<void> {
    const { log, random, signal } = this.#options;
    const backoff = new Backoff(STORE_BACKOFF, random);
    while (!signal.aborted && !isObsolete()) {
      try {
        return await call();
      } catch (error) {
        const { message } = error as Error;
        log.warn({ event: "quarantine_store_failed", error: message });
        await abortableDelay(backoff.nextDelayMs(), signal);
      }
    }
  }

  /** The hosts that keep the evidence, as seen from here. */
  #ledgers(): string[] {
    const now_ms = this.#options.now();
    return rankCandidates(RANKING_KEY, this.#options.hosts())
      .filter((host) => (this.#avoidedUntil_ms.get(host) ?? 0) <= now_ms)
      .slice(0, LEDGERS);
  }

  /** Calls every ledger; one that does not respond is replaced by the next. */
  async #callLedgers<T>(call: LedgerCall<T>): Promise<T[]> {
    const tried = new Set<string>();
    const replies: T[] = [];
    while (tried.size < MAX_LEDGER_TRIES) {
      const ledgers = this.#ledgers().filter((ledger) => !tried.has(ledger));
      if (ledgers.length === 0) break;
      await Promise.all(ledgers.map(async (ledger) => {
        tried.add(ledger);
        const reply = await this.#callLedger(ledger, call);
        if (reply !== undefined) replies.push(reply.value);
      }));
    }
    return replies;
  }

  async #callLedger<T>(
    ledger: string,
    { local, remote }: LedgerCall<T>,
  ): Promise<{ value: T } | undefined> {
    const { self, now, log } = this.#options;
    try {
      return { value: await (ledger === self ? local() : remote(ledger)) };
    } catch (error) {
      const { message } = error as Error;
      log.warn({ event: "ledger_failed", peer: ledger, error: message });
      this.#avoidedUntil_ms.set(ledger, now() + AVOID_DURATION_MS);
      return undefined;
    }
  }
}

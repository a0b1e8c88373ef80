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
import { RankedHosts } from "../membership/ranked_hosts.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import type { FeedChange } from "../store_sync/object_feed.ts";
import { AnsweredParts } from "./answered_parts.ts";
import {
  type BrokenSend,
  CrashReports,
  type CrashVerdict,
} from "./crash_reports.ts";
import { LedgerService } from "./ledger_service.ts";
import {
  type DeliverNotice,
  type NoticeRoute,
  QuarantineNotices,
} from "./quarantine_notices.ts";
import { Quarantine } from "./quarantine.ts";
import { type QuarantineStore, QuarantineWriter } from "./quarantine_store.ts";
import { answeringTrait, type RequestTraits } from "./request_traits.ts";
import { SuspectedTraits } from "./suspected_traits.ts";
import { repairStored } from "./repair_stored.ts";
import {
  type CrashReply,
  crashReplySchema,
  type CrashReport,
  type QuarantinedParts,
  quarantineName,
  type QuarantineNotice,
  readEntries,
} from "./types.ts";

/** Calls to other hosts; they reject if the host does not respond. */
export interface QuarantinePeers {
  /** Reports a crash to a ledger. */
  reportCrash(address: string, report: CrashReport): Promise<CrashReply>;
  /** Reports parts that got an answer although they are quarantined. */
  reportAnswered(address: string, parts: string[]): Promise<void>;
  notify: DeliverNotice;
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
  /**
   * Whether an endpoint that crashed now did so since it rejected too many
   * requests.
   */
  isOverloaded: (endpoint: RouteEndpoint) => boolean;
  /** Called when an endpoint has crashed under requests of this host. */
  onCrash: () => void;
  log: Logger;
  now: () => number;
  random: () => number;
  signal: AbortSignal;
}

/** Whether a request may reach an endpoint. */
export enum QuarantineDecision {
  Admit = "admit",
  /** Let through to find out whether its parts still crash endpoints. */
  AdmitAsProbe = "probe",
  Reject = "reject",
}

const NO_ADDRESSES: ReadonlySet<string> = new Set();
const RANKING_KEY = "crashes";
/** Hosts that keep the evidence, in case one is lost. */
const LEDGERS = 2;

/** Keeps requests with prompt parts that crash endpoints away from them. */
export class QuarantineService {
  /** The entries that this host knows of. */
  readonly entries = new Quarantine();
  #answered = new AnsweredParts();
  #suspected = new SuspectedTraits();
  #options: QuarantineServiceOptions;
  #rankedHosts: RankedHosts;
  #notices: QuarantineNotices;
  #writer: QuarantineWriter;
  #ledgerService: LedgerService;
  #crashReports: CrashReports;
  /** Whether the next list is the first one since a restoration. */
  #restored = false;

  constructor(options: QuarantineServiceOptions) {
    this.#options = options;
    const quarantine = this.entries;
    this.#rankedHosts = new RankedHosts(options);
    this.#writer = new QuarantineWriter({ ...options, quarantine });
    this.#notices = new QuarantineNotices({
      ...options,
      deliver: (...message) => options.peers.notify(...message),
      quarantine,
      answered: this.#answered,
      suspected: this.#suspected,
    });
    this.#ledgerService = new LedgerService({
      ...options,
      quarantine,
      notices: this.#notices,
      writer: this.#writer,
    });
    this.#crashReports = new CrashReports({
      ...options,
      send: (report) => this.#sendReport(report),
    });
  }

  /** Decides whether a request with these traits may reach an endpoint. */
  admit(traits: readonly string[]): QuarantineDecision {
    const found = this.entries.find(traits);
    if (found === undefined) return QuarantineDecision.Admit;
    return this.#takeProbe(found)
      ? QuarantineDecision.AdmitAsProbe
      : QuarantineDecision.Reject;
  }

  /** Whether requests with these traits are rejected, but for probes. */
  isQuarantined(traits: RequestTraits): boolean {
    return !this.entries.isEmpty &&
      this.entries.find(traits.all) !== undefined;
  }

  /**
   * Addresses at which endpoints crashed under requests that had one of these
   * traits; the next one should go elsewhere.
   */
  addressesToAvoid(traits: RequestTraits): ReadonlySet<string> {
    return this.#suspected.isEmpty
      ? NO_ADDRESSES
      : this.#suspected.addressesToAvoid(traits.own, this.#options.now());
  }

  /**
   * Records that an endpoint began to answer a request with these traits, with
   * its address as far as it is known.
   */
  recordAnswered(traits: readonly string[], address?: string): void {
    const now_ms = this.#options.now();
    this.#answered.record(traits, now_ms);
    if (address !== undefined) {
      this.#answered.record([answeringTrait(address)], now_ms);
    }
    this.#suspected.clear(traits);
    if (this.entries.withAny(traits).length === 0) return;
    const answered = [...traits];
    void this.#callLedgers({
      local: () => this.handleAnswered(answered),
      remote: (ledger) => this.#options.peers.reportAnswered(ledger, answered),
    });
  }

  /** Reports a broken send if its endpoint has crashed. */
  recordBroken(send: BrokenSend): CrashVerdict {
    return this.#crashReports.record(send);
  }

  /** Handles a report as a ledger. */
  handleReport(report: CrashReport): Promise<CrashReply> {
    return this.#ledgerService.handleReport(report);
  }

  /** Handles, as a ledger, answers to requests with quarantined parts. */
  handleAnswered(parts: string[]): Promise<void> {
    return this.#ledgerService.handleAnswered(parts);
  }

  /** Handles a notice and passes it on; resolves to parts that got answers. */
  handleNotice(
    notice: QuarantineNotice,
    route: NoticeRoute,
  ): Promise<string[]> {
    return this.#notices.handle(notice, route);
  }

  /** Must be called when the store has gone back to an older copy. */
  markRestored(): void {
    this.entries.markRestored();
    this.#restored = true;
  }

  /**
   * Applies the list of entries in the store. A ledger makes the store's entries
   * right; after a restoration, other hosts do if no ledger did.
   */
  replaceStored(stored: readonly unknown[]): void {
    this.entries.replaceStored(this.#read(stored), this.#options.now());
    this.#repairStored(this.#restored);
    this.#restored = false;
  }

  /** Applies changes of the entries in the store. */
  applyStoredChanges(changes: readonly FeedChange<unknown>[]): void {
    const now_ms = this.#options.now();
    for (const { name, value, deleted } of changes) {
      if (deleted) this.entries.remove(name, now_ms);
      else {
        for (const entry of this.#read([value])) {
          this.entries.putWritten(entry, now_ms);
        }
      }
    }
    if (this.entries.returned().length > 0) this.#repairStored(false);
  }

  /** Adds entries of another host, which may not know that they have ended. */
  addFromPeer(entries: readonly unknown[]): void {
    const now_ms = this.#options.now();
    for (const each of this.#read(entries)) {
      const hasReturned = this.entries.hasReturned(quarantineName(each.parts));
      if (!hasReturned) this.entries.put(each, now_ms);
    }
  }

  #repairStored(isRestored: boolean): void {
    void repairStored({
      ...this.#options,
      quarantine: this.entries,
      writer: this.#writer,
      isLedger: () => this.#ledgers().includes(this.#options.self),
      isRestored,
    });
  }

  /** Sends a report to the ledgers; resolves to what they suspect. */
  async #sendReport(report: CrashReport): Promise<string[]> {
    const { peers } = this.#options;
    const replies = await this.#callLedgers({
      local: () => this.handleReport(report),
      remote: async (ledger) =>
        crashReplySchema.parse(await peers.reportCrash(ledger, report)),
    });
    // This host may have missed the notice of an entry.
    this.addFromPeer(replies.flatMap(({ quarantined }) => quarantined));
    return replies.flatMap(({ suspects }) => suspects);
  }

  /** The entries among values from outside; logs that some are malformed. */
  #read(values: readonly unknown[]): QuarantinedParts[] {
    const entries = readEntries(values);
    const malformed = values.length - entries.length;
    if (malformed > 0) {
      this.#options.log.warn({ event: "unreadable_entries", count: malformed });
    }
    return entries;
  }

  /** Takes a probe of an entry; only the first ledger gives any. */
  #takeProbe(quarantined: QuarantinedParts): boolean {
    const { now, self, log } = this.#options;
    const now_ms = now();
    if (!this.entries.isProbeDue(quarantined, now_ms)) return false;
    if (this.#ledgers()[0] !== self) return false;
    const probed = { ...quarantined, probes: quarantined.probes + 1 };
    this.entries.put(probed, now_ms);
    log.warn({ event: "quarantine_probe", parts: probed.parts.join(",") });
    void this.#ledgerService.publish(probed, 0);
    return true;
  }

  #ledgers(): string[] {
    return this.#rankedHosts.first(RANKING_KEY, LEDGERS);
  }

  #callLedgers<T>(call: {
    local: () => Promise<T>;
    remote: (ledger: string) => Promise<T>;
  }): Promise<T[]> {
    return this.#rankedHosts.call({
      key: RANKING_KEY,
      count: LEDGERS,
      ...call,
    });
  }
}

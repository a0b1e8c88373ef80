/**
 * Makes a host's history of versions current, and reach back far enough, with the
 * word of the source, of other hosts and of the store. A host may be out of step
 * without its knowing, so its own list is not enough for a conclusion.
 */
import type { Logger } from "../logging/logger.ts";
import { rankCandidates } from "../membership/rendezvous_hash.ts";
import { SharedRuns } from "../utils/shared_runs.ts";
import type { ConfirmSource } from "./confirm_source.ts";
import type { VersionHistory, VersionReport } from "./version_history.ts";

/** Calls to other hosts; they reject if the host does not respond. */
export interface KnownVersionsPeers {
  /** Asks a host which versions have been in service, up to now if it can tell. */
  askVersions(address: string): Promise<VersionReport>;
}

/** Dependencies of {@linkcode KnownVersions}. */
export interface KnownVersionsOptions {
  history: VersionHistory;
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts. */
  hosts: () => readonly string[];
  /** Hosts that read the source of the endpoints and may confirm it. */
  sourceReaders: () => readonly string[];
  confirmSource: ConfirmSource;
  /** Adds to the history what the store knows of earlier versions. */
  learnStored: () => Promise<void>;
  peers: KnownVersionsPeers;
  log: Logger;
  /** Monotonic time in milliseconds. */
  now: () => number;
  /** Returns a number from 0 up to, not including, 1. */
  random: () => number;
}

/** Hosts that are asked for what was in service before this host knew. */
const ASKED_FOR_VERSIONS = 3;
/** Hosts of which most must answer while none can confirm the source. */
const ASKED_WITHOUT_SOURCE = 5;
/** Confirmations by other hosts are this far apart, and shared. */
const MIN_CONFIRM_INTERVAL_MS = 100;
/** Time until they are asked again. */
const MIN_ASK_INTERVAL_MS = 1_000;

/** Up to when this host knows the versions; the values are logged. */
enum Currency {
  /** Up to now, by the source. */
  Confirmed = "confirmed",
  /** As far as most of several hosts, while the source answers none of them. */
  Agreed = "agreed",
  Unknown = "unknown",
}

/** What the history's span is worth. */
interface Confirmation {
  currency: Currency;
  /** Lists don't confirm what was in service before. */
  from_ms: number;
}

/** Completes the history of versions when a conclusion needs it. */
export class KnownVersions {
  #options: KnownVersionsOptions;
  /** The questions that are being answered; undefined if there are none. */
  #asking: Promise<void> | undefined;
  #asked_ms = -Infinity;
  #confirmation: SharedRuns<Confirmation>;

  constructor(options: KnownVersionsOptions) {
    this.#options = options;
    this.#confirmation = new SharedRuns(() => this.#makeCurrent(), {
      min_interval_ms: MIN_CONFIRM_INTERVAL_MS,
      now: options.now,
    });
  }

  /**
   * Whether the history holds all versions of a pool that were in service from
   * then up to the call, after whatever can be asked was asked.
   */
  async learn(pool: string, since_ms: number): Promise<boolean> {
    const { currency, from_ms } = await this.#confirmation.next();
    if (currency === Currency.Unknown) return false;
    const { history, learnStored } = this.#options;
    const isKnown = () => history.isKnownSince(since_ms, pool, from_ms);
    if (!isKnown()) await this.#askForVersions();
    if (!isKnown()) await learnStored();
    return isKnown();
  }

  /** What this host knows of the versions, and whether up to now. */
  async report(): Promise<VersionReport> {
    const { history, now } = this.#options;
    const is_current = await this.#confirmOwnSource();
    return { ...history.report(now()), is_current };
  }

  /** Makes what this host knows of the versions current, if it can. */
  async #makeCurrent(): Promise<Confirmation> {
    if (await this.#confirmOwnSource()) {
      return { currency: Currency.Confirmed, from_ms: -Infinity };
    }
    const { self, hosts, sourceReaders, random, log } = this.#options;
    const readers = await this.#askVersionsOf(sourceReaders());
    const confirmed = this.#confirmedBy(readers);
    if (confirmed !== undefined) return confirmed;
    // The source may be away for all; then nobody hears of a new version.
    const others = rankCandidates(String(random()), hosts())
      .filter((address) => address !== self)
      .slice(0, ASKED_WITHOUT_SOURCE);
    const reports = await this.#askVersionsOf(others);
    const confirmation = this.#confirmedBy(reports);
    const currency = confirmation !== undefined
      ? confirmation.currency
      : 2 * reports.length > others.length || others.length === 0
      ? Currency.Agreed
      : Currency.Unknown;
    log.info({
      event: "versions_unconfirmed",
      asked: others.length,
      answered: reports.length,
      outcome: currency,
    });
    return confirmation ?? { currency, from_ms: -Infinity };
  }

  /**
   * What current reports confirm; undefined if there are none. Until when this
   * host's own list was current isn't known, so that it adds nothing to them.
   */
  #confirmedBy(reports: readonly VersionReport[]): Confirmation | undefined {
    const spans_ms = reports.filter(({ is_current }) => is_current)
      .map(({ known_for_ms }) => known_for_ms);
    if (spans_ms.length === 0) return undefined;
    const from_ms = this.#options.now() - Math.max(...spans_ms);
    return { currency: Currency.Confirmed, from_ms };
  }

  /** Whether the source says that this host knows all versions up to now. */
  async #confirmOwnSource(): Promise<boolean> {
    const changed = await this.#options.confirmSource();
    if (changed === undefined) return false;
    const { history, now } = this.#options;
    history.addServed(changed, now());
    return true;
  }

  /** Learns from other hosts what was in service before this one knew. */
  async #askForVersions(): Promise<void> {
    const now_ms = this.#options.now();
    if (now_ms - this.#asked_ms >= MIN_ASK_INTERVAL_MS) {
      this.#asked_ms = now_ms;
      this.#asking = this.#askHosts();
    }
    await this.#asking;
  }

  async #askHosts(): Promise<void> {
    const { self, hosts, sourceReaders, random } = this.#options;
    const asked = rankCandidates(String(random()), hosts())
      .filter((address) => address !== self).slice(0, ASKED_FOR_VERSIONS);
    // Followers may be behind.
    await this.#askVersionsOf([...new Set([...sourceReaders(), ...asked])]);
  }

  /** Takes over what some hosts know; resolves to the reports that came. */
  async #askVersionsOf(
    addresses: readonly string[],
  ): Promise<VersionReport[]> {
    const { history, peers, log, now } = this.#options;
    const reports = await Promise.all(addresses.map(async (address) => {
      try {
        const report = await peers.askVersions(address);
        history.merge(report, now());
        return report;
      } catch (error) {
        log.warn({
          event: "versions_not_told",
          peer: address,
          error: (error as Error).message,
        });
        return undefined;
      }
    }));
    return reports.filter((report) => report !== undefined);
  }
}

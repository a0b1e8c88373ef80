import type { Logger } from "../logging/logger.ts";
import type { FeedChange, FeedItem } from "../store_sync/object_feed.ts";
import { Backoff } from "../utils/delay.ts";
import type { GatewayMember } from "./gateway_members.ts";

/** Dependencies of an {@linkcode OwnEntry}. */
export interface OwnEntryOptions {
  /** This host's name, which is also the name of its entry. */
  name: string;
  member: GatewayMember;
  /** Writes the entry; rejects if the write fails. */
  announce: (name: string, member: GatewayMember) => Promise<void>;
  /** Removes the entry; rejects if the removal fails. */
  withdraw: (name: string) => Promise<void>;
  /** Number of hosts, including this one. */
  hostCount: () => number;
  log: Logger;
  random: () => number;
  /** Waits; returns early when the signal aborts. */
  delay: (delay_ms: number, signal: AbortSignal) => Promise<void>;
  signal: AbortSignal;
}

const RETRY_BACKOFF = { initial_ms: 100, max_ms: 2_000 };
/** By then this host has received its own last write from the feed. */
const REPAIR_DELAY_MS = 3_000;
/** Mean time between the repairs of two hosts, which may all repair at once. */
const REPAIR_INTERVAL_MS = 25;

/**
 * This host's entry in the object store, by which other hosts know it: written
 * at the start, removed when the host drains, and made right again when the
 * store turns out to hold something else, as after it went back to an older copy.
 */
export class OwnEntry {
  #options: OwnEntryOptions;
  #withdrawn = false;
  #repairing = false;
  /** This host's entry as the store last listed it. */
  #listed: GatewayMember | undefined;
  /** The write or removal that is under way. */
  #update: Promise<void> = Promise.resolve();

  constructor(options: OwnEntryOptions) {
    this.#options = options;
  }

  /** Writes the entry, with retries, unless this host has withdrawn. */
  announce(): Promise<void> {
    const { name, member, announce, log } = this.#options;
    this.#update = this.#retry("announce_failed", async () => {
      if (this.#withdrawn) return;
      await announce(name, member);
      log.info({ event: "announced", address: member.address });
    });
    return this.#update;
  }

  /**
   * Removes the entry, with retries, unless a later process of the same name has
   * written its own. It is not written again.
   */
  async withdraw(): Promise<void> {
    const { name, member, withdraw } = this.#options;
    this.#withdrawn = true;
    await this.#update;
    const listed_ms = this.#listed?.started_ms ?? member.started_ms;
    if (listed_ms > member.started_ms) return;
    this.#update = this.#retry("withdraw_failed", () => withdraw(name));
    await this.#update;
  }

  /** Compares this host's entry in a list of all entries with what it should be. */
  handleList(items: FeedItem<GatewayMember>[]): void {
    const { name } = this.#options;
    this.#listed = items.find((item) => item.name === name)?.value;
    if (this.#isWrong) void this.#repair();
  }

  /** Compares this host's entry with what it should be if it has changed. */
  handleChanges(changes: FeedChange<GatewayMember>[]): void {
    for (const { name, value, deleted } of changes) {
      if (name !== this.#options.name) continue;
      this.#listed = deleted ? undefined : value;
      if (this.#isWrong) void this.#repair();
    }
  }

  get #isWrong(): boolean {
    const { started_ms } = this.#options.member;
    return this.#withdrawn
      ? this.#listed?.started_ms === started_ms
      : this.#listed === undefined || this.#listed.started_ms < started_ms;
  }

  async #repair(): Promise<void> {
    if (this.#repairing) return;
    this.#repairing = true;
    await this.#update;
    const { random, hostCount, delay, log, signal } = this.#options;
    const spread_ms = random() * hostCount() * REPAIR_INTERVAL_MS;
    // A host that drains may be gone soon.
    const delay_ms = this.#withdrawn ? 0 : REPAIR_DELAY_MS;
    await delay(delay_ms + spread_ms, signal);
    if (this.#isWrong && !signal.aborted) {
      log.info({ event: "entry_repair", withdrawn: this.#withdrawn });
      await (this.#withdrawn ? this.withdraw() : this.announce());
    }
    this.#repairing = false;
  }

  async #retry(event: string, call: () => Promise<void>): Promise<void> {
    const { log, random, delay, signal } = this.#options;
    const backoff = new Backoff(RETRY_BACKOFF, random);
    while (!signal.aborted) {
      try {
        return await call();
      } catch (error) {
        log.warn({ event, error: (error as Error).message });
        await delay(backoff.nextDelayMs(), signal);
      }
    }
  }
}

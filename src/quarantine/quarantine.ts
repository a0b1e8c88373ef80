/**
 * The quarantined prompt parts that this host knows of. A request that has all
 * the parts of one entry is rejected; seldom, one is let through as a probe, so
 * that a wrong entry ends. Pure: callers pass the time in.
 */
import { type QuarantinedParts, quarantineName } from "./types.ts";
import { dropOldest } from "../utils/drop_oldest.ts";

/** Entries that are kept; beyond this the oldest are dropped. */
const MAX_ENTRIES = 256;
/** Ended entries whose names are kept; beyond this the oldest are dropped. */
const MAX_ENDED = 1_000;
/** Time in which a write that got no response may still be executed. */
const LATE_WRITE_MS = 60_000;
/** Time before the first probe, and between that and the second. */
const PROBE_DELAYS_MS = [600_000, 3_600_000];

interface Entry {
  quarantined: QuarantinedParts;
  /** When this host learned of the entry or of its last probe. */
  since_ms: number;
  /** Number of probes in the object store's entry; undefined if it has none. */
  stored_probes: number | undefined;
}

/** The quarantined prompt parts that this host knows of. */
export class Quarantine {
  #entries = new Map<string, Entry>();
  /** When entries have ended, by name. */
  #ended = new Map<string, number>();
  /** Names of ended entries that the store has all the same. */
  #returned = new Set<string>();
  /** Whether the next list is the first one since a restoration. */
  #restored = false;

  /** Whether there is no entry. */
  get isEmpty(): boolean {
    return this.#entries.size === 0;
  }

  /** All entries. */
  all(): QuarantinedParts[] {
    return [...this.#entries.values()].map(({ quarantined }) => quarantined);
  }

  /** Entries that the store lacks or has in an older state. */
  unstored(): QuarantinedParts[] {
    return [...this.#entries.values()]
      .filter(({ quarantined, stored_probes = -1 }) =>
        stored_probes < quarantined.probes
      )
      .map(({ quarantined }) => quarantined);
  }

  /** Names of entries in the store that have ended. */
  returned(): string[] {
    return [...this.#returned];
  }

  /**
   * Must be called when the store has gone back to an older copy: an entry that
   * the next list lacks has been lost, and one that has ended may be listed.
   */
  markRestored(): void {
    this.#restored = true;
    for (const entry of this.#entries.values()) entry.stored_probes = undefined;
  }

  /** Adds an entry or its newer state; false if nothing changed. */
  put(quarantined: QuarantinedParts, now_ms: number): boolean {
    const name = quarantineName(quarantined.parts);
    this.#ended.delete(name);
    this.#returned.delete(name);
    const known = this.#entries.get(name);
    if (known !== undefined) {
      if (known.quarantined.probes >= quarantined.probes) return false;
      this.#entries.set(name, { ...known, quarantined, since_ms: now_ms });
      return true;
    }
    this.#entries.set(name, {
      quarantined,
      since_ms: now_ms,
      stored_probes: undefined,
    });
    dropOldest(this.#entries, MAX_ENTRIES);
    return true;
  }

  /** Whether there is an entry of this name. */
  has(name: string): boolean {
    return this.#entries.has(name);
  }

  /** Whether the store has an entry that has ended. */
  hasReturned(name: string): boolean {
    return this.#returned.has(name);
  }

  /** Ends an entry. */
  remove(name: string, now_ms: number): void {
    this.#returned.delete(name);
    this.#entries.delete(name);
    this.#ended.delete(name);
    this.#ended.set(name, now_ms);
    dropOldest(this.#ended, MAX_ENDED);
  }

  /** Adds the store's entries and removes those that it no longer has. */
  replaceStored(stored: readonly QuarantinedParts[], now_ms: number): void {
    const names = new Set(stored.map(({ parts }) => quarantineName(parts)));
    for (const [name, { stored_probes }] of this.#entries) {
      if (stored_probes === undefined || names.has(name)) continue;
      this.remove(name, now_ms);
    }
    const returned = this.#restored ? this.#ended : this.#returned;
    this.#returned = new Set([...names].filter((name) => returned.has(name)));
    this.#restored = false;
    for (const each of stored) {
      const name = quarantineName(each.parts);
      if (!this.#returned.has(name)) this.putStored(each, now_ms);
    }
  }

  /**
   * Adds an entry that was written to the store, unless it has just ended: then
   * the write is an old one that was executed late, as hosts are told of a new
   * entry before it is written.
   */
  putWritten(quarantined: QuarantinedParts, now_ms: number): void {
    const name = quarantineName(quarantined.parts);
    const ended_ms = this.#ended.get(name) ?? -Infinity;
    if (now_ms - ended_ms < LATE_WRITE_MS) this.#returned.add(name);
    else this.putStored(quarantined, now_ms);
  }

  /** Adds an entry of the store. */
  putStored(quarantined: QuarantinedParts, now_ms: number): void {
    this.put(quarantined, now_ms);
    const entry = this.#entries.get(quarantineName(quarantined.parts));
    if (entry !== undefined) entry.stored_probes = quarantined.probes;
  }

  /** The entry that a request with these parts falls under, if any. */
  find(parts: readonly string[]): QuarantinedParts | undefined {
    if (this.#entries.size === 0 || parts.length === 0) return undefined;
    const present = new Set(parts);
    return this.all().find((entry) =>
      entry.parts.every((part) => present.has(part))
    );
  }

  /** The entries that have one of these parts. */
  withAny(parts: readonly string[]): QuarantinedParts[] {
    return this.all().filter((entry) =>
      entry.parts.some((part) => parts.includes(part))
    );
  }

  /** Whether a request may be let through as a probe of an entry. */
  isProbeDue({ parts }: QuarantinedParts, now_ms: number): boolean {
    const entry = this.#entries.get(quarantineName(parts));
    const delay_ms = PROBE_DELAYS_MS[entry?.quarantined.probes ?? Infinity];
    return entry !== undefined && delay_ms !== undefined &&
      now_ms - entry.since_ms >= delay_ms;
  }
}

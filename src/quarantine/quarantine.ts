/**
 * The quarantined prompt parts that this host knows of. A request that has all
 * the parts of one entry is rejected; seldom, one is let through as a probe, so
 * that a wrong entry ends. Pure: callers pass the time in.
 */
import { type QuarantinedParts, quarantineName } from "./types.ts";

/** Entries that are kept; beyond this the oldest are dropped. */
const MAX_ENTRIES = 256;
/** Time before the first probe, and between that and the second. */
const PROBE_DELAYS_MS = [600_000, 3_600_000];

interface Entry {
  quarantined: QuarantinedParts;
  /** When this host learned of the entry or of its last probe. */
  since_ms: number;
  /** Whether it has been seen in the object store. */
  stored: boolean;
}

/** The quarantined prompt parts that this host knows of. */
export class Quarantine {
  #entries = new Map<string, Entry>();

  /** All entries. */
  all(): QuarantinedParts[] {
    return [...this.#entries.values()].map(({ quarantined }) => quarantined);
  }

  /** Entries that have not been seen in the store. */
  unstored(): QuarantinedParts[] {
    return [...this.#entries.values()].filter(({ stored }) => !stored)
      .map(({ quarantined }) => quarantined);
  }

  /** Adds an entry or its newer state; false if nothing changed. */
  put(quarantined: QuarantinedParts, now_ms: number): boolean {
    const name = quarantineName(quarantined.parts);
    const known = this.#entries.get(name);
    if (known !== undefined) {
      if (known.quarantined.probes >= quarantined.probes) return false;
      this.#entries.set(name, { ...known, quarantined, since_ms: now_ms });
      return true;
    }
    this.#entries.set(name, { quarantined, since_ms: now_ms, stored: false });
    const [oldest] = this.#entries.keys();
    if (this.#entries.size > MAX_ENTRIES) this.#entries.delete(oldest ?? "");
    return true;
  }

  /** Whether there is an entry of this name. */
  has(name: string): boolean {
    return this.#entries.has(name);
  }

  /** Removes an entry; false if it is not known. */
  remove(name: string): boolean {
    return this.#entries.delete(name);
  }

  /** Adds the store's entries and removes those that it no longer has. */
  replaceStored(stored: readonly QuarantinedParts[], now_ms: number): void {
    const names = new Set(stored.map(({ parts }) => quarantineName(parts)));
    for (const [name, entry] of this.#entries) {
      if (entry.stored && !names.has(name)) this.#entries.delete(name);
    }
    for (const each of stored) this.putStored(each, now_ms);
  }

  /** Adds an entry of the store. */
  putStored(quarantined: QuarantinedParts, now_ms: number): void {
    this.put(quarantined, now_ms);
    const entry = this.#entries.get(quarantineName(quarantined.parts));
    if (entry !== undefined) entry.stored = true;
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

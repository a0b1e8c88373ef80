/**
 * A journal of the outcomes of minted keys. It is written to the platform's
 * object store in batches, so that other hosts can still look up the outcomes
 * after the process that minted the keys has stopped. Each chunk of key numbers
 * of a process is one object. A `closed` object states that the process has
 * stopped and will run nothing more.
 */
import { type Platform, PlatformFailureKind } from "../object_api/types.ts";
import type { Outcome } from "../pipelines/outcome.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { JournalEntry } from "./minted_keys.ts";

/** Dependencies and settings of the journal. */
export interface JournalOptions {
  platform: Platform;
  /** Identifies this run of the process; prefix of its journal's objects. */
  incarnation: string;
  /** Time between two batches. */
  interval_ms: () => number;
  /** Unix time in milliseconds. */
  now: () => number;
  signal: AbortSignal;
}

/** What the journal of another process says about a key. */
export enum JournalLookupKind {
  /** The journal has the outcome of the key. */
  Found = "found",
  /** The process closed its journal and never ran the key. */
  NeverRun = "never_run",
  /** The journal has no entry and is not closed; the key may have run. */
  Missing = "missing",
  /** The platform did not respond. */
  Unavailable = "unavailable",
}

/** The result of looking up a key in a journal. */
export type JournalLookup =
  | { kind: JournalLookupKind.Found; entry: JournalEntry }
  | { kind: Exclude<JournalLookupKind, JournalLookupKind.Found> };

interface JournalChunk {
  entries: JournalEntry[];
  /** Unix time of the last write, from which the cleaner computes the age. */
  written_ms: number;
}

interface KnownChunk {
  /** Undefined if the platform has no such object. */
  version: string | undefined;
  /** All entries of this process, also if the platform has lost some. */
  entries: JournalEntry[];
  written_ms: number;
}

const KEYS_PER_CHUNK = 200;
/** Age up to which the platform may lose a chunk by going back to a copy. */
const MAX_LOSS_AGE_MS = 600_000;
/** The oldest pending entries are dropped beyond this number. */
const MAX_PENDING_ENTRIES = 20_000;
const MAX_CLOSE_ATTEMPTS = 10;
const CLOSE_RETRY_DELAY_MS = 200;

/** Writes the journal of this process and reads those of other processes. */
export class Journal {
  readonly #options: JournalOptions;
  #pending: JournalEntry[] = [];
  #flushing: Promise<boolean> = Promise.resolve(true);
  #chunks = new Map<number, KnownChunk>();

  constructor(options: JournalOptions) {
    this.#options = options;
  }

  /** Adds an entry to the next batch. */
  add(entry: JournalEntry): void {
    if (this.#pending.length >= MAX_PENDING_ENTRIES) this.#pending.shift();
    this.#pending.push(entry);
  }

  /** Writes batches at intervals until the signal is aborted. */
  async run(): Promise<void> {
    const { signal, interval_ms } = this.#options;
    while (!signal.aborted) {
      await abortableDelay(interval_ms(), signal);
      await this.flush();
    }
  }

  /** Writes the pending entries; false if some of them failed to be written. */
  flush(): Promise<boolean> {
    const flushed = this.#flushing.then(() => this.#writeBatch());
    this.#flushing = flushed;
    return flushed;
  }

  async #writeBatch(): Promise<boolean> {
    const batch = this.#pending.splice(0);
    const byChunk = Map.groupBy(batch, (entry) => chunkIndexOf(entry.number));
    let complete = true;
    for (const [chunk, entries] of byChunk) {
      if (await this.#append(chunk, entries)) continue;
      this.#pending.unshift(...entries);
      complete = false;
    }
    return complete;
  }

  /**
   * Writes the pending entries and what the platform has lost of the earlier
   * ones, then states that this process will run nothing more. If the writes
   * keep failing, the journal is left open.
   */
  async close(): Promise<void> {
    const { platform, incarnation, now, signal } = this.#options;
    const checked = new Set<number>();
    for (let attempt = 0; attempt < MAX_CLOSE_ATTEMPTS; attempt++) {
      if (await this.flush() && await this.#rewriteLost(checked)) {
        const key = closedKey(incarnation);
        await platform.put(key, { closed: true, written_ms: now() }, {
          absent: true,
        });
        await this.#rewriteLost(new Set());
        return;
      }
      await abortableDelay(CLOSE_RETRY_DELAY_MS, signal);
    }
  }

  /** Looks up a key of any process. */
  async lookup(incarnation: string, number: number): Promise<JournalLookup> {
    const { platform } = this.#options;
    const closed = await platform.get(closedKey(incarnation));
    if (!closed.ok) return { kind: JournalLookupKind.Unavailable };
    const chunk = await platform.get(
      chunkKey(incarnation, chunkIndexOf(number)),
    );
    if (!chunk.ok) return { kind: JournalLookupKind.Unavailable };
    const entries = (chunk.value?.value as JournalChunk | undefined)?.entries;
    const entry = entries?.find((each) => each.number === number);
    if (entry !== undefined) return { kind: JournalLookupKind.Found, entry };
    const stopped = closed.value !== undefined;
    return {
      kind: stopped ? JournalLookupKind.NeverRun : JournalLookupKind.Missing,
    };
  }

  async #append(chunk: number, added: JournalEntry[]): Promise<boolean> {
    const { platform, incarnation, now } = this.#options;
    const known = this.#chunks.get(chunk);
    const entries = mergeEntries(known?.entries ?? [], added);
    const condition = known?.version === undefined
      ? { absent: true as const }
      : { version: known.version };
    const key = chunkKey(incarnation, chunk);
    const written_ms = now();
    const written = await platform.put(key, { entries, written_ms }, condition);
    if (written.ok) {
      this.#chunks.set(chunk, { version: written.value, entries, written_ms });
      return true;
    }
    if (written.failure.kind === PlatformFailureKind.Conflict) {
      await this.#reload(chunk);
    }
    return false;
  }

  /**
   * Reads a chunk again after a conflict. As only this process writes its
   * chunks, a conflict means that the response to an earlier write was lost, or
   * that the platform went back to an older copy.
   */
  async #reload(chunk: number): Promise<void> {
    const { platform, incarnation, now } = this.#options;
    const read = await platform.get(chunkKey(incarnation, chunk));
    if (!read.ok) return;
    const stored = read.value?.value as JournalChunk | undefined;
    const known = this.#chunks.get(chunk)?.entries ?? [];
    this.#chunks.set(chunk, {
      version: read.value?.version,
      entries: mergeEntries(stored?.entries ?? [], known),
      written_ms: now(),
    });
  }

  /**
   * Writes the chunks again that the platform has lost or has in an older state;
   * false if that failed for some. Skips those in `checked` and adds the others.
   */
  async #rewriteLost(checked: Set<number>): Promise<boolean> {
    const { platform, incarnation, now } = this.#options;
    for (const [chunk, { version, written_ms }] of this.#chunks) {
      const isOld = now() - written_ms > MAX_LOSS_AGE_MS;
      if (isOld || checked.has(chunk)) continue;
      const read = await platform.get(chunkKey(incarnation, chunk));
      if (!read.ok) return false;
      if (read.value?.version !== version) {
        await this.#reload(chunk);
        if (!await this.#append(chunk, [])) return false;
      }
      checked.add(chunk);
    }
    return true;
  }
}

/** Joins entries; of two for one key the added one counts. */
function mergeEntries(
  entries: readonly JournalEntry[],
  added: readonly JournalEntry[],
): JournalEntry[] {
  const byNumber = new Map(
    [...entries, ...added].map((entry) => [entry.number, entry]),
  );
  return [...byNumber.values()];
}

/** Maximum length of a stored outcome, in UTF-16 code units of its JSON. */
export const MAX_STORED_OUTCOME_LENGTH = 16_384;

/** Whether an outcome is small enough to be stored with its output. */
export function isStorable(outcome: Outcome): boolean {
  return JSON.stringify(outcome).length <= MAX_STORED_OUTCOME_LENGTH;
}

function chunkIndexOf(number: number): number {
  return Math.floor(number / KEYS_PER_CHUNK);
}

function chunkKey(incarnation: string, chunk: number): string {
  return `journal/${incarnation}/${chunk}`;
}

function closedKey(incarnation: string): string {
  return `journal/${incarnation}/closed`;
}

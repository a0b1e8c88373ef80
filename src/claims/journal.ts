/**
 * Outcomes of minted keys, written to the platform in batches so that other
 * hosts can answer for a process that is gone. Each chunk of key numbers is one
 * object of the process that minted them; a closing object says that the
 * process has stopped and runs nothing any more.
 */
import { type Platform, PlatformFailureKind } from "../object_api/types.ts";
import type { Outcome } from "../pipelines/outcome.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { JournalEntry } from "./minted_keys.ts";

/** What the journal needs. */
export interface JournalOptions {
  platform: Platform;
  incarnation: string;
  /** Time between two batches. */
  interval_ms: () => number;
  now: () => number;
  signal: AbortSignal;
}

/** How far the journal knows a key of another process. */
export enum JournalFind {
  Found = "found",
  /** The process stopped in order and did not run the key. */
  NeverRun = "never_run",
  /** The journal does not say. */
  Missing = "missing",
  /** The platform gave no answer. */
  Unavailable = "unavailable",
}

/** The journal's answer about a key. */
export type JournalAnswer =
  | { find: JournalFind.Found; entry: JournalEntry }
  | { find: Exclude<JournalFind, JournalFind.Found> };

interface JournalChunk {
  entries: JournalEntry[];
  /** When the chunk was written last, for the cleaner. */
  written_ms: number;
}

const CHUNK_KEYS = 200;
const MAX_WAITING = 20_000;
const CLOSE_ATTEMPTS = 10;
const CLOSE_RETRY_MS = 200;

/** Writes this process's journal, and reads those of others. */
export class Journal {
  readonly #options: JournalOptions;
  #waiting: JournalEntry[] = [];
  #flushing: Promise<boolean> = Promise.resolve(true);
  #chunks = new Map<
    number,
    { version: string | undefined; entries: JournalEntry[] }
  >();

  constructor(options: JournalOptions) {
    this.#options = options;
  }

  /** Adds an outcome to the next batch. */
  add(entry: JournalEntry): void {
    if (this.#waiting.length >= MAX_WAITING) this.#waiting.shift();
    this.#waiting.push(entry);
  }

  /** Writes batches until the signal fires. */
  async run(): Promise<void> {
    const { signal, interval_ms } = this.#options;
    while (!signal.aborted) {
      await abortableDelay(interval_ms(), signal);
      await this.flush();
    }
  }

  /** Writes what waits; false if some of it could not be written. */
  flush(): Promise<boolean> {
    const flushed = this.#flushing.then(() => this.#writeBatch());
    this.#flushing = flushed;
    return flushed;
  }

  async #writeBatch(): Promise<boolean> {
    const batch = this.#waiting.splice(0);
    const byChunk = Map.groupBy(batch, (entry) => chunkOf(entry.number));
    let complete = true;
    for (const [chunk, entries] of byChunk) {
      if (await this.#append(chunk, entries)) continue;
      this.#waiting.unshift(...entries);
      complete = false;
    }
    return complete;
  }

  /** Says that this process has stopped and runs nothing any more. */
  async close(): Promise<void> {
    const { platform, incarnation, now, signal } = this.#options;
    for (let attempt = 0; attempt < CLOSE_ATTEMPTS; attempt++) {
      if (await this.flush()) {
        const key = closedKey(incarnation);
        await platform.put(key, { closed: true, written_ms: now() }, {
          absent: true,
        });
        return;
      }
      await abortableDelay(CLOSE_RETRY_MS, signal);
    }
  }

  /** Looks up a key of another process. */
  async find(incarnation: string, number: number): Promise<JournalAnswer> {
    const { platform } = this.#options;
    const closed = await platform.get(closedKey(incarnation));
    if (!closed.ok) return { find: JournalFind.Unavailable };
    const chunk = await platform.get(chunkKey(incarnation, chunkOf(number)));
    if (!chunk.ok) return { find: JournalFind.Unavailable };
    const entries = (chunk.value?.value as JournalChunk | undefined)?.entries;
    const entry = entries?.find((each) => each.number === number);
    if (entry !== undefined) return { find: JournalFind.Found, entry };
    const stopped = closed.value !== undefined;
    return { find: stopped ? JournalFind.NeverRun : JournalFind.Missing };
  }

  async #append(chunk: number, fresh: JournalEntry[]): Promise<boolean> {
    const { platform, incarnation, now } = this.#options;
    const known = this.#chunks.get(chunk);
    const entries = [...known?.entries ?? [], ...fresh];
    const condition = known?.version === undefined
      ? { absent: true as const }
      : { version: known.version };
    const key = chunkKey(incarnation, chunk);
    const written = await platform.put(
      key,
      { entries, written_ms: now() },
      condition,
    );
    if (written.ok) {
      this.#chunks.set(chunk, { version: written.value, entries });
      return true;
    }
    if (written.failure.kind === PlatformFailureKind.Conflict) {
      await this.#reload(chunk);
    }
    return false;
  }

  /** After a lost answer: only this process writes its own chunks. */
  async #reload(chunk: number): Promise<void> {
    const { platform, incarnation } = this.#options;
    const found = await platform.get(chunkKey(incarnation, chunk));
    if (!found.ok || found.value === undefined) return;
    const { entries } = found.value.value as JournalChunk;
    this.#chunks.set(chunk, { version: found.value.version, entries });
  }
}

/** The largest output that is kept with an outcome. */
export const MAX_KEPT_OUTPUT_BYTES = 16_384;

/** Whether an outcome is small enough to be kept whole. */
export function isKeepable(outcome: Outcome): boolean {
  return JSON.stringify(outcome).length <= MAX_KEPT_OUTPUT_BYTES;
}

function chunkOf(number: number): number {
  return Math.floor(number / CHUNK_KEYS);
}

function chunkKey(incarnation: string, chunk: number): string {
  return `journal/${incarnation}/${chunk}`;
}

function closedKey(incarnation: string): string {
  return `journal/${incarnation}/closed`;
}

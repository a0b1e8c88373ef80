/**
 * Keeps the versions of each pool in the object store, so that hosts know them
 * after all were lost at once. An object names the versions in service, and those
 * that left within a stream's life by the clock of a host that runs: no time is
 * written, as hosts' clocks may jump. While no host runs no stream does, so an
 * object may be of any age.
 */
import type { Logger } from "../logging/logger.ts";
import { type FeedResult, FeedResultKind } from "../store_sync/object_feed.ts";
import { abortableDelay, Backoff } from "../utils/delay.ts";
import { SpacedAttempts } from "../utils/spaced_attempts.ts";
import type { PoolVersions } from "./types.ts";
import type { VersionHistory } from "./version_history.ts";

/** Calls to the object store. */
export interface VersionStore {
  listVersions(signal: AbortSignal): Promise<FeedResult<PoolVersions>>;
  /** Rejects if the write fails. */
  writeVersions(versions: PoolVersions): Promise<void>;
}

/** Dependencies of {@linkcode StoredVersions}. */
export interface StoredVersionsOptions {
  store: VersionStore;
  history: VersionHistory;
  /** Whether this host is one of those that write. */
  isWriter: () => boolean;
  /** Whether streams of a pool may be resumed. */
  isResumable: (pool: string) => boolean;
  /** The epoch of the store; what was written may be gone in the next. */
  epoch: () => number | undefined;
  log: Logger;
  now: () => number;
  random: () => number;
  signal: AbortSignal;
}

/** The first is how often a writer looks for changes of its own list. */
const CHECK_BACKOFF = { initial_ms: 400, max_ms: 5_000 };
/** A host that must know them reads at most this often. */
const MIN_READ_INTERVAL_MS = 1_000;
const READ_TIMEOUT_MS = 700;

/** The versions of each pool that the store names. */
export class StoredVersions {
  #options: StoredVersionsOptions;
  /** What the store names as far as this host knows, by pool. */
  #stored = new Map<string, string>();
  #epoch: number | undefined;
  #reads: SpacedAttempts;

  constructor(options: StoredVersionsOptions) {
    this.#options = options;
    this.#reads = new SpacedAttempts(async () => void await this.#read(), {
      min_interval_ms: MIN_READ_INTERVAL_MS,
      now: options.now,
    });
  }

  /** Adds what the store names to the history, if it can. */
  async learn(): Promise<void> {
    await this.#reads.attempt();
  }

  /** Writes them whenever they change, until the host stops. */
  async run(): Promise<void> {
    const { isWriter, random, signal } = this.#options;
    const backoff = new Backoff(CHECK_BACKOFF, random);
    while (!signal.aborted) {
      // Jitter, so that the others mostly find it written.
      await abortableDelay(backoff.nextDelayMs(), signal);
      if (signal.aborted || !isWriter()) continue;
      if (await this.#writeChanges()) backoff.reset();
    }
  }

  /** Whether the store names the versions that it should. */
  async #writeChanges(): Promise<boolean> {
    const { epoch } = this.#options;
    if (epoch() !== this.#epoch) this.#stored.clear();
    this.#epoch = epoch();
    if (this.#changes().length === 0) return true;
    // Another host may have written since, or know of more versions.
    if (!await this.#read()) return false;
    for (const each of this.#changes()) await this.#write(each);
    return this.#changes().length === 0;
  }

  async #write(versions: PoolVersions): Promise<void> {
    const { store, log } = this.#options;
    const { pool } = versions;
    try {
      await store.writeVersions(versions);
      this.#remember(versions);
      const names = versions.versions.join(",");
      log.info({ event: "versions_stored", pool, versions: names });
    } catch (error) {
      const { message } = error as Error;
      log.warn({ event: "versions_not_stored", pool, error: message });
    }
  }

  /** Pools of which the store should name other versions. */
  #changes(): PoolVersions[] {
    const { history, isResumable, now } = this.#options;
    return history.toStore(now()).filter(({ pool, versions }) =>
      isResumable(pool) && this.#stored.get(pool) !== JSON.stringify(versions)
    );
  }

  #remember({ pool, versions }: PoolVersions): void {
    this.#stored.set(pool, JSON.stringify(versions));
  }

  /** Whether the store told what it names. */
  async #read(): Promise<boolean> {
    const { store, history, log, now } = this.#options;
    const asked_ms = now();
    const result = await store.listVersions(
      AbortSignal.timeout(READ_TIMEOUT_MS),
    );
    if (result.kind !== FeedResultKind.Listed) {
      log.warn({ event: "stored_versions_not_read", reason: result.kind });
      return false;
    }
    const named = result.items.map(({ value }) => value)
      .filter((value) => value !== undefined);
    for (const each of named) this.#remember(each);
    history.mergeStored(named, { asked_ms, now_ms: now() });
    return true;
  }
}

/**
 * Keeps records of streams in the object store while a pool has several versions,
 * so that streams go on after all hosts were lost at once. A few hosts write what
 * others hand them, in batches. A record is true for ever, as it names an attempt,
 * so one that is old does no harm; one that is missing means a refusal.
 */
import { hash } from "node:crypto";
import type { Logger } from "../logging/logger.ts";
import { type FeedResult, FeedResultKind } from "../store_sync/object_feed.ts";
import { abortableDelay } from "../utils/delay.ts";
import { SpacedAttempts } from "../utils/spaced_attempts.ts";
import type { OriginBatch, StreamOrigin } from "./types.ts";
import { UNKNOWN } from "./version_history.ts";

/** Calls to the object store. */
export interface OriginStore {
  listOrigins(signal: AbortSignal): Promise<FeedResult<OriginBatch>>;
  /** Creates or replaces a batch; rejects if that fails. */
  writeOrigins(name: string, batch: OriginBatch): Promise<void>;
  /** Rejects if the removal fails. */
  removeOrigins(name: string): Promise<void>;
}

/** Dependencies of {@linkcode StoredOrigins}. */
export interface StoredOriginsOptions {
  /** Name of this host. */
  host: string;
  store: OriginStore;
  log: Logger;
  /** Monotonic time in milliseconds. */
  now: () => number;
  /** Unix time in milliseconds, which may jump. */
  unixTime: () => number;
  signal: AbortSignal;
}

const BATCH_INTERVAL_MS = 1_000;
/** Records of a batch; more are not kept. */
const MAX_BATCH = 2_000;
/** Batches of a host; the name of the oldest is used again. */
const BATCH_NAMES = 120;
/** No caller resumes a stream that began longer ago. */
const KEPT_MS = BATCH_NAMES * BATCH_INTERVAL_MS;
const MIN_READ_INTERVAL_MS = 1_000;
const READ_TIMEOUT_MS = 2_000;
/** Characters of a hash that stand for a stream: 66 bits. */
const KEY_LENGTH = 11;

/** The records of streams that the store holds. */
export class StoredOrigins {
  #options: StoredOriginsOptions;
  #pending: StreamOrigin[] = [];
  /** When each batch was written, by name, oldest first. */
  #written_ms = new Map<string, number>();
  /** What was read, by hash of the key. */
  #records = new Map<string, { pool: string; version: string }>();
  #isRead = false;
  #reads: SpacedAttempts;

  constructor(options: StoredOriginsOptions) {
    this.#options = options;
    this.#reads = new SpacedAttempts(() => this.#read(), {
      min_interval_ms: MIN_READ_INTERVAL_MS,
      now: options.now,
    });
  }

  /** Writes a record with the next batch. */
  add(origin: StreamOrigin): void {
    if (this.#pending.length < MAX_BATCH) this.#pending.push(origin);
  }

  /**
   * The record of a stream, as the store had it when this host first asked;
   * undefined if there is none. Never rejects.
   */
  async find(key: string): Promise<StreamOrigin | undefined> {
    if (!this.#isRead) await this.#reads.attempt();
    const record = this.#records.get(hashOf(key));
    return record && { key, ...record };
  }

  /** Writes batches, and removes old ones, until the host stops. */
  async run(): Promise<void> {
    const { signal } = this.#options;
    while (!signal.aborted) {
      await abortableDelay(BATCH_INTERVAL_MS, signal);
      if (signal.aborted) return;
      if (this.#pending.length > 0) await this.#writeBatch();
      else await this.#removeOldest();
    }
  }

  async #writeBatch(): Promise<void> {
    const { host, store, log, now, unixTime } = this.#options;
    const origins = this.#pending;
    this.#pending = [];
    // By the clock, so that a host that starts again doesn't replace new batches.
    const slot = Math.floor(unixTime() / BATCH_INTERVAL_MS) % BATCH_NAMES;
    const name = `${host}-${slot}`;
    try {
      await store.writeOrigins(name, toBatch(origins));
      this.#written_ms.delete(name);
      this.#written_ms.set(name, now());
    } catch (error) {
      const { message } = error as Error;
      const streams = origins.length;
      log.warn({ event: "origins_not_stored", streams, error: message });
    }
  }

  async #removeOldest(): Promise<void> {
    const { store, log, now } = this.#options;
    const [oldest] = this.#written_ms;
    if (oldest === undefined || now() - oldest[1] < KEPT_MS) return;
    const [name] = oldest;
    try {
      await store.removeOrigins(name);
      this.#written_ms.delete(name);
    } catch (error) {
      const { message } = error as Error;
      log.warn({ event: "origins_not_removed", batch: name, error: message });
    }
  }

  async #read(): Promise<void> {
    const { store, log } = this.#options;
    const result = await store.listOrigins(
      AbortSignal.timeout(READ_TIMEOUT_MS),
    );
    if (result.kind !== FeedResultKind.Listed) {
      log.warn({ event: "stored_origins_not_read", reason: result.kind });
      return;
    }
    const batches = result.items.map(({ value }) => value)
      .filter((value) => value !== undefined);
    this.#records = toRecords(batches);
    this.#isRead = true;
    log.info({ event: "stored_origins_read", streams: this.#records.size });
  }
}

function hashOf(key: string): string {
  return hash("sha256", key, "base64url").slice(0, KEY_LENGTH);
}

function toBatch(origins: readonly StreamOrigin[]): OriginBatch {
  const batch: OriginBatch = [];
  for (const { key, pool, version: known } of origins) {
    const version = known === UNKNOWN ? null : known;
    const group = batch.find((each) =>
      each.pool === pool && each.version === version
    );
    if (group === undefined) batch.push({ pool, version, keys: [hashOf(key)] });
    else group.keys.push(hashOf(key));
  }
  return batch;
}

/** Of a stream with several records it isn't known which is the last. */
function toRecords(
  batches: readonly OriginBatch[],
): Map<string, { pool: string; version: string }> {
  const records = new Map<string, { pool: string; version: string }>();
  for (const { pool, version: stored, keys } of batches.flat()) {
    const version = stored ?? UNKNOWN;
    for (const key of keys) {
      const known = records.get(key);
      const differs = known !== undefined &&
        (known.version !== version || known.pool !== pool);
      records.set(key, { pool, version: differs ? UNKNOWN : version });
    }
  }
  return records;
}

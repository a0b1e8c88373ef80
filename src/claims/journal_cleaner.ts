/**
 * Deletes expired journals. A key whose journal is gone gets the outcome
 * `unknown`, so a journal that is deleted too early loses an outcome but can
 * never cause a second run.
 */
import type { Platform, PlatformObject } from "../object_api/types.ts";
import { abortableDelay } from "../utils/delay.ts";

/** Dependencies of the cleaner. */
export interface JournalCleanerOptions {
  platform: Platform;
  /** Whether this host is the one that cleans at present. */
  isCleaner: () => boolean;
  /** Unix time in milliseconds. */
  now: () => number;
  signal: AbortSignal;
}

/** First hexadecimal digits of incarnations; each round lists one of them. */
const INCARNATION_PREFIXES = [..."0123456789abcdef"];
/** Time between two rounds; sixteen rounds, one of each digit, take an hour. */
const CLEAN_INTERVAL_MS = 225_000;
const JOURNAL_RETENTION_MS = 86_400_000;

/**
 * Deletes expired journals until the signal is aborted. Each round covers one
 * first digit, which is a sixteenth of all journals.
 */
export async function runJournalCleaner(
  options: JournalCleanerOptions,
): Promise<void> {
  for (let round = 0; !options.signal.aborted; round++) {
    await abortableDelay(CLEAN_INTERVAL_MS, options.signal);
    const digit = INCARNATION_PREFIXES[round % INCARNATION_PREFIXES.length] ??
      "";
    if (options.isCleaner()) {
      await deleteExpiredJournals(`journal/${digit}`, options);
    }
  }
}

/** Deletes the expired journal objects under a prefix. */
export async function deleteExpiredJournals(
  prefix: string,
  { platform, now }: Pick<JournalCleanerOptions, "platform" | "now">,
): Promise<void> {
  const listing = await platform.list(prefix);
  if (!listing.ok) return;
  const expired = listing.value.objects.filter((object) =>
    isExpired(object, now())
  );
  for (const { key, version } of expired) await platform.delete(key, version);
}

function isExpired({ value }: PlatformObject, now_ms: number): boolean {
  const { written_ms } = value as { written_ms: number };
  return now_ms - written_ms > JOURNAL_RETENTION_MS;
}

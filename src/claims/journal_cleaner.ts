/**
 * Deletes journals that nobody will ask for any more. A key whose journal is
 * gone is answered `unknown`, so deleting early costs an answer and is safe.
 */
import type { Platform, PlatformObject } from "../object_api/types.ts";
import { abortableDelay } from "../utils/delay.ts";

/** What the cleaner needs. */
export interface JournalCleanerOptions {
  platform: Platform;
  /** Whether this host cleans now. */
  isCleaner: () => boolean;
  now: () => number;
  signal: AbortSignal;
}

/** Incarnations begin with one of these digits; each is looked at in turn. */
const PREFIXES = [..."0123456789abcdef"];
const LOOK_EVERY_MS = 225_000;
const RETENTION_MS = 86_400_000;

/** Cleans until the signal fires, a sixteenth of all journals at a time. */
export async function runJournalCleaner(
  options: JournalCleanerOptions,
): Promise<void> {
  for (let turn = 0; !options.signal.aborted; turn++) {
    await abortableDelay(LOOK_EVERY_MS, options.signal);
    const digit = PREFIXES[turn % PREFIXES.length] ?? "";
    if (options.isCleaner()) await cleanJournals(`journal/${digit}`, options);
  }
}

/** Deletes the old journals under a prefix. */
export async function cleanJournals(
  prefix: string,
  { platform, now }: Pick<JournalCleanerOptions, "platform" | "now">,
): Promise<void> {
  const listing = await platform.list(prefix);
  if (!listing.ok) return;
  const old = listing.value.objects.filter((object) => isOld(object, now()));
  for (const { key, version } of old) await platform.delete(key, version);
}

function isOld({ value }: PlatformObject, now_ms: number): boolean {
  const { written_ms } = value as { written_ms: number };
  return now_ms - written_ms > RETENTION_MS;
}

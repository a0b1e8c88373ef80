/** Makes the store's entries agree with what this host knows. */
import { abortableDelay } from "../utils/delay.ts";
import type { Quarantine } from "./quarantine.ts";
import type { QuarantineWriter } from "./quarantine_store.ts";

/** Dependencies of {@linkcode repairStored}. */
export interface RepairStoredOptions {
  quarantine: Quarantine;
  writer: QuarantineWriter;
  isLedger: () => boolean;
  /** Whether the store has just gone back to an older copy. */
  isRestored: boolean;
  random: () => number;
  signal: AbortSignal;
}

/** Time that the ledgers have after a restoration. */
const LEDGER_DURATION_MS = 5_000;
/** Time over which the other hosts then spread what is left. */
const OTHERS_DURATION_MS = 10_000;

/**
 * Writes the entries that the store lacks and removes those that have ended, one
 * by one. The ledgers do so; after a restoration, other hosts do what is left,
 * as the ledgers may have started since and not know of an entry.
 */
export async function repairStored(
  options: RepairStoredOptions,
): Promise<void> {
  const { quarantine, writer, random, signal } = options;
  if (!options.isLedger()) {
    if (!options.isRestored) return;
    const delay_ms = LEDGER_DURATION_MS + random() * OTHERS_DURATION_MS;
    await abortableDelay(delay_ms, signal);
  }
  for (const entry of quarantine.unstored()) {
    const isMissing = quarantine.unstored().includes(entry);
    if (isMissing) await writer.write(entry);
  }
  for (const name of quarantine.returned()) {
    if (quarantine.hasReturned(name)) await writer.remove(name);
  }
}

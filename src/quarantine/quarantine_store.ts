/** Keeps quarantined prompt parts in the object store, with retries. */
import type { Logger } from "../logging/logger.ts";
import { abortableDelay, Backoff } from "../utils/delay.ts";
import type { Quarantine } from "./quarantine.ts";
import { type QuarantinedParts, quarantineName } from "./types.ts";

/** Calls to the object store; they reject if they fail. */
export interface QuarantineStore {
  writeQuarantined(name: string, quarantined: QuarantinedParts): Promise<void>;
  removeQuarantined(name: string): Promise<void>;
}

/** Dependencies of a {@linkcode QuarantineWriter}. */
export interface QuarantineWriterOptions {
  store: QuarantineStore;
  quarantine: Quarantine;
  log: Logger;
  random: () => number;
  signal: AbortSignal;
}

const BACKOFF = { initial_ms: 200, max_ms: 5_000 };

/** Writes and removes the store's entries until that succeeds. */
export class QuarantineWriter {
  #options: QuarantineWriterOptions;

  constructor(options: QuarantineWriterOptions) {
    this.#options = options;
  }

  /** Writes an entry; gives up once it has ended here. Never rejects. */
  write(quarantined: QuarantinedParts): Promise<void> {
    const { store, quarantine } = this.#options;
    const name = quarantineName(quarantined.parts);
    return this.#retry(
      () => store.writeQuarantined(name, quarantined),
      () => !quarantine.has(name),
    );
  }

  /** Removes an entry; gives up once there is one again. Never rejects. */
  remove(name: string): Promise<void> {
    const { store, quarantine } = this.#options;
    return this.#retry(
      () => store.removeQuarantined(name),
      () => quarantine.has(name),
    );
  }

  async #retry(
    call: () => Promise<void>,
    isObsolete: () => boolean,
  ): Promise<void> {
    const { log, random, signal } = this.#options;
    const backoff = new Backoff(BACKOFF, random);
    while (!signal.aborted && !isObsolete()) {
      try {
        return await call();
      } catch (error) {
        const { message } = error as Error;
        log.warn({ event: "quarantine_store_failed", error: message });
        await abortableDelay(backoff.nextDelayMs(), signal);
      }
    }
  }
}

/** Registers this gateway host in the object store, where others discover it. */
import type { Logger } from "../logging/logger.ts";
import { abortableDelay, Backoff } from "../utils/delay.ts";
import type { GatewayMember } from "./gateway_members.ts";

/** Dependencies of {@linkcode announceSelf}. */
export interface AnnounceSelfOptions {
  /** This host's name, which is also the name of its entry. */
  name: string;
  member: GatewayMember;
  /** Writes the entry; rejects if the write fails. */
  announce: (name: string, member: GatewayMember) => Promise<void>;
  log: Logger;
  random: () => number;
  signal: AbortSignal;
}

const RETRY_BACKOFF = { initial_ms: 100, max_ms: 2_000 };

/**
 * Writes this host's entry, with retries until it is written or the signal aborts.
 */
export async function announceSelf(
  options: AnnounceSelfOptions,
): Promise<void> {
  const { name, member, announce, log, random, signal } = options;
  const backoff = new Backoff(RETRY_BACKOFF, random);
  while (!signal.aborted) {
    try {
      await announce(name, member);
      log.info({ event: "announced", address: member.address });
      return;
    } catch (error) {
      log.warn({ event: "announce_failed", error: (error as Error).message });
      await abortableDelay(backoff.nextDelayMs(), signal);
    }
  }
}

/** Registers this gateway host in the object store, where others discover it. */
import type { Logger } from "../logging/logger.ts";
import { abortableDelay, Backoff } from "../utils/delay.ts";
import type { GatewayMember } from "./gateway_members.ts";

/** Dependencies of {@linkcode announceSelf}. */
export interface AnnounceOptions {
  name: string;
  member: GatewayMember;
  announce: (name: string, member: GatewayMember) => Promise<void>;
  log: Logger;
  random: () => number;
  signal: AbortSignal;
}

const RETRY_BACKOFF = { initial_ms: 100, max_ms: 2_000 };

/** Retries until the entry is written or the process stops. */
export async function announceSelf(options: AnnounceOptions): Promise<void> {
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
